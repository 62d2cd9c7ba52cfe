//! Fleet of VMs that hold and ask token pools, in virtual time: a network that delays and loses messages, and VMs that
//! learn late who is live.

use crate::refusal_tally::RefusalTally;
use plantainmill_admission::pools::{
    AskOutcome, FleetView, PoolBook, RateLimit, TokenAsk, TokenKind, TokenReply, TokenSearch,
    TokenStep,
};
use plantainmill_core::{DomainName, OrganisationId, VmId};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Length of the windows over which the rate is checked, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Time for which a VM that is not heard stays known.
const KNOWN_MS: u64 = 20_000;
/// Interval at which VMs look at the fleet.
const TICK_MS: u64 = 100;
const REGIONS: u16 = 3;

/// Delays of single messages, in milliseconds, and the fraction that is lost.
#[derive(Clone)]
pub struct Network {
    pub near_ms: RangeInclusive<u64>,
    pub far_ms: RangeInclusive<u64>,
    /// Fraction of the messages that take up to 250 ms.
    pub late: f64,
    pub loss: f64,
}

impl Network {
    /// Most messages arrive within a few milliseconds, some are late or lost.
    pub fn usual() -> Network {
        Network {
            near_ms: 1..=4,
            far_ms: 10..=35,
            late: 0.01,
            loss: 0.01,
        }
    }

    /// A question and its answer together take 20 ms to 250 ms.
    pub fn late() -> Network {
        Network {
            near_ms: 10..=125,
            far_ms: 10..=125,
            late: 0.0,
            loss: 0.05,
        }
    }
}

/// What one VM hears of another.
#[derive(Clone, Copy)]
pub struct Pair {
    pub is_linked: bool,
    pub is_heard: bool,
    pub changed_ms: u64,
}

/// What happens at a time of the simulation.
pub enum Event {
    Ask {
        to: usize,
        from: usize,
        search: u64,
        ask: TokenAsk,
    },
    Reply {
        search: u64,
        nonce: u64,
        reply: TokenReply,
    },
    Timeout {
        search: u64,
        nonce: u64,
    },
    Return {
        to: usize,
        from: usize,
        ask: TokenAsk,
    },
    Hear {
        vm: usize,
        other: usize,
        is_heard: bool,
        /// The VM believes so whatever the links are.
        is_forced: bool,
    },
}

/// A request that has asked a holder.
pub struct RunningSearch {
    pub(super) vm: usize,
    organisation: usize,
    kind: TokenKind,
    search: TokenSearch,
    asked: TokenAsk,
    asked_ms: u64,
}

/// An organisation and what became of its requests.
pub struct Organisation {
    pub name: OrganisationId,
    pub limit: RateLimit,
    pub sent: usize,
    pub refused: usize,
    pub admitted_ms: Vec<u64>,
    pub retry_delays: Vec<Duration>,
}

/// Difference of starts up to which VMs count as started together.
const JOINT_START_MS: u64 = 3_000;

/// VMs that share the rates of a few organisations.
pub struct PoolFleet {
    pub(super) books: Vec<PoolBook>,
    pub(super) names: Vec<VmId>,
    domains: Vec<u16>,
    domain_count: u16,
    pub(super) pairs: Vec<Vec<Pair>>,
    /// When each VM started last.
    pub(super) started_ms: Vec<u64>,
    pub is_frozen: Vec<bool>,
    pub is_down: Vec<bool>,
    pub(super) has_changed: Vec<bool>,
    pub organisations: Vec<Organisation>,
    /// Continued streams that each VM has admitted.
    pub continued_by: Vec<usize>,
    network: Network,
    pub random: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: HashMap<u64, Event>,
    pub(super) searches: HashMap<u64, RunningSearch>,
    /// Questions that timed out, for late answers.
    expired: HashMap<(u64, u64), (usize, TokenAsk)>,
    next_id: u64,
    pub now_ms: u64,
    starts: u64,
}

fn domain_name(domain: u16) -> DomainName {
    format!("domain-{domain}").into()
}

