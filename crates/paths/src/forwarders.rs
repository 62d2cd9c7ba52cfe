//! The VMs that may forward requests, and how they have done so.

use plantainmill_core::{RegionName, RegionSet, Uptime};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a VM without paths of its own is not asked again; it doubles each time.
const ISOLATED_PAUSE: Duration = Duration::from_secs(1);
/// Longest time for which a VM without paths of its own is not asked again.
const MAX_ISOLATED_PAUSE: Duration = Duration::from_secs(2);
/// Time for which a VM that does not accept connections is not asked again.
const FAILED_PAUSE: Duration = Duration::from_secs(2);
/// Time for which no VM is asked after all that were asked for one request were isolated or failed.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a VM is preferred because it has forwarded a request.
const PREFERENCE_TIME: Duration = Duration::from_secs(5);
/// Time for which a VM is asked last because a request that it took got no answer. Its target may be the cause.
const SILENCE_TIME: Duration = Duration::from_secs(2);
/// Time for which a VM that another one referred to is kept.
const REFERRAL_TIME: Duration = Duration::from_secs(10);
/// Largest number of VMs that are kept.
const MAX_FORWARDERS: usize = 128;
/// Largest number of VMs that are tried for one request.
const MAX_TRIES: usize = 4;
/// Largest number of VMs of other failure domains that a VM refers others to.
const MAX_REFERRALS: usize = 6;

/// A VM that may forward requests.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Forwarder {
    /// Address at which it takes requests of other VMs.
    pub address: SocketAddr,
    /// Where it is.
    pub place: ForwarderPlace,
    /// Its region; `None` if it is not known.
    pub region: Option<RegionName>,
}

/// A VM of another failure domain that one VM refers another one to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwarderReferral {
    /// Address at which it takes requests of other VMs.
    pub address: SocketAddr,
    /// Its region; `None` if it is not known.
    pub region: Option<RegionName>,
}

/// Where a VM that may forward requests is.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ForwarderPlace {
    /// In the same failure domain, whose readers know the VMs of other domains.
    Reader,
    /// In the same failure domain.
    Local,
    /// In another failure domain.
    #[default]
    Remote,
}

/// What came of a request that a VM was to forward.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardResult {
    /// It has returned an answer of the target.
    Forwarded,
    /// It has lost its own paths to the targets.
    Isolated,
    /// It does not reach the target, or does not know it.
    Declined,
    /// It did not accept the connection.
    Failed,
    /// It took the request, and no answer came.
    Silent,
}

#[derive(Clone, Debug, Default)]
struct ForwarderState {
    region: Option<RegionName>,
    place: ForwarderPlace,
    /// Until when the VM is kept although the directory does not list it.
    referred_until: Option<Uptime>,
    paused_until: Uptime,
    /// Last pause, while the VM is isolated.
    isolated_pause: Duration,
    preferred_until: Uptime,
    silent_until: Uptime,
}

/// The VMs that may forward requests.
#[derive(Debug, Default)]
pub(crate) struct ForwarderTable {
    states: BTreeMap<SocketAddr, ForwarderState>,
    paused_until: Uptime,
}

impl ForwarderTable {
    /// Replaces the VMs of the directory. Those that others have referred to are kept for their time.
    pub fn set(&mut self, forwarders: impl Iterator<Item = Forwarder>, now: Uptime) {
        for state in self.states.values_mut() {
            state.referred_until = state.referred_until.filter(|until| now < *until);
        }
        let mut former = std::mem::take(&mut self.states);
        for forwarder in forwarders.take(MAX_FORWARDERS) {
            let state = former.remove(&forwarder.address).unwrap_or_default();
            let state = ForwarderState {
                place: forwarder.place,
                region: forwarder.region,
                ..state
            };
            self.states.insert(forwarder.address, state);
        }
        for (address, state) in former {
            if state.referred_until.is_some() && self.states.len() < MAX_FORWARDERS {
                self.states.insert(address, state);
            }
        }
    }

    /// Adds VMs of other failure domains that another VM has referred to.
    pub fn add_referrals(&mut self, referrals: &[ForwarderReferral], now: Uptime) {
        for referral in referrals.iter().take(MAX_REFERRALS) {
            let address = referral.address;
            if self.states.len() >= MAX_FORWARDERS && !self.states.contains_key(&address) {
                return;
            }
            let state = self.states.entry(address).or_default();
            // The rows of this VM's own directory are nearer to the truth.
            if state.region.is_none() {
                state.region.clone_from(&referral.region);
            }
            state.referred_until = Some(now + REFERRAL_TIME);
        }
    }

