//! Limits on the requests of callers.

use std::time::Duration;

use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u32,
    /// Maximum size of a request header in bytes.
    pub header_bytes: u32,
    /// Timeout for receiving a request header.
    pub header_timeout: Duration,
    /// Maximum number of requests in flight; further requests are refused.
    pub in_flight: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8_000_000,
            header_bytes: 16_000,
            header_timeout: Duration::from_secs(5),
            in_flight: 4096,
        }
    }
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Limits {
    let default = Limits::default();
    let Some(table) = root.table(report, "limits") else { return default };
    table.reject_unknown(report, &["body", "header", "header_timeout", "in_flight"]);
    Limits {
        body_bytes: table.with_default(report, "body", default.body_bytes, value::nonzero_bytes).value,
        header_bytes: table.with_default(report, "header", default.header_bytes, value::nonzero_bytes).value,
        header_timeout: table
            .with_default(report, "header_timeout", default.header_timeout, value::duration)
            .value,
        in_flight: table
            .with_default(report, "in_flight", default.in_flight, value::integer(1..=u32::MAX))
            .value,
    }
}