impl PoolFleet {
    /// `count` VMs in `domains` failure domains, which have heard each other for long.
    pub fn new(
        count: u16,
        domains: u16,
        limits: &[RateLimit],
        network: Network,
        seed: u64,
    ) -> PoolFleet {
        let pair = Pair {
            is_linked: true,
            is_heard: true,
            changed_ms: 0,
        };
        let size = usize::from(count);
        let mut fleet = PoolFleet {
            books: Vec::new(),
            names: (0..count).map(|vm| format!("vm-{vm}").into()).collect(),
            started_ms: vec![0; usize::from(count)],
            domains: (0..count).map(|vm| vm % domains).collect(),
            domain_count: domains,
            pairs: vec![vec![pair; size]; size],
            is_frozen: vec![false; size],
            is_down: vec![false; size],
            has_changed: vec![true; size],
            organisations: Vec::new(),
            continued_by: vec![0; size],
            network,
            random: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            searches: HashMap::new(),
            expired: HashMap::new(),
            next_id: 0,
            now_ms: 0,
            starts: 0,
        };
        for (number, limit) in limits.iter().enumerate() {
            fleet.organisations.push(Organisation {
                name: format!("ward-{number}-{seed}").into(),
                limit: *limit,
                sent: 0,
                refused: 0,
                admitted_ms: Vec::new(),
                retry_delays: Vec::new(),
            });
        }
        for vm in 0..size {
            let book = fleet.new_book(vm);
            fleet.books.push(book);
        }
        fleet
    }

    pub(super) fn new_book(&mut self, vm: usize) -> PoolBook {
        self.starts += 1;
        let regions: BTreeMap<DomainName, DomainName> = (0..self.domain_count)
            .map(|domain| {
                (
                    domain_name(domain),
                    format!("region-{}", domain % REGIONS).into(),
                )
            })
            .collect();
        let domain = domain_name(self.domains[vm]);
        PoolBook::new(self.names[vm].clone(), domain, regions, self.starts << 32)
    }

    pub fn domain_of(&self, vm: usize) -> u16 {
        self.domains[vm]
    }

    /// VMs of a failure domain.
    pub fn domain_vms(&self, domain: u16) -> Vec<usize> {
        (0..self.domains.len())
            .filter(|vm| self.domains[*vm] == domain)
            .collect()
    }

    /// The VM that holds a pool of the organisation in the domain of `vm` while all are live.
    pub fn holder_near(&self, vm: usize, organisation: usize) -> usize {
        let domain = self.domains[vm];
        let vms = self.domain_vms(domain);
        let names = vms.iter().map(|vm| &self.names[*vm]);
        let name = &self.organisations[organisation].name;
        let holder = plantainmill_admission::pools::holder_of(name, &domain_name(domain), names);
        let holder = holder.and_then(|holder| self.names.iter().position(|name| name == holder));
        holder.unwrap_or(vm)
    }

    /// A VM that holds one of the organisation's pools.
    pub fn any_holder(&self, organisation: usize) -> usize {
        let domains: Vec<DomainName> = (0..self.domain_count).map(domain_name).collect();
        let organisation_state = &self.organisations[organisation];
        let burst = organisation_state.limit.burst;
        let pools = plantainmill_admission::pools::pool_domains(
            &organisation_state.name,
            burst,
            domains.iter(),
        );
        let domain = domains
            .iter()
            .position(|domain| *domain == pools[0])
            .unwrap_or(0);
        let domain = u16::try_from(domain).unwrap_or(0);
        self.holder_near(self.domain_vms(domain)[0], organisation)
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    pub(super) fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.next_id += 1;
        self.events
            .push(Reverse((self.now_ms + delay_ms, self.next_id)));
        self.payloads.insert(self.next_id, event);
    }

