//! Life cycle of runs: their answers, stopping, adopting and ending them. They are started by [`super::dispatch`].
//!
//! A run reserves resources on its worker, and its task starts on no other worker, until one of three events: the
//! worker lists the end of the run; the answer to a lease renewal does not list it, and the renewal was sent after the
//! start was acknowledged or the stop confirmed; or the lease of the run has expired, in whichever process of the worker it
//! may be.

use super::event::Fault;
use super::order::{Ended, How, Listing, Order, Refusal, Reply, Running};
use super::run::{self, Exit, Loss, Phase, Run};
use super::spec::{Id, Name, Resources};
use super::worker::{HeldEnd, Release};
use super::{
    crash, dispatch, health, journal, late, leadership, lifecycle, pace, place, reserve, speculate, state,
    symbol, task, worker,
};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use std::time::Duration;

/// Time without a confirmation after which an order to stop is sent again.
const STOP_RETRY: Duration = Duration::from_millis(500);

/// Resources reserved for a run whose job is not known any more. They exceed the capacity of any worker, so that
/// nothing starts beside the run until it has ended.
const UNKNOWN_JOB_RESOURCES: Resources =
    Resources { cpu_millicores: 1_000_000, memory_mb: 10_000_000, gpu: 10_000 };

/// Time for which a worker that reported itself unhealthy gets no new runs.
const BUSY_PAUSE: Duration = Duration::from_millis(1_000);

/// Orders a worker to stop a run. The resources of the run stay reserved until the worker no longer has it. A planned run is
/// withdrawn.
pub(super) fn stop(state: &mut super::State, key: run::Key, reason: &str, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(run) = state.runs.get_mut(key) else { return };
    match run.phase {
        Phase::Planned => return dispatch::withdraw(state, key, reason, out),
        Phase::Stopping { .. } => return,
        _ => {}
    }
    run.phase = Phase::Stopping { sent: now, confirmed: None };
    let (worker, name, number) = (run.worker, run.name, run.number);
    state::record(out, Subject::Job(name.job), "stop", format!("run {number} of {name}: {reason}"));
    state.workers.touch(worker);
    state.send_order(worker, Order::Stop { run: key, name, number }, out);
}

/// Stops the long-running runs of a worker that is draining, so that their tasks continue on other workers. The other
/// runs are expected to complete before the worker leaves.
pub(super) fn stop_long_running(state: &mut super::State, worker: worker::Key, out: &mut Vec<Effect>) {
    for key in state.workers.all[worker].runs.clone() {
        let Some(run) = state.runs.get(key) else { continue };
        if step_of(state, run.name).is_some_and(|step| step.is_long_running) {
            stop(state, key, "its worker is draining", out);
        }
    }
}

