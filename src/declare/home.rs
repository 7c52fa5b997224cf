//! Homes: the cells that own the tasks of a job.
//!
//! A home is decided once, when the job first appears, and is stored with its document. Later changes of zones, cells or
//! pools do not move it, so that a task never has two homes.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use super::capacity::{self, Room};
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
const MARKER: &str = "\n# Generated: home cells of the jobs of ";

/// Fewest entries of a list of homes for a job with more tasks; shares then differ from capacity by a few percent.
const MIN_ENTRIES: usize = 16;

/// Tasks for each further entry. A cell holds hundreds of tasks at once, and each entry is stored and kept in memory.
const TASKS_PER_ENTRY: usize = 32;

/// Appends the homes of the document's jobs to its text.
///
/// `plan` is compiled from `text` and all other documents. Homes of a job and run that are in `previous`, the stored text
/// of the earlier version, are kept; others are computed. `document` names the document.
pub fn seal(text: &str, document: &str, plan: &Plan, previous: Option<&str>) -> String {
    let kept: BTreeMap<String, Vec<String>> = previous.map(stored).unwrap_or_default();
    let by_id: Map<job::Id, &Job> = plan.jobs.iter().map(|job| (job.id, job)).collect();
    let mut sealed = format!("{text}{MARKER}{document}. Do not edit.\n[{HOMES}]\n");
    for (label, id) in jobs(text) {
        let homes = match (kept.get(&label), by_id.get(&id)) {
            (Some(homes), _) => homes.clone(),
            (None, Some(job)) => compute(plan, job).iter().filter_map(|cell| label_of(plan, *cell)).collect(),
            (None, None) => continue,
        };
        // Names hold no character that TOML or Rust would escape.
        let _ = writeln!(sealed, "{label:?} = {homes:?}");
    }
    sealed
}

/// The operator's part of a stored text.
pub fn unseal(text: &str) -> &str {
    text.rfind(MARKER).map_or(text, |at| &text[..at])
}

/// Whether the generated part of a stored text is as [`seal`] writes it, with the table of homes at `offset`.
///
/// Otherwise [`unseal`] would take generated lines for the operator's or the reverse.
pub(crate) fn is_intact(text: &str, offset: usize) -> bool {
    let part = &text[unseal(text).len()..];
    let header = format!("\n[{HOMES}]\n");
    let Some((comment, lines)) = part.split_once(&header) else { return false };
    let is_entry = |line: &str| line.starts_with('"') && line.ends_with(']');
    text.len() - lines.len() == offset + header.len() - "\n[".len()
        && comment.starts_with(MARKER)
        && comment.lines().count() == 2
        && lines.lines().all(is_entry)
}

/// Computes the homes of all jobs that have none.
pub(crate) fn fill(plan: &mut Plan) {
    for at in 0..plan.jobs.len() {
        if plan.jobs[at].homes.is_empty() {
            plan.jobs[at].homes = compute(plan, &plan.jobs[at]);
        }
    }
}

/// Homes for a job that has none: cells that may hold its tasks, in proportion to their capacity.
///
/// The order is by rendezvous hash of the job, so that different jobs start at different cells. Empty if no VM that the
/// job may use holds a task.
pub(crate) fn compute(plan: &Plan, job: &Job) -> Vec<cell::Id> {
    let rooms = capacity::rooms(plan, &job.filter, &job.size);
    let cells = ranked(&rooms, job);
    let weights: Vec<u64> = cells.iter().map(|(_, weight)| *weight).collect();
    if cells.is_empty() {
        return Vec::new();
    }
    let counts = sample(&weights, entries(cells.len(), job.tasks as usize));
    interleave(&cells, &reduce(counts))
}

/// Length of the list of homes; a multiple of a small number of cells, so that equal cells get equal shares.
fn entries(cells: usize, tasks: usize) -> usize {
    let entries = if cells < MIN_ENTRIES {
        cells * MIN_ENTRIES.div_ceil(cells)
    } else {
        (tasks / TASKS_PER_ENTRY).clamp(MIN_ENTRIES, cells)
    };
    entries.min(tasks)
}

fn ranked(rooms: &[Room], job: &Job) -> Vec<(cell::Id, u64)> {
    let all = rooms.iter().flat_map(|room| {
        (0..room.cells).map(move |index| (cell::Id { zone: room.id, index }, room.per_cell))
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
fn sample(weights: &[u64], total: usize) -> Vec<usize> {
    let sum: u128 = weights.iter().map(|weight| u128::from(*weight)).sum::<u128>().max(1);
    let mut cumulated = 0;
    let mut given = 0;
    let share = |weight: &u64| {
        cumulated += u128::from(*weight);
        let until = (cumulated * total as u128 + sum / 2) / sum;
        let count = until as usize - given;
        given += count;
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

fn label_of(plan: &Plan, cell: cell::Id) -> Option<String> {
    let (_, zone) = plan.zone(cell.zone)?;
    Some(format!("{}/{}", zone.name, cell.index))
}

/// Labels and identities of the jobs of a text.
fn jobs(text: &str) -> Vec<(String, job::Id)> {
    let identity = |job: &draft::job::Job| job::Id::of(&job.name.value, job.run);
    read(text)
        .map(|document| document.jobs.iter().map(|job| (job.body.label(), identity(&job.body))).collect())
        .unwrap_or_default()
}

/// Homes in a stored text, by label of the job.
fn stored(text: &str) -> BTreeMap<String, Vec<String>> {
    let Some(document) = read(text) else { return BTreeMap::new() };
    let names = |home: &draft::home::Home| {
        home.cells.value.iter().map(|(zone, index)| format!("{zone}/{index}")).collect()
    };
    document.homes.iter().map(|home| (home.job.clone(), names(home))).collect()
}

/// Reads a text that was checked before.
fn read(text: &str) -> Option<draft::Document> {
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
        assert_eq!(entries(3, 1000), 18);
        assert_eq!(entries(483, 40), 16);
        assert_eq!(entries(483, 1200), 37);
        assert_eq!(entries(483, 1_000_000), 483);
        assert_eq!(entries(3, 2), 2);
    }

    /// Guards against entries that are lost or doubled by rounding.
    #[test]
    fn sample_gives_each_its_share() {
        assert_eq!(sample(&[1; 5], 2).iter().sum::<usize>(), 2);
        assert_eq!(sample(&[80, 80, 140, 140], 22), [4, 4, 7, 7]);
        assert_eq!(reduce(sample(&[7, 7, 7], 18)), [1, 1, 1]);
    }
}
