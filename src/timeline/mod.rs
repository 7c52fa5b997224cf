//! The timeline: one entry for each decision, over all processes.
//!
//! Each process numbers its own entries and keeps the newest of them in memory; a file is optional. [`merge`] puts the
//! entries of several processes into one order.

pub mod entry;
pub mod merge;
pub mod writer;
