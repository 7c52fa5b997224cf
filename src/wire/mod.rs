//! Encodings of messages: conversions between the types of [`crate::core`] and bytes.
//!
//! Nothing is decided here, and `core` does not depend on this module.

pub mod admin;
pub mod control;
pub mod envelope;
pub mod journal;
pub mod listing;
pub mod store;
