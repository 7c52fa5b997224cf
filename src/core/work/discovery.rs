//! Discovery of workers: applies the workers' reports in the store to the table of workers.

use super::store::{Change, Item, Removed, Revision};
use super::worker::{Readiness, Report};
use super::{control, journal, renewal, state};
use crate::core::effect::Effect;
use crate::core::trace::Subject;

/// Handles a complete list of reports. Known workers without a report are unlisted.
pub(super) fn handle_list(state: &mut super::State, items: Vec<(Item, Revision)>, out: &mut Vec<Effect>) {
    let closed_before = state.workers.closed_count();
    let mut listed = crate::hash::Set::default();
    for (item, _) in items {
        if let Item::Worker(id, Some(report)) = item {
            update_worker(state, &id, report, out);
            listed.insert(id);
        }
    }
    let missing: Vec<String> = state
        .workers
        .all
        .values()
        .filter(|worker| worker.is_listed && !listed.contains(&worker.id))
        .map(|worker| worker.id.clone())
        .collect();
    for id in missing {
        unlist_worker(state, &id, out);
    }
    write_roster(state, closed_before, out);
    state.schedule_placement();
}

/// Handles changes of reports.
pub(super) fn handle_changes(state: &mut super::State, changes: Vec<Change>, out: &mut Vec<Effect>) {
    let closed_before = state.workers.closed_count();
    for change in changes {
        match change {
            Change::Set(Item::Worker(id, Some(report)), _) => update_worker(state, &id, report, out),
            Change::Removed(Removed::Worker(id)) => unlist_worker(state, &id, out),
            _ => {}
        }
    }
    write_roster(state, closed_before, out);
    state.schedule_placement();
}

/// Writes the roster if workers have come, or if more of them than before take no new runs.
fn write_roster(state: &mut super::State, closed_before: usize, out: &mut Vec<Effect>) {
    if state.workers.closed_count() > closed_before {
        journal::retire_vacated(state, out);
    }
    journal::enroll(state, out);
}

fn update_worker(state: &mut super::State, id: &str, report: Report, out: &mut Vec<Effect>) {
    let key = state.workers.get_or_insert(id, report.address, state.now);
    let worker = &mut state.workers.all[key];
    let is_new = !worker.is_listed;
    let begins_draining = report.readiness == Readiness::Draining
        && worker.report.as_ref().is_none_or(|old| old.readiness == Readiness::Ready);
    if begins_draining {
        state::record(out, Subject::Process, "worker-drains", id.to_owned());
    }
    // The next leader finds a worker at its address in the roster, so a new address is written before a task starts there.
    worker.is_enrolled &= worker.address == report.address;
    worker.is_enrolled_closed &= worker.address == report.address;
    let was_closed = worker.is_closed();
    worker.address = report.address;
    worker.is_listed = true;
    worker.is_retired &= report.readiness == Readiness::Draining;
    if worker.report.as_ref() != Some(&report) {
        worker.set_evacuated(state.evacuations.contains(&report.zone));
        worker.set_report(report);
        state.placement.forget(key);
    }
    let worker = &mut state.workers.all[key];
    if was_closed && !worker.is_closed() {
        // The stored roster may name the tasks that are left on it, so a later one without them comes first.
        worker.is_enrolled = false;
        worker.is_enrolled_closed = false;
        worker.remaining = None;
    }
    if begins_draining {
        control::stop_long_running(state, key, out);
    }
    // A new process is called at once: it gets no runs before it has answered, and its runs of before are gone.
    let is_unmet = !state.workers.all[key].has_current_report();
    if (is_new || is_unmet) && state.load.is_none() {
        renewal::schedule_now(state, key);
        renewal::send_if_due(state, key, out);
    }
}

fn unlist_worker(state: &mut super::State, id: &str, out: &mut Vec<Effect>) {
    let Some(key) = state.workers.by_id.get(id).copied() else { return };
    let worker = &mut state.workers.all[key];
    worker.is_listed = false;
    state::record(out, Subject::Process, "worker-unlisted", id.to_owned());
}
