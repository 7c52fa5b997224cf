//! Renewal of the leases of workers, which is also how their runs and ends are read.

use std::time::Duration;

use super::event::Fault;
use super::order::{Listing, Order, Refusal, Reply};
use super::run::Phase;
use super::timer::Timer;
use super::worker::Key;
use super::{control, leadership, pace, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Silence after which a worker that the store does not list, and that runs nothing, is forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// Lets a renewal follow at once.
pub(super) fn soon(state: &mut super::State, key: Key) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    worker.next_hold = worker.next_hold.min(now);
    arm(state, key);
}

/// Sets a timer for the next renewal, unless one is set that is early enough.
fn arm(state: &mut super::State, key: Key) {
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.armed.is_none_or(|armed| armed > worker.next_hold) {
        worker.armed = Some(worker.next_hold);
        state.timers.set(worker.next_hold, Timer::Hold(key));
    }
}

/// Runs the timer of a worker; one that a later timer replaced does nothing.
pub(super) fn due(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.armed.is_some_and(|armed| armed <= now) {
        worker.armed = None;
        call(state, key, out);
    }
}

/// Contacts a worker, unless a renewal is in flight or not yet due.
pub(super) fn call(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if state.load.is_some() || !state.leadership.may_act(now, &state.tuning) {
        return;
    }
    drop_lapsed(state, key, out);
    let wait = wait(state, key);
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.holding.is_some() {
        return;
    }
    if worker.next_hold > now {
        return arm(state, key);
    }
    let lease = worker.lease(now, state.tuning.worker_lease, state.tuning.margin);
    // A silent worker's lease is left to lapse, so that its tasks can start elsewhere.
    let is_renewed = !worker.runs.is_empty() && worker.silent_since.is_none();
    let until_ms = lease.filter(|_| is_renewed).map(|(until_ms, lapses)| {
        worker.lapses = worker.lapses.max(lapses);
        until_ms
    });
    worker.holding = Some(now);
    worker.acknowledging = worker.next_acknowledgement();
    let order = Order::Hold {
        worker: key,
        until_ms,
        acknowledged: worker.acknowledging,
        wait_ms: wait.as_millis() as u64,
    };
    state.send_order(key, order, out);
}

/// How long the worker may wait before it answers.
fn wait(state: &super::State, key: Key) -> Duration {
    let Some(worker) = state.workers.all.get(key) else { return Duration::ZERO };
    let is_settled = worker.answered.is_some()
        && worker.silent_since.is_none()
        && worker.unacknowledged.is_empty()
        && !worker.runs.is_empty();
    let is_urgent =
        worker.runs.iter().filter_map(|run| state.runs.get(*run)).any(|run| {
            matches!(run.phase, Phase::Doubtful { .. } | Phase::Stopping { confirmed: Some(_), .. })
        });
    if !is_settled || is_urgent {
        return Duration::ZERO;
    }
    if pace::is_observed(state, key) { state.tuning.poll_observed } else { state.tuning.poll }
}

/// Takes over the answer to a renewal.
pub(super) fn answered(
    state: &mut super::State,
    key: Key,
    sent: Instant,
    result: Result<Reply<Listing>, Fault>,
    out: &mut Vec<Effect>,
) {
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.holding != Some(sent) {
        return;
    }
    worker.holding = None;
    match result {
        Ok(Reply { outcome: Ok(listing), clock_ms }) => {
            take(state, key, sent, clock_ms, listing, out);
        }
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) => {
            return leadership::step_down(state, "a worker has seen a higher term", out);
        }
        Ok(Reply { outcome: Err(Refusal::Instance), .. }) => {
            // Another worker has the address, so this one is gone with everything it ran.
            state.workers.reached(key);
            lose_all(state, key, "another worker has its address", out);
            silence(state, key, out);
        }
        Err(Fault::Refused) if !worker.is_listed => {
            // Neither the store nor the address knows the worker any more.
            state.workers.reached(key);
            lose_all(state, key, "its worker is gone", out);
            silence(state, key, out);
        }
        Ok(_) | Err(Fault::Refused | Fault::NotSent | Fault::Lost) => silence(state, key, out),
    }
    arm(state, key);
}

