//! What a worker is like, and the faults it can be given.

use std::sync::Arc;

use crate::declare::size::Size;

/// Effect of one kind of work on another on the same VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slowdown {
    /// Kind that is slowed down.
    pub kind: String,
    /// Kind that slows it down.
    pub neighbour: String,
    /// Speed next to one such neighbour, in percent of the speed alone.
    pub speed_percent: u32,
}

/// What a worker is like.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Name in the VM list.
    pub name: String,
    /// Number of its first instance.
    pub instance: u64,
    /// What it can hold.
    pub capacity: Size,
    /// Requests it takes at once.
    pub max_connections: u32,
    /// Time a request takes alone on the VM, in milliseconds.
    pub request_duration_ms: u64,
    /// Age of a usage sample when it is reported, in milliseconds.
    pub usage_lag_ms: u64,
    /// Start of its clock in milliseconds; clocks of VMs are unrelated.
    pub clock_start_ms: u64,
    /// Actual run time in percent of the expected one.
    pub run_time_percent: u32,
    /// Actual usage in percent of the reserved amounts.
    pub usage_percent: u32,
    /// Pairwise effects; neighbours multiply.
    pub slowdowns: Arc<[Slowdown]>,
}

impl Profile {
    /// A worker as both users have them: 16 cores, 60 GB, 8 slots and 64 connections, without interference.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            instance: 1,
            capacity: Size { millicores: 16_000, memory_mib: 60 * 1024, accelerators: 0, slots: 8 },
            max_connections: 64,
            request_duration_ms: 5,
            usage_lag_ms: 2_000,
            clock_start_ms: 1,
            run_time_percent: 100,
            usage_percent: 100,
            slowdowns: Arc::new([]),
        }
    }

    /// Speed of work of `kind` next to `neighbours`, as a share of its speed alone.
    pub(super) fn speed<'a>(&self, kind: &str, neighbours: impl Iterator<Item = &'a str>) -> f64 {
        let speed_next_to = |neighbour: &str| {
            let slowdown = self
                .slowdowns
                .iter()
                .find(|slowdown| slowdown.kind == kind && slowdown.neighbour == neighbour);
            slowdown.map_or(1.0, |slowdown| f64::from(slowdown.speed_percent) / 100.0)
        };
        neighbours.map(speed_next_to).product()
    }
}

/// Faults that can be set while a worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Every unit of work fails as soon as it is started.
    pub is_failing: bool,
    /// Nothing is answered and connections stay open; work goes on.
    pub is_frozen: bool,
    /// Every start and every request is refused.
    pub is_refusing: bool,
    /// Requests are refused, since the VM is about to be stopped.
    pub is_leaving: bool,
}
