//! The load patterns that policies are compared on, each named after its difficulty.

/// A disturbance at one point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PatternEvent {
    /// Every `every`th target crashes, beginning with the first.
    TargetsCrashed {
        /// Distance between crashing targets.
        every: usize,
    },
    /// All crashed targets serve again, without requests.
    TargetsRestored,
    /// The next target in turn leaves the VMs' target list and the previously removed one returns. Requests in flight at
    /// the removed target finish there.
    TargetReplaced,
    /// Every `every`th VM is killed, beginning with the first.
    VmsKilled {
        /// Distance between killed VMs.
        every: usize,
    },
    /// All killed VMs restart with an empty state.
    VmsRestarted,
    /// Many batch items arrive at once.
    BatchBurst {
        /// Number of items.
        items: u64,
    },
}

/// A period in which one organisation sends additional requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSurge {
    /// Start, in milliseconds from the start of the run.
    pub start_ms: u64,
    /// End, exclusive, in milliseconds from the start of the run.
    pub end_ms: u64,
    /// Mean rate of the additional online requests, per second.
    pub online_per_s: f64,
}

/// Size of the simulated fleet, and the age of what its VMs know of each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetShape {
    /// Number of VMs.
    pub vms: usize,
    /// Number of targets, with 8 slots each.
    pub targets: usize,
    /// Number of failure domains, at most 3. VMs and targets are assigned in rotation.
    pub domains: usize,
    /// Time in milliseconds from a load report to its arrival at the peers.
    pub report_delay_ms: u64,
    /// Length of the run in milliseconds.
    pub run_ms: u64,
    /// Mean time from the first event to the end of an online request, in milliseconds.
    pub online_rest_ms: u64,
    /// Mean time from the first event to the end of a batch item, in milliseconds.
    pub batch_rest_ms: u64,
    /// Number of different prompt prefixes that online requests share; none if zero.
    pub shared_prefixes: u64,
}

impl FleetShape {
    /// A current site, whose VMs report to each other directly.
    pub const SITE: FleetShape = FleetShape {
        vms: 12,
        targets: 18,
        domains: 3,
        report_delay_ms: 0,
        run_ms: 34_000,
        online_rest_ms: 700,
        batch_rest_ms: 4_900,
        shared_prefixes: 0,
    };
    /// Two failure domains of a fleet of 300 VMs, whose reports are relayed.
    pub const LARGE: FleetShape = FleetShape {
        vms: 98,
        targets: 50,
        domains: 2,
        report_delay_ms: 100,
        run_ms: 24_000,
        online_rest_ms: 700,
        batch_rest_ms: 4_900,
        shared_prefixes: 3,
    };
}

/// Arrival rates and disturbances of one run.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// Name, by which tests and tables refer to the pattern.
    pub name: &'static str,
    /// Size of the fleet.
    pub shape: FleetShape,
    /// Mean rate of online requests per second, before `load_factors` is applied.
    pub online_per_s: f64,
    /// Factors on `online_per_s` in a trough and at a peak.
    pub load_factors: (f64, f64),
    /// Mean rate of batch items per second.
    pub batch_per_s: f64,
    /// Share of callers, from 0 to 1, that disconnect after 100 ms.
    pub disconnecting_share: f64,
    /// Additional load by one organisation, if the pattern has it.
    pub surge: Option<LoadSurge>,
    /// Disturbances by their time in milliseconds from the start of the run, in ascending order.
    pub events: Vec<(u64, PatternEvent)>,
}

impl LoadPattern {
    fn new(name: &'static str) -> LoadPattern {
        LoadPattern {
            name,
            shape: FleetShape::SITE,
            online_per_s: 85.0,
            load_factors: (0.383, 1.87),
            batch_per_s: 10.0,
            disconnecting_share: 0.0,
            surge: None,
            events: Vec::new(),
        }
    }

    /// All patterns. Most have rates for the size of current sites: 12 VMs and 18 targets of 8 slots.
    #[must_use]
    pub fn all() -> Vec<LoadPattern> {
        let steady = |name, batch_per_s| LoadPattern {
            load_factors: (1.0, 1.0),
            batch_per_s,
            ..LoadPattern::new(name)
        };
        let with_events = |name, events: Vec<(u64, PatternEvent)>| LoadPattern {
            events,
            ..LoadPattern::new(name)
        };
        let replacements =
            (0..8).map(|index| (6_000 + index * 1_500, PatternEvent::TargetReplaced));
        vec![
            LoadPattern::new("periodic peak"),
            LoadPattern {
                online_per_s: 40.0,
                ..steady("trough filling", 16.0)
            },
            LoadPattern {
                online_per_s: 120.0,
                ..LoadPattern::new("overload at the peak")
            },
            with_events(
                "batch burst",
                vec![(8_000, PatternEvent::BatchBurst { items: 120 })],
            ),
            with_events(
                "target loss at the peak",
                vec![
                    (10_000, PatternEvent::TargetsCrashed { every: 5 }),
                    (14_000, PatternEvent::TargetsRestored),
                ],
            ),
            with_events("rolling replacement", replacements.collect()),
            LoadPattern {
                disconnecting_share: 0.2,
                ..LoadPattern::new("callers that leave early")
            },
            LoadPattern {
                surge: Some(LoadSurge {
                    start_ms: 8_000,
                    end_ms: 16_000,
                    online_per_s: 200.0,
                }),
                ..steady("one organisation's surge", 5.0)
            },
            with_events(
                "VMs killed and back",
                vec![
                    (9_500, PatternEvent::VmsKilled { every: 2 }),
                    (11_500, PatternEvent::VmsRestarted),
                ],
            ),
            LoadPattern {
                shape: FleetShape::LARGE,
                online_per_s: 234.0,
                batch_per_s: 22.0,
                ..LoadPattern::new("peak with late reports")
            },
            LoadPattern {
                shape: FleetShape::LARGE,
                online_per_s: 234.0,
                batch_per_s: 16.0,
                ..with_events(
                    "batch burst with late reports",
                    vec![(6_000, PatternEvent::BatchBurst { items: 240 })],
                )
            },
        ]
    }

    /// The surge, if it is active at `now_ms`.
    pub(crate) fn surge_at(&self, now_ms: u64) -> Option<LoadSurge> {
        self.surge
            .filter(|surge| (surge.start_ms..surge.end_ms).contains(&now_ms))
    }

    /// Factor on the mean online rate at `now_ms`: each cycle of 5.8 s is a trough of 3.4 s and a peak of 2.4 s.
    pub(crate) fn load_factor_at(&self, now_ms: u64) -> f64 {
        if now_ms % 5_800 < 3_400 {
            self.load_factors.0
        } else {
            self.load_factors.1
        }
    }
}
