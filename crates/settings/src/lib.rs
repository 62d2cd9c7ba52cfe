//! Settings files of a process in TOML. A file is validated completely when the process starts.

pub mod node;
pub mod reader;
pub mod secrets;

pub use node::{LimitSettings, ListenSettings, NodeSettings, PlatformSettings, VmSettings};
pub use reader::{SettingsProblem, SettingsReader};
pub use secrets::OperatorKey;
