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
    let store = table.need(report, "store", value::target).value;
    let listing = table.need(report, "listing", value::target).value;
    Some(Platform { store: store?, listing: listing? })
}
