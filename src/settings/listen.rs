//! Addresses an entry VM listens on.

use std::net::SocketAddr;

use crate::declare::report::{Located, Report};
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
    let table = root.required_table(report, "listen")?;
    table.reject_unknown(report, &["caller", "admin", "peer"]);
    let caller = table.required(report, "caller", value::address);
    let admin = table.required(report, "admin", value::address);
    let peer = table.required(report, "peer", value::address);
    check_distinct([&caller, &admin, &peer].into_iter().flatten(), report);
    Some(Listen { caller: caller?.value, admin: admin?.value, peer: peer?.value })
}

/// Reports addresses that are given twice; port 0 asks for any free port.
fn check_distinct<'a>(addresses: impl Iterator<Item = &'a Located<SocketAddr>>, report: &mut Report) {
    let mut seen: Vec<&Located<SocketAddr>> = Vec::new();
    for address in addresses.filter(|address| address.value.port() != 0) {
        if let Some(other) = seen.iter().find(|other| other.value == address.value) {
            report.add(&address.location, format!("the address is the same as `{}`", other.location.key));
        }
        seen.push(address);
    }
}
