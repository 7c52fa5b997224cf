//! Reader for the teams of a document.

use crate::declare::report::{Located, Report};
use crate::declare::size::Size;
use crate::declare::table::Table;
use crate::declare::value;

pub(crate) struct Team {
    pub name: Located<String>,
    pub quota: Option<Size>,
    pub weight: u32,
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Team {
    table.reject_unknown(report, &["name", "weight", "quota"]);
    Team {
        name: table.required_or_default(report, "name", value::name),
        quota: table.table(report, "quota").map(|quota| read_size(&quota, report)),
        weight: table.with_default(report, "weight", 1, value::integer(1..=u32::MAX)).value,
    }
}

fn read_size(table: &Table<'_>, report: &mut Report) -> Size {
    table.reject_unknown(report, &["cores", "memory", "accelerators", "slots"]);
    Size {
        millicores: table.required_or_default(report, "cores", value::millicores).value,
        memory_mib: table.required_or_default(report, "memory", value::memory_mib).value,
        accelerators: table.with_default(report, "accelerators", 0, value::integer(0..=u32::MAX)).value,
        slots: table.required_or_default(report, "slots", value::integer(1..=u32::MAX)).value,
    }
}
