//! The timeline: one entry for each decision of each process.
//!
//! Each process numbers its entries and keeps the newest ones in memory; writing them to a file is optional. [`merge`]
//! combines the entries of several processes in one order.

pub mod entry;
pub mod merge;
pub mod writer;