    /// Sends a message, unless it is lost.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if !self.pairs[from][to].is_linked || self.random.random_bool(self.network.loss) {
            return;
        }
        let is_near = self.domains[from] % REGIONS == self.domains[to] % REGIONS;
        let range = if self.random.random_bool(self.network.late) {
            20..=250
        } else if is_near {
            self.network.near_ms.clone()
        } else {
            self.network.far_ms.clone()
        };
        let delay = self.random.random_range(range);
        self.schedule(delay, event);
    }

    fn view(&self, vm: usize) -> FleetView {
        let pairs = &self.pairs[vm];
        let mut members: BTreeMap<DomainName, Vec<VmId>> = BTreeMap::new();
        let (mut heard, mut known) = (1, 1);
        let own_start_ms = self.started_ms[vm];
        let mut is_joint = true;
        for (other, pair) in pairs.iter().enumerate() {
            if other == vm || pair.is_heard {
                let domain = domain_name(self.domains[other]);
                members
                    .entry(domain)
                    .or_default()
                    .push(self.names[other].clone());
            }
            if other != vm && self.domains[other] == self.domains[vm] {
                heard += usize::from(pair.is_heard);
                let is_older = self.started_ms[other] + JOINT_START_MS < own_start_ms;
                is_joint &= !pair.is_heard || !is_older;
                let is_known = pair.is_heard || self.now_ms < pair.changed_ms + KNOWN_MS;
                known += usize::from(is_known);
            }
        }
        FleetView {
            members,
            heard,
            known,
            is_alone: self.names.len() == 1,
            started_together_at: is_joint.then(|| Duration::from_millis(own_start_ms)),
        }
    }

    /// Runs until `until_ms`; each millisecond, `load` names the requests per second of each organisation, and `pick` a VM.
    pub fn run(
        &mut self,
        until_ms: u64,
        load: &[f64],
        mut pick: impl FnMut(&mut SmallRng, usize) -> usize,
    ) {
        while self.now_ms < until_ms {
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick();
            }
            self.deliver();
            for (organisation, per_s) in load.iter().enumerate() {
                let mut expected = per_s / 1_000.0;
                while expected > 0.0 {
                    if self.random.random_bool(expected.min(1.0)) {
                        let vm = pick(&mut self.random, organisation);
                        self.request(vm, organisation, TokenKind::Request);
                    }
                    expected -= 1.0;
                }
            }
            self.now_ms += 1;
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for vm in 0..self.books.len() {
            if self.is_down[vm] || self.is_frozen[vm] {
                continue;
            }
            // VMs that forget lost ones have to look again, too.
            let is_due = self.has_changed[vm] || self.now_ms.is_multiple_of(10_000);
            self.books[vm].tick(now);
            if is_due {
                self.has_changed[vm] = false;
                let view = self.view(vm);
                self.books[vm].set_fleet(view, now);
            }
        }
    }

    /// Sends one request to `vm`; it reaches no VM that is lost or frozen.
    pub fn request(&mut self, vm: usize, organisation: usize, kind: TokenKind) {
        if self.is_down[vm] || self.is_frozen[vm] {
            return;
        }
        let now = self.now();
        let state = &mut self.organisations[organisation];
        state.sent += 1;
        let (search, step) = self.books[vm].start(&state.name, state.limit, kind, now);
        self.next_id += 1;
        self.apply(self.next_id, (vm, organisation, kind), search, step);
    }

    fn apply(
        &mut self,
        id: u64,
        (vm, organisation, kind): (usize, usize, TokenKind),
        search: TokenSearch,
        step: TokenStep,
    ) {
        match step {
            TokenStep::Admitted(_) => {
                self.continued_by[vm] += usize::from(kind == TokenKind::Continuation);
                let state = &mut self.organisations[organisation];
                state.admitted_ms.push(self.now_ms);
            }
            TokenStep::Refused { retry_after } => {
                self.organisations[organisation].refused += 1;
                self.organisations[organisation]
                    .retry_delays
                    .push(retry_after);
            }
            TokenStep::Ask(ask) => {
                let holder = self.names.iter().position(|name| *name == ask.holder);
                let holder = holder.expect("a holder of the fleet");
                let timeout = u64::try_from(ask.valid.as_millis()).unwrap_or(0);
                self.send(
                    vm,
                    holder,
                    Event::Ask {
                        to: holder,
                        from: vm,
                        search: id,
                        ask: ask.clone(),
                    },
                );
                self.schedule(
                    timeout,
                    Event::Timeout {
                        search: id,
                        nonce: ask.nonce,
                    },
                );
                let running = RunningSearch {
                    vm,
                    organisation,
                    kind,
                    search,
                    asked: ask,
                    asked_ms: self.now_ms,
                };
                self.searches.insert(id, running);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at_ms, id))) = self.events.peek().copied() {
            if at_ms > self.now_ms {
                return;
            }
            self.events.pop();
            if let Some(event) = self.payloads.remove(&id) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Hear {
                vm,
                other,
                is_heard,
                is_forced,
            } => {
                let is_awake = !self.is_frozen[vm] && !self.is_down[vm];
                let is_sending = self.pairs[vm][other].is_linked && !self.is_frozen[other];
                let is_possible = is_forced || is_heard == is_sending;
                if is_awake && is_possible && self.pairs[vm][other].is_heard != is_heard {
                    self.pairs[vm][other].is_heard = is_heard;
                    self.pairs[vm][other].changed_ms = self.now_ms;
                    self.has_changed[vm] = true;
                }
            }
            Event::Ask {
                to,
                from,
                search,
                ask,
            } => {
                // A frozen VM answers when it wakes: the tests let it lose what came in meanwhile, or answer late.
                if self.is_down[to] {
                    return;
                }
                if self.is_frozen[to] {
                    self.schedule(
                        50,
                        Event::Ask {
                            to,
                            from,
                            search,
                            ask,
                        },
                    );
                    return;
                }
                let limit = self
                    .organisations
                    .iter()
                    .find(|state| state.name == ask.organisation);
                let limit = limit.map(|state| state.limit);
                let name = self.names[from].clone();
                let reply = self.books[to].answer(&name, &ask, limit, now);
                self.send(
                    to,
                    from,
                    Event::Reply {
                        search,
                        nonce: ask.nonce,
                        reply,
                    },
                );
            }
            Event::Reply {
                search,
                nonce,
                reply,
            } => self.handle_reply(search, nonce, reply),
            Event::Timeout { search, nonce } => {
                if self
                    .searches
                    .get(&search)
                    .is_some_and(|running| running.asked.nonce == nonce)
                {
                    self.advance(search, AskOutcome::Silent);
                }
            }
            Event::Return { to, from, ask } => {
                if !self.is_down[to] && !self.is_frozen[to] {
                    let name = self.names[from].clone();
                    self.books[to].take_back(&name, &ask, now);
                }
            }
        }
    }

    fn handle_reply(&mut self, search: u64, nonce: u64, reply: TokenReply) {
        let is_open = self.searches.get(&search).is_some_and(|running| {
            let valid = u64::try_from(running.asked.valid.as_millis()).unwrap_or(0);
            running.asked.nonce == nonce && self.now_ms <= running.asked_ms + valid
        });
        if is_open {
            self.advance(search, AskOutcome::Answered(reply));
        } else if let Some((vm, ask)) = self.expired.remove(&(search, nonce))
            && matches!(reply, TokenReply::Granted { .. })
            && let Some(holder) = self.names.iter().position(|name| *name == ask.holder)
        {
            self.send(
                vm,
                holder,
                Event::Return {
                    to: holder,
                    from: vm,
                    ask,
                },
            );
        }
    }

    fn advance(&mut self, id: u64, outcome: AskOutcome) {
        let now = self.now();
        let Some(mut running) = self.searches.remove(&id) else {
            return;
        };
        if outcome == AskOutcome::Silent {
            let key = (id, running.asked.nonce);
            self.expired
                .insert(key, (running.vm, running.asked.clone()));
        }
        let step = self.books[running.vm].advance(&mut running.search, outcome, now);
        let request = (running.vm, running.organisation, running.kind);
        self.apply(id, request, running.search, step);
    }

    /// Maximum number of requests of an organisation admitted in any window of 5 s.
    pub fn max_window(&self, organisation: usize) -> usize {
        let times = &self.organisations[organisation].admitted_ms;
        let mut first = 0;
        let counts = times.iter().enumerate().map(|(last, time)| {
            while times[first] + WINDOW_MS <= *time {
                first += 1;
            }
            last + 1 - first
        });
        counts.max().unwrap_or(0)
    }

    /// Asserts that no organisation exceeds its rate and burst in any window, without a tolerance.
    pub fn assert_bound(&self, context: &str) {
        for (number, organisation) in self.organisations.iter().enumerate() {
            let bound = organisation.limit.rate * 5.0 + organisation.limit.burst;
            let worst = f64::from(u32::try_from(self.max_window(number)).unwrap_or(u32::MAX));
            assert!(
                worst <= bound,
                "{context}: {worst} of {bound}, organisation {number}"
            );
        }
    }

    /// Clears the counts of requests, for a part of the run with its own assertion.
    pub fn clear_counts(&mut self) {
        for organisation in &mut self.organisations {
            (organisation.sent, organisation.refused) = (0, 0);
        }
    }

    /// Asserts that at most one request in a hundred was refused since the counts were cleared.
    pub fn assert_few_refused(&self, context: &str) {
        let mut tally = RefusalTally::default();
        tally.add(self);
        tally.assert_few(context);
    }
}
