//! Reader for the generated table of job homes in a stored document.

use toml::de::DeValue;

use super::HOMES;
use crate::declare::report::{Located, Report};
use crate::declare::table::Table;
use crate::declare::value;

/// A cell, as the zone name and the index of the cell in the zone.
pub(crate) type CellName = (String, u16);

/// Homes of one job.
pub(crate) struct Home {
    /// Name and run number of the job, as `name#run`.
    pub job: String,
    /// Its cells. They share one location, since the list is long and generated.
    pub cells: Located<Vec<CellName>>,
}

pub(super) fn read(root: &Table<'_>, report: &mut Report) -> Vec<Home> {
    let Some(table) = root.table(report, HOMES) else { return Vec::new() };
    let jobs = table
        .keys()
        .map(|job| Home { job: job.to_owned(), cells: table.required_or_default(report, job, read_cells) });
    jobs.collect()
}

fn read_cells(value: &DeValue<'_>) -> Result<Vec<CellName>, String> {
    match value.as_array() {
        Some(list) if !list.is_empty() => list.iter().map(|cell| parse_cell(cell.get_ref())).collect(),
        _ => Err("expected a list of cells".to_owned()),
    }
}

/// Parses `zone/cell`.
fn parse_cell(value: &DeValue<'_>) -> Result<CellName, String> {
    let text = value.as_str().ok_or_else(|| value::mismatch("a cell", value))?;
    let cell = text.split_once('/').and_then(|(zone, index)| Some((zone.to_owned(), index.parse().ok()?)));
    cell.ok_or_else(|| format!("expected a cell such as \"basirhat/0\", found \"{text}\""))
}
