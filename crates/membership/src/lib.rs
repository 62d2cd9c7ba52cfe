//! Fleet membership by probes and gossip.
//!
//! Each VM probes the members of its own failure domain, directly and through other members, and piggybacks state
//! changes on the messages. The relays of each domain exchange records with other domains, and the platform's VM list
//! seeds and prunes the member table.

mod exchange;
mod listing;
pub mod message;
pub mod options;
mod probe;
pub mod roster;
pub mod service;
pub mod table;
pub mod view;

pub use message::{DomainSummary, MemberDigest, MemberMessage, MemberRecord};
pub use options::MemberTiming;
pub use roster::choose_by_rendezvous;
pub use service::{
    AnnounceVersion, DumpMembers, LeaveFleet, MembershipOptions, MembershipReport,
    MembershipService, ReportVersion, SubscribeVersions, start,
};
pub use table::{MemberCounters, MemberInput, MemberOutput, MemberTable, PeerVersion};
pub use view::{Member, MemberState, MemberView};
