//! Anti-entropy: exchange of records inside a domain when hashes differ, and between domains through relays.

use crate::message::{DomainSummary, MemberMessage, MemberRecord};
use crate::options::RECORDS_PER_MESSAGE;
use crate::table::MemberTable;
use plantainmill_core::{DomainName, Uptime, VmId};
use std::collections::{BTreeMap, BTreeSet};

impl MemberTable {
    /// Starts an exchange of the records of the own domain if `hash`, reported by `from`, differs from this VM's hash
    /// although no updates are queued that could explain the difference.
    pub(crate) fn sync_domain(&mut self, from: &VmId, hash: u64, now: Uptime) {
        let domain = self.own.member.peer.domain.clone();
        let same_domain = self
            .roster
            .get(from)
            .is_some_and(|entry| entry.record.member.peer.domain == domain);
        let recent = self
            .last_sync
            .is_some_and(|last| now.saturating_sub(last) < self.timing.min_sync_interval);
        if !same_domain || recent || self.roster.has_updates() {
            return;
        }
        if self.roster.domain_hash(&domain, &self.own) == hash {
            return;
        }
        self.last_sync = Some(now);
        self.counters.syncs += 1;
        let records = self.records_of(&domain);
        self.send(
            from,
            MemberMessage::Records {
                records,
                answer: true,
            },
        );
    }

    fn records_of(&self, domain: &str) -> Vec<MemberRecord> {
        let own = Some(&self.own).filter(|own| own.member.peer.domain == domain);
        let records = self.roster.in_domain(domain).map(|entry| &entry.record);
        let known = records.filter(|record| record.member.incarnation > 0);
        own.into_iter()
            .chain(known)
            .take(RECORDS_PER_MESSAGE)
            .cloned()
            .collect()
    }

    pub(crate) fn respond_to_summary(&mut self, from: &VmId, domains: &[DomainSummary]) {
        let differing = domains
            .iter()
            .filter(|remote| self.roster.domain_hash(&remote.domain, &self.own) != remote.hash)
            .map(|remote| remote.domain.clone());
        let mut records: Vec<MemberRecord> = differing
            .flat_map(|domain| self.records_of(&domain))
            .collect();
        records.truncate(RECORDS_PER_MESSAGE);
        if records.is_empty() {
            return;
        }
        self.counters.syncs += 1;
        self.send(
            from,
            MemberMessage::Records {
                records,
                answer: true,
            },
        );
    }

    pub(crate) fn apply_records(
        &mut self,
        from: &VmId,
        records: &[MemberRecord],
        answer: bool,
        now: Uptime,
    ) {
        for record in records.iter().take(RECORDS_PER_MESSAGE) {
            self.apply_record(record, now);
        }
        if !answer {
            return;
        }
        let domains: BTreeSet<&DomainName> = records
            .iter()
            .map(|record| &record.member.peer.domain)
            .collect();
        let remote: BTreeMap<&VmId, &MemberRecord> = records
            .iter()
            .map(|record| (&record.member.peer.id, record))
            .collect();
        let newer = |record: &MemberRecord| {
            let known = remote.get(&record.member.peer.id);
            known.is_none_or(|known| known.rank() < record.rank())
        };
        let mut records: Vec<MemberRecord> = domains
            .into_iter()
            .flat_map(|domain| self.records_of(domain))
            .filter(newer)
            .collect();
        records.truncate(RECORDS_PER_MESSAGE);
        if !records.is_empty() {
            self.send(
                from,
                MemberMessage::Records {
                    records,
                    answer: false,
                },
            );
        }
    }

    /// If this VM is a relay, periodically sends the hashes of all domains to another domain.
    pub(crate) fn send_summary(&mut self, now: Uptime) {
        let due = self
            .last_relay
            .is_none_or(|last| now.saturating_sub(last) >= self.timing.relay_period);
        if !due || !self.is_relay() {
            return;
        }
        self.last_relay = Some(now);
        let Some(relay) = self.pick_relay() else {
            return;
        };
        let sequence = self.probe.allocate_sequence(&relay, now);
        let digest = self.digest_for(&relay, now);
        let domains = self.summaries();
        self.send(
            &relay,
            MemberMessage::Summary {
                sequence,
                digest,
                domains,
            },
        );
    }

    pub(crate) fn domains(&self) -> BTreeSet<DomainName> {
        let known = self.roster.entries();
        let mut domains: BTreeSet<DomainName> = known
            .map(|entry| entry.record.member.peer.domain.clone())
            .collect();
        domains.insert(self.own.member.peer.domain.clone());
        domains
    }

    fn summaries(&self) -> Vec<DomainSummary> {
        let domains = self.domains().into_iter();
        domains
            .map(|domain| DomainSummary {
                hash: self.roster.domain_hash(&domain, &self.own),
                domain,
            })
            .collect()
    }
}
