//! Control leases of workers from the holder's point of view.
//!
//! The worker decides who holds its lease. A claim or renewal requests an expiry time on the worker's clock. The holder
//! treats the lease as expired a safety margin before the worker's clock can reach that time.

use std::time::Duration;

use super::cell::{self, Role};
use super::control::{Reply, Status, Work};
use super::effect::Effect;
use super::state::{State, record};
use super::time::Instant;
use super::trace::Subject;
use super::tuning::Tuning;
use super::worker::{self, CallOptions, Key, PendingCall, Worker};
use super::{place, reconcile, task};

/// A reading of a worker's clock, taken at some moment between the sending of a call and the receipt of its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClockReading {
    sent_at: Instant,
    received_at: Instant,
    clock_ms: u64,
}

/// State of a control lease at its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    /// Time at which this process stops using the lease; `None` while it holds none.
    pub expires_at: Option<Instant>,
    /// Whether this process holds or claims the lease as caretaker.
    pub is_caretaker: bool,
    /// Epoch that a caretaker claims the lease under; an owner uses the epoch of the cell.
    pub epoch: u64,
    /// Whether the lease expired without a reply. An inquiry then precedes the next claim, since another instance may
    /// run under the worker's name.
    pub(super) needs_inquiry: bool,
    pub(super) clock_reading: Option<ClockReading>,
    /// Latest expiry time that was requested, in milliseconds of the worker's clock.
    pub(super) requested_until_ms: u64,
}

/// Time for which a worker with results of another cell is left to that cell. The results stay on the worker after it,
/// since they can belong to tasks that would otherwise run again.
const FOREIGN_RESULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time on one clock while another clock advances by `span`, given the largest drift between two clocks.
fn max_local_duration(span: Duration, tuning: &Tuning) -> Duration {
    span + span * tuning.drift_per_mille as u32 / 1000
}

/// Shortest time on one clock while another clock advances by `span`, given the largest drift between two clocks.
fn min_local_duration(span: Duration, tuning: &Tuning) -> Duration {
    span * 1000 / (1000 + tuning.drift_per_mille as u32)
}

impl ClockReading {
    /// Upper bound for the worker's clock at `now`, in milliseconds.
    fn latest_clock_ms(&self, now: Instant, tuning: &Tuning) -> u64 {
        self.clock_ms + max_local_duration(now.since(self.sent_at), tuning).as_millis() as u64 + 1
    }
}

/// Shortest interval between two polls of a worker.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before the next poll after a lost reply or a rejected claim.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Renews or claims the lease of a worker, or inquires about the lease if this process must not claim it. Does nothing
/// while another poll of the worker is in flight.
pub(crate) fn renew(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    expire(state, key, out);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some(cell) = state.cells.key(worker.cell).and_then(|cell| state.cells.get(cell)) else {
        worker.is_polling = false;
        return;
    };
    if worker.pending_calls.values().any(|call| call.is_poll) {
        return;
    }
    let is_held = worker.is_held(state.now);
    let can_claim = is_held || (cell.role == Role::Owner && !worker.lease.needs_inquiry);
    let options = match worker.lease.clock_reading {
        Some(reading) if can_claim => claim(worker, reading, state.now, &state.tuning),
        _ => CallOptions { is_poll: true, ..CallOptions::default() },
    };
    worker::send(state, key, options, out);
}

/// Options of a call that claims or renews the lease, with an expiry time derived from a reading of the worker's clock.
fn claim(worker: &mut Worker, reading: ClockReading, now: Instant, tuning: &Tuning) -> CallOptions {
    /// Age after which a call without a wait refreshes a clock reading, since the error of the reading grows with the
    /// clock drift.
    const MAX_READING_AGE: Duration = Duration::from_secs(20);
    let is_held = worker.is_held(now);
    let can_wait = is_held && now.since(reading.received_at) < MAX_READING_AGE;
    let lease = worker.lease;
    CallOptions {
        until_ms: reading.latest_clock_ms(now, tuning) + tuning.worker_lease.as_millis() as u64,
        is_caretaker: lease.is_caretaker,
        epoch: lease.is_caretaker.then_some(lease.epoch),
        wait: if can_wait { tuning.renew_interval } else { Duration::ZERO },
        acknowledge: if is_held { std::mem::take(&mut worker.acknowledge) } else { Vec::new() },
        is_poll: true,
        ..CallOptions::default()
    }
}

