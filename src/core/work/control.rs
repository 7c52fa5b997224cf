//! Runs from their start to the moment when the worker surely has them no more.
//!
//! A run takes its room and keeps its task from other workers until the worker lists its end, or a renewal that was sent
//! after everything about the run was settled does not list it, or its lease has lapsed.

use super::event::Fault;
use super::order::{Ended, How, Order, Refusal, Reply, Running};
use super::request;
use super::run::{self, Phase, Run};
use super::spec::{Name, Resources};
use super::{leadership, lifecycle, pace, state, task, worker};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use std::time::Duration;

/// Wait before an order to stop is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);

/// Room of a run whose job is not known any more, above that of any worker, so that nothing starts beside it until it is
/// gone.
const UNKNOWN_ROOM: Resources = Resources { cpu_millicores: 1_000_000, memory_mb: 10_000_000, gpu: 10_000 };

/// How long a worker that said it is unhealthy gets no new runs.
const BUSY_PAUSE: Duration = Duration::from_millis(1_000);

/// Starts a task on a worker. Nothing happens if the worker's clock is not known.
pub(super) fn start(
    state: &mut super::State,
    task_key: task::Key,
    worker_key: worker::Key,
    number: u32,
    out: &mut Vec<Effect>,
) -> bool {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(worker_key) else { return false };
    let Some((until_ms, lapses)) = worker.lease(now, state.tuning.worker_lease, state.tuning.margin) else {
        return false;
    };
    let task = &mut state.jobs.tasks[task_key];
    let job = &mut state.jobs.all[task.job];
    let step = &job.spec.steps[task.name.step as usize];
    let charged = step.charged();
    let share = step.share(&mut state.images);
    let run = state.runs.insert(Run {
        task: Some(task_key),
        name: task.name,
        number,
        worker: worker_key,
        charged,
        share,
        phase: Phase::Starting,
        started: now,
        percent: 0,
        progressed: now,
        observed: None,
        load: None,
        own: None,
        over_since: None,
        pace: 100,
        paced_at: now,
    });
    worker.lapses = worker.lapses.max(lapses);
    worker.attach(run, charged, share);
    task.phase = task::Phase::Active;
    task.next_run = number + 1;
    task.runs.push(run);
    if job.phase == request::Phase::Queued {
        job.phase = request::Phase::Running;
    }
    let order = Order::Start {
        run,
        name: task.name,
        number,
        text: job.spec.text.clone(),
        until_ms,
        saved: task.checkpoint.clone(),
    };
    let reason = format!("run {number} of {} on {}", task.name, worker.id);
    state::record(out, Subject::Job(job.id), "start", reason);
    state.send_order(worker_key, order, out);
    // A worker that ran nothing is called rarely; its next end is awaited from now on.
    super::hold::soon(state, worker_key);
    true
}

/// Stops a run; it keeps its room until it is gone.
pub(super) fn stop(state: &mut super::State, key: run::Key, reason: &str, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(run) = state.runs.get_mut(key) else { return };
    if matches!(run.phase, Phase::Stopping { .. }) {
        return;
    }
    run.phase = Phase::Stopping { sent: now, confirmed: None };
    let (worker, name, number) = (run.worker, run.name, run.number);
    state::record(out, Subject::Job(name.job), "stop", format!("run {number} of {name}: {reason}"));
    state.send_order(worker, Order::Stop { run: key, name, number }, out);
}

/// Stops the lasting runs of a worker that leaves, so that they go on elsewhere; the others end in time by themselves.
pub(super) fn vacate(state: &mut super::State, worker: worker::Key, out: &mut Vec<Effect>) {
    for key in state.workers.all[worker].runs.clone() {
        let Some(run) = state.runs.get(key) else { continue };
        if step_of(state, run.name).is_some_and(|step| step.is_long_running) {
            stop(state, key, "its worker leaves", out);
        }
    }
}

/// Sends orders to stop again that got no answer.
pub(super) fn repeat_stops(state: &mut super::State, worker: worker::Key, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.all.get(worker) else { return };
    for key in worker.runs.clone() {
        let Some(run) = state.runs.get_mut(key) else { continue };
        let Phase::Stopping { sent, confirmed: None } = run.phase else { continue };
        if state.now.since(sent) >= STOP_RETRY {
            run.phase = Phase::Stopping { sent: state.now, confirmed: None };
            let order = Order::Stop { run: key, name: run.name, number: run.number };
            let worker = run.worker;
            state.send_order(worker, order, out);
        }
    }
}

