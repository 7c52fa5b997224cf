//! Addresses that an entry VM listens on.

use std::net::SocketAddr;

use crate::declare::report::{Report, Spot};
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
    let table = root.section(report, "listen")?;
    table.only(report, &["caller", "admin", "peer"]);
    let caller = table.must(report, "caller", value::address);
    let admin = table.must(report, "admin", value::address);
    let peer = table.must(report, "peer", value::address);
    check_distinct([&caller, &admin, &peer].into_iter().flatten(), report);
    Some(Listen { caller: caller?.value, admin: admin?.value, peer: peer?.value })
}

/// Reports addresses that occur more than once. Port 0 may repeat, since it stands for any free port.
fn check_distinct<'a>(spots: impl Iterator<Item = &'a Spot<SocketAddr>>, report: &mut Report) {
    let mut checked: Vec<&Spot<SocketAddr>> = Vec::new();
    for spot in spots.filter(|spot| spot.value.port() != 0) {
        if let Some(other) = checked.iter().find(|other| other.value == spot.value) {
            report.add(&spot.place, format!("the address is the same as `{}`", other.place.key));
        }
        checked.push(spot);
    }
}
