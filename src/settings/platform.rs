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
    /// VM list.
    pub listing: SocketAddr,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Option<Platform> {
    let table = root.section(report, "platform")?;
    table.only(report, &["store", "listing"]);
    let store = table.must(report, "store", value::target);
    let listing = table.must(report, "listing", value::target);
    Some(Platform { store: store?.value, listing: listing?.value })
}
