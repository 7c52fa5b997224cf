//! Log output and metrics of a process.

pub mod log;
pub mod metric;
