//! Benchmarks: how state, messages, bytes and processor time grow with each size.
//!
//! Each slope comes from the real reducer, driven in virtual time without faults, and from the real encodings.

pub mod axis;
pub mod chart;
pub mod deployment;
pub mod encoding;
pub mod figure;
pub mod fit;
pub mod memory;
pub mod page;
pub mod shape;
pub mod slope;
pub mod step;
pub mod traffic;
pub mod trial;

use slope::Slope;

/// Measures all slopes; without `timed`, only those that are the same in each run.
pub fn slopes(timed: bool) -> Vec<Slope> {
    let mut slopes = encoding::run();
    slopes.extend(axis::run(timed));
    if timed {
        slopes.extend(step::run());
        slopes.extend(memory::run());
    }
    slopes
}