/// Takes over the answer to a start.
pub(super) fn started(
    state: &mut super::State,
    key: run::Key,
    result: Result<Reply<()>, Fault>,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(run) = state.runs.get_mut(key) else { return };
    let worker_key = run.worker;
    let is_starting = run.phase == Phase::Starting;
    if let Ok(reply) = &result
        && let Some(worker) = state.workers.all.get_mut(worker_key)
    {
        worker.read_clock(reply.clock_ms, now);
    }
    if !is_starting {
        return;
    }
    match result {
        Ok(Reply { outcome: Ok(()), .. }) => run.phase = Phase::Active { since: now },
        Ok(Reply { outcome: Err(refusal), .. }) => refused(state, key, refusal, out),
        Err(Fault::Lost) => {
            run.phase = Phase::Doubtful { since: now };
            let reason = format!("run {} of {} got no answer", run.number, run.name);
            state::record(out, Subject::Job(run.name.job), "start-doubtful", reason);
            super::hold::soon(state, worker_key);
        }
        Err(Fault::Refused | Fault::NotSent) => {
            let reason = format!("run {} of {} was not sent", run.number, run.name);
            state::record(out, Subject::Job(run.name.job), "start-not-sent", reason);
            let pause = now + state.tuning.worker_retry;
            if let Some(worker) = state.workers.all.get_mut(worker_key) {
                worker.suspect_until = worker.suspect_until.max(pause);
            }
            drop_run(state, key, now);
        }
    }
}

/// Handles a start that the worker refused, so that it surely does not run.
fn refused(state: &mut super::State, key: run::Key, refusal: Refusal, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(run) = state.runs.get(key) else { return };
    let (worker, task, number) = (run.worker, run.task, run.number);
    let reason = format!("run {} of {}: {refusal:?}", run.number, run.name);
    state::record(out, Subject::Job(run.name.job), "start-refused", reason);
    if refusal == Refusal::Fence {
        return leadership::step_down(state, "a worker has seen a higher term", out);
    }
    let pause = match refusal {
        Refusal::Busy | Refusal::Instance => BUSY_PAUSE,
        Refusal::Room => state.tuning.worker_retry,
        _ => Duration::ZERO,
    };
    if let Some(worker) = state.workers.all.get_mut(worker) {
        worker.suspect_until = worker.suspect_until.max(now + pause);
    }
    if let (Refusal::Malformed, Some(task)) = (refusal, task) {
        drop_run(state, key, now);
        lifecycle::record_failure(state, task, number, out);
        return lifecycle::requeue(state, task, now + state.tuning.task_retry);
    }
    drop_run(state, key, now + state.tuning.task_retry);
}

/// Takes over the answer to a stop.
pub(super) fn stopped(
    state: &mut super::State,
    key: run::Key,
    result: Result<Reply<()>, Fault>,
    out: &mut Vec<Effect>,
) {
    let Some(run) = state.runs.get_mut(key) else { return };
    let Phase::Stopping { sent, confirmed: None } = run.phase else { return };
    let worker = run.worker;
    match result {
        Ok(Reply { outcome: Ok(()), clock_ms }) => {
            run.phase = Phase::Stopping { sent, confirmed: Some(state.now) };
            if let Some(worker) = state.workers.all.get_mut(worker) {
                worker.read_clock(clock_ms, state.now);
            }
            super::hold::soon(state, worker);
        }
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) => {
            leadership::step_down(state, "a worker has seen a higher term", out);
        }
        _ => {}
    }
}

/// Takes the run out of the tables; its task waits again if nothing else of it is left.
pub(super) fn drop_run(state: &mut super::State, key: run::Key, not_before: Instant) {
    let Some(run) = state.runs.remove(key) else { return };
    if let Some(worker) = state.workers.all.get_mut(run.worker) {
        worker.detach(key, run.charged, run.share);
    }
    let Some(task_key) = run.task else { return };
    if let Some(task) = state.jobs.tasks.get_mut(task_key) {
        task.runs.retain(|other| *other != key);
    }
    lifecycle::requeue(state, task_key, not_before);
    state.schedule_placement();
}

/// The run with this name and number on a worker.
pub(super) fn find(state: &super::State, worker: worker::Key, name: Name, number: u32) -> Option<run::Key> {
    let worker = state.workers.all.get(worker)?;
    worker
        .runs
        .iter()
        .copied()
        .find(|key| state.runs.get(*key).is_some_and(|run| run.name == name && run.number == number))
}

