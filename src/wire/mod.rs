//! Encodings of messages: conversions between the types of [`crate::core`] and bytes.
//!
//! Nothing is decided here, and `core` does not depend on this module.

pub mod admin;
pub mod call;
pub mod control;
pub mod envelope;
pub mod generated;
pub mod job;
pub mod journal;
pub mod listing;
pub mod peer;
pub mod store;
