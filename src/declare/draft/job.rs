//! Jobs of a document.

use std::time::Duration;

use super::{Demand, Filter, demand, filter};
use crate::declare::report::{Report, Spot};
use crate::declare::table::Table;
use crate::declare::value;

/// Priority of a job that names none; below the default of services.
const DEFAULT_PRIORITY: u8 = 100;
/// Attempts after the first one when a job names no number.
const DEFAULT_RETRIES: u32 = 2;

pub(crate) struct Job {
    pub name: Spot<String>,
    pub run: u32,
    pub team: Spot<String>,
    pub tasks: u32,
    pub demand: Demand,
    pub run_time: Duration,
    pub deadline: Option<Duration>,
    pub retries: u32,
    pub checkpointable: bool,
    pub priority: u8,
    pub kind: String,
    pub filter: Filter,
    pub cancelled: bool,
}

impl Job {
    /// Name in the generated table of homes.
    pub fn label(&self) -> String {
        format!("{}#{}", self.name.value, self.run)
    }
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Job {
    table.only(
        report,
        &[
            "name",
            "run",
            "team",
            "tasks",
            "cores",
            "memory",
            "accelerators",
            "run_time",
            "deadline",
            "retries",
            "checkpointable",
            "priority",
            "kind",
            "zones",
            "racks",
            "labels",
            "cancelled",
        ],
    );
    let name = table.need(report, "name", value::name);
    Job {
        run: table.or(report, "run", 1, value::whole(1..=u32::MAX)).value,
        team: table.need(report, "team", value::name),
        tasks: table.need(report, "tasks", value::whole(1..=u32::MAX)).value,
        demand: demand(table, report),
        run_time: table.need(report, "run_time", value::duration).value,
        deadline: table.maybe(report, "deadline", value::duration).map(|deadline| deadline.value),
        retries: table.or(report, "retries", DEFAULT_RETRIES, value::whole(0..=u32::MAX - 1)).value,
        checkpointable: table.or(report, "checkpointable", false, value::flag).value,
        priority: table.or(report, "priority", DEFAULT_PRIORITY, value::whole(0..=u8::MAX)).value,
        kind: table.or(report, "kind", name.value.clone(), value::name).value,
        filter: filter(table, report),
        cancelled: table.or(report, "cancelled", false, value::flag).value,
        name,
    }
}
