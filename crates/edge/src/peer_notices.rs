//! Notices about prompt parts, limits of targets and targets that leave: of this VM to its failure domain, and between domains.

use crate::message::{PeerMessage, VmRow};
use crate::peer_directory::ReportRoute;
use crate::peer_exchange::PeerExchange;
use plantainmill_core::{DomainName, VmId};
use plantainmill_dispatch::notice::{NoticeSource, ReportScope};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between notices while there are news.
const NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// Intervals after which readers repeat what is in force, for VMs that have started or were cut off.
const REPEAT_INTERVALS: u64 = 5;

impl PeerExchange {
    /// Sends notices. VMs tell what they have observed to their domain, or to its relays; readers also pass on what they
    /// have heard, and the aggregator tells it to the other domains.
    pub(crate) async fn send_notices(self: Rc<Self>) {
        let mut round = 0_u64;
        loop {
            sleep(NEWS_INTERVAL).await;
            round += 1;
            let is_reader = self.directory.borrow().is_reader(self.now());
            let scope = if is_reader {
                ReportScope::All
            } else {
                ReportScope::Own
            };
            let is_repeat = is_reader && round.is_multiple_of(REPEAT_INTERVALS);
            let state = &self.state;
            let is_due = |source: &dyn NoticeSource| {
                source.tick();
                is_repeat || source.has_news(scope)
            };
            let parts = is_due(&state.quarantine).then(|| state.quarantine.report(scope));
            let limits = is_due(&state.limits).then(|| state.limits.report(scope));
            let leaving = is_due(&state.dispatcher).then(|| state.dispatcher.leaving_report(scope));
            let parts = parts.filter(|report| !report.is_empty());
            let limits = limits.filter(|report| !report.is_empty());
            let leaving = leaving.filter(|report| !report.entries.is_empty());
            let messages = [
                parts.map(PeerMessage::Parts),
                limits.map(PeerMessage::Limits),
                leaving.map(PeerMessage::LeavingTargets),
            ];
            for message in messages.into_iter().flatten() {
                let content = message.encode();
                for address in self.notice_receivers(is_reader, round) {
                    self.send(&content, address).await;
                }
            }
        }
    }

    fn notice_receivers(&self, is_reader: bool, round: u64) -> Vec<SocketAddr> {
        let (directory, now) = (self.directory.borrow(), self.now());
        let addresses = |rows: Vec<VmRow>| rows.into_iter().map(|row| row.peers).collect();
        if !is_reader && let ReportRoute::Relays(rows) = directory.report_route(now) {
            return addresses(rows);
        }
        let mut receivers = directory.local_addresses();
        if directory.may_aggregate(now) {
            let remote = directory.remote_addresses(round, now);
            receivers.extend(remote.into_iter().map(|(_, address)| address));
        }
        receivers
    }

    /// Updates the VMs that may forward requests.
    pub(crate) fn update_forwarders(&self) {
        let forwarders = self.directory.borrow().forwarders(self.now());
        self.state.paths.set_forwarders(forwarders.into_iter());
    }

    /// Updates the live VMs of each failure domain, which divide the limits of its targets.
    pub(crate) fn update_limit_members(&self) {
        let (directory, now) = (self.directory.borrow(), self.now());
        let own = directory.members(now).into_iter().map(|member| member.vm);
        let mut members: BTreeMap<DomainName, Vec<VmId>> = directory.remote_vms(now);
        members.insert(self.own_row.domain.clone(), own.collect());
        let is_alone = members.values().map(Vec::len).sum::<usize>() <= 1;
        let knows_others = directory.local_rows().next().is_some();
        self.state.streams.set_isolated(is_alone && knows_others);
        let known = directory.local_rows().map(|row| row.vm.clone());
        self.state.limits.set_known(known.collect());
        self.state.limits.set_members(members);
    }
}
