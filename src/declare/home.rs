//! Homes: the cells that own the tasks of a job.
//!
//! A home is decided once, when the job first appears, and is stored with its document. Later changes of zones, cells or
//! pools do not move it, so that a task never has two homes.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use super::capacity::{self, ZoneCapacity};
use super::check;
use super::draft::{self, HOMES};
use super::job::{self, Job};
use super::plan::Plan;
use super::report::Report;
use super::table::Table;
use crate::core::cell;
use crate::hash::{self, Map};

/// Start of the generated part of a stored text. Each stored text has it, so that its last occurrence is never part of
/// what the operator wrote.
const GENERATED_MARKER: &str = "\n# Generated: home cells of the jobs of ";

/// Fewest entries of a list of homes for a job with more tasks; shares then differ from capacity by a few percent.
const MIN_ENTRIES: usize = 16;

/// Tasks for each further entry. A cell holds hundreds of tasks at once, and each entry is stored and kept in memory.
const TASKS_PER_ENTRY: usize = 32;

/// Appends the homes of the document's jobs to its text.
///
/// `plan` is compiled from `text` and all other documents. Homes of a job and run that are in `previous`, the stored text
/// of the earlier version, are kept; others are computed. `document` names the document.
pub fn append_homes(text: &str, document: &str, plan: &Plan, previous: Option<&str>) -> String {
    let kept_homes: BTreeMap<String, Vec<String>> = previous.map(stored_homes).unwrap_or_default();
    let jobs_by_id: Map<job::Id, &Job> = plan.jobs.iter().map(|job| (job.id, job)).collect();
    let mut stored_text = format!("{text}{GENERATED_MARKER}{document}. Do not edit.\n[{HOMES}]\n");
    for (key, id) in job_ids(text) {
        let homes = match (kept_homes.get(&key), jobs_by_id.get(&id)) {
            (Some(homes), _) => homes.clone(),
            (None, Some(job)) => {
                assign(plan, job).iter().filter_map(|cell| cell_label(plan, *cell)).collect()
            }
            (None, None) => continue,
        };
        // Names hold no character that TOML or Rust would escape.
        let _ = writeln!(stored_text, "{key:?} = {homes:?}");
    }
    stored_text
}

/// The operator's part of a stored text.
pub fn strip_homes(text: &str) -> &str {
    text.rfind(GENERATED_MARKER).map_or(text, |at| &text[..at])
}

/// Whether the generated part of a stored text is as [`append_homes`] writes it, with the table of homes at `offset`.
///
/// Otherwise [`strip_homes`] would take generated lines for the operator's or the reverse.
pub(crate) fn is_intact(text: &str, offset: usize) -> bool {
    let part = &text[strip_homes(text).len()..];
    let header = format!("\n[{HOMES}]\n");
    let Some((comment, lines)) = part.split_once(&header) else { return false };
    let is_entry = |line: &str| line.starts_with('"') && line.ends_with(']');
    text.len() - lines.len() == offset + header.len() - "\n[".len()
        && comment.starts_with(GENERATED_MARKER)
        && comment.lines().count() == 2
        && lines.lines().all(is_entry)
}

/// Computes the homes of all jobs that have none.
pub(crate) fn assign_missing(plan: &mut Plan) {
    for index in 0..plan.jobs.len() {
        if plan.jobs[index].homes.is_empty() {
            plan.jobs[index].homes = assign(plan, &plan.jobs[index]);
        }
    }
}

/// Homes for a job that has none: cells that may hold its tasks, in proportion to their capacity.
///
/// The order is by rendezvous hash of the job, so that different jobs start at different cells. Empty if no VM that the
/// job may use holds a task.
pub(crate) fn assign(plan: &Plan, job: &Job) -> Vec<cell::Id> {
    let zones = capacity::zone_capacities(plan, &job.filter, &job.size);
    let cells = rank_cells(&zones, job);
    let weights: Vec<u64> = cells.iter().map(|(_, weight)| *weight).collect();
    if cells.is_empty() {
        return Vec::new();
    }
    let counts = apportion(&weights, entry_count(cells.len(), job.tasks as usize));
    interleave(&cells, &reduce(counts))
}

/// Length of the list of homes; a multiple of a small number of cells, so that equal cells get equal shares.
fn entry_count(cells: usize, tasks: usize) -> usize {
    let entries = if cells < MIN_ENTRIES {
        cells * MIN_ENTRIES.div_ceil(cells)
    } else {
        (tasks / TASKS_PER_ENTRY).clamp(MIN_ENTRIES, cells)
    };
    entries.min(tasks)
}

