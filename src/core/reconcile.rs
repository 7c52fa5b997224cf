//! Reconciliation of a worker's report with the reservations and the log records that this process has for it.
//!
//! Every granted control call returns the running and the ended work of the worker. The owner stops tasks that the log
//! does not assign there, appends outcomes to the log, and repeats starts and stops that the worker did not execute. It
//! neither stops nor acknowledges work of another cell, whose log it does not know.

use super::cell::{self, Role};
use super::control::{Command, Ended, Outcome, Reply, Running, Work};
use super::effect::Effect;
use super::state::{State, record};
use super::task::{self, Stage};
use super::trace::Subject;
use super::worker::{self, Key, Reservation, Worker};
use super::{place, replica};
use crate::declare::size::Size;

/// Reconciles the reservations and tasks of a worker with its reply to the call `sequence`.
pub(super) fn reconcile(state: &mut State, key: Key, sequence: u64, reply: &Reply, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get(key) else { return };
    let Some(cell) = state.cells.key(worker.cell) else { return };
    for running in &reply.running {
        handle_running(state, key, cell, sequence, running);
    }
    for ended in &reply.ended {
        handle_ended(state, key, cell, ended, out);
    }
    let unreported = find_unreported(state, key, sequence, reply);
    for (work, reservation) in unreported {
        handle_unreported(state, key, cell, work, reservation);
    }
    place::schedule_pass(state, cell);
}

/// Confirms the reservation of a unit of work that the worker reports as running, or adds one. The reported size
/// replaces the reserved one.
fn handle_running(state: &mut State, key: Key, cell: cell::Key, sequence: u64, running: &Running) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    let added = Reservation::new(Size::default(), running.attempt);
    let reservation = worker.reservations.entry(running.work).or_insert(added);
    worker.used -= reservation.size;
    worker.used += running.size;
    reservation.size = running.size;
    reservation.is_confirmed = true;
    match running.work {
        Work::Batch(id) => handle_running_task(state, key, cell, sequence, id, running.attempt),
        Work::Replica(run) => replica::record_running(state, cell, key, run, running.service),
    }
}

fn handle_running_task(
    state: &mut State,
    key: Key,
    cell: cell::Key,
    sequence: u64,
    id: task::Id,
    attempt: u32,
) {
    let is_foreign = task::is_foreign(state, cell, id);
    let Some(home) = state.cells.get(cell) else { return };
    let (worker, is_owner) = (state.workers.get(key).map(|worker| worker.id), home.role == Role::Owner);
    let key_of_task = home.tasks.get(&id).copied();
    let task = key_of_task.and_then(|task| state.tasks.get_mut(task));
    match task {
        Some(task) if task.is_assigned_to(worker, attempt) => match task.stage {
            Stage::Starting => task.stage = Stage::Running,
            Stage::Stopping if is_owner => {
                let reservation = state.workers.get(key).and_then(|w| w.reservations.get(&Work::Batch(id)));
                let is_lost = reservation.is_some_and(|reservation| reservation.stop_sequence < sequence);
                if let Some(task) = key_of_task.filter(|_| is_lost) {
                    task::send_stop(state, task);
                }
            }
            _ => {}
        },
        // The log does not assign this attempt to this worker, so it has to stop.
        _ if is_owner && !is_foreign => {
            let Some(worker) = worker else { return };
            worker::queue_command(
                state,
                worker,
                Command::Stop { work: Work::Batch(id), attempt, checkpoint: false },
            );
        }
        _ => {}
    }
}

/// Handles a unit of work that the worker reports as ended.
fn handle_ended(state: &mut State, key: Key, cell: cell::Key, ended: &Ended, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get(key) else { return };
    let id = worker.id;
    match ended.work {
        Work::Replica(run) => {
            worker::unreserve(state, id, ended.work);
            worker::acknowledge(state, id, ended.work, ended.attempt);
            replica::remove(state, cell, run);
        }
        Work::Batch(task) => {
            let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return };
            let known = home.tasks.get(&task).copied().and_then(|task| state.tasks.get(task));
            if known.is_some_and(|known| known.is_assigned_to(Some(id), ended.attempt)) {
                quarantine_if_failing(state, key, task, ended.outcome, out);
                task::propose_outcome(state, cell, task, ended.attempt, ended.outcome);
            } else {
                // The worker repeats the report until it is acknowledged. By then the reservation can belong to a later
                // attempt of the same task, which keeps it.
                let worker = state.workers.get(key);
                let reservation = worker.and_then(|worker| worker.reservations.get(&ended.work));
                if reservation.is_some_and(|reservation| reservation.attempt == ended.attempt) {
                    worker::unreserve(state, id, ended.work);
                }
                if !task::is_foreign(state, cell, task) {
                    worker::acknowledge(state, id, ended.work, ended.attempt);
                }
            }
        }
    }
}

