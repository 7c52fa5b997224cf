//! Starts of runs: a run is planned, and its order to start is sent once the store has it.
//!
//! An order that gets no answer may be carried out seconds later, by the next process of its worker. A leader that takes over in
//! that time has to know of it, so no order is sent before a commit has written the task, the worker and the number of the run.
//! Each commit takes the runs that are planned by then with it, so a start waits for one commit and costs none of its own. A
//! planned run reserves its room, and is withdrawn if its worker takes no new runs when the order could be sent.

use std::collections::VecDeque;

use super::job::Group;
use super::journal::{self, Change};
use super::order::Order;
use super::run::{self, Exit, Phase, Run};
use super::{control, late, renewal, reserve, speculate, state, task, worker};
use crate::core::effect::Effect;
use crate::core::trace::Subject;
use crate::hash::{Map, Set};

/// Most runs whose orders one commit stores, which bounds its size.
const STARTS_PER_COMMIT: usize = 500;

/// Most runs that are planned or have an order under way, which bounds the size of each commit. An order is answered within
/// 50 ms, so at 6,600 starts per second 330 are under way.
const UNDER_WAY_MAX: usize = 2_000;

/// Planned runs; empty unless this process leads.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Runs that are in no commit yet.
    queued: VecDeque<run::Key>,
    /// Runs whose orders the store has.
    stored: Vec<run::Key>,
}

/// What happens next to a planned run, from the least to the most pressing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    /// Its order is sent.
    Send,
    /// Its job is not stored yet, its worker may have forgotten a later leader, or another member of its gang waits.
    Wait,
    /// Its worker takes no new runs any more.
    Withdraw,
}

/// Plans a run of a task on a worker, whose order to start is sent once the store has it. Returns whether it is planned: not
/// while the worker's clock is unknown, since no lease can be computed then, not for a second run of a task whose step allows
/// none, and not while too many orders are under way.
pub(super) fn start(
    state: &mut super::State,
    task_key: task::Key,
    worker_key: worker::Key,
    number: u32,
) -> bool {
    let now = state.now;
    let (is_copy, is_speculative) = copy_rules(state, task_key);
    if (is_copy && !is_speculative) || !has_room(state) {
        return false;
    }
    let worker = state.workers.all.get_mut(worker_key).filter(|worker| worker.clock_reading.is_some());
    let Some(worker) = worker else { return false };
    let task = &mut state.jobs.tasks[task_key];
    let job = &state.jobs.all[task.job];
    let step = &job.spec.steps[task.name.step as usize];
    let charged = step.charged();
    let profile = step.share(&mut state.images);
    let run = state.runs.insert(Run {
        task: Some(task_key),
        name: task.name,
        number,
        worker: worker_key,
        address: worker.address,
        charged,
        profile,
        phase: Phase::Planned,
        is_confirmed: false,
        has_open_start: false,
        is_resent: false,
        has_survived: false,
        is_from_start: task.checkpoint.is_empty(),
        is_copy,
        started_at: now,
        progress_percent: 0,
        progressed_at: now,
        reading: None,
        last_load: None,
        own_load: None,
        at_risk_since: None,
        pace_percent: 100,
        pace_changed_at: now,
    });
    if profile.is_long_running && worker.long_running_runs == 0 {
        state.reserves.note_taken(worker.service);
    }
    worker.add_run(run, charged, profile);
    worker.last_start_at = now;
    let is_trial =
        worker.suspicion.is_some_and(|suspicion| suspicion.until > now && !suspicion.has_passed_trial);
    if task.is_suspect() || is_trial {
        worker.trial_run = Some(run);
    }
    let has_kept_room = task.kept_on.is_some();
    task.phase = task::Phase::Active;
    task.next_run = number + 1;
    task.runs.push(run);
    plan(state, run);
    if has_kept_room {
        reserve::release_room(state, task_key);
    }
    if is_speculative {
        speculate::watch(state, run);
    }
    true
}

/// Whether another run of a task would be a copy, and whether its step allows copies.
fn copy_rules(state: &super::State, key: task::Key) -> (bool, bool) {
    let Some(task) = state.jobs.tasks.get(key) else { return (false, false) };
    (!task.runs.is_empty(), control::step_of(state, task.name).is_some_and(speculate::allows))
}

/// Whether another run may be planned.
fn has_room(state: &super::State) -> bool {
    state.dispatch.queued.len() + state.late.under_way_count() < UNDER_WAY_MAX
}

/// Lets the next commit store the order of a planned run.
fn plan(state: &mut super::State, key: run::Key) {
    state.dispatch.queued.push_back(key);
    journal::enqueue(state, Change::Confirm);
}

