//! Failure domains whose targets get nothing new, at an operator's request.
//!
//! Each read of the store gives the requests together with the version of the store, by which the newest read wins. VMs
//! that do not read the store get them from those that do.

use plantainmill_core::{DomainName, Uptime};
use plantainmill_provider::RowVersion;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The evacuated failure domains, as of one version of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationState {
    /// Version of the store at which the requests were read.
    #[serde(rename = "v")]
    pub version: RowVersion,
    /// Evacuated failure domains, with the versions of the requests.
    #[serde(rename = "d")]
    pub domains: BTreeMap<DomainName, RowVersion>,
}

/// What a VM tells others about evacuations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationReport {
    /// Evacuated failure domains.
    #[serde(rename = "s")]
    pub state: EvacuationState,
    /// Time since the sender knew that state to be the latest one; absent if it never did.
    #[serde(rename = "a")]
    pub age: Option<Duration>,
    /// Failure domains whose evacuation has ended: the version of the last request, and the time since its end.
    #[serde(default, rename = "r")]
    pub revoked: BTreeMap<DomainName, (RowVersion, Duration)>,
}

/// Begin or end of an evacuation, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationEvent {
    /// Failure domain concerned.
    pub domain: DomainName,
    /// Version of the request.
    pub version: RowVersion,
    /// Whether the evacuation begins.
    pub is_begin: bool,
}

/// What one VM knows about evacuations.
#[derive(Clone, Debug, Default)]
pub struct EvacuationLedger {
    state: Option<EvacuationState>,
    /// Latest time at which the state was known to be that of the store.
    confirmed_at: Option<Uptime>,
    /// Version of the last request of each failure domain, and when this VM learned of its end.
    revoked: BTreeMap<DomainName, (RowVersion, Uptime)>,
}

impl EvacuationLedger {
    /// Records a state that was the latest one at `confirmed_at`, if that is known. An older state than the known one
    /// changes nothing, and confirms it only if both name the same requests.
    pub fn record(
        &mut self,
        state: EvacuationState,
        confirmed_at: Option<Uptime>,
        now: Uptime,
    ) -> Vec<EvacuationEvent> {
        let mut events = Vec::new();
        let known = self.state.get_or_insert_with(EvacuationState::default);
        let is_same = known.domains == state.domains;
        if !is_same && state.version <= known.version {
            return events;
        }
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        if state.version <= known.version {
            return events;
        }
        let former = std::mem::replace(known, state);
        for (domain, version) in &former.domains {
            if !known.domains.contains_key(domain) {
                self.revoked.insert(domain.clone(), (*version, now));
                events.push(EvacuationEvent {
                    domain: domain.clone(),
                    version: *version,
                    is_begin: false,
                });
            }
        }
        for (domain, version) in &known.domains {
            if !former.domains.contains_key(domain) {
                events.push(EvacuationEvent {
                    domain: domain.clone(),
                    version: *version,
                    is_begin: true,
                });
            }
        }
        events
    }

    /// Records the report of another VM, whose ages count from `asked_at`; absent if this VM did not ask for it, and the
    /// ages prove nothing.
    pub fn record_report(
        &mut self,
        report: EvacuationReport,
        asked_at: Option<Uptime>,
        now: Uptime,
    ) -> Vec<EvacuationEvent> {
        let confirmed_at = asked_at
            .zip(report.age)
            .map(|(at, age)| at.saturating_sub(age));
        let events = self.record(report.state, confirmed_at, now);
        for (domain, (version, age)) in report.revoked {
            // The time of an end that is known already stays: it would grow with each exchange.
            let known = self.revoked.get(&domain);
            if known.is_none_or(|(known, _)| *known < version) {
                let ended_at = now.saturating_sub(age);
                self.revoked.insert(domain, (version, ended_at));
            }
        }
        events
    }

    /// The report for other VMs; `None` before the first state.
    #[must_use]
    pub fn report(&self, now: Uptime) -> Option<EvacuationReport> {
        let revoked = self.revoked.iter().map(|(domain, (version, ended_at))| {
            (domain.clone(), (*version, now.saturating_sub(*ended_at)))
        });
        Some(EvacuationReport {
            state: self.state.clone()?,
            age: self.age(now),
            revoked: revoked.collect(),
        })
    }

    /// Time since the state was known to be the latest one; `None` before that.
    #[must_use]
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Evacuated failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &DomainName> {
        self.state.iter().flat_map(|state| state.domains.keys())
    }

    /// Failure domains whose evacuation has ended, and when this VM learned of it.
    pub fn revoked(&self) -> impl Iterator<Item = (&DomainName, Uptime)> {
        let revoked = self.revoked.iter();
        revoked.map(|(domain, (_, ended_at))| (domain, *ended_at))
    }
}
