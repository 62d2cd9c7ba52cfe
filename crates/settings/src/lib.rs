//! Process settings in TOML, checked in full at start.

pub mod node;
pub mod reader;
pub mod secrets;

pub use node::{LimitSettings, ListenSettings, NodeSettings, PlatformSettings, VmSettings};
pub use reader::{SettingsProblem, SettingsReader};
pub use secrets::OperatorKey;
