//! Reports about prompt parts under which targets were lost: of this VM to its failure domain, and between domains.

use crate::message::{PeerMessage, VmRow};
use crate::peer_directory::ReportRoute;
use crate::peer_exchange::PeerExchange;
use plantainmill_dispatch::quarantine::ReportScope;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between reports while there are news.
const NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// Intervals after which readers repeat the parts in quarantine, for VMs that have started or were cut off.
const REPEAT_INTERVALS: u64 = 5;

impl PeerExchange {
    /// Reports losses, sound parts and quarantines. VMs report what they have observed to their domain, or to its relays;
    /// readers also pass on what they have heard, and the aggregator reports it to the other domains.
    pub(crate) async fn report_parts(self: Rc<Self>) {
        let mut round = 0_u64;
        loop {
            sleep(NEWS_INTERVAL).await;
            round += 1;
            let quarantine = &self.state.quarantine;
            quarantine.tick();
            let is_reader = self.directory.borrow().is_reader(self.now());
            let scope = if is_reader {
                ReportScope::All
            } else {
                ReportScope::Own
            };
            let is_repeat = is_reader && round.is_multiple_of(REPEAT_INTERVALS);
            if !is_repeat && !quarantine.has_news(scope) {
                continue;
            }
            let report = quarantine.report(scope);
            if report.is_empty() {
                continue;
            }
            let receivers = self.part_receivers(is_reader, round);
            let content = PeerMessage::Parts(report).encode();
            for address in receivers {
                self.send(&content, address).await;
            }
        }
    }

    fn part_receivers(&self, is_reader: bool, round: u64) -> Vec<SocketAddr> {
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
}
