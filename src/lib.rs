//! Scheduler that colocates latency-critical services and batch tasks.
//!
//! [`core`] makes all decisions, in one reducer over all events. [`declare`] reads and checks the documents that
//! operators write, and [`settings`] reads the settings of one entry VM.

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
