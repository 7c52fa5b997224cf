//! Properties of a stand-in worker, and the faults that can be injected.

use std::sync::Arc;

use crate::declare::size::Size;

/// Interference of one kind of work with another on the same VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slowdown {
    /// Kind that is slowed down.
    pub kind: String,
    /// Kind that causes the slowdown.
    pub neighbour: String,
    /// Speed next to one unit of that kind, in percent of the speed without interference.
    pub speed_percent: u32,
}

/// Properties of a worker.
#[derive(Debug, Clone)]
pub struct Profile {
    /// Name in the VM list.
    pub name: String,
    /// Number of the first instance.
    pub instance: u64,
    /// Resources that work can reserve.
    pub capacity: Size,
    /// Maximum number of requests in flight.
    pub max_connections: u32,
    /// Duration of a request without interference, in milliseconds.
    pub request_duration_ms: u64,
    /// Minimum age of a usage sample when it is reported, in milliseconds.
    pub usage_lag_ms: u64,
    /// Value of the worker's clock at the start of the stand-in, in milliseconds; the clocks of VMs are unrelated.
    pub clock_start_ms: u64,
    /// Actual run time of a batch task in percent of its expected run time.
    pub run_time_percent: u32,
    /// Actual usage in percent of the reserved resources.
    pub usage_percent: u32,
    /// Interference of pairs of kinds; the effects of several neighbours multiply.
    pub slowdowns: Arc<[Slowdown]>,
}

impl Profile {
    /// Worker of the size that both users run: 16 cores, 60 GB, 8 slots and 64 connections, without interference.
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

    /// Speed of work of `kind` next to `neighbours`, as a fraction of its speed without interference.
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

/// Faults that can be injected while a worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Whether every unit of work fails when it is started.
    pub is_failing: bool,
    /// Whether calls and requests stay unanswered on open connections, while work continues.
    pub is_frozen: bool,
    /// Whether every start and every request is refused.
    pub is_refusing: bool,
    /// Whether requests are refused because the VM is about to be stopped.
    pub is_leaving: bool,
}
