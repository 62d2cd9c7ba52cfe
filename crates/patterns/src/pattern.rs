//! The loads that the policy has to answer, each named after what makes it hard.

/// Something that happens once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PatternEvent {
    /// Targets crash: each `every`th.
    TargetsCrash {
        /// Distance between the targets that crash.
        every: usize,
    },
    /// Targets come back.
    TargetsReturn,
    /// A target leaves without losing its calls, and the one that left before is back.
    TargetReplaced,
    /// VMs are killed: each `every`th.
    VmsKilled {
        /// Distance between the VMs that are killed.
        every: usize,
    },
    /// VMs are back, knowing nothing.
    VmsBack,
    /// Many batch items come at once.
    BatchBurst {
        /// Items.
        items: u64,
    },
}

/// A time in which one organisation sends more than usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSurge {
    /// Start, in milliseconds.
    pub from: u64,
    /// End, in milliseconds.
    pub until: u64,
    /// Online requests per second that the organisation sends beyond its usual ones.
    pub online_per_s: f64,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// Name.
    pub name: &'static str,
    /// Online requests per second on average.
    pub online_per_s: f64,
    /// Times of the average in a trough and at a peak.
    pub swing: (f64, f64),
    /// Batch items per second.
    pub batch_per_s: f64,
    /// Share of callers that leave after 100 ms.
    pub leaving: f64,
    /// One organisation's surge.
    pub surge: Option<LoadSurge>,
    /// What happens when, in milliseconds.
    pub events: Vec<(u64, PatternEvent)>,
}

impl LoadPattern {
    fn new(name: &'static str) -> LoadPattern {
        LoadPattern {
            name,
            online_per_s: 85.0,
            swing: (0.383, 1.87),
            batch_per_s: 10.0,
            leaving: 0.0,
            surge: None,
            events: Vec::new(),
        }
    }

    /// All patterns, at the size of today's sites: 12 VMs, 18 targets of 8 slots.
    #[must_use]
    pub fn all() -> Vec<LoadPattern> {
        let steady = |name, batch_per_s| LoadPattern {
            swing: (1.0, 1.0),
            batch_per_s,
            ..LoadPattern::new(name)
        };
        let with = |name, events: Vec<(u64, PatternEvent)>| LoadPattern {
            events,
            ..LoadPattern::new(name)
        };
        let replacements = (0..8).map(|turn| (6_000 + turn * 1_500, PatternEvent::TargetReplaced));
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
            with(
                "batch burst",
                vec![(8_000, PatternEvent::BatchBurst { items: 120 })],
            ),
            with(
                "target loss at the peak",
                vec![
                    (10_000, PatternEvent::TargetsCrash { every: 5 }),
                    (14_000, PatternEvent::TargetsReturn),
                ],
            ),
            with("rolling replacement", replacements.collect()),
            LoadPattern {
                leaving: 0.2,
                ..LoadPattern::new("callers that leave early")
            },
            LoadPattern {
                surge: Some(LoadSurge {
                    from: 8_000,
                    until: 16_000,
                    online_per_s: 200.0,
                }),
                ..steady("one organisation's surge", 5.0)
            },
            with(
                "VMs killed and back",
                vec![
                    (9_500, PatternEvent::VmsKilled { every: 2 }),
                    (11_500, PatternEvent::VmsBack),
                ],
            ),
        ]
    }

    /// The surge, if it is under way at `now`.
    pub(crate) fn surge_at(&self, now: u64) -> Option<LoadSurge> {
        self.surge
            .filter(|surge| (surge.from..surge.until).contains(&now))
    }

    /// Load at `now`, in times of the average: a peak of 2.4 s in every 5.8 s.
    pub(crate) fn swing_at(&self, now: u64) -> f64 {
        if now % 5_800 < 3_400 {
            self.swing.0
        } else {
            self.swing.1
        }
    }
}
