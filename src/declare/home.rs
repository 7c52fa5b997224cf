//! Homes: the cells that own the tasks of a job.
//!
//! The homes of a job are computed once, when the job first appears, and are stored as a generated table at the end of
//! its document. Later changes of zones, cells or pools do not change them, so that a task never has two owners.

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

/// Start of the generated part of a stored text.
///
/// Each stored text contains it, so that its last occurrence is never in the operator's part.
const GENERATED_MARKER: &str = "\n# Generated: home cells of the jobs of ";

/// Minimum number of entries in the list of homes before [`reduce`], unless the job has fewer tasks.
///
/// With this many entries, the share of each cell differs from its share of the capacity by a few percent.
const MIN_ENTRIES: usize = 16;

/// Number of tasks per entry in a list that is longer than the minimum.
///
/// A high number keeps the list short, since each entry is stored and kept in memory. A cell holds hundreds of tasks at
/// once.
const TASKS_PER_ENTRY: usize = 32;

/// Appends the homes of the document's jobs to its text, and returns the text to store.
///
/// `document` is the document's name, and `plan` is compiled from `text` and all other documents. `previous` is the
/// stored text of the previous version. Homes are copied from it for each job and run that it contains, and computed
/// for the others.
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
        // The debug format is valid TOML here, since names contain no character that TOML or Rust escapes.
        let _ = writeln!(stored_text, "{key:?} = {homes:?}");
    }
    stored_text
}

/// The operator's part of a stored text, without the generated part.
pub fn strip_homes(text: &str) -> &str {
    text.rfind(GENERATED_MARKER).map_or(text, |at| &text[..at])
}

/// Whether the generated part of a stored text has the form that [`append_homes`] writes, with the table of homes at
/// byte `offset`.
///
/// In any other form, [`strip_homes`] can return generated lines as the operator's, or drop lines of the operator.
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

/// Computes the homes of all jobs without homes.
pub(crate) fn assign_missing(plan: &mut Plan) {
    for index in 0..plan.jobs.len() {
        if plan.jobs[index].homes.is_empty() {
            plan.jobs[index].homes = assign(plan, &plan.jobs[index]);
        }
    }
}

/// Computes the homes of a job: the cells that hold its tasks, listed in proportion to their capacity.
///
/// Cells are ordered by the rendezvous hash of the job, so that the lists of different jobs start at different cells.
/// The result is empty if a task fits on no VM that the job may use.
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

/// Number of entries in the list of homes before [`reduce`], for a number of cells and tasks.
///
/// For few cells, it is a multiple of their number, so that equal cells get equal shares. It never exceeds `tasks`.
fn entry_count(cells: usize, tasks: usize) -> usize {
    let entries = if cells < MIN_ENTRIES {
        cells * MIN_ENTRIES.div_ceil(cells)
    } else {
        (tasks / TASKS_PER_ENTRY).clamp(MIN_ENTRIES, cells)
    };
    entries.min(tasks)
}

/// Cells with their capacity, in descending order of their rendezvous hash with the job.
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

/// Divides `total` in proportion to `weights`; each result is the exact share, rounded up or down.
///
/// Uses systematic sampling. If `total` is smaller than the number of weights, the order decides along with the weight
/// which ones get an entry.
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

/// Lists each cell as often as its count, in rounds that contain each cell at most once.
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

/// Keys in the table of homes and identities of the jobs of a text.
fn job_ids(text: &str) -> Vec<(String, job::Id)> {
    let identity = |job: &draft::job::Job| job::Id::of(&job.name.value, job.run);
    read_document(text)
        .map(|document| document.jobs.iter().map(|job| (job.body.home_key(), identity(&job.body))).collect())
        .unwrap_or_default()
}

/// Homes in a stored text, by key of the job (`name#run`).
fn stored_homes(text: &str) -> BTreeMap<String, Vec<String>> {
    let Some(document) = read_document(text) else { return BTreeMap::new() };
    let names = |home: &draft::home::Home| {
        home.cells.value.iter().map(|(zone, index)| format!("{zone}/{index}")).collect()
    };
    document.homes.iter().map(|home| (home.job.clone(), names(home))).collect()
}

/// Reads a text that is already checked, and drops its findings; `None` on syntax errors.
fn read_document(text: &str) -> Option<draft::Document> {
    let mut report = Report::default();
    let tree = check::parse(0, text, &mut report)?;
    Some(draft::read(&Table::root(0, tree.get_ref()), true, &mut report))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against lists that grow with the number of cells, and against equal cells with unequal shares.
    #[test]
    fn entry_count_depends_on_tasks_with_many_cells() {
        assert_eq!(entry_count(3, 1000), 18);
        assert_eq!(entry_count(483, 40), 16);
        assert_eq!(entry_count(483, 1200), 37);
        assert_eq!(entry_count(483, 1_000_000), 483);
        assert_eq!(entry_count(3, 2), 2);
    }

    /// Guards against entries that rounding drops or counts twice.
    #[test]
    fn apportion_gives_each_cell_its_share() {
        assert_eq!(apportion(&[1; 5], 2).iter().sum::<usize>(), 2);
        assert_eq!(apportion(&[80, 80, 140, 140], 22), [4, 4, 7, 7]);
        assert_eq!(reduce(apportion(&[7, 7, 7], 18)), [1, 1, 1]);
    }
}
