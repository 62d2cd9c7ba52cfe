//! Runs one VM on a platform that stores the routes, targets and jobs: assembles its components, opens its listeners
//! and shuts it down gracefully.

mod age_queries;
mod codec;
mod compact_batch;
mod control;
mod forwarding;
mod ingress;
mod jobs;
mod listen;
mod message;
mod metrics;
mod peer_client;
mod peer_directory;
mod peer_discovery;
mod peer_exchange;
mod peer_notices;
mod peer_reports;
mod pool_peers;
mod proxied_rows;
mod read_turns;
mod report_relay;
mod response;
mod settings;
mod state;
mod store_poll;
mod stream_records;
mod target_list;
mod token_exchange;
mod token_limiter;
mod vm;

pub use codec::{RequestCodec, RequestHead};
pub use message::{
    DomainReport, DomainUpdate, PeerMessage, PeerReport, PoolVm, ReportBatch, TokenQuestion, VmRow,
};
pub use peer_directory::{PeerDirectory, ReportRoute};
pub use pool_peers::PoolPeers;
pub use read_turns::ReadTurns;
pub use report_relay::{ReportRelay, split_updates};
pub use settings::{BoundSettings, EdgeSettings, ListenSettings, VmSettings};
pub use target_list::{TargetListAnswer, TargetListContent, TargetListUpdate};
pub use vm::{EdgePlatform, EdgeVm};
