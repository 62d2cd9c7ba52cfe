//! Measures the size and processor time of membership and configuration messages, and computes the load that they put
//! on one VM in fleets of 12 and 350 VMs.
//!
//! Run with `cargo run --release -p plantainmill-config --example control_cost`.

use plantainmill_config::{
    ConfigChange, ConfigEdit, ConfigInput, ConfigMessage, ConfigReplica, ConfigView, KeySpec,
    LogEntry, OrganisationSpec,
};
use plantainmill_core::secret::hash_secret;
use plantainmill_membership::{
    DomainSummary, Member, MemberDigest, MemberInput, MemberMessage, MemberRecord, MemberState,
    MemberTable, MemberTiming, options::TICK_PERIOD,
};
use plantainmill_mesh::{Channel, FleetSecret, FrameGuard, MeshFrame, MeshPeer};
use plantainmill_provider::{VmEntry, VmState};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Number of repetitions of each timed operation.
const ROUNDS: u32 = 2_000;
/// Bytes of the WebSocket, TCP and IP headers of one frame, and of the TCP segment that acknowledges it.
const HEADER_BYTES: f64 = 4.0 + 4.0 + 52.0 + 52.0;
const CHANGES_A_DAY: f64 = 7_300.0;
const RESTARTS_A_DAY: f64 = 1_700.0;
const DAY_S: f64 = 86_400.0;
/// Interval at which a relay reads the VM list; see `MemberTiming`.
const LIST_PERIOD_S: f64 = 60.0;
/// Bytes of one entry of the VM list as JSON, including its share of the HTTP headers.
const LIST_ENTRY_BYTES: f64 = 100.0;

/// Size of a message, and processor time to send and receive it.
#[derive(Clone, Copy)]
struct MessageCost {
    bytes: f64,
    micros: f64,
}

fn measure<T: DeserializeOwned + Serialize>(
    name: &str,
    channel: Channel,
    message: &T,
) -> MessageCost {
    let secret = FleetSecret::new(vec!["a fleet secret of usual length".into()]);
    let mut guard = FrameGuard::new("vm-central-1-017".into(), secret.clone());
    let mut sealed = bytes::Bytes::new();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let mut body = Vec::new();
        ciborium::into_writer(message, &mut body).expect("messages encode");
        sealed = secret.seal(&MeshFrame {
            version: 1,
            from: "vm-central-1-003".into(),
            to: "vm-central-1-017".into(),
            incarnation: 1_780_000_000_000_000,
            channel,
            body: body.into(),
        });
    }
    let sending = started.elapsed();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let frame = guard.accept(&sealed).expect("the frame is valid");
        let decoded: T = ciborium::from_reader(frame.body.as_ref()).expect("messages decode");
        black_box(decoded);
    }
    let receiving = started.elapsed();
    let micros = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(ROUNDS);
    let cost = MessageCost {
        bytes: f64::from(u32::try_from(sealed.len()).unwrap_or(u32::MAX)),
        micros: micros(sending) + micros(receiving),
    };
    println!(
        "{name:<24} {:>7.0} {:>9.1} {:>9.1}",
        cost.bytes,
        micros(sending),
        micros(receiving)
    );
    cost
}

fn record(number: u32) -> MemberRecord {
    let peer = MeshPeer {
        id: format!("vm-central-1-{number:03}").into(),
        domain: "central-1".into(),
        region: "central".into(),
        address: ([10, 0, 0, 7], 7_100).into(),
    };
    let member = Member {
        peer,
        incarnation: 1_780_000_000_000_000,
        state: MemberState::Live,
    };
    MemberRecord {
        member,
        refutations: 0,
    }
}

fn digest(updates: u32) -> MemberDigest {
    MemberDigest {
        version: 123_456,
        checked_age_ms: Some(800),
        domain_hash: u64::MAX / 3,
        updates: (0..updates).map(record).collect(),
    }
}

fn probe(updates: u32) -> MemberMessage {
    MemberMessage::Probe {
        sequence: 86_400,
        digest: digest(updates),
    }
}

