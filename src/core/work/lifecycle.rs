//! Transitions of jobs and tasks: creation, release of occurrences, success and failure of tasks, end and removal.

use std::time::Duration;

use super::job::{self, Job};
use super::journal::{self, Change, Position};
use super::place::Need;
use super::request::Phase;
use super::spec::{Id, Name};
use super::store::Record;
use super::timer::Timer;
use super::{control, late, run, state, task};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::hash::Map;

/// Failed runs of one task after which its job fails if the queue is no longer configured.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Creates a queued job without tasks from its record and the configuration of its queue.
pub(super) fn new_job(state: &mut super::State, id: Id, record: Record) -> Job {
    let queue = state.config.queue(&record.queue);
    let critical_path = record.spec.critical_path();
    let allowance = queue.map_or(critical_path, |queue| queue.deadline(critical_path));
    let service = queue.map_or(record.service, |queue| queue.service.clone());
    let needs = record.spec.steps.iter().map(|step| Need::of(step, &service, &mut state.images)).collect();
    Job {
        id,
        queue: record.queue,
        service,
        needs,
        deadline: state.now + allowance,
        allowance,
        chains: record.spec.remaining_chains(),
        priority: queue.map_or(u32::MAX, |queue| queue.priority),
        max_attempts: queue.map_or(DEFAULT_MAX_ATTEMPTS, |queue| queue.max_attempts).max(1),
        spec: record.spec,
        accepted_unix_ms: record.accepted_unix_ms,
        open_occurrences: Map::default(),
        released_count: 0,
        phase: Phase::Queued,
        is_final: false,
        is_stored: false,
        task_progress: Vec::new(),
        finished_unix_ms: 0,
        inherited_in: None,
        acceptance: Position::default(),
        late_until: Instant::default(),
        newest_change: 0,
    }
}

/// Applies a new configuration to the known jobs. Deadlines stay as they are.
pub(super) fn apply_config(state: &mut super::State) {
    for job in state.jobs.all.values_mut() {
        if let Some(queue) = state.config.queue(&job.queue) {
            job.set_service(&queue.service);
            job.priority = queue.priority;
            job.max_attempts = queue.max_attempts.max(1);
        }
    }
    // Other runs may be preempted under the new priorities.
    state.placement.forget_all();
    state.schedule_placement();
}

/// Releases the occurrences whose release time has come, and sets a timer for the next one.
pub(super) fn release_due(state: &mut super::State, key: job::Key) {
    release_until_now(state, key);
    state.schedule_placement();
}

/// The same for a job whose acceptance is queued: its first runs are planned before that, so that the same commit stores their
/// orders, too. A commit in flight ends with a placement pass, so that each submission does not cost one.
pub(super) fn release_unstored(state: &mut super::State, key: job::Key) {
    release_until_now(state, key);
    if !state.journal.has_commit_in_flight() {
        state.schedule_placement();
    }
}

fn release_until_now(state: &mut super::State, key: job::Key) {
    while let Some(wait) = time_to_release(state, key) {
        if !wait.is_zero() {
            state.timers.set(state.now + wait, Timer::Release(key));
            break;
        }
        state.jobs.release(key, Instant::default(), state.now);
    }
}

/// Releases the occurrences up to one of which a worker lists a run. An earlier leader whose clock is ahead may have
/// released it before this one does. Tasks without a run wait until the occurrence is due.
pub(super) fn release_listed(state: &mut super::State, name: Name) {
    let Some(key) = state.jobs.find(name.job) else { return };
    while state.jobs.all.get(key).is_some_and(|job| job.released_count <= name.occurrence) {
        let Some(wait) = time_to_release(state, key) else { return };
        state.jobs.release(key, state.now + wait, state.now);
    }
}

/// Time until the next occurrence of a job is due; `None` if none is left or the job has ended.
fn time_to_release(state: &super::State, key: job::Key) -> Option<Duration> {
    let job = state.jobs.all.get(key)?;
    if job.phase.has_ended() || job.released_count >= job.spec.occurrences() {
        return None;
    }
    let due = job
        .spec
        .schedule
        .map_or(0, |schedule| schedule.start_unix_ms + schedule.interval_ms * u64::from(job.released_count));
    Some(Duration::from_millis(due.saturating_sub(state.unix_ms)))
}

/// Removes a job unless it is stored: the tasks of a stored job may have runs, and the next leader loads it again. Those of others
/// have only planned ones.
pub(super) fn remove_unstored(state: &mut super::State, key: job::Key, out: &mut Vec<Effect>) {
    let Some(job) = state.jobs.all.get(key) else { return };
    if job.is_stored {
        return;
    }
    let (id, runs) = (job.id, runs_of(state, key));
    for run in runs {
        control::stop(state, run, "its job is not stored", out);
    }
    state.jobs.remove_tasks(key);
    state.jobs.by_id.remove(&id);
    state.jobs.all.remove(key);
}

