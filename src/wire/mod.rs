//! Encodings of messages and stored values: conversions between the types of [`crate::core`] and bytes.
//!
//! This module makes no decisions, and `core` does not depend on it.

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