/// Counts the outcome of a task, and quarantines the worker once `quarantine_failures` different tasks failed there
/// without a success in between, unless the cell has reached its limit of quarantined workers. A quarantined worker
/// gets no batch tasks.
fn quarantine_if_failing(
    state: &mut State,
    key: Key,
    task: task::Id,
    outcome: Outcome,
    out: &mut Vec<Effect>,
) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    match outcome {
        Outcome::Finished => worker.failed_tasks.clear(),
        Outcome::Failed if !worker.failed_tasks.contains(&task) => worker.failed_tasks.push(task),
        _ => {}
    }
    let (id, cell) = (worker.id, worker.cell);
    if worker.failed_tasks.len() < tuning.quarantine_failures as usize {
        return;
    }
    let total = state.workers.in_cell(cell).count();
    let is_quarantined = |worker: &Worker| worker.quarantined_until.is_some_and(|until| now < until);
    let others =
        state.workers.in_cell(cell).filter(|(other, worker)| *other != key && is_quarantined(worker)).count();
    // In a small cell the percentage rounds down to zero; one worker may be quarantined there if another one remains.
    let max_quarantined =
        (total * tuning.quarantine_percent as usize / 100).max(1).min(total.saturating_sub(1));
    if others >= max_quarantined {
        return;
    }
    if let Some(worker) = state.workers.get_mut(key).filter(|worker| !is_quarantined(worker)) {
        worker.quarantined_until = Some(now + tuning.quarantine_duration);
        worker.failed_tasks.clear();
        let reason = format!("{} tasks failed with no success in between", tuning.quarantine_failures);
        record(out, Subject::Worker(id), "quarantine", reason);
    }
}

/// Reservations for work that the reply does not list, although the start command was in an earlier call.
fn find_unreported(state: &State, key: Key, sequence: u64, reply: &Reply) -> Vec<(Work, Reservation)> {
    let Some(worker) = state.workers.get(key) else { return Vec::new() };
    let is_listed = |work: &Work| {
        reply.running.iter().any(|running| running.work == *work)
            || reply.ended.iter().any(|ended| ended.work == *work)
    };
    let mut unreported: Vec<(Work, Reservation)> = worker
        .reservations
        .iter()
        .filter(|(work, reservation)| reservation.start_sequence < sequence && !is_listed(work))
        .map(|(work, reservation)| (*work, *reservation))
        .collect();
    unreported.sort_unstable_by_key(|(work, _)| *work);
    unreported
}

/// Handles work that is not on the worker: repeats a start that was not executed, and treats everything else as lost.
fn handle_unreported(state: &mut State, key: Key, cell: cell::Key, work: Work, reservation: Reservation) {
    let Some((id, instance)) = state.workers.get(key).map(|worker| (worker.id, worker.instance)) else {
        return;
    };
    match work {
        Work::Replica(run) => {
            worker::unreserve(state, id, work);
            replica::remove(state, cell, run);
        }
        Work::Batch(task) => {
            let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return };
            let Some(known) = home.tasks.get(&task).copied() else {
                return worker::unreserve(state, id, work);
            };
            let Some(found) = state.tasks.get(known) else { return };
            let is_same = found.is_assigned_to_instance(id, instance);
            match found.stage {
                // A task whose `Assign` record is not yet in the log has a reservation but no start command. A reported
                // task has ended, and its outcome waits for the log.
                Stage::Proposed(_) | Stage::Reported => {}
                Stage::Starting if !reservation.is_confirmed && is_same => task::send_start(state, known),
                _ => task::propose_lost(state, cell, task, reservation.attempt),
            }
        }
    }
}