/// Runs of the tasks of a job.
fn runs_of(state: &super::State, key: job::Key) -> Vec<run::Key> {
    let occurrences = state.jobs.all.get(key).into_iter().flat_map(|job| job.open_occurrences.values());
    let tasks = occurrences.flat_map(|occurrence| occurrence.tasks.iter().flatten());
    tasks.filter_map(|task| state.jobs.tasks.get(*task)).flat_map(|task| task.runs.iter().copied()).collect()
}

/// Ends a job, unless it has ended, and stops its runs.
pub(super) fn end_job(state: &mut super::State, key: job::Key, phase: Phase, out: &mut Vec<Effect>) {
    let Some(id) = state.jobs.all.get(key).filter(|job| !job.phase.has_ended()).map(|job| job.id) else {
        return;
    };
    let sequence = journal::enqueue(state, Change::Progress(key));
    let late_until = late::latest_of_job(state, id);
    let job = &mut state.jobs.all[key];
    job.late_until = late_until;
    job.phase = phase;
    job.finished_unix_ms = state.unix_ms;
    state::record(out, Subject::Job(job.id), "end", format!("{phase:?}, change {sequence}"));
    for key in runs_of(state, key) {
        if let Some(run) = state.runs.get_mut(key) {
            run.task = None;
        }
        control::stop(state, key, "its job has ended", out);
    }
    state.jobs.remove_tasks(key);
    schedule_removal(state, key);
}

/// Sets the timer that removes an ended job after its retention. For a loaded job that begins anew: the time of day at which
/// it ended is that of another VM, and a job that is removed early is accepted again.
pub(super) fn schedule_removal(state: &mut super::State, key: job::Key) {
    state.timers.set(state.now + state.tuning.retention, Timer::Forget(key));
}

/// Removes an ended job, or waits for another retention if its end is not durable.
pub(super) fn remove_ended(state: &mut super::State, key: job::Key) {
    let Some(job) = state.jobs.all.get(key) else { return };
    if !job.is_final {
        state.timers.set(state.now + state.tuning.retention, Timer::Forget(key));
        return;
    }
    let id = job.id;
    state.jobs.all.remove(key);
    state.jobs.by_id.remove(&id);
    journal::enqueue(state, Change::Forget(id));
}

/// Records that a run of a task has ended as done. The members of a gang end as done together, so the end of one stands for
/// all: the others may be on workers that do not answer any more.
pub(super) fn finish_run(state: &mut super::State, key: task::Key, run: u32, out: &mut Vec<Effect>) {
    for task in state.jobs.gang_of(key) {
        state.jobs.dequeue(task);
        finish_task(state, task, run, out);
    }
}

/// Marks a task as done, of which the run with this number is done, and stops its other runs.
fn finish_task(state: &mut super::State, key: task::Key, number: u32, out: &mut Vec<Effect>) {
    let Some(task) = state.jobs.tasks.get_mut(key) else { return };
    let (job, runs) = (task.job, std::mem::take(&mut task.runs));
    for key in runs {
        let Some(run) = state.runs.get_mut(key) else { continue };
        run.task = None;
        if run.number != number {
            control::stop(state, key, "another run of its task is done", out);
        }
    }
    if state.jobs.finish_task(key, state.now) {
        return end_job(state, job, Phase::Completed, out);
    }
    journal::enqueue(state, Change::Progress(job));
}

/// Records the failure of a task's run. The job fails when the limit of failed runs is reached, unless the step is
/// long-running. A gang runs as a whole, so the failed runs of all of its members count.
pub(super) fn record_failure(state: &mut super::State, key: task::Key, run: u32, out: &mut Vec<Effect>) {
    let task = &mut state.jobs.tasks[key];
    let job_key = task.job;
    let Some(job) = state.jobs.all.get(job_key) else { return };
    if !task.failed_runs.contains(&run) {
        task.failed_runs.push(run);
    }
    let name = task.name;
    let is_lasting = job.spec.steps[name.step as usize].is_long_running;
    let (failures, max_attempts) = (state.jobs.count_failed_runs(key), job.max_attempts as usize);
    if !is_lasting && failures >= max_attempts {
        let reason = format!("{name} failed {failures} times");
        state::record(out, Subject::Job(job.id), "give-up", reason);
        return end_job(state, job_key, Phase::Failed, out);
    }
    journal::enqueue(state, Change::Progress(job_key));
}

/// Makes a task ready again when its last run has ended; it starts at `not_before` or later, and not before its occurrence
/// is due.
pub(super) fn requeue(state: &mut super::State, key: task::Key, not_before: Instant) {
    let Some(task) = state.jobs.tasks.get_mut(key) else { return };
    if task.phase == task::Phase::Active && task.runs.is_empty() {
        task.not_before = task.not_before.max(not_before);
        state.jobs.make_ready(key, state.now);
        state.schedule_placement();
    }
}
