//! Services of a document.

use std::time::Duration;

use super::{Demand, Filter, demand, filter};
use crate::declare::report::{Report, Spot};
use crate::declare::service::Route;
use crate::declare::table::Table;
use crate::declare::value;

/// Priority of a service that names none; above the default of jobs.
const DEFAULT_PRIORITY: u8 = 200;
/// Requests that a replica serves at once when its service names no number; the connections of one grant.
const DEFAULT_CONCURRENCY: u16 = 8;

pub(crate) struct Service {
    pub name: Spot<String>,
    pub team: Spot<String>,
    pub replicas: Spot<(u32, u32)>,
    pub demand: Demand,
    pub priority: u8,
    pub latency_target: Duration,
    pub timeout: Duration,
    pub concurrency: u16,
    pub filter: Filter,
    pub routes: Vec<Route>,
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Service {
    table.only(
        report,
        &[
            "name",
            "team",
            "replicas",
            "cores",
            "memory",
            "accelerators",
            "priority",
            "latency_target",
            "timeout",
            "concurrency",
            "zones",
            "racks",
            "labels",
            "route",
        ],
    );
    let (latency_target, timeout) = times(table, report);
    Service {
        name: table.need(report, "name", value::name),
        team: table.need(report, "team", value::name),
        replicas: replicas(table, report),
        demand: demand(table, report),
        priority: table.or(report, "priority", DEFAULT_PRIORITY, value::whole(0..=u8::MAX)).value,
        latency_target,
        timeout,
        concurrency: table.or(report, "concurrency", DEFAULT_CONCURRENCY, value::whole(1..=u16::MAX)).value,
        filter: filter(table, report),
        routes: routes(table, report),
    }
}

fn times(table: &Table<'_>, report: &mut Report) -> (Duration, Duration) {
    let before = report.len();
    let latency_target = table.need(report, "latency_target", value::duration);
    let timeout = table.need(report, "timeout", value::duration);
    if report.len() == before && timeout.value < latency_target.value {
        report.add(&timeout.place, "the timeout is shorter than the latency target");
    }
    (latency_target.value, timeout.value)
}

fn replicas(table: &Table<'_>, report: &mut Report) -> Spot<(u32, u32)> {
    let place = table.place_of("replicas");
    let Some(range) = table.table(report, "replicas") else {
        if !table.keys().any(|key| key == "replicas") {
            report.add(&place, "the key is missing; expected { min = 1, max = 4 }");
        }
        return Spot { value: (0, 0), place };
    };
    range.only(report, &["min", "max"]);
    let before = report.len();
    let min = range.need(report, "min", value::whole(1..=u32::MAX));
    let max = range.need(report, "max", value::whole(1..=u32::MAX));
    if report.len() == before && min.value > max.value {
        report.add(&min.place, format!("min is {}, above max, which is {}", min.value, max.value));
    }
    Spot { value: (min.value, max.value), place: min.place }
}

/// Reads routes, longest path first.
fn routes(table: &Table<'_>, report: &mut Report) -> Vec<Route> {
    let mut routes: Vec<Route> = Vec::new();
    for route in table.tables(report, "route") {
        route.only(report, &["path", "idempotent"]);
        let path = route.need(report, "path", value::path);
        let idempotent = route.or(report, "idempotent", false, value::flag).value;
        if !path.value.is_empty() && routes.iter().any(|other| other.path == path.value) {
            report.add(&path.place, format!("route \"{}\" is declared twice", path.value));
        }
        routes.push(Route { path: path.value, idempotent });
    }
    routes.sort_by(|a, b| b.path.len().cmp(&a.path.len()).then_with(|| a.path.cmp(&b.path)));
    routes
}
