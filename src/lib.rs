//! Scheduler that colocates latency-critical services and batch tasks.
//!
//! Decisions are in [`core`], one reducer over all events. What operators declare is in [`declare`],
//! and the settings of one entry VM are in [`settings`].

pub mod bench;
pub mod cli;
pub mod core;
pub mod declare;
pub mod error;
pub mod finding;
pub mod hash;
pub mod local;
pub mod node;
pub mod platform;
pub mod port;
pub mod session;
pub mod settings;
pub mod standin;
pub mod telemetry;
pub mod timeline;
pub mod wire;