fn summary(domains: u32) -> MemberMessage {
    let domain = |number| DomainSummary {
        domain: format!("central-{number}").into(),
        hash: u64::MAX / 3,
    };
    MemberMessage::Summary {
        sequence: 86_400,
        digest: digest(0),
        domains: (0..domains).map(domain).collect(),
    }
}

fn put_organisation(number: u32, rate: f64) -> ConfigEdit {
    let spec = OrganisationSpec {
        rate,
        burst: 10,
        weight: 1,
    };
    ConfigEdit::PutOrganisation {
        id: format!("organisation-{number}").into(),
        spec,
    }
}

fn put_key(number: u32) -> ConfigEdit {
    let id = format!("organisation-{number}");
    let spec = KeySpec {
        hash: hash_secret(&id),
        organisation: id.into(),
        label: "kiosk".into(),
        expires_at: None,
    };
    ConfigEdit::PutKey {
        id: format!("key-{number}").into(),
        spec,
    }
}

fn entry(version: u64, edits: Vec<ConfigEdit>) -> LogEntry {
    let operation = "op-0123456789abcdef01234567";
    LogEntry {
        parent: if version == 1 { "" } else { operation }.into(),
        change: ConfigChange {
            version,
            operation: operation.into(),
            author: "operator".into(),
            time: 1_780_000_000,
            reason: "the ward opens an hour earlier".to_owned(),
            edits,
        },
    }
}

/// A replica that holds 23,000 organisations with one key each, and its view.
fn full_replica() -> (ConfigReplica, ConfigView) {
    let mut replica = ConfigReplica::default();
    let numbers: Vec<u32> = (0..23_000).collect();
    let entries = numbers.chunks(128).zip(1..).map(|(chunk, version)| {
        let edits = chunk
            .iter()
            .flat_map(|number| [put_organisation(*number, 1.0), put_key(*number)]);
        entry(version, edits.collect())
    });
    let entries = entries.collect();
    replica.handle(ConfigInput::EntriesRead { entries }, Duration::ZERO);
    let view = ConfigView::default();
    view.publish(replica.config().clone());
    (replica, view)
}

/// Milliseconds to apply and publish `count` changes that arrive together.
fn time_changes(replica: &mut ConfigReplica, view: &ConfigView, count: u32) -> f64 {
    let next = replica.config().version + 1;
    let changes = (next..).zip(0..count);
    let entries = changes.map(|(version, number)| {
        let edits = vec![put_organisation(number, 3.0), put_key(number)];
        entry(version, edits)
    });
    let entries = entries.collect();
    let started = Instant::now();
    replica.handle(ConfigInput::EntriesRead { entries }, Duration::ZERO);
    view.publish(replica.config().clone());
    started.elapsed().as_secs_f64() * 1e3
}

