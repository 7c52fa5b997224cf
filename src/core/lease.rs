//! Control leases of workers, as their holder keeps them.
//!
//! The worker is the arbiter. A renewal names the end of the lease in the worker's clock, and the holder counts it as
//! ended a margin before the worker's clock can have reached that end.

use std::time::Duration;

use super::cell::{self, Role};
use super::control::{Reply, Status};
use super::effect::Effect;
use super::state::{State, record};
use super::time::Instant;
use super::trace::Subject;
use super::tuning::Tuning;
use super::worker::{self, Draft, Key, Sent, Worker};
use super::{place, reconcile};

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Reading {
    sent: Instant,
    received: Instant,
    clock_ms: u64,
}

/// The holder's side of a control lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// When the lease ends for this process, if it holds one.
    pub safe_end: Option<Instant>,
    /// Whether it is held as caretaker.
    pub is_caretaker: bool,
    /// Epoch it is held under.
    pub epoch: u64,
    /// Whether the lease ended without an answer; an inquiry comes first then, since the instance may be another one.
    pub(super) is_silent: bool,
    pub(super) reading: Option<Reading>,
    /// Latest end that was ever asked for, in the worker's clock.
    pub(super) until_ms: u64,
}

/// Longest time that `span` of another clock can take.
fn stretch(span: Duration, tuning: &Tuning) -> Duration {
    span + span * tuning.drift_per_mille as u32 / 1000
}

/// Shortest time that `span` of another clock can take.
fn shrink(span: Duration, tuning: &Tuning) -> Duration {
    span * 1000 / (1000 + tuning.drift_per_mille as u32)
}

impl Reading {
    /// Highest value that the worker's clock can have at `now`, in milliseconds.
    fn latest_clock_ms(&self, now: Instant, tuning: &Tuning) -> u64 {
        self.clock_ms + stretch(now.since(self.sent), tuning).as_millis() as u64 + 1
    }
}

/// Shortest interval between two polls of a worker.
const POLL_SPACING: Duration = Duration::from_millis(20);

/// Wait after a lost or refused poll.
const POLL_RETRY: Duration = Duration::from_millis(500);

/// Renews or claims the lease of a worker, or asks how it stands.
pub(crate) fn renew(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    expire(state, key, out);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some(cell) = state.cells.key(worker.cell).and_then(|cell| state.cells.get(cell)) else {
        worker.is_polling = false;
        return;
    };
    if worker.calls.values().any(|sent| sent.is_poll) {
        return;
    }
    let is_held = worker.is_held(state.now);
    let claims = is_held || (cell.role == Role::Owner && !worker.lease.is_silent);
    let draft = match worker.lease.reading {
        Some(reading) if claims => claim(worker, reading, state.now, &state.tuning),
        _ => Draft { is_poll: true, ..Draft::default() },
    };
    worker::send(state, key, draft, out);
}

/// A claim or renewal, based on a reading of the worker's clock.
fn claim(worker: &mut Worker, reading: Reading, now: Instant, tuning: &Tuning) -> Draft {
    /// Age after which a reading is refreshed by a call without a wait, since its error grows with the drift.
    const READING_AGE: Duration = Duration::from_secs(20);
    let is_held = worker.is_held(now);
    let waits = is_held && now.since(reading.received) < READING_AGE;
    let lease = worker.lease;
    Draft {
        until_ms: reading.latest_clock_ms(now, tuning) + tuning.worker_lease.as_millis() as u64,
        is_caretaker: lease.is_caretaker,
        epoch: lease.is_caretaker.then_some(lease.epoch),
        wait: if waits { tuning.renew_interval } else { Duration::ZERO },
        acknowledge: if is_held { std::mem::take(&mut worker.acknowledge) } else { Vec::new() },
        is_poll: true,
        ..Draft::default()
    }
}

/// Ends a lease that reached its safe end.
fn expire(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    if worker.lease.safe_end.is_none_or(|end| now < end) {
        return;
    }
    worker.lease.safe_end = None;
    worker.lease.is_silent = true;
    record(out, Subject::Worker(worker.id), "lease-lapsed", "no answer to the renewals");
    let cell = worker.cell;
    place::schedule_pass_by_id(state, cell);
}