/// Resends the orders to stop that a worker has not confirmed.
pub(super) fn resend_stops(state: &mut super::State, worker: worker::Key, out: &mut Vec<Effect>) {
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

/// Handles the answer to an order to start.
pub(super) fn handle_start_reply(
    state: &mut super::State,
    key: run::Key,
    result: Result<Reply<()>, Fault>,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(run) = state.runs.get_mut(key) else { return };
    let worker_key = run.worker;
    let is_starting = run.phase == Phase::Starting;
    if let Some(worker) = state.workers.all.get_mut(worker_key) {
        match &result {
            Ok(Reply { clock_ms: Some(clock_ms), outcome }) => {
                worker.record_clock(Some(*clock_ms), run.started_at, now, &state.tuning);
                run.is_confirmed |= outcome.is_ok();
            }
            Ok(_) | Err(Fault::Lost) => worker.note_unanswered_lease(run.started_at, now, &state.tuning),
            Err(Fault::Refused | Fault::NotSent) => {}
        }
    }
    if matches!(result, Err(Fault::Lost)) {
        if run.has_open_start {
            late::note(state, key);
        }
    } else {
        run.has_open_start = run.is_resent;
    }
    let Some(run) = state.runs.get_mut(key) else { return };
    if !is_starting {
        return;
    }
    match result {
        Ok(Reply { outcome: Ok(()), .. }) => {
            run.phase = Phase::Active { since: now };
            let job = run.name.job;
            state.workers.touch(worker_key);
            state.jobs.note_begun(job);
        }
        Ok(Reply { outcome: Err(refusal), .. }) => start_refused(state, key, refusal, out),
        Err(Fault::Lost) => {
            run.phase = Phase::Unconfirmed { since: now };
            let reason = format!("start of run {} of {} got no answer", run.number, run.name);
            state::record(out, Subject::Job(run.name.job), "start-doubtful", reason);
            state.meter.counts.doubtful_starts += 1;
            super::renewal::schedule_now(state, worker_key);
        }
        Err(Fault::Refused | Fault::NotSent) => {
            let reason = format!("start of run {} of {} was not sent", run.number, run.name);
            state::record(out, Subject::Job(run.name.job), "start-not-sent", reason);
            state.meter.counts.unsent_starts += 1;
            let pause = now + state.tuning.worker_retry;
            if let Some(worker) = state.workers.all.get_mut(worker_key) {
                worker.paused_until = worker.paused_until.max(pause);
            }
            if !stop_if_resent(state, key, out) {
                drop_run(state, key, Exit::NotSent, now);
            }
        }
    }
}

/// Stops a run whose repeated order to start was not carried out, since the one before may still be. Returns whether the order
/// was a repeated one.
fn stop_if_resent(state: &mut super::State, key: run::Key, out: &mut Vec<Effect>) -> bool {
    let is_resent = state.runs.get(key).is_some_and(|run| run.is_resent);
    if is_resent {
        stop(state, key, "an earlier order to start it got no answer", out);
    }
    is_resent
}

/// Handles a refused start. A refusal of the only order proves that the run was not started, so its resources are released.
fn start_refused(state: &mut super::State, key: run::Key, refusal: Refusal, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(run) = state.runs.get(key) else { return };
    let (worker, task, number) = (run.worker, run.task, run.number);
    let reason = format!("run {} of {}: {}", run.number, run.name, refusal.describe());
    state::record(out, Subject::Job(run.name.job), "start-refused", reason);
    // The token of a start that was sent to an earlier process of the worker is refused without a higher term.
    let is_stale =
        state.workers.all.get(worker).is_some_and(|worker| worker.precedes_process(run.started_at));
    if refusal == Refusal::Fence && !is_stale {
        return leadership::step_down(state, "a worker has seen a higher term", out);
    }
    let pause = match refusal {
        Refusal::Busy | Refusal::Instance => BUSY_PAUSE,
        Refusal::Room => state.tuning.worker_retry,
        _ => Duration::ZERO,
    };
    if let Some(worker) = state.workers.all.get_mut(worker) {
        worker.paused_until = worker.paused_until.max(now + pause);
    }
    if stop_if_resent(state, key, out) {
        return;
    }
    if let (Refusal::Malformed, Some(task)) = (refusal, task) {
        drop_run(state, key, Exit::Refused(refusal), now);
        lifecycle::record_failure(state, task, number, out);
        return lifecycle::requeue(state, task, now + state.tuning.task_retry);
    }
    drop_run(state, key, Exit::Refused(refusal), now + state.tuning.task_retry);
}

/// Handles the answer to an order to stop.
pub(super) fn handle_stop_reply(
    state: &mut super::State,
    key: run::Key,
    order_sent: Instant,
    result: Result<Reply<()>, Fault>,
    out: &mut Vec<Effect>,
) {
    let Some(run) = state.runs.get_mut(key) else { return };
    let Phase::Stopping { sent, confirmed: None } = run.phase else { return };
    // The answer to an earlier order may be that of an earlier process of the worker.
    if order_sent != sent {
        return;
    }
    let worker = run.worker;
    let is_stale = state.workers.all.get(worker).is_some_and(|worker| worker.precedes_process(sent));
    match result {
        Ok(Reply { outcome: Ok(()), clock_ms }) => {
            run.phase = Phase::Stopping { sent, confirmed: Some(state.now) };
            if let Some(worker) = state.workers.all.get_mut(worker) {
                worker.record_clock(clock_ms, sent, state.now, &state.tuning);
            }
            super::renewal::schedule_now(state, worker);
        }
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) if !is_stale => {
            leadership::step_down(state, "a worker has seen a higher term", out);
        }
        _ => {}
    }
}

