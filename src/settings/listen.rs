//! Addresses that an entry VM listens on.

use std::net::SocketAddr;

use crate::declare::report::{Located, Report};
use crate::declare::table::Table;
use crate::declare::value;

/// Addresses that an entry VM listens on. They differ from each other, except that port 0 may repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Address for requests of callers.
    pub caller: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for messages of other entry VMs.
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

/// Reports addresses that occur more than once. Port 0 may repeat, since it stands for any free port.
fn check_distinct<'a>(addresses: impl Iterator<Item = &'a Located<SocketAddr>>, report: &mut Report) {
    let mut checked: Vec<&Located<SocketAddr>> = Vec::new();
    for address in addresses.filter(|address| address.value.port() != 0) {
        if let Some(other) = checked.iter().find(|other| other.value == address.value) {
            report.add(&address.location, format!("the address is the same as `{}`", other.location.key));
        }
        checked.push(address);
    }
}
