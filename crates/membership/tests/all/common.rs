//! A simulated network between member tables that delays, drops and duplicates messages in virtual time.

use plantainmill_core::Uptime;
use plantainmill_membership::{
    Member, MemberInput, MemberMessage, MemberOutput, MemberState, MemberTable, MemberTiming,
    PeerVersion,
};
use plantainmill_mesh::MeshPeer;
use plantainmill_provider::{VmEntry, VmState};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(50);
const TICK: Duration = Duration::from_millis(200);

struct Envelope {
    from: usize,
    to: usize,
    incarnation: u64,
    message: MemberMessage,
}

/// One VM of the simulated fleet.
pub struct TestNode {
    pub peer: MeshPeer,
    pub incarnation: u64,
    pub table: MemberTable,
    pub running: bool,
    pub versions: Vec<PeerVersion>,
    /// Encoded size of all messages sent, without frames.
    pub bytes: usize,
    pub messages: usize,
}

/// Several VMs and the network between them.
pub struct TestNetwork {
    pub nodes: Vec<TestNode>,
    pub now: Uptime,
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub listed: Vec<usize>,
    in_flight: BTreeMap<(Uptime, u64), Envelope>,
    last_sequence: u64,
    rng: SmallRng,
}

pub fn new_peer(index: usize, domain: &str) -> MeshPeer {
    MeshPeer {
        id: format!("vm{index}").into(),
        domain: domain.into(),
        region: "central".into(),
        address: (
            [127, 0, 0, 1],
            7_000 + u16::try_from(index).expect("few VMs"),
        )
            .into(),
    }
}

impl TestNetwork {
    /// `sizes` gives the number of VMs in each domain.
    pub fn new(sizes: &[usize], seed: u64) -> TestNetwork {
        let domains = sizes
            .iter()
            .enumerate()
            .flat_map(|(domain, size)| std::iter::repeat_n(domain, *size));
        let nodes: Vec<TestNode> = domains
            .enumerate()
            .map(|(index, domain)| new_node(index, &format!("domain{domain}"), 1_000))
            .collect();
        TestNetwork {
            listed: (0..nodes.len()).collect(),
            nodes,
            now: Duration::from_secs(1),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            if self.now.as_millis().is_multiple_of(TICK.as_millis()) {
                for index in 0..self.nodes.len() {
                    self.handle_input(index, MemberInput::Tick);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let envelope = entry.remove();
            if self.blocked_links.contains(&(envelope.from, envelope.to)) {
                continue;
            }
            let input = MemberInput::Received {
                from: self.nodes[envelope.from].peer.id.clone(),
                incarnation: envelope.incarnation,
                message: envelope.message,
            };
            self.handle_input(envelope.to, input);
        }
    }

    pub fn handle_input(&mut self, index: usize, input: MemberInput) {
        if !self.nodes[index].running {
            return;
        }
        let outputs = self.nodes[index].table.handle(input, self.now);
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => self.send(index, &to, &message),
                MemberOutput::ReadList => {
                    let entries = self.entries();
                    self.handle_input(index, MemberInput::Listed { entries });
                }
                MemberOutput::PeerVersion(report) => self.nodes[index].versions.push(report),
                MemberOutput::Changed => {}
            }
        }
    }

    fn entries(&self) -> Vec<VmEntry> {
        let listed = self.listed.iter().map(|index| &self.nodes[*index].peer);
        listed
            .map(|peer| VmEntry {
                id: peer.id.clone(),
                domain: peer.domain.clone(),
                region: peer.region.clone(),
                mesh: peer.address,
                state: VmState::Live,
            })
            .collect()
    }

    fn send(&mut self, from: usize, to: &str, message: &MemberMessage) {
        let mut content = Vec::new();
        ciborium::into_writer(message, &mut content).expect("messages encode");
        self.nodes[from].bytes += content.len();
        self.nodes[from].messages += 1;
        let message: MemberMessage =
            ciborium::from_reader(content.as_slice()).expect("messages decode");
        let number = to.trim_start_matches("vm");
        let to: usize = number.parse().expect("ids are numbered");
        let copies = 1 + u32::from(self.chance(self.duplicate_percent));
        for _ in 0..copies {
            if self.chance(self.loss_percent) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..60));
            self.last_sequence += 1;
            let envelope = Envelope {
                from,
                to,
                incarnation: self.nodes[from].incarnation,
                message: message.clone(),
            };
            self.in_flight
                .insert((self.now + delay, self.last_sequence), envelope);
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_ratio(percent, 100)
    }

    /// Drops all messages from `from` to `to`, including those in flight.
    pub fn block_links(&mut self, from: &[usize], to: &[usize]) {
        for sender in from {
            self.blocked_links
                .extend(to.iter().map(|receiver| (*sender, *receiver)));
        }
    }

    /// Replaces a VM by a new one with the same id and address.
    pub fn replace(&mut self, index: usize, incarnation: u64) {
        let domain = self.nodes[index].peer.domain.clone();
        self.nodes[index] = new_node(index, &domain, incarnation);
    }

    /// The entry for `subject` in the table of `viewer`.
    pub fn member(&self, viewer: usize, subject: usize) -> Option<Member> {
        let id = &self.nodes[subject].peer.id;
        let members = self.nodes[viewer].table.members();
        members.into_iter().find(|member| member.peer.id == *id)
    }

    pub fn state(&self, viewer: usize, subject: usize) -> Option<MemberState> {
        self.member(viewer, subject).map(|member| member.state)
    }

    /// Whether every VM of `viewers` sees every other VM of `subjects` in `state`.
    pub fn all_see(&self, viewers: &[usize], subjects: &[usize], state: MemberState) -> bool {
        let pairs = viewers
            .iter()
            .flat_map(|viewer| subjects.iter().map(move |subject| (*viewer, *subject)));
        pairs
            .filter(|(viewer, subject)| viewer != subject)
            .all(|(viewer, subject)| self.state(viewer, subject) == Some(state))
    }

    pub fn deaths(&self) -> u64 {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.table.counters().died).sum()
    }
}

fn new_node(index: usize, domain: &str, incarnation: u64) -> TestNode {
    let peer = new_peer(index, domain);
    TestNode {
        table: MemberTable::new(
            peer.clone(),
            incarnation,
            MemberTiming::default(),
            incarnation + index as u64,
        ),
        peer,
        incarnation,
        running: true,
        versions: Vec::new(),
        bytes: 0,
        messages: 0,
    }
}