/// Removes a run and releases its resources. Its task is queued again, from `not_before` on, if it has no other run.
pub(super) fn drop_run(state: &mut super::State, key: run::Key, exit: Exit, not_before: Instant) {
    if state.runs.get(key).is_some_and(|run| run.has_open_start) && matches!(exit, Exit::Lost(_)) {
        late::note(state, key);
    }
    let Some(run) = state.runs.remove(key) else { return };
    if let Some(worker) = state.workers.all.get_mut(run.worker) {
        worker.remove_run(key, run.charged, run.profile);
    }
    let Some(task_key) = run.task else { return };
    if let Some(task) = state.jobs.tasks.get_mut(task_key) {
        task.runs.retain(|other| *other != key);
        task.last_exit = Some((run.number, exit));
    }
    if exit == Exit::Lost(Loss::LeaseExpired) {
        late::unbind(state, task_key);
    }
    lifecycle::requeue(state, task_key, not_before);
    if matches!(exit, Exit::Ended(_)) {
        reserve::keep_room(state, task_key, &run);
    }
    state.schedule_placement();
}

/// Returns the run of this task and number on a worker.
pub(super) fn find_run(
    state: &super::State,
    worker: worker::Key,
    name: Name,
    number: u32,
) -> Option<run::Key> {
    let worker = state.workers.all.get(worker)?;
    worker
        .runs
        .iter()
        .copied()
        .find(|key| state.runs.get(*key).is_some_and(|run| run.name == name && run.number == number))
}

/// Updates a run from the row about it in a worker's listing, or adopts a run that is not known yet.
pub(super) fn record_running(
    state: &mut super::State,
    worker: worker::Key,
    row: &Running,
    sent: Instant,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    late::settle(state, worker, row.name, row.number);
    let Some(key) = find_run(state, worker, row.name, row.number) else {
        return adopt(state, worker, row, out);
    };
    crash::note_listed(state, key, sent);
    state.jobs.note_begun(row.name.job);
    let Some(run) = state.runs.get_mut(key) else { return };
    run.is_confirmed = true;
    run.address = state.workers.all[worker].renewal_address;
    match run.phase {
        Phase::Starting | Phase::Unconfirmed { .. } => run.phase = Phase::Active { since: now },
        // The worker confirmed the stop before this renewal was sent but still lists the run, so the stop is sent
        // again.
        Phase::Stopping { confirmed: Some(at), .. } if at + STOP_RETRY < sent => {
            run.phase = Phase::Stopping { sent: Instant::default(), confirmed: None };
        }
        _ => {}
    }
    if run.progress_percent != row.progress_percent {
        run.progress_percent = row.progress_percent;
        run.progressed_at = now;
    }
    run.reading = row.reading;
    let task = run.task;
    if !row.checkpoint.is_empty()
        && is_furthest(state, key)
        && let Some(task) = task.and_then(|task| state.jobs.tasks.get_mut(task))
    {
        task.checkpoint.clone_from(&row.checkpoint);
    }
}

/// Whether no other run of its task has more progress than this one, so that its checkpoint is the best.
fn is_furthest(state: &super::State, key: run::Key) -> bool {
    let Some(run) = state.runs.get(key) else { return true };
    let Some(task) = run.task.and_then(|task| state.jobs.tasks.get(task)) else { return true };
    let others = task.runs.iter().filter_map(|other| state.runs.get(*other));
    others.map(|other| other.progress_percent).all(|progress| progress <= run.progress_percent)
}

