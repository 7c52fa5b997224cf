//! Teams of a document.

use crate::declare::report::{Report, Spot};
use crate::declare::size::Size;
use crate::declare::table::Table;
use crate::declare::value;

pub(crate) struct Team {
    pub name: Spot<String>,
    pub quota: Option<Size>,
    pub weight: u32,
}

pub(super) fn read(table: &Table<'_>, report: &mut Report) -> Team {
    table.only(report, &["name", "weight", "quota"]);
    Team {
        name: table.need(report, "name", value::name),
        quota: table.table(report, "quota").map(|quota| size(&quota, report)),
        weight: table.or(report, "weight", 1, value::whole(1..=u32::MAX)).value,
    }
}

fn size(table: &Table<'_>, report: &mut Report) -> Size {
    table.only(report, &["cores", "memory", "accelerators", "slots"]);
    Size {
        millicores: table.need(report, "cores", value::millicores).value,
        memory_mib: table.need(report, "memory", value::memory_mib).value,
        accelerators: table.or(report, "accelerators", 0, value::whole(0..=u32::MAX)).value,
        slots: table.need(report, "slots", value::whole(1..=u32::MAX)).value,
    }
}
