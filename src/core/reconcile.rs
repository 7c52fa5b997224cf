//! Comparing what a worker reports with what this process believes to be on it.

use super::cell::{self, Role};
use super::control::{Command, Ended, Outcome, Reply, Running, Work};
use super::effect::Effect;
use super::state::{State, record};
use super::task::{self, Stage};
use super::trace::Subject;
use super::worker::{self, Key, Load, Worker};
use super::{place, replica};

/// Compares what this process believes to be on the worker with what the worker says.
pub(super) fn reconcile(state: &mut State, key: Key, sequence: u64, reply: &Reply, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get(key) else { return };
    let Some(cell) = state.cells.key(worker.cell) else { return };
    for running in &reply.running {
        found(state, key, cell, running);
    }
    for ended in &reply.ended {
        finished(state, key, cell, ended, out);
    }
    let missing = missing(state, key, sequence, reply);
    for (work, load) in missing {
        absent(state, key, cell, work, load);
    }
    place::schedule_pass(state, cell);
}

/// Work on the worker's list.
fn found(state: &mut State, key: Key, cell: cell::Key, running: &Running) {
    let Some(worker) = state.workers.get_mut(key) else { return };
    match worker.load.get_mut(&running.work) {
        Some(load) => load.is_confirmed = true,
        None => {
            let load = Load { size: running.size, attempt: running.attempt, sent: 0, is_confirmed: true };
            worker.load.insert(running.work, load);
            worker.used += running.size;
        }
    }
    match running.work {
        Work::Batch(id) => task_found(state, key, cell, id, running.attempt),
        Work::Replica(run) => replica::record_running(state, cell, key, run, running.service),
    }
}

fn task_found(state: &mut State, key: Key, cell: cell::Key, id: task::Id, attempt: u32) {
    let Some(home) = state.cells.get(cell) else { return };
    let (worker, is_owner) = (state.workers.get(key).map(|worker| worker.id), home.role == Role::Owner);
    let task = home.tasks.get(&id).copied().and_then(|task| state.tasks.get_mut(task));
    match task {
        Some(task) if task.is_assigned_to(worker, attempt) => {
            task.stage = if task.stage == Stage::Starting { Stage::Running } else { task.stage };
        }
        // The log does not say that the task runs here, so it must not go on.
        _ if is_owner => {
            let Some(worker) = worker else { return };
            worker::command(
                state,
                worker,
                Command::Stop { work: Work::Batch(id), attempt, checkpoint: false },
            );
        }
        _ => {}
    }
}

/// A unit of work ended.
fn finished(state: &mut State, key: Key, cell: cell::Key, ended: &Ended, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.get(key) else { return };
    let id = worker.id;
    match ended.work {
        Work::Replica(run) => {
            worker::free(state, id, ended.work);
            worker::acknowledge(state, id, ended.work, ended.attempt);
            replica::remove(state, cell, run);
        }
        Work::Batch(task) => {
            let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return };
            let known = home.tasks.get(&task).copied().and_then(|task| state.tasks.get(task));
            if known.is_some_and(|known| known.is_assigned_to(Some(id), ended.attempt)) {
                judge(state, key, task, ended.outcome, out);
                task::propose_outcome(state, cell, task, ended.attempt, ended.outcome);
            } else {
                // The report can be repeated until it is acknowledged, when a later attempt has its room here.
                let worker = state.workers.get(key);
                let load = worker.and_then(|worker| worker.load.get(&ended.work));
                if load.is_some_and(|load| load.attempt == ended.attempt) {
                    worker::free(state, id, ended.work);
                }
                worker::acknowledge(state, id, ended.work, ended.attempt);
            }
        }
    }
}

/// Takes a worker that fails everything out of batch placement for a while.
fn judge(state: &mut State, key: Key, task: task::Id, outcome: Outcome, out: &mut Vec<Effect>) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    match outcome {
        Outcome::Finished => worker.failures.clear(),
        Outcome::Failed if !worker.failures.contains(&task) => worker.failures.push(task),
        _ => {}
    }
    let (id, cell) = (worker.id, worker.cell);
    if worker.failures.len() < tuning.quarantine_failures as usize {
        return;
    }
    let total = state.workers.of(cell).count();
    let is_out = |worker: &Worker| worker.quarantined.is_some_and(|until| now < until);
    let others = state.workers.of(cell).filter(|(other, worker)| *other != key && is_out(worker)).count();
    // A small cell may still lose one worker to this rule, as long as another one remains.
    let most = (total * tuning.quarantine_percent as usize / 100).max(1).min(total.saturating_sub(1));
    if others >= most {
        return;
    }
    if let Some(worker) = state.workers.get_mut(key).filter(|worker| !is_out(worker)) {
        worker.quarantined = Some(now + tuning.quarantine_duration);
        worker.failures.clear();
        let reason = format!("{} tasks failed with no success between", tuning.quarantine_failures);
        record(out, Subject::Worker(id), "quarantine", reason);
    }
}

/// Load that the worker does not list, although the call that started it came before this reply.
fn missing(state: &State, key: Key, sequence: u64, reply: &Reply) -> Vec<(Work, Load)> {
    let Some(worker) = state.workers.get(key) else { return Vec::new() };
    let is_listed = |work: &Work| {
        reply.running.iter().any(|running| running.work == *work)
            || reply.ended.iter().any(|ended| ended.work == *work)
    };
    let mut missing: Vec<(Work, Load)> = worker
        .load
        .iter()
        .filter(|(work, load)| load.sent < sequence && !is_listed(work))
        .map(|(work, load)| (*work, *load))
        .collect();
    missing.sort_unstable_by_key(|(work, _)| *work);
    missing
}

/// The worker surely does not have this work: a start that was not executed is repeated, all else is gone.
fn absent(state: &mut State, key: Key, cell: cell::Key, work: Work, load: Load) {
    let Some((id, instance)) = state.workers.get(key).map(|worker| (worker.id, worker.instance)) else {
        return;
    };
    match work {
        Work::Replica(run) => {
            worker::free(state, id, work);
            replica::remove(state, cell, run);
        }
        Work::Batch(task) => {
            let Some(home) = state.cells.get(cell).filter(|home| home.role == Role::Owner) else { return };
            let Some(known) = home.tasks.get(&task).copied() else { return worker::free(state, id, work) };
            let Some(found) = state.tasks.get(known) else { return };
            let is_same = found.is_assigned_to_instance(id, instance);
            match found.stage {
                // An `Assign` that waits for the log reserves room without a start.
                Stage::Proposed(_) | Stage::Reported => {}
                Stage::Starting if !load.is_confirmed && is_same => task::send_start(state, known),
                _ => task::propose_lost(state, cell, task, load.attempt),
            }
        }
    }
}