/// Adopts a run that this process did not start. The run is attached to its task if that task is not done, and has no other
/// run or may have one as a copy; otherwise it is stopped.
fn adopt(state: &mut super::State, worker_key: worker::Key, row: &Running, out: &mut Vec<Effect>) {
    let now = state.now;
    lifecycle::release_listed(state, row.name);
    let task_key = state.jobs.find_task(row.name);
    let task = task_key.and_then(|key| state.jobs.tasks.get(key));
    // A task with a run can be blocked here: the ends of the steps before it may not have been read yet.
    let step = step_of(state, row.name);
    let is_speculative = step.is_some_and(speculate::allows);
    let is_wanted = task.is_some_and(|task| match task.phase {
        task::Phase::Ready | task::Phase::Blocked => task.runs.is_empty(),
        task::Phase::Active => is_speculative && can_have_copy(state, task),
        task::Phase::Done => false,
    });
    let charged = step.map_or(UNKNOWN_JOB_RESOURCES, super::spec::Step::charged);
    let step = step.cloned();
    let profile = step.map(|step| step.share(&mut state.images)).unwrap_or_default();
    let key = state.runs.insert(Run {
        task: task_key.filter(|_| is_wanted),
        name: row.name,
        number: row.number,
        worker: worker_key,
        address: state.workers.all[worker_key].renewal_address,
        charged,
        profile,
        phase: Phase::Active { since: now },
        is_confirmed: true,
        has_open_start: false,
        is_resent: false,
        has_survived: true,
        is_from_start: false,
        is_copy: false,
        started_at: now,
        progress_percent: row.progress_percent,
        progressed_at: now,
        reading: row.reading,
        last_load: None,
        own_load: None,
        at_risk_since: None,
        pace_percent: if profile.filling_cpu_millicores > 0 { pace::ADOPTED_PACE_PERCENT } else { 100 },
        pace_changed_at: now,
    });
    let Some(worker) = state.workers.all.get_mut(worker_key) else { return };
    worker.add_run(key, charged, profile);
    let reason = format!("run {} of {} on {}", row.number, row.name, worker.id);
    let Some(task_key) = task_key.filter(|_| is_wanted) else {
        state::record(out, Subject::Job(row.name.job), "unwanted-run", reason);
        return stop(state, key, "no task waits for it", out);
    };
    state::record(out, Subject::Job(row.name.job), "adopt", reason);
    if is_speculative {
        mark_copy(state, task_key, key);
        speculate::watch(state, key);
    }
    let is_furthest = is_furthest(state, key);
    let task = &mut state.jobs.tasks[task_key];
    task.phase = task::Phase::Active;
    task.runs.push(key);
    task.next_run = task.next_run.max(row.number + 1);
    if is_furthest {
        task.checkpoint.clone_from(&row.checkpoint);
    }
    // An earlier leader may have started a copy that this one has not seen.
    task.may_have_unseen_run &= is_speculative && task.runs.len() == 1;
    state.jobs.dequeue(task_key);
    state.jobs.note_begun(row.name.job);
}

/// Whether a task can have another run beside the one that it has.
fn can_have_copy(state: &super::State, task: &task::Task) -> bool {
    let Some(job) = state.jobs.all.get(task.job) else { return false };
    speculate::can_add_run(task.runs.len(), task.failed_runs.len(), job.max_attempts as usize)
}

/// Takes the later of two runs of a task as the copy: the adopted one, or the one that was known before.
fn mark_copy(state: &mut super::State, task: task::Key, adopted: run::Key) {
    let Some(other) = state.jobs.tasks.get(task).and_then(|task| task.runs.first()).copied() else { return };
    if state.runs[adopted].number > state.runs[other].number {
        state.runs[adopted].is_copy = true;
    } else if !std::mem::replace(&mut state.runs[other].is_copy, true) {
        speculate::add_copy(state, other);
    }
}

/// Returns the step of a task, if its job is known.
pub(super) fn step_of(state: &super::State, name: Name) -> Option<&super::spec::Step> {
    let job = state.jobs.all.get(state.jobs.find(name.job)?)?;
    job.spec.steps.get(name.step as usize)
}

/// Records the end of a run. Returns the sequence number of the change that must be durable before the end is
/// acknowledged, or 0 if there is none.
///
/// It is the newest change of the job, whatever the end itself changed: the next leader starts the task again if it
/// neither reads the end nor knows the state by which the task needs no further run.
pub(super) fn record_end(
    state: &mut super::State,
    worker_key: worker::Key,
    end: &Ended,
    out: &mut Vec<Effect>,
) -> u64 {
    let worker = &state.workers.all[worker_key].id;
    let Ended { run, name, number, .. } = end;
    let subject = format!("run {run} of {name} on {worker}: {}, end {number}", end.how.describe());
    let job = describe_job(state, end.name.job);
    // The change is known only after the end is applied, and its entry comes before those of the consequences.
    let mut consequences = Vec::new();
    apply_end(state, worker_key, end, &mut consequences);
    let sequence = journal::newest_change(state, end.name.job);
    let condition = match sequence {
        0 => "waits for no change".to_owned(),
        _ => format!("waits for change {sequence}"),
    };
    state::record(out, Subject::Job(end.name.job), "ended", format!("{subject} {condition}, {job}"));
    out.append(&mut consequences);
    sequence
}

