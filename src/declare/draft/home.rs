//! Generated homes of the jobs of a stored document.

use toml::de::DeValue;

use super::HOMES;
use crate::declare::report::{Place, Report, Spot};
use crate::declare::table::Table;
use crate::declare::value;

/// Homes of one job.
pub(crate) struct Home {
    /// Name and run of the job, as `job#run`.
    pub job: String,
    /// Zone name and index of each cell.
    pub cells: Vec<Spot<(String, u16)>>,
    pub place: Place,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Vec<Home> {
    let Some(table) = root.table(report, HOMES) else { return Vec::new() };
    let mut homes = Vec::new();
    for job in table.keys() {
        let place = table.inside(job, table.key_offset(job));
        let cells = table.list(report, job, cell);
        if cells.is_empty() {
            report.add(&place, "the list of cells is empty");
        }
        homes.push(Home { job: job.to_owned(), cells, place });
    }
    homes
}

/// Reads `zone/cell`.
fn cell(value: &DeValue<'_>) -> Result<(String, u16), String> {
    let text = value::text(value)?;
    let cell = text.split_once('/').and_then(|(zone, index)| Some((zone.to_owned(), index.parse().ok()?)));
    cell.ok_or_else(|| format!("expected a cell such as \"basirhat/0\", found \"{text}\""))
}
