//! Members of the fleet, seen by probes and digests.

pub mod view;

pub use view::{Member, MemberState, MemberView};
