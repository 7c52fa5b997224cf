//! Regions, links, zones and pools of a document.

use std::time::Duration;

use super::labels;
use crate::declare::report::{Place, Report, Spot};
use crate::declare::size::Size;
use crate::declare::table::Table;
use crate::declare::value;

/// Entry VMs of a zone that names no number.
const DEFAULT_ENTRY_VMS: u16 = 3;
/// Slots of a worker whose pool names no number.
const DEFAULT_SLOTS: u32 = 8;
/// Connections of a worker whose pool names no number.
const DEFAULT_CONNECTIONS: u16 = 64;

pub(crate) struct Link {
    pub between: Vec<Spot<String>>,
    pub bits_per_second: u64,
    pub delay: Duration,
}

pub(crate) struct Zone {
    pub name: Spot<String>,
    pub region: Spot<String>,
    /// `None` asks for the default.
    pub cells: Option<u16>,
    pub entry_vms: u16,
    pub retired: bool,
}

pub(crate) struct Pool {
    pub name: Spot<String>,
    pub zone: Spot<String>,
    pub racks: Vec<String>,
    pub count: u32,
    pub size: Size,
    pub connections: u16,
    pub labels: Vec<(String, String)>,
}

pub(super) fn region(table: &Table<'_>, report: &mut Report) -> Spot<String> {
    table.only(report, &["name"]);
    table.need(report, "name", value::name)
}

pub(super) fn link(table: &Table<'_>, report: &mut Report) -> Link {
    table.only(report, &["between", "bandwidth", "delay"]);
    let before = report.len();
    let between = table.list(report, "between", value::name);
    let is_pair = between.len() == 2 && between[0].value != between[1].value;
    if report.len() == before && !is_pair {
        let place = table.place_of("between");
        report.add(&place, "a link is between two different regions, such as [\"north\", \"south\"]");
    }
    Link {
        between,
        bits_per_second: table.need(report, "bandwidth", value::bandwidth).value,
        delay: table.need(report, "delay", value::duration).value,
    }
}

pub(super) fn zone(table: &Table<'_>, report: &mut Report) -> Zone {
    table.only(report, &["name", "region", "cells", "entry_vms", "retired"]);
    Zone {
        name: table.need(report, "name", value::name),
        region: table.need(report, "region", value::name),
        cells: table.maybe(report, "cells", value::whole(1..=u16::MAX)).map(|cells| cells.value),
        entry_vms: table.or(report, "entry_vms", DEFAULT_ENTRY_VMS, value::whole(1..=u16::MAX)).value,
        retired: table.or(report, "retired", false, value::flag).value,
    }
}

pub(super) fn pool(table: &Table<'_>, report: &mut Report) -> Pool {
    table.only(
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
        name: table.need(report, "name", value::name),
        zone: table.need(report, "zone", value::name),
        racks: racks(table, report),
        count: table.need(report, "count", value::whole(1..=u32::MAX)).value,
        size: size(table, report),
        connections: table.or(report, "connections", DEFAULT_CONNECTIONS, value::whole(1..=u16::MAX)).value,
        labels: labels(table, report),
    }
}

fn size(table: &Table<'_>, report: &mut Report) -> Size {
    Size {
        millicores: table.need(report, "cores", value::millicores).value,
        memory_mib: table.need(report, "memory", value::memory_mib).value,
        accelerators: table.or(report, "accelerators", 0, value::whole(0..=u32::MAX)).value,
        slots: table.or(report, "slots", DEFAULT_SLOTS, value::whole(1..=u32::MAX)).value,
    }
}

fn racks(table: &Table<'_>, report: &mut Report) -> Vec<String> {
    let before = report.len();
    let spots = table.list(report, "racks", value::text);
    if spots.is_empty() && report.len() == before {
        report.add(&table.place_of("racks"), "a pool names at least one rack");
    }
    let mut racks = Vec::new();
    for Spot { value, place } in spots {
        add_rack(&mut racks, value, &place, report);
    }
    racks
}

fn add_rack(racks: &mut Vec<String>, rack: String, place: &Place, report: &mut Report) {
    if racks.contains(&rack) {
        report.add(place, format!("rack \"{rack}\" is named twice"));
    } else {
        racks.push(rack);
    }
}