/// Takes over a worker's answer.
pub(crate) fn answered(
    state: &mut State,
    key: Key,
    sequence: u64,
    reply: Option<Reply>,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some(sent) = worker.calls.remove(&sequence) else { return };
    let Some(reply) = reply.filter(|reply| reply.instance >= worker.instance) else {
        if sent.is_poll {
            worker::poll_later(state, key, POLL_RETRY);
        }
        return;
    };
    if reply.instance > worker.instance {
        worker::replaced(state, key, reply.instance, out);
    }
    read_clock(state, key, sent, &reply);
    let wait = match reply.status {
        Status::Granted => {
            granted(state, key, sequence, reply, out);
            POLL_SPACING.saturating_sub(now.since(sent.at))
        }
        Status::Inquiry => inquired(state, key, &reply, out),
        Status::Repeated => Duration::ZERO,
        Status::Held => refused(state, key),
        Status::Stale => stale(state, key, reply.epoch, out),
    };
    if sent.is_poll {
        worker::poll_later(state, key, wait);
    }
}

/// Keeps the reading that bounds the worker's clock best.
fn read_clock(state: &mut State, key: Key, sent: Sent, reply: &Reply) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let reading = Reading { sent: sent.at, received: now, clock_ms: reply.clock_ms };
    let latest = |reading: &Reading| reading.latest_clock_ms(now, &tuning);
    if worker.lease.reading.is_none_or(|best| latest(&reading) <= latest(&best)) {
        worker.lease.reading = Some(reading);
    }
}

fn granted(state: &mut State, key: Key, sequence: u64, reply: Reply, out: &mut Vec<Effect>) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let lease = &mut worker.lease;
    lease.is_silent = false;
    if let Some(reading) = lease.reading {
        let left = Duration::from_millis(reply.lease_until_ms.saturating_sub(reading.clock_ms));
        let end = reading.sent + shrink(left, &tuning) - tuning.margin;
        lease.safe_end = (end > now).then_some(end);
    }
    reconcile::reconcile(state, key, sequence, &reply, out);
}

/// The worker told how its lease stands. Returns the wait before the next poll.
fn inquired(state: &mut State, key: Key, reply: &Reply, out: &mut Vec<Effect>) -> Duration {
    let role = state.workers.get(key).and_then(|worker| state.cells.key(worker.cell));
    let role = role.and_then(|cell| state.cells.get(cell)).map(|cell| cell.role);
    let Some(worker) = state.workers.get_mut(key) else { return POLL_RETRY };
    worker.lease.is_silent = false;
    let is_free = reply.lease_until_ms <= reply.clock_ms;
    match role {
        Some(Role::Owner) => Duration::ZERO,
        Some(Role::Caretaker) if is_free => {
            worker.lease.is_caretaker = true;
            worker.lease.epoch = reply.epoch;
            let cell = worker.cell;
            raise_epoch(state, cell, reply.epoch);
            let Some(worker) = state.workers.get_mut(key) else { return POLL_RETRY };
            if let Some(reading) = worker.lease.reading {
                let draft = claim(worker, reading, state.now, &state.tuning);
                worker::send(state, key, draft, out);
            }
            POLL_RETRY
        }
        _ => POLL_RETRY,
    }
}

/// A caretaker publishes routes and grants under the epoch that the workers know.
fn raise_epoch(state: &mut State, cell: cell::Id, epoch: u64) {
    let Some(cell) = state.cells.key(cell).and_then(|cell| state.cells.get_mut(cell)) else { return };
    cell.worker_epoch = cell.worker_epoch.max(epoch);
}

/// Another holder has the lease. Returns the wait before the next poll.
fn refused(state: &mut State, key: Key) -> Duration {
    if let Some(worker) = state.workers.get_mut(key) {
        worker.lease.safe_end = None;
        worker.lease.is_caretaker = false;
    }
    POLL_RETRY
}

/// The worker saw a higher epoch: another member took the cell over.
fn stale(state: &mut State, key: Key, epoch: u64, out: &mut Vec<Effect>) -> Duration {
    refused(state, key);
    let Some(worker) = state.workers.get(key) else { return POLL_RETRY };
    let Some(cell) = state.cells.key(worker.cell) else { return POLL_RETRY };
    let is_owner = state.cells.get(cell).is_some_and(|c| c.role == Role::Owner && c.epoch < epoch);
    if is_owner {
        let reason = format!("worker {:x} saw epoch {epoch}", worker.id.0);
        cell::depose(state, cell, &reason, out);
    }
    POLL_RETRY
}
