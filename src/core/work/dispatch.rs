//! Planned runs: their orders to start are sent once the store has them.
//!
//! An order that gets no answer may be carried out seconds later, by the next process of its worker. A leader that takes over in
//! that time has to know of it, so no order is sent before a commit has written the task, the worker and the number of the run.
//! Each commit takes the runs that are planned by then with it, so a start waits for one commit and costs none of its own. A
//! planned run reserves its room, and is withdrawn if its worker takes no new runs when the order could be sent.

use std::collections::VecDeque;

use super::job::Group;
use super::journal::{self, Change};
use super::run::{self, Exit, Phase};
use super::{control, speculate, state, worker};
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

/// Whether another run may be planned.
pub(super) fn has_room(state: &super::State) -> bool {
    state.dispatch.queued.len() + state.late.under_way_count() < UNDER_WAY_MAX
}

/// Lets the next commit store the order of a planned run.
pub(super) fn plan(state: &mut super::State, key: run::Key) {
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
            Verdict::Send => control::send_planned(state, key, out),
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