/// Takes over one row of what a worker runs.
pub(super) fn runs_there(
    state: &mut super::State,
    worker: worker::Key,
    row: &Running,
    sent: Instant,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(key) = find(state, worker, row.name, row.number) else {
        return adopt(state, worker, row, out);
    };
    let Some(run) = state.runs.get_mut(key) else { return };
    match run.phase {
        Phase::Starting | Phase::Doubtful { .. } => run.phase = Phase::Active { since: now },
        // The stop was confirmed before the worker was asked, and the run is there all the same.
        Phase::Stopping { confirmed: Some(at), .. } if at + STOP_RETRY < sent => {
            run.phase = Phase::Stopping { sent: Instant::default(), confirmed: None };
        }
        _ => {}
    }
    if run.percent != row.percent {
        run.percent = row.percent;
        run.progressed = now;
    }
    run.observed = row.observed;
    if let Some(task) = run.task.and_then(|task| state.jobs.tasks.get_mut(task))
        && !row.saved.is_empty()
    {
        task.checkpoint.clone_from(&row.saved);
    }
}

/// Takes over a run that this process did not start: it belongs to its task, or is stopped.
fn adopt(state: &mut super::State, worker_key: worker::Key, row: &Running, out: &mut Vec<Effect>) {
    let now = state.now;
    let task_key = state.jobs.find_task(row.name);
    let task = task_key.and_then(|key| state.jobs.tasks.get(key));
    // A task is blocked here while the ends of the steps before it have not been read yet.
    let is_wanted = task.is_some_and(|task| {
        matches!(task.phase, task::Phase::Ready | task::Phase::Blocked) && task.runs.is_empty()
    });
    let step = step_of(state, row.name);
    let charged = step.map_or(UNKNOWN_ROOM, super::spec::Step::charged);
    let step = step.cloned();
    let share = step.map(|step| step.share(&mut state.images)).unwrap_or_default();
    let key = state.runs.insert(Run {
        task: task_key.filter(|_| is_wanted),
        name: row.name,
        number: row.number,
        worker: worker_key,
        charged,
        share,
        phase: Phase::Active { since: now },
        started: now,
        percent: row.percent,
        progressed: now,
        observed: row.observed,
        load: None,
        own: None,
        over_since: None,
        pace: if share.filling_cpu > 0 { pace::ADOPTED } else { 100 },
        paced_at: now,
    });
    let Some(worker) = state.workers.all.get_mut(worker_key) else { return };
    worker.attach(key, charged, share);
    let reason = format!("run {} of {} on {}", row.number, row.name, worker.id);
    let Some(task_key) = task_key.filter(|_| is_wanted) else {
        state::record(out, Subject::Job(row.name.job), "unwanted-run", reason);
        return stop(state, key, "it belongs to no task that waits", out);
    };
    state::record(out, Subject::Job(row.name.job), "adopt", reason);
    let task = &mut state.jobs.tasks[task_key];
    task.phase = task::Phase::Active;
    task.runs.push(key);
    task.next_run = task.next_run.max(row.number + 1);
    task.checkpoint.clone_from(&row.saved);
    task.may_have_unseen_run = false;
    let job_key = task.job;
    state.jobs.dequeue(task_key);
    let job = &mut state.jobs.all[job_key];
    if job.phase == request::Phase::Queued {
        job.phase = request::Phase::Running;
    }
}

/// Step of a task whose job is known.
pub(super) fn step_of(state: &super::State, name: Name) -> Option<&super::spec::Step> {
    let job = state.jobs.all.get(state.jobs.find(name.job)?)?;
    job.spec.steps.get(name.step as usize)
}

