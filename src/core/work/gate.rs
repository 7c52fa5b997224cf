//! Gate that delays the start of tasks of earlier terms, so that no task runs twice.
//!
//! An earlier leader may have started tasks on workers that have not answered this process yet. A task that was accepted before
//! this term and has no known run starts only once each worker that may have it has answered, or once the leases there have
//! expired. On a worker that takes no new runs only those tasks can run that the roster names.

use std::time::Duration;

use super::spec::Name;
use super::state;
use super::store::{Member, Roster};
use super::tuning::Tuning;
use super::worker::{self, Key};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::hash::Set;

/// Most workers that the timeline entry about the opening of the gate names.
const UNREACHED_NAMES_MAX: usize = 20;

/// A worker that may have runs of an earlier term.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Awaited {
    worker: Key,
    /// Time at which all leases granted there in earlier terms have expired.
    until: Instant,
    /// Tasks that may run there; `None` if any may.
    tasks: Option<Set<Name>>,
}

/// The workers that have to answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gate {
    awaited: Vec<Awaited>,
    /// Number of workers that had to answer at first.
    worker_count: usize,
    /// Workers whose leases have expired before they answered.
    expired: Vec<Key>,
    closed_at: Instant,
}

impl Gate {
    /// Whether a worker has not answered yet.
    pub fn awaits(&self, worker: Key) -> bool {
        self.awaited.iter().any(|awaited| awaited.worker == worker)
    }

    /// Whether a run of a task without a known one may be on a worker that has not answered.
    pub fn holds(&self, task: Name) -> bool {
        self.awaited.iter().any(|awaited| awaited.tasks.as_ref().is_none_or(|tasks| tasks.contains(&task)))
    }

    /// Number of workers that have not answered, and of those that had to at first.
    pub fn counts(&self) -> (usize, usize) {
        (self.awaited.len(), self.worker_count)
    }

    /// Time until a worker is no longer awaited; `None` if it is not.
    pub fn wait_for(&self, worker: Key, now: Instant) -> Option<Duration> {
        let awaited = self.awaited.iter().find(|awaited| awaited.worker == worker)?;
        Some(awaited.until.since(now))
    }

    /// Time at which the next worker is no longer awaited; `None` if all have answered.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.awaited.iter().map(|awaited| awaited.until).min()
    }

    /// Marks a worker as one without unknown runs of earlier terms. Returns whether it was awaited.
    pub fn mark_reached(&mut self, worker: Key) -> bool {
        let count = self.awaited.len();
        self.awaited.retain(|awaited| awaited.worker != worker);
        self.awaited.len() < count
    }

    /// Stops waiting for the workers on which all leases have expired.
    fn expire(&mut self, now: Instant) {
        let expired = self.awaited.extract_if(.., |awaited| awaited.until <= now);
        self.expired.extend(expired.map(|awaited| awaited.worker));
    }
}

/// Longest time from the begin of a term until all leases of earlier terms have expired.
///
/// An earlier leader that may still run acts until the end of its validity. A worker that restarts before an order to start
/// arrives grants the longest lease, since its clock starts anew; such an order arrives for `RESTART_MIN` after that leader
/// last led.
fn longest_wait(state: &super::State) -> Duration {
    let tuning = &state.tuning;
    let validity =
        if state.leadership.has_predecessor_ended { Duration::ZERO } else { tuning.leader_validity };
    let renewed = validity + worker::longest_lease(tuning.worker_lease, tuning);
    renewed.max(worker::RESTART_MIN + worker::longest_lease(tuning.lease_max, tuning))
}

/// Closes the gate for the members of the stored roster, or for all known workers if there is none. Earlier leaders have started
/// nothing on other workers, or know that it has ended. `begun` is the begin of the term.
pub(super) fn close(state: &mut super::State, roster: &Roster, begun: Instant, out: &mut Vec<Effect>) {
    let longest = longest_wait(state);
    // Only the last leader knows what it has granted: a later one may have granted more.
    let has_waits = roster.resigned_in + 1 == state.leadership.term();
    let mut awaited = Vec::with_capacity(roster.members.len());
    for member in &roster.members {
        let Some(worker) = state.workers.by_id.get(&member.id).copied() else { continue };
        let wait = member_wait(member, has_waits, longest, &state.tuning);
        let tasks = member.remaining.as_ref().map(|tasks| tasks.iter().copied().collect());
        awaited.push(Awaited { worker, until: begun + wait, tasks });
    }
    if roster.members.is_empty() {
        // The roster could not be read, or no worker was left when it was written.
        let all = state.workers.all.keys();
        awaited.extend(all.map(|worker| Awaited { worker, until: begun + longest, tasks: None }));
    }
    awaited.retain(|awaited| {
        awaited.until > state.now && awaited.tasks.as_ref().is_none_or(|tasks| !tasks.is_empty())
    });
    let worker_count = awaited.len();
    let bounded = awaited.iter().filter(|awaited| awaited.tasks.is_some()).count();
    let last = awaited.iter().map(|awaited| awaited.until).max().unwrap_or(state.now);
    let reason = format!(
        "{worker_count} of {} workers have to answer, for at most {} ms; {bounded} of them hold only some tasks",
        roster.members.len(),
        last.since(state.now).as_millis()
    );
    state::record(out, Subject::Process, "gate-close", reason);
    state.workers.gate = Some(Gate { awaited, worker_count, expired: Vec::new(), closed_at: state.now });
}

/// Time from the begin of the term until the leases on a member of the roster have expired.
fn member_wait(member: &Member, has_wait: bool, longest: Duration, tuning: &Tuning) -> Duration {
    match member.wait.filter(|_| has_wait) {
        Some(Duration::ZERO) => Duration::ZERO,
        Some(wait) => longest.min(wait + tuning.lease_margin),
        None => longest,
    }
}

/// Stops waiting for workers whose leases have expired, and opens the gate once none is awaited.
pub(super) fn review(state: &mut super::State, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(gate) = &mut state.workers.gate else { return };
    gate.expire(now);
    if gate.awaited.is_empty()
        && let Some(gate) = state.workers.gate.take()
    {
        record_opening(state, &gate, out);
    }
}

/// Adds the opening of the gate to the timeline, with the workers that have not answered.
fn record_opening(state: &super::State, gate: &Gate, out: &mut Vec<Effect>) {
    let (total, elapsed_ms) = (gate.worker_count, state.now.since(gate.closed_at).as_millis());
    let unreached = gate.expired.len();
    let cause = if unreached == 0 {
        format!("all {total} workers have answered")
    } else {
        let names = gate.expired.iter().filter_map(|key| state.workers.all.get(*key));
        let names: Vec<_> = names.map(|worker| worker.id.as_str()).take(UNREACHED_NAMES_MAX).collect();
        let names = names.join(", ");
        format!(
            "all leases of earlier terms have expired, {unreached} of {total} workers unanswered: {names}"
        )
    };
    state::record(out, Subject::Process, "gate-open", format!("{cause}, after {elapsed_ms} ms"));
}
