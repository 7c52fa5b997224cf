//! Tasks that crash the workers that start them.
//!
//! The crash of a worker ends all of its runs, so a single crash does not tell which task has caused it, if any. A task that
//! crashes its workers does so shortly after its start. After a crash, every task with such a start on the worker becomes a
//! suspect. Suspects are started one at a time on a worker: not shortly after another start, and nothing is started beside
//! them until they have survived. So the next crash by the same task has only one possible cause. A job fails after
//! `CRASHES_MAX` crashes under one of its tasks of which `SOLE_CRASHES_MAX` had no other possible cause.

use std::time::Duration;

use super::journal::{self, Change};
use super::request;
use super::run::{self, Phase};
use super::worker::{self, Readiness};
use super::{health, lifecycle, state, task};
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

/// Time after which a run has survived its start.
pub(super) const SURVIVAL: Duration = Duration::from_millis(500);

/// Longest time from a start until the loss of the connection to a worker that it crashed is noticed.
const NOTICE_MAX: Duration = Duration::from_millis(2_000);

/// A start that may have crashed its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// The started task.
    pub task: task::Key,
    /// Number of the run.
    pub number: u32,
}

/// Whether a suspect may be started on a worker: its process has run for a while, and its latest start is not recent.
pub(super) fn accepts_suspect(worker: &worker::Worker, now: Instant) -> bool {
    worker.last_start_at + SURVIVAL <= now && has_uptime(worker, now)
}

/// Whether the process of a worker has run for so long that its crash is blamed on a task.
pub(super) fn has_uptime(worker: &worker::Worker, at: Instant) -> bool {
    worker.uptime(at) >= UPTIME_MIN
}

/// Notes that a worker has listed a run in the answer to a renewal that was sent at `sent`.
pub(super) fn note_listed(state: &mut super::State, key: run::Key, sent: Instant) {
    let Some(run) = state.runs.get_mut(key) else { return };
    if run.started_at + SURVIVAL > sent {
        return;
    }
    run.has_survived = true;
    if let Some(worker) = state.workers.all.get_mut(run.worker) {
        health::record_survival(worker, key);
    }
}

/// Time until the suspect on a worker has survived its start, after which a listing of its run lets other runs start there;
/// `None` without a suspect, and while a listing does not show that it has survived.
pub(super) fn time_to_survival(state: &super::State, worker: &worker::Worker) -> Option<Duration> {
    let run = state.runs.get(worker.trial_run?)?;
    let left = (run.started_at + SURVIVAL).since(state.now);
    match run.phase {
        Phase::Planned | Phase::Starting => Some(left).filter(|left| !left.is_zero()),
        Phase::Active { .. } => Some(left),
        Phase::Unconfirmed { .. } | Phase::Stopping { .. } => None,
    }
}

/// Starts on a worker that may have crashed it: those shortly before the loss of its connection or, if it is not known when
/// that was, those that it has not been seen to survive. A start in flight has not arrived, and one of a run that `survives`
/// was made in the new process.
///
/// A process that handles events late notices the loss as late.
fn possible_causes(
    state: &super::State,
    key: worker::Key,
    survives: impl Fn(&run::Run) -> bool,
) -> Vec<Start> {
    let worker = &state.workers.all[key];
    let window = (SURVIVAL + state.lag.longest() * 2).min(NOTICE_MAX);
    let is_possible = |run: &&run::Run| match worker.reset_at {
        Some(at) => run.started_at <= at && at < run.started_at + window && !run.has_survived,
        None => !run.has_survived,
    };
    let runs = worker.runs.iter().filter_map(|run| state.runs.get(*run));
    runs.filter(is_possible)
        .filter(|run| !matches!(run.phase, Phase::Planned | Phase::Starting) && !survives(run))
        .filter_map(|run| run.task.map(|task| Start { task, number: run.number }))
        .collect()
}

/// Keeps the possible causes of a crash of a worker whose leases have expired, until it is known whether its process has
/// ended.
pub(super) fn keep_possible_causes(state: &mut super::State, key: worker::Key) {
    let starts = possible_causes(state, key, |_| false);
    add_missing(&mut state.workers.all[key].lost_starts, starts);
}

/// Adds starts that are not in the list yet: a run can stay after it was kept as a possible cause.
fn add_missing(list: &mut Vec<Start>, starts: Vec<Start>) {
    for start in starts {
        if !list.contains(&start) {
            list.push(start);
        }
    }
}

/// Records that the process of a worker has ended without notice. Called before its runs are dropped.
pub(super) fn record(
    state: &mut super::State,
    key: worker::Key,
    survives: impl Fn(&run::Run) -> bool,
    out: &mut Vec<Effect>,
) {
    let mut starts = possible_causes(state, key, survives);
    let worker = &mut state.workers.all[key];
    add_missing(&mut starts, std::mem::take(&mut worker.lost_starts));
    if worker.report.as_ref().is_some_and(|report| report.readiness == Readiness::Draining) {
        return;
    }
    let ended_at = worker.silent_since.unwrap_or(state.now);
    let is_sole = starts.len() == 1 && has_uptime(worker, ended_at);
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
    Start { task: key, number }: Start,
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