fn rank_cells(zones: &[ZoneCapacity], job: &Job) -> Vec<(cell::Id, u64)> {
    let all = zones.iter().flat_map(|zone| {
        (0..zone.cells).map(move |index| (cell::Id { zone: zone.id, index }, zone.units_per_cell))
    });
    let mut cells: Vec<(cell::Id, u64)> = all.collect();
    cells.sort_by_cached_key(|(cell, _)| {
        std::cmp::Reverse((hash::numbers([job.id.0, cell.number()]), cell.number()))
    });
    cells
}

/// Divides `total` in proportion to `weights`: each gets its exact share, rounded up or down.
///
/// Systematic sampling: with fewer entries than cells, the order of the cells decides which ones get an entry, not only
/// their weight.
fn apportion(weights: &[u64], total: usize) -> Vec<usize> {
    let sum: u128 = weights.iter().map(|weight| u128::from(*weight)).sum::<u128>().max(1);
    let mut cumulative_weight = 0;
    let mut assigned = 0;
    let share = |weight: &u64| {
        cumulative_weight += u128::from(*weight);
        let assigned_until = (cumulative_weight * total as u128 + sum / 2) / sum;
        let count = assigned_until as usize - assigned;
        assigned += count;
        count
    };
    weights.iter().map(share).collect()
}

/// Divides all counts by their greatest common divisor.
fn reduce(counts: Vec<usize>) -> Vec<usize> {
    let gcd = |mut a: usize, mut b: usize| {
        while b != 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    let divisor = counts.iter().copied().fold(0, gcd).max(1);
    counts.into_iter().map(|count| count / divisor).collect()
}

/// Lists each cell as often as its count says, in rounds.
fn interleave(cells: &[(cell::Id, u64)], counts: &[usize]) -> Vec<cell::Id> {
    let rounds = counts.iter().copied().max().unwrap_or_default();
    let round = |round: usize| {
        cells.iter().zip(counts).filter(move |(_, count)| **count > round).map(|((cell, _), _)| *cell)
    };
    (0..rounds).flat_map(round).collect()
}

fn cell_label(plan: &Plan, cell: cell::Id) -> Option<String> {
    let (_, zone) = plan.zone(cell.zone)?;
    Some(format!("{}/{}", zone.name, cell.index))
}

/// Labels and identities of the jobs of a text.
fn job_ids(text: &str) -> Vec<(String, job::Id)> {
    let identity = |job: &draft::job::Job| job::Id::of(&job.name.value, job.run);
    read_document(text)
        .map(|document| document.jobs.iter().map(|job| (job.body.home_key(), identity(&job.body))).collect())
        .unwrap_or_default()
}

/// Homes in a stored text, by label of the job.
fn stored_homes(text: &str) -> BTreeMap<String, Vec<String>> {
    let Some(document) = read_document(text) else { return BTreeMap::new() };
    let names = |home: &draft::home::Home| {
        home.cells.value.iter().map(|(zone, index)| format!("{zone}/{index}")).collect()
    };
    document.homes.iter().map(|home| (home.job.clone(), names(home))).collect()
}

/// Reads a text that was checked before.
fn read_document(text: &str) -> Option<draft::Document> {
    let mut report = Report::default();
    let tree = check::parse(0, text, &mut report)?;
    Some(draft::read(&Table::root(0, tree.get_ref()), true, &mut report))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against lists that grow with the fleet, and against equal cells with unequal shares.
    #[test]
    fn entries_follow_tasks_once_there_are_many_cells() {
        assert_eq!(entry_count(3, 1000), 18);
        assert_eq!(entry_count(483, 40), 16);
        assert_eq!(entry_count(483, 1200), 37);
        assert_eq!(entry_count(483, 1_000_000), 483);
        assert_eq!(entry_count(3, 2), 2);
    }

    /// Guards against entries that are lost or doubled by rounding.
    #[test]
    fn apportion_gives_each_cell_its_share() {
        assert_eq!(apportion(&[1; 5], 2).iter().sum::<usize>(), 2);
        assert_eq!(apportion(&[80, 80, 140, 140], 22), [4, 4, 7, 7]);
        assert_eq!(reduce(apportion(&[7, 7, 7], 18)), [1, 1, 1]);
    }
}
