//! Addresses an entry VM listens on.

use std::net::SocketAddr;

use crate::declare::report::{Report, Spot};
use crate::declare::table::Table;
use crate::declare::value;

/// Addresses an entry VM listens on; all different.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Administration.
    pub admin: SocketAddr,
    /// Other entry VMs.
    pub peer: SocketAddr,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Option<Listen> {
    let table = root.section(report, "listen")?;
    table.only(report, &["caller", "admin", "peer"]);
    let caller = table.need(report, "caller", value::address);
    let admin = table.need(report, "admin", value::address);
    let peer = table.need(report, "peer", value::address);
    check_distinct(&[&caller, &admin, &peer], report);
    Some(Listen { caller: caller.value?, admin: admin.value?, peer: peer.value? })
}

/// Reports addresses that are given twice; port 0 asks for any free port.
fn check_distinct(spots: &[&Spot<Option<SocketAddr>>], report: &mut Report) {
    for (at, spot) in spots.iter().enumerate() {
        let Some(address) = spot.value.filter(|address| address.port() != 0) else { continue };
        if let Some(other) = spots[..at].iter().find(|other| other.value == Some(address)) {
            report.add(&spot.place, format!("the address is the same as `{}`", other.place.key));
        }
    }
}
