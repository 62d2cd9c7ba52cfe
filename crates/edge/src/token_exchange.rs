//! Exchange of tokens between VMs: questions, answers and returns, and which VMs may hold pools.

use crate::message::{PeerMessage, TokenQuestion};
use crate::peer_exchange::PeerExchange;
use plantainmill_core::VmId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the view of the fleet is applied to the pools.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between questions for the VMs of the other domains, and the one until the first answer.
const VMS_INTERVAL: Duration = Duration::from_secs(5);
const VMS_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl PeerExchange {
    /// Sends the questions and returns of this VM.
    pub(crate) async fn send_tokens(self: Rc<Self>) {
        let Some(mut outgoing) = self.state.limiter.take_outgoing() else {
            return;
        };
        while let Some((holder, message)) = outgoing.recv().await {
            if let Some(address) = self.address_of(&holder) {
                self.send(&message.encode(), address).await;
            }
        }
    }

    fn address_of(&self, vm: &VmId) -> Option<SocketAddr> {
        let directory = self.directory.borrow();
        let local = directory.local_rows().find(|row| row.vm == *vm);
        let local = local.map(|row| row.peers);
        local.or_else(|| self.pool_peers.borrow().address_of(vm))
    }

    /// Applies what this VM knows of the fleet to its pools.
    pub(crate) async fn update_pools(self: Rc<Self>) {
        loop {
            if !self.state.is_closing.get() {
                let domain_count = self.state.settings.regions.len();
                let view = {
                    let (peers, directory) = (self.pool_peers.borrow(), self.directory.borrow());
                    peers.fleet_view(&directory, &self.own_row, domain_count, self.now())
                };
                self.state.limiter.tick(view);
            }
            sleep(VIEW_INTERVAL).await;
        }
    }

    pub(crate) async fn answer_token(&self, question: &TokenQuestion, from: SocketAddr) {
        let reply = self.state.limiter.answer(question);
        let nonce = question.nonce;
        self.send(&PeerMessage::Token { nonce, reply }.encode(), from)
            .await;
    }

    /// Asks a reader for the VMs of the other domains, which only readers read from the store all the time.
    pub(crate) async fn query_pool_vms(self: Rc<Self>) {
        loop {
            let known = self.pool_peers.borrow().domains().count();
            let is_complete = known >= self.state.settings.regions.len();
            sleep(if is_complete {
                VMS_INTERVAL
            } else {
                VMS_RETRY_INTERVAL
            })
            .await;
            let round = self.next_nonce.get();
            let reader = {
                let directory = self.directory.borrow();
                let readers = directory.readers(self.now());
                let others: Vec<SocketAddr> = readers
                    .into_iter()
                    .filter(|row| row.vm != self.own_row.vm)
                    .map(|row| row.peers)
                    .collect();
                let position = usize::try_from(round).unwrap_or(0) % others.len().max(1);
                others.get(position).copied()
            };
            if let Some(reader) = reader.filter(|_| !self.state.is_reader.get()) {
                self.send(&PeerMessage::AskPoolVms.encode(), reader).await;
            }
        }
    }

    /// Sends the VMs of the other domains to a VM of the own one, one datagram per domain.
    pub(crate) async fn send_pool_vms(&self, receiver: SocketAddr) {
        let messages: Vec<PeerMessage> = {
            let peers = self.pool_peers.borrow();
            let others = peers
                .domains()
                .filter(|(domain, _)| **domain != self.own_row.domain);
            let messages = others.map(|(domain, vms)| PeerMessage::PoolVms {
                domain: domain.clone(),
                vms: vms.clone(),
            });
            messages.collect()
        };
        for message in messages {
            self.send(&message.encode(), receiver).await;
        }
    }
}
