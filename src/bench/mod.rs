//! Benchmarks of the growth of memory, messages, bytes and processor time with each size of a deployment.
//!
//! Each slope is a line fitted through measurements at several sizes. They run the production reducer in virtual time,
//! without faults, and use the production encodings.

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

/// Measures all slopes. Without `timed`, measures only those that are the same in each run.
pub fn slopes(timed: bool) -> Vec<Slope> {
    let mut slopes = encoding::run();
    slopes.extend(axis::run(timed));
    if timed {
        slopes.extend(step::run());
        slopes.extend(memory::run());
    }
    slopes
}
