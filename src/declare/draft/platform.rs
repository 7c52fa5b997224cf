//! Readers for the regions, links, zones and pools of a document.

use std::time::Duration;

use super::labels;
use crate::declare::report::{Located, Location, Report};
use crate::declare::size::Size;
use crate::declare::table::Table;
use crate::declare::value;

/// Number of entry VMs of a zone that sets none.
const DEFAULT_ENTRY_VMS: u16 = 3;
/// Slots of each worker of a pool that sets no number.
const DEFAULT_SLOTS: u32 = 8;
/// Connections that each worker of a pool accepts, if the pool sets no number.
const DEFAULT_CONNECTIONS: u16 = 64;

pub(crate) struct Link {
    pub between: Vec<Located<String>>,
    pub bits_per_second: u64,
    pub delay: Duration,
}

pub(crate) struct Zone {
    pub name: Located<String>,
    pub region: Located<String>,
    /// Number of cells; `None` selects the default, which depends on the number of workers.
    pub cells: Option<u16>,
    pub entry_vms: u16,
    pub is_retired: bool,
}

pub(crate) struct Pool {
    pub name: Located<String>,
    pub zone: Located<String>,
    pub racks: Vec<String>,
    pub count: u32,
    pub size: Size,
    pub connections: u16,
    pub labels: Vec<(String, String)>,
}

pub(super) fn region(table: &Table<'_>, report: &mut Report) -> Located<String> {
    table.reject_unknown(report, &["name"]);
    table.required_or_default(report, "name", value::name)
}

pub(super) fn link(table: &Table<'_>, report: &mut Report) -> Link {
    table.reject_unknown(report, &["between", "bandwidth", "delay"]);
    let before = report.len();
    let between = table.list(report, "between", value::name);
    let is_pair = between.len() == 2 && between[0].value != between[1].value;
    if report.len() == before && !is_pair {
        let location = table.location_of("between");
        report.add(&location, "a link connects two different regions, such as [\"north\", \"south\"]");
    }
    Link {
        between,
        bits_per_second: table.required_or_default(report, "bandwidth", value::bandwidth).value,
        delay: table.required_or_default(report, "delay", value::duration).value,
    }
}

pub(super) fn zone(table: &Table<'_>, report: &mut Report) -> Zone {
    table.reject_unknown(report, &["name", "region", "cells", "entry_vms", "retired"]);
    Zone {
        name: table.required_or_default(report, "name", value::name),
        region: table.required_or_default(report, "region", value::name),
        cells: table.optional(report, "cells", value::integer(1..=u16::MAX)).map(|cells| cells.value),
        entry_vms: table
            .with_default(report, "entry_vms", DEFAULT_ENTRY_VMS, value::integer(1..=u16::MAX))
            .value,
        is_retired: table.with_default(report, "retired", false, value::boolean).value,
    }
}

pub(super) fn pool(table: &Table<'_>, report: &mut Report) -> Pool {
    table.reject_unknown(
        report,
        &[
            "name",
            "zone",
            "racks",
            "count",
            "cores",
            "memory",
            "accelerators",
            "slots",
            "connections",
            "labels",
        ],
    );
    Pool {
        name: table.required_or_default(report, "name", value::name),
        zone: table.required_or_default(report, "zone", value::name),
        racks: read_racks(table, report),
        count: table.required_or_default(report, "count", value::integer(1..=u32::MAX)).value,
        size: read_size(table, report),
        connections: table
            .with_default(report, "connections", DEFAULT_CONNECTIONS, value::integer(1..=u16::MAX))
            .value,
        labels: labels(table, report),
    }
}

fn read_size(table: &Table<'_>, report: &mut Report) -> Size {
    Size {
        millicores: table.required_or_default(report, "cores", value::millicores).value,
        memory_mib: table.required_or_default(report, "memory", value::memory_mib).value,
        accelerators: table.with_default(report, "accelerators", 0, value::integer(0..=u32::MAX)).value,
        slots: table.with_default(report, "slots", DEFAULT_SLOTS, value::integer(1..=u32::MAX)).value,
    }
}

fn read_racks(table: &Table<'_>, report: &mut Report) -> Vec<String> {
    let before = report.len();
    let names = table.list(report, "racks", value::string);
    if names.is_empty() && report.len() == before {
        report.add(&table.location_of("racks"), "a pool needs at least one rack");
    }
    let mut racks = Vec::new();
    for Located { value, location } in names {
        add_rack(&mut racks, value, &location, report);
    }
    racks
}

fn add_rack(racks: &mut Vec<String>, rack: String, location: &Location, report: &mut Report) {
    if racks.contains(&rack) {
        report.add(location, format!("rack \"{rack}\" is listed twice"));
    } else {
        racks.push(rack);
    }
}