    /// Records what came of a request to `address`.
    pub fn record(&mut self, address: SocketAddr, result: ForwardResult, now: Uptime) {
        let Some(state) = self.states.get_mut(&address) else {
            return;
        };
        match result {
            ForwardResult::Forwarded => {
                state.paused_until = Uptime::ZERO;
                state.isolated_pause = Duration::ZERO;
                state.silent_until = Uptime::ZERO;
                state.preferred_until = now + PREFERENCE_TIME;
            }
            ForwardResult::Isolated => {
                let pause = state.isolated_pause * 2;
                state.isolated_pause = pause.clamp(ISOLATED_PAUSE, MAX_ISOLATED_PAUSE);
                state.preferred_until = Uptime::ZERO;
                state.paused_until = now + state.isolated_pause;
            }
            ForwardResult::Declined => state.preferred_until = Uptime::ZERO,
            ForwardResult::Failed => {
                state.preferred_until = Uptime::ZERO;
                state.paused_until = now + FAILED_PAUSE;
            }
            ForwardResult::Silent => {
                state.preferred_until = Uptime::ZERO;
                state.silent_until = now + SILENCE_TIME;
            }
        }
    }

    /// Records that none of the VMs that were asked for one request has paths.
    pub fn record_exhausted(&mut self, now: Uptime) {
        self.paused_until = now + EXHAUSTED_PAUSE;
    }

    /// Whether any VM in one of `regions` may be asked.
    pub fn has_usable(&self, regions: &RegionSet, now: Uptime) -> bool {
        let is_paused = now < self.paused_until;
        let mut states = self.states.values();
        let is_usable = |state: &ForwarderState| {
            state.paused_until <= now && regions.allows(state.region.as_ref())
        };
        !is_paused && states.any(is_usable)
    }

    /// The VMs in one of `regions` to ask for one request, in order: those that have forwarded requests, then the others of the own failure domain.
    /// If some VMs are isolated and none has forwarded requests, readers come first, since they can refer to VMs of other domains.
    /// Among similar VMs, `salt` decides.
    pub fn candidates(&self, regions: &RegionSet, salt: u64, now: Uptime) -> Vec<Forwarder> {
        let states = || {
            let states = self.states.values();
            states.filter(|state| regions.allows(state.region.as_ref()))
        };
        let needs_referral = states().all(|state| state.preferred_until <= now)
            && states().any(|state| now < state.paused_until);
        let usable = self.states.iter();
        let usable = usable.filter(|(_, state)| {
            state.paused_until <= now && regions.allows(state.region.as_ref())
        });
        let mut ranked: Vec<_> = usable
            .map(|(address, state)| {
                let is_silent = now < state.silent_until;
                let is_preferred = now < state.preferred_until;
                let place = match state.place {
                    ForwarderPlace::Reader if !needs_referral => ForwarderPlace::Local,
                    place => place,
                };
                let score = xxh3_64_with_seed(address.to_string().as_bytes(), salt);
                ((is_silent, !is_preferred, place, score), *address)
            })
            .collect();
        ranked.sort_unstable();
        let forwarders = ranked.into_iter().filter_map(|(_, address)| {
            let state = self.states.get(&address)?;
            Some(Forwarder {
                address,
                place: state.place,
                region: state.region.clone(),
            })
        });
        forwarders.take(MAX_TRIES).collect()
    }

    /// VMs of other failure domains, for a VM of the own one that knows none: first those that have forwarded requests.
    pub fn referrals(&self, salt: u64, now: Uptime) -> Vec<ForwarderReferral> {
        let remote = self.states.iter();
        let remote = remote.filter(|(_, state)| state.place == ForwarderPlace::Remote);
        let mut remote: Vec<_> = remote
            .map(|(address, state)| {
                let is_preferred = now < state.preferred_until;
                let is_paused = now < state.paused_until;
                let score = xxh3_64_with_seed(address.to_string().as_bytes(), salt);
                ((!is_preferred, is_paused, score), *address)
            })
            .collect();
        remote.sort_unstable();
        let referrals = remote.into_iter().map(|(_, address)| ForwarderReferral {
            address,
            region: self
                .states
                .get(&address)
                .and_then(|state| state.region.clone()),
        });
        referrals.take(MAX_REFERRALS).collect()
    }
}