/// Takes over an end. Returns the number of the change that must be stored before it is acknowledged.
pub(super) fn ended(
    state: &mut super::State,
    worker_key: worker::Key,
    end: &Ended,
    out: &mut Vec<Effect>,
) -> u64 {
    let now = state.now;
    let key = find(state, worker_key, end.name, end.run);
    let run = key.and_then(|key| state.runs.get(key));
    let worker = &state.workers.all[worker_key];
    let reason = format!("run {} of {} on {}: {:?}", end.run, end.name, worker.id, end.how);
    state::record(out, Subject::Job(end.name.job), "ended", reason);
    let task_key = match run {
        Some(run) => run.task,
        // Of an earlier term, or taken as lapsed: a failure counts, anything else unless the task runs elsewhere by now.
        None => state.jobs.find_task(end.name).filter(|task| {
            let task = &state.jobs.tasks[*task];
            task.runs.is_empty() || (end.how == How::Failed && task.phase != task::Phase::Done)
        }),
    };
    let step = step_of(state, end.name).cloned();
    if let Some(task) = task_key.and_then(|task| state.jobs.tasks.get_mut(task)) {
        task.next_run = task.next_run.max(end.run + 1);
        if step.as_ref().is_some_and(|step| step.is_checkpointable) && !end.saved.is_empty() {
            task.checkpoint.clone_from(&end.saved);
        }
        if end.how == How::Failed {
            task.avoid_worker = Some(worker_key);
        }
    }
    note_health(state, worker_key, end, out);
    let mut sequence = 0;
    let wait = if end.how == How::Failed { state.tuning.task_retry } else { Duration::ZERO };
    // The end is taken over before the run is dropped, since a task that is done does not wait again.
    if let Some(task) = task_key.filter(|task| state.jobs.tasks.contains_key(*task)) {
        let is_lasting = step.is_some_and(|step| step.is_long_running);
        if let Some(key) = key {
            state.runs[key].task = Some(task);
        }
        match end.how {
            How::Done if !is_lasting => {
                if let Some(key) = key {
                    detach(state, key, task);
                }
                state.jobs.dequeue(task);
                sequence = lifecycle::finish_task(state, task, out);
            }
            How::Failed if !is_lasting => sequence = lifecycle::record_failure(state, task, end.run, out),
            _ => {}
        }
    }
    if let Some(key) = key {
        drop_run(state, key, now + wait);
    }
    sequence
}

/// Separates a run from its task.
fn detach(state: &mut super::State, key: run::Key, task: task::Key) {
    state.runs[key].task = None;
    state.jobs.tasks[task].runs.retain(|other| *other != key);
}

/// Keeps a worker from placement that fails the tasks of several jobs and completes none.
fn note_health(state: &mut super::State, key: worker::Key, end: &Ended, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    match end.how {
        How::Done => worker.failures.clear(),
        How::Failed if !worker.failures.contains(&end.name.job) => worker.failures.push(end.name.job),
        _ => {}
    }
    if end.how == How::Failed
        && worker.failures.len() >= state.tuning.suspect_failures as usize
        && worker.suspect_until <= now
    {
        worker.suspect_until = now + state.tuning.suspect;
        worker.failures.clear();
        let reason = format!("{} fails the tasks of several jobs", worker.id);
        state::record(out, Subject::Process, "suspect-worker", reason);
    }
}

/// Looks at the runs that a renewal did not list, and at those that make no progress.
pub(super) fn settle(
    state: &mut super::State,
    worker: worker::Key,
    sent: Instant,
    listed: &[Running],
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    for key in state.workers.all[worker].runs.clone() {
        let Some(run) = state.runs.get(key) else { continue };
        if listed.iter().any(|row| row.name == run.name && row.number == run.number) {
            check_progress(state, key, out);
            continue;
        }
        match run.phase {
            Phase::Active { since } if since < sent => lose(state, key, "the worker does not list it", out),
            Phase::Stopping { confirmed: Some(at), .. } if at < sent => drop_run(state, key, now),
            Phase::Doubtful { since } if since < sent => stop(state, key, "its start got no answer", out),
            _ => {}
        }
    }
    pace::review(state, worker, out);
}

/// Stops a run that has stood still, so that its task can go on elsewhere.
fn check_progress(state: &mut super::State, key: run::Key, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let Some(step) = step_of(state, run.name) else { return };
    let limit = state.tuning.stall + step.estimate / 2;
    let is_stalled = matches!(run.phase, Phase::Active { .. })
        && !step.is_long_running
        && !step.is_filling
        && run.percent < 100
        && state.now.since(run.progressed) > limit;
    if is_stalled {
        let (worker, task) = (run.worker, run.task);
        if let Some(task) = task.and_then(|task| state.jobs.tasks.get_mut(task)) {
            task.avoid_worker = Some(worker);
        }
        stop(state, key, "it makes no progress", out);
    }
}

/// Drops a run that is surely gone without a word about its end.
pub(super) fn lose(state: &mut super::State, key: run::Key, reason: &str, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let text = format!("run {} of {}: {reason}", run.number, run.name);
    state::record(out, Subject::Job(run.name.job), "lost", text);
    let now = state.now;
    drop_run(state, key, now);
}