/// Drops a lease that has expired.
fn expire(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    if worker.lease.expires_at.is_none_or(|end| now < end) {
        return;
    }
    worker.lease.expires_at = None;
    worker.lease.needs_inquiry = true;
    record(out, Subject::Worker(worker.id), "lease-lapsed", "no reply to the lease renewals");
    let cell = worker.cell;
    place::schedule_pass_by_id(state, cell);
}

/// Handles the reply to a control call, or its loss (`None`), and schedules the next poll if the call was one.
pub(crate) fn handle_reply(
    state: &mut State,
    key: Key,
    sequence: u64,
    reply: Option<Reply>,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return };
    let Some(call) = worker.pending_calls.remove(&sequence) else { return };
    let Some(reply) = reply.filter(|reply| reply.instance >= worker.instance) else {
        if call.is_poll {
            worker::schedule_poll(state, key, POLL_RETRY_DELAY);
        }
        return;
    };
    if reply.instance > worker.instance {
        worker::handle_replacement(state, key, reply.instance, out);
    }
    update_clock_reading(state, key, call, &reply);
    let wait = match reply.status {
        Status::Granted if is_left_to_another_cell(state, key, &reply) => {
            // A call that is not a poll can be the release itself.
            if call.is_poll {
                worker::release_lease(state, key, out);
            }
            handle_held(state, key)
        }
        Status::Granted => {
            handle_granted(state, key, sequence, reply, out);
            MIN_POLL_INTERVAL.saturating_sub(now.since(call.sent_at))
        }
        Status::Inquiry => handle_inquiry(state, key, &reply, out),
        Status::Repeated => Duration::ZERO,
        Status::Held => handle_held(state, key),
        Status::Stale => handle_stale(state, key, reply.epoch, out),
    };
    if call.is_poll {
        worker::schedule_poll(state, key, wait);
    }
}

/// Keeps whichever clock reading gives the lower upper bound for the worker's clock.
fn update_clock_reading(state: &mut State, key: Key, call: PendingCall, reply: &Reply) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let reading = ClockReading { sent_at: call.sent_at, received_at: now, clock_ms: reply.clock_ms };
    let latest = |reading: &ClockReading| reading.latest_clock_ms(now, &tuning);
    if worker.lease.clock_reading.is_none_or(|best| latest(&reading) <= latest(&best)) {
        worker.lease.clock_reading = Some(reading);
    }
}

/// Whether a worker is left to another cell, which has work on it while this cell has none: as long as tasks of that
/// cell run there, and for [`FOREIGN_RESULT_TIMEOUT`] with results of that cell. The next claim then waits for an inquiry.
///
/// The plan can give a worker to this cell before the other cell's owner has seen the ends of its tasks there.
fn is_left_to_another_cell(state: &mut State, key: Key, reply: &Reply) -> bool {
    let Some(worker) = state.workers.get(key) else { return false };
    let Some(cell) = state.cells.key(worker.cell) else { return false };
    let is_foreign = |work: &Work| match work {
        Work::Batch(task) => task::is_foreign(state, cell, *task),
        Work::Replica(_) => false,
    };
    let has_running = reply.running.iter().any(|running| is_foreign(&running.work));
    let has_results = reply.ended.iter().any(|ended| is_foreign(&ended.work));
    let is_own = |work: &Work| matches!(work, Work::Batch(_)) && !is_foreign(work);
    let has_own = worker.reservations.keys().any(is_own);
    let now = state.now;
    let Some(worker) = state.workers.get_mut(key) else { return false };
    if has_own || !(has_running || has_results) {
        worker.foreign_since = None;
        return false;
    }
    let since = worker.foreign_since.filter(|_| !has_running).unwrap_or(now);
    worker.foreign_since = Some(since);
    let is_left = now.since(since) < FOREIGN_RESULT_TIMEOUT;
    worker.lease.needs_inquiry |= is_left;
    is_left
}

