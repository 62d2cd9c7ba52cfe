//! One module per command.

pub mod admin;
pub mod bench;
pub mod check;
pub mod codes;
pub mod dev;
pub mod dump;
pub mod edge;
pub mod explain;
pub mod serve;

mod client;
