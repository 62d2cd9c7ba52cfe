//! One VM on a platform that keeps routes, targets and jobs: its parts, listeners and stop.

mod answer;
mod codec;
mod control;
mod follow;
mod ingress;
mod jobs;
mod listen;
mod message;
mod meters;
mod peer_client;
mod peers;
mod proxied_rows;
mod roster;
mod settings;
mod state;
mod vm;

pub use codec::{RequestCodec, RequestHead};
pub use message::{DomainReport, PeerMessage, PeerReport, VmRow};
pub use roster::Roster;
pub use settings::{BoundSettings, EdgeSettings, ListenSettings, PlaceSettings};
pub use vm::{EdgePlatform, EdgeVm};
