//! Reader for the sample requests of a document.

use crate::declare::report::{Located, Report};
use crate::declare::table::Table;
use crate::declare::value;

pub(crate) struct Sample {
    pub service: Located<String>,
    pub path: String,
    pub requests: u32,
    pub body_bytes: u32,
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Sample {
    table.reject_unknown(report, &["service", "path", "requests", "body"]);
    Sample {
        service: table.required_or_default(report, "service", value::name),
        path: table.required_or_default(report, "path", value::path).value,
        requests: table.required_or_default(report, "requests", value::integer(1..=u32::MAX)).value,
        body_bytes: table.with_default(report, "body", 0, value::bytes).value,
    }
}
