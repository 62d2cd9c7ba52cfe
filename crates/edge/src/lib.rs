//! Runs one VM on a platform that stores the routes, targets and jobs: assembles its components, opens its listeners
//! and shuts it down gracefully.

mod codec;
mod control;
mod ingress;
mod jobs;
mod listen;
mod message;
mod metrics;
mod peer_client;
mod peer_directory;
mod peer_exchange;
mod proxied_rows;
mod response;
mod settings;
mod state;
mod store_poll;
mod vm;

pub use codec::{RequestCodec, RequestHead};
pub use message::{DomainReport, PeerMessage, PeerReport, VmRow};
pub use peer_directory::PeerDirectory;
pub use settings::{BoundSettings, EdgeSettings, ListenSettings, VmSettings};
pub use vm::{EdgePlatform, EdgeVm};
