//! Sample requests of a document.

use crate::declare::report::{Report, Spot};
use crate::declare::table::Table;
use crate::declare::value;

pub(crate) struct Sample {
    pub service: Spot<String>,
    pub path: String,
    pub requests: u32,
    pub body_bytes: u32,
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Sample {
    table.only(report, &["service", "path", "requests", "body"]);
    Sample {
        service: table.need(report, "service", value::name),
        path: table.need(report, "path", value::path).value,
        requests: table.need(report, "requests", value::whole(1..=u32::MAX)).value,
        body_bytes: table.or(report, "body", 0, value::bytes).value,
    }
}
