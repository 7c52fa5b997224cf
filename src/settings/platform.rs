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