fn take(
    state: &mut super::State,
    key: Key,
    sent: Instant,
    clock_ms: Option<u64>,
    listing: Listing,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let worker = &mut state.workers.all[key];
    if worker.born.is_some() && worker.born != listing.born {
        worker.acknowledging = 0;
        reborn(state, key, sent, &listing, out);
    }
    let worker = &mut state.workers.all[key];
    worker.born = listing.born;
    worker.confirmed = worker.confirmed.max(worker.acknowledging);
    worker.read_clock(clock_ms, now);
    worker.answered = Some(now);
    if worker.silent_since.take().is_some() {
        state::record(out, Subject::Process, "worker-back", worker.id.clone());
    }
    state.workers.reached(key);
    let mut sequence = 0;
    let seen = state.workers.all[key].seen;
    for end in listing.ended.iter().filter(|end| end.number > seen) {
        sequence = control::ended(state, key, end, out).max(sequence);
        if state.leadership.term() == 0 {
            return;
        }
        state.workers.all[key].seen = end.number;
    }
    let worker = &mut state.workers.all[key];
    if worker.seen > seen {
        let last = worker.unacknowledged.back().map_or(0, |(sequence, _)| *sequence);
        worker.unacknowledged.push_back((sequence.max(last), worker.seen));
    }
    for row in &listing.running {
        control::runs_there(state, key, row, sent, out);
    }
    control::settle(state, key, sent, &listing.running, out);
    control::repeat_stops(state, key, out);
    acknowledge_one(state, key);
    schedule(state, key);
    state.schedule_placement();
}

/// When the worker is called next.
fn schedule(state: &mut super::State, key: Key) {
    let now = state.now;
    let is_urgent = state.workers.all[key]
        .runs
        .iter()
        .filter_map(|run| state.runs.get(*run))
        .any(|run| matches!(run.phase, Phase::Doubtful { .. } | Phase::Stopping { .. }));
    let worker = &mut state.workers.all[key];
    let wait = if !worker.unacknowledged.is_empty() {
        // The commit that is awaited calls earlier.
        state.tuning.poll
    } else if worker.runs.is_empty() && worker.confirmed >= worker.seen {
        state.tuning.poll_idle
    } else if is_urgent {
        state.tuning.worker_retry / 4
    } else {
        Duration::ZERO
    };
    worker.next_hold = now + wait;
}

/// Notes that a worker did not answer.
fn silence(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.silent_since.is_none() {
        worker.silent_since = Some(now);
        state::record(out, Subject::Process, "worker-silent", worker.id.clone());
    }
    worker.next_hold = now + state.tuning.worker_retry;
}

/// Drops the runs of a worker whose lease has lapsed, and forgets a worker that is gone.
fn drop_lapsed(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get(key) else { return };
    let Some(silent_since) = worker.silent_since else { return };
    if worker.lapses < now && !worker.runs.is_empty() && worker.holding.is_none() {
        lose_all(state, key, "its worker is silent and the lease has lapsed", out);
    }
    let worker = &state.workers.all[key];
    if !worker.is_listed && worker.runs.is_empty() && now.since(silent_since) > FORGET {
        state.workers.remove(key);
    }
}

fn lose_all(state: &mut super::State, key: Key, reason: &str, out: &mut Vec<Effect>) {
    for run in state.workers.all[key].runs.clone() {
        control::lose(state, run, reason, out);
    }
}

/// Forgets the runs of a worker's earlier life.
///
/// Runs that the new life lists were started there already. A start or a stop that may reach it only now is settled with
/// the new life.
fn reborn(state: &mut super::State, key: Key, sent: Instant, listing: &Listing, out: &mut Vec<Effect>) {
    let now = state.now;
    let id = state.workers.all[key].id.clone();
    state::record(out, Subject::Process, "worker-reborn", id);
    for run_key in state.workers.all[key].runs.clone() {
        let Some(run) = state.runs.get_mut(run_key) else { continue };
        let is_there = listing.running.iter().any(|row| row.name == run.name && row.number == run.number)
            || listing.ended.iter().any(|end| end.name == run.name && end.run == run.number);
        match run.phase {
            _ if is_there => {}
            Phase::Active { since } if since < sent => {
                control::lose(state, run_key, "its worker started anew", out);
            }
            Phase::Stopping { .. } => {
                run.phase = Phase::Stopping { sent: Instant::default(), confirmed: None };
            }
            Phase::Starting | Phase::Doubtful { .. } | Phase::Active { .. } => {
                run.phase = Phase::Doubtful { since: now };
            }
        }
    }
    state.workers.all[key].rebirth(listing.born);
}

/// Acknowledges the ends whose records are durable.
pub(super) fn acknowledge(state: &mut super::State, out: &mut Vec<Effect>) {
    let durable = state.journal.durable_sequence;
    let due: Vec<Key> = state
        .workers
        .all
        .iter()
        .filter(|(_, worker)| worker.unacknowledged.front().is_some_and(|(at, _)| *at <= durable))
        .map(|(key, _)| key)
        .collect();
    for key in due {
        acknowledge_one(state, key);
        soon(state, key);
        call(state, key, out);
    }
}

fn acknowledge_one(state: &mut super::State, key: Key) {
    let durable = state.journal.durable_sequence;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    while let Some((sequence, number)) = worker.unacknowledged.front().copied() {
        if sequence > durable {
            break;
        }
        worker.acknowledged = number;
        worker.unacknowledged.pop_front();
    }
}
