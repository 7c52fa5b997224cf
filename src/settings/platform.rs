//! Addresses of the services of the platform.

use std::net::SocketAddr;

use crate::declare::report::Report;
use crate::declare::table::Table;
use crate::declare::value;

/// Addresses of the services of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Platform {
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the VM list; optional only in a process that schedules jobs submitted by callers.
    pub listing: Option<SocketAddr>,
}

/// Reads the section; with `needs_listing`, the address of the VM list is required.
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