/// Microseconds of one tick of a member table with `vms` VMs in `domains` failure domains, including its probes.
fn time_tick(vms: u32, domains: u32) -> f64 {
    let entries = (0..vms).map(|number| VmEntry {
        id: format!("vm-central-1-{number:03}").into(),
        domain: format!("central-{}", number % domains).into(),
        region: "central".into(),
        mesh: ([10, 0, 0, 7], 7_100).into(),
        state: VmState::Live,
    });
    let entries: Vec<VmEntry> = entries.collect();
    let own = MeshPeer {
        id: entries[0].id.clone(),
        domain: entries[0].domain.clone(),
        region: "central".into(),
        address: entries[0].mesh,
    };
    // No peer responds to probes. A long limit keeps them from being declared dead, which would shrink the table.
    let timing = MemberTiming {
        suspicion_timeout: Duration::from_hours(24),
        ..MemberTiming::default()
    };
    let mut table = MemberTable::new(own, 1, timing, 1);
    table.handle(MemberInput::Listed { entries }, Duration::from_secs(1));
    let started = Instant::now();
    for tick in 0..ROUNDS {
        let now = Duration::from_secs(1) + TICK_PERIOD * tick;
        black_box(table.handle(MemberInput::Tick, now));
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

/// Prints the traffic and processor time per second of one relay in a fleet.
fn print_fleet(vms: u32, domains: u32, costs: &FleetCosts) {
    let tick = time_tick(vms, domains);
    println!("a tick of the member table with {vms} VMs: {tick:.1} us");
    let (vms, domains) = (f64::from(vms), f64::from(domains));
    let size = vms / domains;
    // Every VM sends one probe and one response per second.
    let probes = costs.probe.bytes + costs.ack.bytes + 2.0 * HEADER_BYTES;
    // A restart causes about three changes of a record. Each is piggybacked on about 3 x log2(members) messages.
    let updates = 3.0 * RESTARTS_A_DAY / DAY_S * vms / 350.0;
    let piggybacked = updates * 3.0 * vms.log2().ceil() * (costs.update_bytes);
    // A relay sends a summary every 2 s and responds to one. A change in a domain causes an exchange of its records.
    let summaries = (costs.summary_base + costs.summary_domain * domains + costs.ack.bytes) / 2.0;
    let exchanges = updates * costs.update_bytes * size;
    let list = LIST_ENTRY_BYTES * vms / LIST_PERIOD_S;
    let changes = CHANGES_A_DAY / DAY_S;
    let config = changes * (costs.push.bytes + costs.confirm.bytes + 2.0 * HEADER_BYTES);
    let total = probes + piggybacked + summaries + HEADER_BYTES + exchanges + list + config;
    // Per second: four probe messages, two summary messages, and the messages of changes.
    let micros = 4.0 * costs.probe.micros
        + 2.0 * costs.summary_micros
        + changes * (costs.push.micros + costs.confirm.micros)
        + changes * costs.apply_ms * 1e3
        + tick / TICK_PERIOD.as_secs_f64();
    println!(
        "{vms:>4} VMs, {domains:>2} domains: probes {probes:.0} + changes of members {piggybacked:.0} + summaries \
         {summaries:.0} + exchanges {exchanges:.0} + VM list {list:.0} + configuration {config:.0} = {total:.0} B/s, \
         {:.3}% of a core",
        micros / 1e4
    );
}

struct FleetCosts {
    probe: MessageCost,
    ack: MessageCost,
    update_bytes: f64,
    summary_base: f64,
    summary_domain: f64,
    summary_micros: f64,
    push: MessageCost,
    confirm: MessageCost,
    apply_ms: f64,
}

fn main() {
    println!(
        "{:<24} {:>7} {:>9} {:>9}",
        "message", "bytes", "us send", "us recv"
    );
    let member = Channel::Membership;
    let probe_cost = measure("probe", member, &probe(0));
    let loaded = measure("probe with 6 changes", member, &probe(6));
    let ack = MemberMessage::Ack {
        sequence: 86_400,
        digest: digest(0),
    };
    let ack = measure("ack", member, &ack);
    let small = measure("summary of 3 domains", member, &summary(3));
    let large = measure("summary of 15 domains", member, &summary(15));
    let records = (0..23).map(record).collect();
    let records = MemberMessage::Records {
        records,
        answer: true,
    };
    measure("records of 23 members", member, &records);
    let change = entry(2, vec![put_organisation(1, 2.0)]);
    let push = measure(
        "push of one edit",
        Channel::Config,
        &ConfigMessage::Push { entry: change },
    );
    let confirm = ConfigMessage::Confirm { version: 123_456 };
    let confirm = measure("confirm", Channel::Config, &confirm);
    let (mut replica, view) = full_replica();
    let singles: f64 = (0..20).map(|_| time_changes(&mut replica, &view, 1)).sum();
    let apply_ms = singles / 20.0;
    let batch_ms = time_changes(&mut replica, &view, 256);
    println!(
        "one change of 23,000 organisations: {apply_ms:.2} ms; 256 together: {batch_ms:.1} ms"
    );
    let per_domain = (large.bytes - small.bytes) / 12.0;
    let costs = FleetCosts {
        probe: probe_cost,
        ack,
        update_bytes: (loaded.bytes - probe_cost.bytes) / 6.0,
        summary_base: small.bytes - 3.0 * per_domain,
        summary_domain: per_domain,
        summary_micros: large.micros,
        push,
        confirm,
        apply_ms,
    };
    println!(
        "a change of a member adds {:.0} bytes to a message",
        costs.update_bytes
    );
    print_fleet(12, 3, &costs);
    print_fleet(350, 15, &costs);
}
