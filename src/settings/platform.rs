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
    let table = root.section(report, "platform")?;
    table.only(report, &["store", "listing"]);
    let store = table.must(report, "store", value::target);
    let listing = if needs_listing {
        Some(table.must(report, "listing", value::target)?)
    } else {
        table.maybe(report, "listing", value::target)
    };
    Some(Platform { store: store?.value, listing: listing.map(|spot| spot.value) })
}