/// Describes for a timeline entry what this process knows of a job.
fn describe_job(state: &super::State, id: Id) -> String {
    match state.jobs.find(id).and_then(|key| state.jobs.all.get(key)) {
        None => "job not known".to_owned(),
        Some(job) if job.phase.has_ended() && !job.is_final => format!("job {:?}, not durable", job.phase),
        Some(job) => format!("job {:?}", job.phase),
    }
}

/// Updates run, task and job for an end.
fn apply_end(state: &mut super::State, worker_key: worker::Key, end: &Ended, out: &mut Vec<Effect>) {
    let now = state.now;
    lifecycle::release_listed(state, end.name);
    let key = find_run(state, worker_key, end.name, end.run);
    late::settle(state, worker_key, end.name, end.run);
    hold_back(state, worker_key, end, out);
    state.jobs.note_begun(end.name.job);
    let run = key.and_then(|key| state.runs.get(key));
    // A run without a task is from an earlier term, its lease was taken as expired, or it was found beside another run.
    // Completion and failure count unless the task is done; any other end counts unless the task has another run by now.
    let is_counted = |task: &task::Key| {
        let task = &state.jobs.tasks[*task];
        match end.how {
            How::Done | How::Failed => task.phase != task::Phase::Done,
            _ => task.runs.is_empty(),
        }
    };
    let task_key = run.and_then(|run| run.task).or_else(|| state.jobs.find_task(end.name).filter(is_counted));
    let step = step_of(state, end.name).cloned();
    let is_furthest = key.is_none_or(|key| is_furthest(state, key));
    if let Some(task) = task_key.and_then(|task| state.jobs.tasks.get_mut(task)) {
        task.next_run = task.next_run.max(end.run + 1);
        let is_checkpointable = step.as_ref().is_some_and(|step| step.is_checkpointable);
        if is_checkpointable && is_furthest && !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if end.how == How::Failed {
            task.avoid_worker = Some(worker_key);
        }
    }
    health::record_end(state, worker_key, end, out);
    if let Some(key) = key {
        record_run_time(state, key, end.how);
        record_work(state, key, end.how);
    }
    let retry_delay = if end.how == How::Failed { state.tuning.task_retry } else { Duration::ZERO };
    // The end is recorded before the run is dropped, since dropping a run queues its task again unless the task is
    // done.
    if let Some(task) = task_key.filter(|task| state.jobs.tasks.contains_key(*task)) {
        if end.how == How::Done && step.as_ref().is_some_and(speculate::allows) {
            settle_copy(state, worker_key, end, task, key);
        }
        let is_long_running = step.is_some_and(|step| step.is_long_running);
        if let Some(key) = key {
            state.runs[key].task = Some(task);
        }
        match end.how {
            How::Done if !is_long_running => lifecycle::finish_run(state, task, end.run, out),
            How::Failed if !is_long_running => {
                lifecycle::record_failure(state, task, end.run, out);
            }
            _ => {}
        }
    }
    if let Some(key) = key {
        drop_run(state, key, Exit::Ended(end.how), now + retry_delay);
    }
}

/// Holds back the acknowledgement of an end while an order to start its task may still be carried out.
fn hold_back(state: &mut super::State, worker_key: worker::Key, end: &Ended, out: &mut Vec<Effect>) {
    let Some(until) = late::hold_until(state, end) else { return };
    let worker = &mut state.workers.all[worker_key];
    worker.held_ends.push(HeldEnd { number: end.number, release: Release::At(until) });
    let wait_ms = until.since(state.now).as_millis();
    let reason = format!("end {} of {}, for {wait_ms} ms", end.number, worker.id);
    state.meter.counts.held_ends += 1;
    state::record(out, Subject::Job(end.name.job), "hold-end", reason);
}

/// Counts a copy that finishes its task, and holds back the acknowledgement of an end as done until the other run of the
/// task is gone. The order to start that run may be under way, and would be carried out after the acknowledgement.
fn settle_copy(
    state: &mut super::State,
    worker: worker::Key,
    end: &Ended,
    task: task::Key,
    run: Option<run::Key>,
) {
    let task = &state.jobs.tasks[task];
    let is_copy = run.and_then(|run| state.runs.get(run)).is_some_and(|run| run.is_copy);
    if is_copy && task.phase != task::Phase::Done {
        state.meter.counts.copies_first += 1;
    }
    let others = task.runs.iter().copied().filter(|other| Some(*other) != run);
    let held = others.map(|other| HeldEnd { number: end.number, release: Release::RunGone(other) });
    state.workers.all[worker].held_ends.extend(held);
}

