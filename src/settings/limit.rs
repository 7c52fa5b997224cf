//! Limits on the requests of callers.

use std::time::Duration;

use crate::declare::report::{Located, Report};
use crate::declare::table::Table;
use crate::declare::value;
use crate::port::admission::{self, SMALL_DIVISOR};

/// Keys of the section.
const KEYS: [&str; 9] = [
    "body",
    "header",
    "header_timeout",
    "in_flight",
    "per_address",
    "memory",
    "bodies",
    "body_timeout",
    "body_rate",
];

/// Memory of the smallest VM in bytes.
const DEFAULT_MEMORY_BYTES: u32 = 160_000_000;

/// Memory per connection of a caller, in bytes: a head of 128 KiB in a buffer that doubles, and what is kept for the
/// connection.
const CONNECTION_BYTES: u32 = 333_333;

/// The budget for bodies is the memory of the VM divided by this number.
const BUDGET_DIVISOR: u32 = 8;

/// The budget for bodies is at most the memory of the VM divided by this number.
const BUDGET_MAX_DIVISOR: u32 = 2;

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u32,
    /// Maximum size of a request header in bytes.
    pub header_bytes: u32,
    /// Timeout for receiving a request header.
    pub header_timeout: Duration,
    /// Maximum number of connections of callers.
    pub in_flight: u32,
    /// Maximum number of connections of callers from one address.
    pub per_address: u32,
    /// Memory of the VM in bytes.
    pub memory_bytes: u32,
    /// Memory for all request bodies in bytes.
    pub budget_bytes: u32,
    /// Timeout for receiving a request body, besides the time that it takes at the lowest rate.
    pub body_timeout: Duration,
    /// Lowest rate of a request body in bytes per second.
    pub body_rate: u32,
}

impl Limits {
    /// Limits of the servers for callers.
    pub fn admission(&self) -> admission::Limits {
        admission::Limits {
            max_body_bytes: self.body_bytes as usize,
            budget_bytes: self.budget_bytes as usize,
            body_timeout: self.body_timeout,
            min_rate: self.body_rate,
            max_connections: self.in_flight as usize,
            max_per_address: self.per_address as usize,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8_000_000,
            header_bytes: 16_000,
            header_timeout: Duration::from_secs(5),
            in_flight: 4096,
            per_address: 4096,
            memory_bytes: DEFAULT_MEMORY_BYTES,
            budget_bytes: DEFAULT_MEMORY_BYTES / BUDGET_DIVISOR,
            body_timeout: Duration::from_secs(5),
            body_rate: 500_000,
        }
    }
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Limits {
    let default = Limits::default();
    let Some(table) = root.table(report, "limits") else { return default };
    table.reject_unknown(report, &KEYS);
    let bytes = |report: &mut Report, key: &str, default| {
        table.with_default(report, key, default, value::nonzero_bytes)
    };
    let count = |report: &mut Report, key: &str, default| {
        table.with_default(report, key, default, value::integer(1..=u32::MAX)).value
    };
    let duration = |report: &mut Report, key: &str, default| {
        table.with_default(report, key, default, value::duration).value
    };
    let body_bytes = bytes(report, "body", default.body_bytes).value;
    let memory = table.optional(report, "memory", value::nonzero_bytes);
    let in_flight = memory.as_ref().map_or(default.in_flight, |memory| connections(memory.value));
    let in_flight = count(report, "in_flight", in_flight);
    let memory_bytes = memory.map_or(default.memory_bytes, |memory| memory.value);
    let least = least_budget(body_bytes);
    let budget = bytes(report, "bodies", (memory_bytes / BUDGET_DIVISOR).max(least));
    check_budget(report, &budget, body_bytes, memory_bytes);
    Limits {
        body_bytes,
        header_bytes: bytes(report, "header", default.header_bytes).value,
        header_timeout: duration(report, "header_timeout", default.header_timeout),
        in_flight,
        per_address: count(report, "per_address", in_flight),
        memory_bytes,
        budget_bytes: budget.value,
        body_timeout: duration(report, "body_timeout", default.body_timeout),
        body_rate: bytes(report, "body_rate", default.body_rate).value,
    }
}

/// Number of connections whose buffers take less than half of the memory.
fn connections(memory_bytes: u32) -> u32 {
    (memory_bytes / CONNECTION_BYTES).clamp(1, Limits::default().in_flight)
}

/// Smallest budget that has room for one body besides the part for small bodies.
fn least_budget(body_bytes: u32) -> u32 {
    let divisor = SMALL_DIVISOR as u64;
    let least = (u64::from(body_bytes) * divisor).div_ceil(divisor - 1);
    u32::try_from(least).unwrap_or(u32::MAX)
}

fn check_budget(report: &mut Report, budget: &Located<u32>, body_bytes: u32, memory_bytes: u32) {
    let (least, most) = (least_budget(body_bytes), memory_bytes / BUDGET_MAX_DIVISOR);
    if !(least..=most).contains(&budget.value) {
        let message = format!(
            "{} bytes are not allowed; expected {least} (for one body of {body_bytes} bytes) to {most} (half of the \
             memory of {memory_bytes} bytes)",
            budget.value
        );
        report.add(&budget.location, message);
    }
}