fn handle_granted(state: &mut State, key: Key, sequence: u64, reply: Reply, out: &mut Vec<Effect>) {
    let (now, tuning) = (state.now, state.tuning);
    let Some(worker) = state.workers.get_mut(key) else { return };
    let lease = &mut worker.lease;
    lease.needs_inquiry = false;
    if let Some(reading) = lease.clock_reading {
        let remaining = Duration::from_millis(reply.lease_until_ms.saturating_sub(reading.clock_ms));
        let end = reading.sent_at + min_local_duration(remaining, &tuning) - tuning.margin;
        lease.expires_at = (end > now).then_some(end);
    }
    reconcile::reconcile(state, key, sequence, &reply, out);
}

/// Handles the reply to an inquiry: an owner polls again at once, and a caretaker claims a lease that nobody holds.
/// Returns the delay before the next poll.
fn handle_inquiry(state: &mut State, key: Key, reply: &Reply, out: &mut Vec<Effect>) -> Duration {
    let role = state.workers.get(key).and_then(|worker| state.cells.key(worker.cell));
    let role = role.and_then(|cell| state.cells.get(cell)).map(|cell| cell.role);
    if is_left_to_another_cell(state, key, reply) {
        return POLL_RETRY_DELAY;
    }
    let Some(worker) = state.workers.get_mut(key) else { return POLL_RETRY_DELAY };
    worker.lease.needs_inquiry = false;
    let is_free = reply.lease_until_ms <= reply.clock_ms;
    match role {
        Some(Role::Owner) => Duration::ZERO,
        Some(Role::Caretaker) if is_free => {
            worker.lease.is_caretaker = true;
            worker.lease.epoch = reply.epoch;
            let cell = worker.cell;
            raise_worker_epoch(state, cell, reply.epoch);
            let Some(worker) = state.workers.get_mut(key) else { return POLL_RETRY_DELAY };
            if let Some(reading) = worker.lease.clock_reading {
                let options = claim(worker, reading, state.now, &state.tuning);
                worker::send(state, key, options, out);
            }
            POLL_RETRY_DELAY
        }
        _ => POLL_RETRY_DELAY,
    }
}

/// Raises the epoch under which a caretaker publishes routes and grants to the one that a worker reports.
fn raise_worker_epoch(state: &mut State, cell: cell::Id, epoch: u64) {
    let Some(cell) = state.cells.key(cell).and_then(|cell| state.cells.get_mut(cell)) else { return };
    cell.worker_epoch = cell.worker_epoch.max(epoch);
}

/// Drops the lease, which another member holds. Returns the delay before the next poll.
fn handle_held(state: &mut State, key: Key) -> Duration {
    if let Some(worker) = state.workers.get_mut(key) {
        worker.lease.expires_at = None;
        worker.lease.is_caretaker = false;
    }
    POLL_RETRY_DELAY
}

/// Drops the lease after a worker has rejected a stale epoch, and steps down as owner if another member took the cell
/// over under a higher epoch. Returns the delay before the next poll.
fn handle_stale(state: &mut State, key: Key, epoch: u64, out: &mut Vec<Effect>) -> Duration {
    handle_held(state, key);
    let Some(worker) = state.workers.get(key) else { return POLL_RETRY_DELAY };
    let Some(cell) = state.cells.key(worker.cell) else { return POLL_RETRY_DELAY };
    let is_owner = state.cells.get(cell).is_some_and(|c| c.role == Role::Owner && c.epoch < epoch);
    if is_owner {
        let reason = format!("worker {:x} saw epoch {epoch}", worker.id.0);
        cell::step_down(state, cell, &reason, out);
    }
    POLL_RETRY_DELAY
}