/// Takes the planned runs whose orders the next commit stores.
pub(super) fn take_queued(state: &mut super::State) -> Vec<run::Key> {
    let count = state.dispatch.queued.len().min(STARTS_PER_COMMIT);
    let mut taken: Vec<_> = state.dispatch.queued.drain(..count).collect();
    taken.retain(|key| is_planned(state, *key));
    if !state.dispatch.queued.is_empty() {
        journal::enqueue(state, Change::Confirm);
    }
    let is_followed = |key: &&run::Key| {
        let step = state.runs.get(**key).and_then(|run| control::step_of(state, run.name));
        !step.is_some_and(speculate::allows)
    };
    let followed: Vec<_> = taken.iter().filter(is_followed).copied().collect();
    state.late.follow(followed);
    taken
}

/// Returns the planned runs of a commit without effect to the queue.
pub(super) fn put_back(state: &mut super::State, keys: Vec<run::Key>) {
    state.late.unfollow(&keys);
    keys.into_iter().rev().for_each(|key| state.dispatch.queued.push_front(key));
}

/// Sends the orders that a commit has stored.
pub(super) fn handle_stored(state: &mut super::State, keys: Vec<run::Key>, out: &mut Vec<Effect>) {
    state.dispatch.stored.extend(keys);
    send_stored(state, out);
}

/// Sends the orders that the store has, as far as their workers take them. Returns the workers that may have forgotten a later
/// leader.
pub(super) fn send_stored(state: &mut super::State, out: &mut Vec<Effect>) -> Set<worker::Key> {
    let mut unproven = Set::default();
    if state.dispatch.stored.is_empty() || !state.leadership.may_act(state.now, &state.tuning) {
        return unproven;
    }
    let mut keys = std::mem::take(&mut state.dispatch.stored);
    keys.retain(|key| is_planned(state, *key));
    let verdicts: Vec<Verdict> = keys.iter().map(|key| judge(state, *key, &mut unproven)).collect();
    let of_gangs = judge_gangs(state, &keys, &verdicts);
    for (key, own) in keys.into_iter().zip(verdicts) {
        let of_gang = gang_of(state, key).and_then(|gang| of_gangs.get(&gang).copied());
        match of_gang.unwrap_or(own) {
            Verdict::Send => send(state, key, out),
            Verdict::Wait => state.dispatch.stored.push(key),
            Verdict::Withdraw => withdraw(state, key, "its worker takes no new runs", out),
        }
    }
    unproven
}

fn is_planned(state: &super::State, key: run::Key) -> bool {
    state.runs.get(key).is_some_and(|run| run.phase == Phase::Planned)
}

/// Decides on a planned run for itself. Adds its worker to `unproven` if it may have forgotten a later leader.
fn judge(state: &super::State, key: run::Key, unproven: &mut Set<worker::Key>) -> Verdict {
    let Some(run) = state.runs.get(key) else { return Verdict::Withdraw };
    let job = run.task.and_then(|task| state.jobs.all.get(state.jobs.tasks.get(task)?.job));
    let worker = state.workers.all.get(run.worker);
    let Some((job, worker)) = job.zip(worker) else { return Verdict::Withdraw };
    if !job.is_stored {
        return Verdict::Wait;
    }
    let (need, tenure) = (&job.needs[run.name.step as usize], state.tenure());
    if !worker.takes_planned(key, need.service, need.required_label, tenure) {
        return Verdict::Withdraw;
    }
    if !worker.has_proof(tenure) {
        unproven.insert(run.worker);
        return Verdict::Wait;
    }
    Verdict::Send
}

/// Decides on the gangs with these runs: their members start together, so the most pressing verdict is that of all. A member whose
/// order is not stored yet waits.
fn judge_gangs(state: &super::State, keys: &[run::Key], verdicts: &[Verdict]) -> Map<Group, Verdict> {
    let mut of_gangs: Map<Group, Verdict> = Map::default();
    let mut stored_counts: Map<Group, usize> = Map::default();
    for (key, verdict) in keys.iter().zip(verdicts) {
        let Some(gang) = gang_of(state, *key) else { continue };
        *stored_counts.entry(gang).or_default() += 1;
        let of_gang = of_gangs.entry(gang).or_insert(*verdict);
        *of_gang = (*of_gang).max(*verdict);
    }
    for (gang, count) in stored_counts {
        if count_planned(state, gang) > count {
            let of_gang = of_gangs.entry(gang).or_insert(Verdict::Wait);
            *of_gang = (*of_gang).max(Verdict::Wait);
        }
    }
    of_gangs
}

/// The gang that a run belongs to; `None` if its step is no gang.
fn gang_of(state: &super::State, key: run::Key) -> Option<Group> {
    let run = state.runs.get(key)?;
    let task = state.jobs.tasks.get(run.task?)?;
    control::step_of(state, run.name)?.is_gang.then(|| task.group())
}

