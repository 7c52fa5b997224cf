//! Tasks that crash the workers that start them.
//!
//! The crash of a worker ends all of its runs, so a single crash does not tell which task has caused it, if any. A task that
//! crashes a worker with its start is never listed by that worker. After a crash, every task with such a start becomes a
//! suspect. Suspects are started one at a time on a worker: none while another start there is not listed yet. So the next
//! crash by the same task has only one possible cause. A job fails after [`CRASHES_MAX`] crashes under one of its tasks of
//! which [`SOLE_CRASHES_MAX`] had no other possible cause.

use std::time::Duration;

use super::journal::{self, Change};
use super::request;
use super::run::{self, Phase};
use super::worker::{self, Readiness};
use super::{lifecycle, state, task};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Crashes under a task after which it is given up.
const CRASHES_MAX: usize = 3;

/// How many of them must have had no other possible cause among the tasks. Workers crash for other reasons, too.
const SOLE_CRASHES_MAX: usize = 2;

/// Time that a worker process must have run for its crash to be blamed on one task; one that crashes soon after its start
/// has probably another fault.
const UPTIME_MIN: Duration = Duration::from_secs(4);

/// Longest time from a start to the crash that it causes, where the time of the crash is known.
const START_TO_CRASH_MAX: Duration = Duration::from_millis(500);

/// A start that a worker has not listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// The started task.
    pub task: task::Key,
    /// Number of the run.
    pub number: u32,
    /// When the order to start was sent.
    pub sent: Instant,
}

/// Whether a suspect may be started on a worker: its process has run for a while and has listed all of its runs.
pub(super) fn accepts_suspect(worker: &worker::Worker, now: Instant) -> bool {
    worker.unlisted_runs == 0 && has_uptime(worker, now)
}

fn has_uptime(worker: &worker::Worker, at: Instant) -> bool {
    worker.process_known_at.is_some_and(|known_at| at.since(known_at) >= UPTIME_MIN)
}

/// Notes that a worker has listed a run, so its start has not crashed the worker.
pub(super) fn note_listed(state: &mut super::State, key: run::Key) {
    let Some(run) = state.runs.get_mut(key) else { return };
    if std::mem::replace(&mut run.is_listed, true) {
        return;
    }
    if let Some(worker) = state.workers.all.get_mut(run.worker) {
        worker.note_listed(key);
    }
}

/// Starts on a worker that it has not listed, of tasks that may have crashed it. A start in flight has not arrived, and one
/// of a run that `survives` was made in the new process.
fn unlisted_starts(
    state: &super::State,
    key: worker::Key,
    survives: impl Fn(&run::Run) -> bool,
) -> Vec<Start> {
    let runs = state.workers.all[key].runs.iter().filter_map(|run| state.runs.get(*run));
    runs.filter(|run| !run.is_listed && !survives(run))
        .filter(|run| !matches!(run.phase, Phase::Starting))
        .filter_map(|run| run.task.map(|task| Start { task, number: run.number, sent: run.started_at }))
        .collect()
}

/// Keeps the unlisted starts of a worker whose leases have expired, until it is known whether its process has ended.
pub(super) fn keep_unlisted_starts(state: &mut super::State, key: worker::Key) {
    let starts = unlisted_starts(state, key, |_| false);
    state.workers.all[key].lost_starts.extend(starts);
}

/// Records that the process of a worker has ended without notice. Called before its runs are dropped.
pub(super) fn record(
    state: &mut super::State,
    key: worker::Key,
    survives: impl Fn(&run::Run) -> bool,
    out: &mut Vec<Effect>,
) {
    let mut starts = unlisted_starts(state, key, survives);
    let worker = &mut state.workers.all[key];
    starts.append(&mut worker.lost_starts);
    if worker.report.as_ref().is_some_and(|report| report.readiness == Readiness::Draining) {
        return;
    }
    let ended_at = worker.silent_since.unwrap_or(state.now);
    let is_sole = starts.len() == 1
        && has_uptime(worker, ended_at)
        && worker.reset_at.is_none_or(|at| at.since(starts[0].sent) <= START_TO_CRASH_MAX);
    let id = worker.id.clone();
    for start in &starts {
        record_task(state, *start, is_sole, out, |number, name| {
            format!("run {number} of {name} on {id}, one of {} possible causes", starts.len())
        });
    }
}

/// Records a crash under a task, and gives the task up after too many.
fn record_task(
    state: &mut super::State,
    Start { task: key, number, .. }: Start,
    is_sole: bool,
    out: &mut Vec<Effect>,
    describe: impl Fn(u32, super::spec::Name) -> String,
) {
    let Some(task) = state.jobs.tasks.get_mut(key) else { return };
    if task.crashed_runs.contains(&number) {
        return;
    }
    task.crashed_runs.push(number);
    if is_sole {
        task.sole_crashes.push(number);
    }
    let (job, name) = (task.job, task.name);
    let (crashes, sole) = (task.crashed_runs.len(), task.sole_crashes.len());
    state::record(out, Subject::Job(name.job), "crash", describe(number, name));
    if crashes >= CRASHES_MAX && sole >= SOLE_CRASHES_MAX {
        let reason = format!("{crashes} workers crashed under {name}, {sole} of them with no other cause");
        state::record(out, Subject::Job(name.job), "give-up", reason);
        return lifecycle::end_job(state, job, request::Phase::Failed, out);
    }
    let change = journal::enqueue(state, Change::Progress(job));
    if let Some(task) = state.jobs.tasks.get_mut(key) {
        task.awaited_change = change;
    }
}
