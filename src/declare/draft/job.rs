//! Reader for the jobs of a document.

use std::time::Duration;

use super::{Demand, Filter, demand, filter};
use crate::declare::report::{Located, Report};
use crate::declare::table::Table;
use crate::declare::value;

/// Priority of a job without one; lower than the default of services.
const DEFAULT_PRIORITY: u8 = 100;
/// Attempts after the first one, for a job that sets no number.
const DEFAULT_RETRIES: u32 = 2;

pub(crate) struct Job {
    pub name: Located<String>,
    pub run: u32,
    pub team: Located<String>,
    pub tasks: u32,
    pub demand: Demand,
    pub run_time: Duration,
    pub deadline: Option<Duration>,
    pub retries: u32,
    pub is_checkpointable: bool,
    pub priority: u8,
    pub kind: String,
    pub filter: Filter,
    pub is_cancelled: bool,
}

impl Job {
    /// Key of the job in the generated table of homes, as `name#run`.
    pub fn home_key(&self) -> String {
        format!("{}#{}", self.name.value, self.run)
    }
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Job {
    table.reject_unknown(
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
    let name = table.required_or_default(report, "name", value::name);
    Job {
        run: table.with_default(report, "run", 1, value::integer(1..=u32::MAX)).value,
        team: table.required_or_default(report, "team", value::name),
        tasks: table.required_or_default(report, "tasks", value::integer(1..=u32::MAX)).value,
        demand: demand(table, report),
        run_time: table.required_or_default(report, "run_time", value::duration).value,
        deadline: table.optional(report, "deadline", value::duration).map(|deadline| deadline.value),
        retries: table
            .with_default(report, "retries", DEFAULT_RETRIES, value::integer(0..=u32::MAX - 1))
            .value,
        is_checkpointable: table.with_default(report, "checkpointable", false, value::boolean).value,
        priority: table.with_default(report, "priority", DEFAULT_PRIORITY, value::integer(0..=u8::MAX)).value,
        kind: table.with_default(report, "kind", name.value.clone(), value::name).value,
        filter: filter(table, report),
        is_cancelled: table.with_default(report, "cancelled", false, value::boolean).value,
        name,
    }
}
