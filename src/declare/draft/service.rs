//! Reader for the services of a document.

use std::time::Duration;

use super::{Demand, Filter, demand, filter};
use crate::declare::report::{Located, Report};
use crate::declare::service::Route;
use crate::declare::table::Table;
use crate::declare::value;

/// Priority of a service without one; higher than the default of jobs.
const DEFAULT_PRIORITY: u8 = 200;
/// Concurrent requests per replica of a service that sets no number; equal to the connections of one grant.
const DEFAULT_CONCURRENCY: u16 = 8;

pub(crate) struct Service {
    pub name: Located<String>,
    pub team: Located<String>,
    pub replicas: Located<(u32, u32)>,
    pub demand: Demand,
    pub priority: u8,
    pub latency_target: Duration,
    pub timeout: Duration,
    pub concurrency: u16,
    pub filter: Filter,
    pub routes: Vec<Route>,
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Service {
    table.reject_unknown(
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
    let (latency_target, timeout) = read_times(table, report);
    Service {
        name: table.required_or_default(report, "name", value::name),
        team: table.required_or_default(report, "team", value::name),
        replicas: read_replicas(table, report),
        demand: demand(table, report),
        priority: table.with_default(report, "priority", DEFAULT_PRIORITY, value::integer(0..=u8::MAX)).value,
        latency_target,
        timeout,
        concurrency: table
            .with_default(report, "concurrency", DEFAULT_CONCURRENCY, value::integer(1..=u16::MAX))
            .value,
        filter: filter(table, report),
        routes: read_routes(table, report),
    }
}

fn read_times(table: &Table<'_>, report: &mut Report) -> (Duration, Duration) {
    let before = report.len();
    let latency_target = table.required_or_default(report, "latency_target", value::duration);
    let timeout = table.required_or_default(report, "timeout", value::duration);
    if report.len() == before && timeout.value < latency_target.value {
        report.add(&timeout.location, "the timeout is shorter than the latency target");
    }
    (latency_target.value, timeout.value)
}

fn read_replicas(table: &Table<'_>, report: &mut Report) -> Located<(u32, u32)> {
    let location = table.location_of("replicas");
    let Some(range) = table.table(report, "replicas") else {
        if !table.keys().any(|key| key == "replicas") {
            report.add(&location, "the key is missing; expected { min = 1, max = 4 }");
        }
        return Located { value: (0, 0), location };
    };
    range.reject_unknown(report, &["min", "max"]);
    let before = report.len();
    let min = range.required_or_default(report, "min", value::integer(1..=u32::MAX));
    let max = range.required_or_default(report, "max", value::integer(1..=u32::MAX));
    if report.len() == before && min.value > max.value {
        report.add(&min.location, format!("min ({}) is greater than max ({})", min.value, max.value));
    }
    Located { value: (min.value, max.value), location: min.location }
}

/// Reads the routes and sorts them by path length, longest first, so that the first match is the most specific.
fn read_routes(table: &Table<'_>, report: &mut Report) -> Vec<Route> {
    let mut routes: Vec<Route> = Vec::new();
    for route in table.tables(report, "route") {
        route.reject_unknown(report, &["path", "idempotent"]);
        let path = route.required_or_default(report, "path", value::path);
        let is_idempotent = route.with_default(report, "idempotent", false, value::boolean).value;
        if !path.value.is_empty() && routes.iter().any(|other| other.path == path.value) {
            report.add(&path.location, format!("route \"{}\" is declared twice", path.value));
        }
        routes.push(Route { path: path.value, is_idempotent });
    }
    routes.sort_by(|a, b| b.path.len().cmp(&a.path.len()).then_with(|| a.path.cmp(&b.path)));
    routes
}