/// Number of planned runs of a gang.
fn count_planned(state: &super::State, gang: Group) -> usize {
    let occurrence = state.jobs.all.get(gang.job).and_then(|job| job.open_occurrences.get(&gang.occurrence));
    let tasks = occurrence.into_iter().flat_map(|occurrence| &occurrence.tasks[gang.step as usize]);
    let runs = tasks.filter_map(|task| state.jobs.tasks.get(*task)).flat_map(|task| &task.runs);
    runs.filter(|run| is_planned(state, **run)).count()
}

/// Sends the order to start a planned run, which the store has.
fn send(state: &mut super::State, key: run::Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(run) = state.runs.get_mut(key) else { return };
    let Some(worker) = state.workers.all.get_mut(run.worker) else { return };
    let Some(until_ms) = worker.grant_lease(now, &state.tuning) else {
        return withdraw(state, key, "the clock of its worker is not known", out);
    };
    worker.last_start_at = now;
    (run.phase, run.has_open_start, run.address) = (Phase::Starting, true, worker.address);
    (run.started_at, run.progressed_at, run.pace_changed_at) = (now, now, now);
    let worker_key = run.worker;
    record_start(state, key, out);
    send_start(state, key, until_ms, out);
    // A worker without runs is contacted at a long interval; from now on a long poll waits for the end of this run.
    renewal::schedule_now(state, worker_key);
}

/// Adds the start of a run to the timeline.
fn record_start(state: &super::State, key: run::Key, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let Some(task) = run.task.and_then(|task| state.jobs.tasks.get(task)) else { return };
    let origin = match (task.is_inherited, task.may_have_unseen_run) {
        (false, _) => "",
        (true, true) => ", inherited from an earlier term",
        (true, false) => ", inherited from an earlier term, a run was adopted",
    };
    let after = task.last_exit.map(|(run, exit)| format!(" (after run {run}: {})", exit.describe()));
    let after = after.unwrap_or_default();
    let worker = &state.workers.all[run.worker].id;
    let reason = format!("run {} of {}{after} on {worker}{origin}", run.number, run.name);
    state::record(out, Subject::Job(run.name.job), "start", reason);
}

/// Sends the order to start a run.
fn send_start(state: &mut super::State, key: run::Key, until_ms: u64, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let Some(task) = run.task.and_then(|task| state.jobs.tasks.get(task)) else { return };
    let order = Order::Start {
        run: key,
        name: run.name,
        number: run.number,
        job_text: state.jobs.all[task.job].spec.text.clone(),
        until_ms,
        checkpoint: task.checkpoint.clone(),
    };
    let worker = run.worker;
    state.send_order(worker, order, out);
}

/// Sends the order to start a run again that got no answer and that its worker does not list. Returns whether the run is kept: the
/// worker has to take the task as before, and to be the same process, so that the order is carried out once.
pub(super) fn resend(state: &mut super::State, key: run::Key, out: &mut Vec<Effect>) -> bool {
    let (now, tenure) = (state.now, state.tenure());
    let Some(run) = state.runs.get(key) else { return false };
    let Some(task) = run.task.and_then(|task| state.jobs.tasks.get(task)) else { return false };
    let need = &state.jobs.all[task.job].needs[run.name.step as usize];
    let Some(worker) = state.workers.all.get_mut(run.worker) else { return false };
    let takes_task = worker.takes_runs(need.service, need.required_label);
    // A later leader has to know of the order without an answer.
    if task.awaited_change > state.journal.durable_sequence {
        return true;
    }
    if !takes_task || worker.precedes_process(run.started_at) || !worker.has_proof(tenure) {
        return false;
    }
    let Some(until_ms) = worker.grant_lease(now, &state.tuning) else { return false };
    worker.last_start_at = now;
    let reason = format!("run {} of {} on {}", run.number, run.name, worker.id);
    state::record(out, Subject::Job(run.name.job), "start-again", reason);
    state.meter.counts.resent_starts += 1;
    let run = &mut state.runs[key];
    run.phase = Phase::Starting;
    run.is_resent = true;
    run.has_open_start = true;
    (run.started_at, run.progressed_at) = (now, now);
    late::note_repetition(state, key);
    send_start(state, key, until_ms, out);
    true
}

/// Drops a planned run, whose order was not sent. Its task waits for placement again.
pub(super) fn withdraw(state: &mut super::State, key: run::Key, reason: &str, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let text = format!("run {} of {}: {reason}", run.number, run.name);
    state::record(out, Subject::Job(run.name.job), "withdraw-start", text);
    control::drop_run(state, key, Exit::NotSent, state.now);
    state.schedule_placement();
}

/// Withdraws the planned runs of a worker.
pub(super) fn withdraw_from(state: &mut super::State, worker: worker::Key, out: &mut Vec<Effect>) {
    let Some(worker) = state.workers.all.get(worker) else { return };
    for key in worker.runs.clone() {
        if is_planned(state, key) {
            withdraw(state, key, "its worker does not answer", out);
        }
    }
}
