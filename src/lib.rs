//! Scheduler that colocates latency-critical services and batch tasks.
//!
//! Decisions are in [`core`], one reducer over all events. What operators declare is in [`declare`].

pub mod core;
pub mod declare;
pub mod error;
pub mod finding;
pub mod hash;
pub mod port;
pub mod wire;
