//! Evacuation of availability zones: from the operator's request until its end, no run starts on the workers of a zone.
//!
//! The requests are keys of the store. The leader lists them before its first placement and watches them from then on. Runs
//! that are at work in an evacuated zone go on.

use std::collections::BTreeMap;

use super::store::{Change, Item, Removed, Revision};
use super::{place, state, worker};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::hash::Set;

/// Evacuated zones by name, with the time at which this process learned of each request.
#[derive(Debug, Clone, Default)]
pub struct Table {
    zones: BTreeMap<String, Instant>,
}

impl Table {
    /// Whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Evacuates a zone; returns whether it was not evacuated before.
    fn begin(&mut self, zone: &str, now: Instant) -> bool {
        let is_new = !self.contains(zone);
        if is_new {
            self.zones.insert(zone.to_owned(), now);
        }
        is_new
    }

    /// Ends the evacuation of a zone; returns since when it lasted, `None` if the zone was not evacuated.
    fn end(&mut self, zone: &str) -> Option<Instant> {
        self.zones.remove(zone)
    }

    /// Zones that are evacuated although they are not among `requested`.
    fn ended(&self, requested: &Set<String>) -> Vec<String> {
        self.zones.keys().filter(|zone| !requested.contains(*zone)).cloned().collect()
    }
}

/// Handles a complete list of the requests.
pub(super) fn handle_list(state: &mut super::State, items: Vec<(Item, Revision)>, out: &mut Vec<Effect>) {
    let zone = |(item, _)| match item {
        Item::Evacuation(zone) => Some(zone),
        _ => None,
    };
    let requested: Set<String> = items.into_iter().filter_map(zone).collect();
    for zone in state.evacuations.ended(&requested) {
        end(state, &zone, out);
    }
    for zone in &requested {
        begin(state, zone, out);
    }
}

/// Handles changes of the requests.
pub(super) fn handle_changes(state: &mut super::State, changes: Vec<Change>, out: &mut Vec<Effect>) {
    for change in changes {
        match change {
            Change::Set(Item::Evacuation(zone), _) => begin(state, &zone, out),
            Change::Removed(Removed::Evacuation(zone)) => end(state, &zone, out),
            _ => {}
        }
    }
}

fn begin(state: &mut super::State, zone: &str, out: &mut Vec<Effect>) {
    if !state.evacuations.begin(zone, state.now) {
        return;
    }
    let workers = mark_workers(&mut state.workers, &mut state.placement, zone, true);
    let runs = workers.iter().map(|key| state.workers.all[*key].runs.len()).sum::<usize>();
    let reason = match workers.len() {
        0 => format!("zone {zone} has no known workers; zones with workers: {}", zone_names(&state.workers)),
        count => format!("zone {zone}: {count} workers, {runs} runs go on"),
    };
    state::record(out, Subject::Process, "evacuate", reason);
}

fn end(state: &mut super::State, zone: &str, out: &mut Vec<Effect>) {
    let Some(since) = state.evacuations.end(zone) else { return };
    let workers = mark_workers(&mut state.workers, &mut state.placement, zone, false);
    let (count, elapsed_ms) = (workers.len(), state.now.since(since).as_millis());
    let reason = format!("zone {zone}: {count} workers take runs again after {elapsed_ms} ms");
    state::record(out, Subject::Process, "evacuation-ended", reason);
    state.schedule_placement();
}

/// Marks the workers of a zone as evacuated or not, and returns them.
fn mark_workers(
    workers: &mut worker::Table,
    placement: &mut place::Memory,
    zone: &str,
    is_evacuated: bool,
) -> Vec<worker::Key> {
    let in_zone = |worker: &worker::Worker| worker.report.as_ref().is_some_and(|report| report.zone == zone);
    let mut marked = Vec::new();
    for (key, worker) in workers.all.iter_mut().filter(|(_, worker)| in_zone(worker)) {
        worker.set_evacuated(is_evacuated);
        placement.forget(key);
        marked.push(key);
    }
    marked
}

/// Names of the zones that the known workers report, in order.
fn zone_names(workers: &worker::Table) -> String {
    let reports = workers.all.values().filter_map(|worker| worker.report.as_ref());
    let mut names: Vec<&str> = reports.map(|report| report.zone.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names.join(", ")
}

/// Number of runs on the workers of evacuated zones.
pub(super) fn count_runs(state: &super::State) -> u64 {
    if state.evacuations.is_empty() {
        return 0;
    }
    let evacuated = state.workers.all.values().filter(|worker| worker.is_evacuated);
    evacuated.map(|worker| worker.runs.len() as u64).sum()
}
