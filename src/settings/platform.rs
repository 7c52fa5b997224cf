//! Addresses of the platform.

use std::net::SocketAddr;

use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Addresses of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Platform {
    /// Key-value store.
    pub store: SocketAddr,
    /// VM list; only a process that serves callers' jobs can do without.
    pub listing: Option<SocketAddr>,
}

/// Reads the section; `needs_listing` says whether the VM list must be there.
pub(super) fn read(root: &Table<'_>, report: &mut Report, needs_listing: bool) -> Option<Platform> {
    let table = root.required_table(report, "platform")?;
    table.reject_unknown(report, &["store", "listing"]);
    let store = table.required(report, "store", value::remote_address);
    let listing = if needs_listing {
        Some(table.required(report, "listing", value::remote_address)?)
    } else {
        table.optional(report, "listing", value::remote_address)
    };
    Some(Platform { store: store?.value, listing: listing.map(|spot| spot.value) })
}