/// Records the run time of a run that is done, unless its pace was changed or a part of it is not known.
fn record_run_time(state: &mut super::State, key: run::Key, how: How) {
    let Some(run) = state.runs.get(key) else { return };
    let is_whole = run.is_from_start && run.pace_changed_at == run.started_at;
    if how != How::Done || !is_whole {
        return;
    }
    let Some(job) = state.jobs.find(run.name.job).and_then(|job| state.jobs.all.get(job)) else { return };
    let Some(step) = job.spec.steps.get(run.name.step as usize) else { return };
    // Run times outside the rack of the data would count for the rack, too.
    let Some(slowdown) = place::locality::slowdown(state, run, step) else { return };
    let actual = state.now.since(run.started_at).div_f64(slowdown);
    state.runtimes.record(symbol::Key::of(&job.queue), step.estimate, actual);
}

/// Counts the work of a run that has ended, unless it was to run until its job is cancelled.
fn record_work(state: &mut super::State, key: run::Key, how: How) {
    let Some(run) = state.runs.get(key) else { return };
    let Some(service) = state.workers.all.get(run.worker).and_then(|worker| worker.service) else { return };
    if step_of(state, run.name).is_none_or(|step| step.is_long_running) {
        return;
    }
    let run_time = state.now.since(run.started_at);
    state.admission.record_end(service, run.charged, run_time, how == How::Done, state.now);
}

/// Reconciles the runs of a worker with the answer to the renewal sent at `sent`: drops runs that it does not list,
/// stops unconfirmed ones, and checks the progress of the others. While the worker has ends that it does not list, a
/// missing run may have ended, so it is kept.
pub(super) fn reconcile(
    state: &mut super::State,
    worker: worker::Key,
    sent: Instant,
    listing: &Listing,
    out: &mut Vec<Effect>,
) {
    for key in state.workers.all[worker].runs.clone() {
        let Some(run) = state.runs.get(key) else { continue };
        if listing.running.iter().any(|row| row.name == run.name && row.number == run.number) {
            check_progress(state, key, out);
            continue;
        }
        let (phase, has_task) = (run.phase, run.task.is_some());
        match phase {
            Phase::Active { since } if since < sent && !listing.has_more_ends => {
                drop_lost(state, key, Loss::NotListed, out)
            }
            // The end of a run without a task changes nothing, so unread ends are not awaited.
            Phase::Stopping { confirmed: Some(at), .. }
                if at < sent && (!listing.has_more_ends || !has_task) =>
            {
                drop_lost(state, key, Loss::StopConfirmed, out)
            }
            Phase::Unconfirmed { since } if since < sent && !dispatch::resend(state, key, out) => {
                stop(state, key, "its start got no answer", out);
            }
            _ => {}
        }
    }
    pace::update(state, worker, out);
}

/// Stops a run whose progress has stalled, so that its task can continue on another worker.
fn check_progress(state: &mut super::State, key: run::Key, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let Some(step) = step_of(state, run.name) else { return };
    let limit = state.tuning.stall_timeout + step.estimate / 2;
    let is_stalled = matches!(run.phase, Phase::Active { .. })
        && !step.is_long_running
        && !step.is_filling
        && run.progress_percent < 100
        && state.now.since(run.progressed_at) > limit;
    if is_stalled {
        let (worker, task) = (run.worker, run.task);
        if let Some(task) = task.and_then(|task| state.jobs.tasks.get_mut(task)) {
            task.avoid_worker = Some(worker);
        }
        stop(state, key, "it makes no progress", out);
    }
}

/// Drops a run that no longer exists and whose end the worker did not report.
pub(super) fn drop_lost(state: &mut super::State, key: run::Key, loss: Loss, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let now = state.now;
    let evidence = state.workers.all.get(run.worker).map(|worker| worker.evidence(now)).unwrap_or_default();
    let reason = format!("run {} of {} on {evidence}; {}", run.number, run.name, run.describe_phase(now));
    state::record(out, Subject::Job(run.name.job), loss.decision(), reason);
    if let Some(task) = run.task.and_then(|task| state.jobs.tasks.get_mut(task)) {
        task.lost_at = Some(now);
        journal::enqueue(state, journal::Change::Confirm);
    }
    drop_run(state, key, Exit::Lost(loss), now);
}
