//! Records that must last, written to the store in groups.
//!
//! Each commit is one transaction under two conditions: the leader's key is unchanged, and so is the tip that the commit
//! before wrote. So commits take effect in order, each at most once, also when an answer is lost or a call is executed
//! late. One commit is in flight at a time; one without an answer is sent again until its outcome is known.

use std::collections::VecDeque;

use super::request::{Answer, Ticket};
use super::spec::Id;
use super::state::{self, Purpose};
use super::store::{Key, Member, Reply, Request, Revision, Transaction, Value};
use super::timer::Timer;
use super::{hold, job, leadership, lifecycle};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::core::work::effect::Effect as WorkEffect;
use crate::hash::Map;

/// Keys in the store's conditions and the tip, which a commit has besides its changes.
const FIXED_KEYS: usize = 3;

/// Something to write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// A job that was accepted.
    Accept(job::Key),
    /// Progress, or the end, of a job.
    Progress(job::Key),
    /// A job that ended long ago.
    Forget(Id),
    /// The workers that may run tasks.
    Roster,
    /// What is known of images.
    Images,
}

/// A commit in flight.
#[derive(Debug, Clone)]
struct Commit {
    id: u64,
    /// Changes with their sequence numbers.
    changes: Vec<(u64, Change)>,
    transaction: Transaction,
    /// Whether it may have taken effect already.
    may_be_applied: bool,
}

impl Commit {
    /// Highest sequence number in it.
    fn last_sequence(&self) -> u64 {
        self.changes.last().map_or(0, |(sequence, _)| *sequence)
    }
}

/// A request that waits, and the job that it is about.
pub type Caller = (Ticket, Id);

/// A request that is answered once a change is durable.
#[derive(Debug, Clone)]
struct Waiting {
    /// Number of the change.
    sequence: u64,
    ticket: Ticket,
    job: Id,
    answer: Answer,
}

/// Waiting records.
#[derive(Debug, Clone, Default)]
pub struct State {
    tip_revision: Revision,
    queue: VecDeque<(u64, Change)>,
    queued_sequences: Map<Change, u64>,
    /// Sequence number of the newest change.
    last_sequence: u64,
    /// Changes up to this one are durable.
    pub durable_sequence: u64,
    in_flight: Option<Commit>,
    waiting: Vec<Waiting>,
    next_commit: Instant,
    /// When the oldest commit without a success was tried first.
    pub failing_since: Option<Instant>,
}

impl State {
    /// Starts a term whose newest commit has the revision `tip`.
    pub fn begin(&mut self, tip: Revision, now: Instant) {
        *self = Self { tip_revision: tip, next_commit: now, ..Self::default() };
    }

    /// Requests in a commit whose outcome is not known, and requests that surely were not written.
    pub fn drain_waiting(&mut self) -> (Vec<Caller>, Vec<Caller>) {
        let upto = self.in_flight.as_ref().map_or(0, Commit::last_sequence);
        let (flying, waiting): (Vec<_>, Vec<_>) =
            self.waiting.drain(..).partition(|waiting| waiting.sequence <= upto);
        let callers =
            |list: Vec<Waiting>| list.into_iter().map(|waiting| (waiting.ticket, waiting.job)).collect();
        (callers(flying), callers(waiting))
    }

    /// Whether everything is written.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }
}

/// Queues a change, and returns the number that [`State::durable`] reaches when it is written.
///
/// A change that waits already is written with its newest value, so it is not queued twice.
pub(super) fn enqueue(state: &mut super::State, change: Change) -> u64 {
    let journal = &mut state.journal;
    if let Some(sequence) = journal.queued_sequences.get(&change) {
        return *sequence;
    }
    journal.last_sequence += 1;
    journal.queued_sequences.insert(change, journal.last_sequence);
    journal.queue.push_back((journal.last_sequence, change));
    if journal.in_flight.is_none() {
        state.timers.set(journal.next_commit.max(state.now), Timer::Commit);
    }
    journal.last_sequence
}

/// Answers a request once the change with this number is durable.
pub(super) fn answer_when_durable(
    state: &mut super::State,
    sequence: u64,
    ticket: Ticket,
    job: Id,
    answer: Answer,
) {
    state.journal.waiting.push(Waiting { sequence, ticket, job, answer });
}

/// Starts the next commit, or repeats the one whose answer was lost.
pub(super) fn flush(state: &mut super::State, out: &mut Vec<Effect>) {
    let Some(condition) = state.leadership.condition() else { return };
    if state.load.is_some() || state.now < state.journal.next_commit {
        return;
    }
    answer_stalled(state, out);
    if let Some(commit) = &state.journal.in_flight {
        let request = Request::Commit(commit.transaction.clone());
        if !state.has_call_in_flight(&Purpose::Commit) {
            state.call_store(Purpose::Commit, request, out);
        }
        return;
    }
    let room = state.tuning.commit_keys - FIXED_KEYS;
    let mut transaction = Transaction {
        expect: vec![condition, (Key::Tip, state.journal.tip_revision)],
        ..Transaction::default()
    };
    let mut changes = Vec::new();
    while transaction.put.len() + transaction.delete.len() + 1 < room {
        let Some((sequence, change)) = state.journal.queue.pop_front() else { break };
        state.journal.queued_sequences.remove(&change);
        add_to_transaction(state, change, &mut transaction);
        changes.push((sequence, change));
    }
    if changes.is_empty() {
        return;
    }
    let write = state.next_random();
    transaction.put.push((Key::Tip, Value::Tip(write), None));
    state.journal.in_flight =
        Some(Commit { id: write, changes, transaction: transaction.clone(), may_be_applied: false });
    state.call_store(Purpose::Commit, Request::Commit(transaction), out);
    state.journal.failing_since.get_or_insert(state.now);
    state.timers.set(state.now + state.tuning.commit_patience, Timer::Commit);
}

/// Adds the newest value of what changed.
fn add_to_transaction(state: &super::State, change: Change, transaction: &mut Transaction) {
    match change {
        Change::Accept(key) => {
            let Some(job) = state.jobs.all.get(key) else { return };
            transaction.put.push((Key::Job(job.id), Value::Job(Box::new(job.record())), None));
        }
        Change::Progress(key) => {
            let Some(job) = state.jobs.all.get(key) else { return };
            let Some(progress) = state.jobs.progress(key) else { return };
            if progress.phase.has_ended() {
                transaction.put.retain(|(written, ..)| *written != Key::Job(job.id));
                transaction.delete.push(Key::Job(job.id));
            }
            transaction.put.push((Key::Progress(job.id), Value::Progress(progress), None));
        }
        Change::Forget(id) => transaction.delete.push(Key::Progress(id)),
        Change::Images => {
            transaction.put.push((Key::Images, Value::Images(state.images.knowledge()), None));
        }
        Change::Roster => {
            let roster = state
                .workers
                .all
                .values()
                .map(|worker| Member { id: worker.id.clone(), address: worker.address });
            transaction.put.push((Key::Roster, Value::Roster(roster.collect()), None));
        }
    }
}

/// Takes over the answer to a commit.
pub(super) fn handle_reply(state: &mut super::State, reply: Reply, out: &mut Vec<Effect>) {
    let Some(commit) = state.journal.in_flight.take() else { return };
    let is_refused = reply == Reply::Refused;
    let revision = match reply {
        Reply::Committed(revision) => Some(revision),
        Reply::Conflict(current) => match find_own_commit(&current, commit.id) {
            Some(revision) => Some(revision),
            None => return leadership::step_down(state, "another process wrote the records", out),
        },
        _ => None,
    };
    let Some(revision) = revision else { return retry_later(state, commit, is_refused, out) };
    state.journal.tip_revision = revision;
    state.journal.durable_sequence = commit.last_sequence();
    state.journal.failing_since = None;
    state.journal.next_commit = state.now + state.tuning.commit_interval;
    if !state.journal.queue.is_empty() {
        state.timers.set(state.journal.next_commit, Timer::Commit);
    }
    for (_, change) in commit.changes {
        apply_committed(state, change);
    }
    answer_durable(state, out);
    hold::acknowledge(state, out);
    state.schedule_placement();
}

/// Tries a commit again after a wait; one that surely did not take effect is taken apart.
fn retry_later(state: &mut super::State, mut commit: Commit, is_refused: bool, out: &mut Vec<Effect>) {
    let journal = &mut state.journal;
    commit.may_be_applied |= !is_refused;
    if commit.may_be_applied {
        journal.in_flight = Some(commit);
    } else {
        for (sequence, change) in commit.changes.into_iter().rev() {
            journal.queued_sequences.insert(change, sequence);
            journal.queue.push_front((sequence, change));
        }
    }
    journal.next_commit = state.now + state.tuning.store_retry;
    state.timers.set(journal.next_commit, Timer::Commit);
    answer_stalled(state, out);
}

/// Whether commits have failed for so long that callers should come back later.
pub(super) fn is_failing(state: &super::State) -> bool {
    let since = state.journal.failing_since;
    since.is_some_and(|since| state.now.since(since) >= state.tuning.commit_patience)
}

/// Answers the requests that wait for a commit, once commits have failed for a while.
///
/// What is surely not written is refused; what is in flight may still take effect, so its outcome is unknown.
fn answer_stalled(state: &mut super::State, out: &mut Vec<Effect>) {
    if !is_failing(state) {
        return;
    }
    let flying: Vec<Change> = state
        .journal
        .in_flight
        .iter()
        .flat_map(|commit| commit.changes.iter().map(|(_, change)| *change))
        .collect();
    let (accepts, rest): (VecDeque<_>, VecDeque<_>) = state
        .journal
        .queue
        .drain(..)
        .partition(|(_, change)| matches!(change, Change::Accept(_)) && !flying.contains(change));
    state.journal.queue = rest;
    let mut withdrawn = Vec::new();
    for (sequence, change) in accepts {
        state.journal.queued_sequences.remove(&change);
        withdrawn.push(sequence);
        if let Change::Accept(key) = change {
            lifecycle::remove_unstored(state, key);
        }
    }
    let upto = state.journal.in_flight.as_ref().map_or(0, Commit::last_sequence);
    for Waiting { sequence, ticket, job, .. } in std::mem::take(&mut state.journal.waiting) {
        let (decision, answer) = if withdrawn.contains(&sequence) {
            ("refuse", Answer::Refused(state.tuning.come_back_s))
        } else {
            ("answer-unknown", Answer::Unknown)
        };
        let reason = format!("the store does not take records: change {sequence}, in flight {upto}");
        state::record(out, Subject::Job(job), decision, reason);
        out.push(Effect::Work(WorkEffect::Answer { ticket, answer }));
    }
}

/// Revision of the tip if the commit `write` made it.
fn find_own_commit(current: &[(Key, Value, Revision)], write: u64) -> Option<Revision> {
    current.iter().find_map(|(key, value, revision)| {
        (*key == Key::Tip && *value == Value::Tip(write)).then_some(*revision)
    })
}

fn apply_committed(state: &mut super::State, change: Change) {
    match change {
        Change::Accept(key) => {
            if let Some(job) = state.jobs.all.get_mut(key) {
                job.is_stored = true;
                lifecycle::release_due(state, key, None);
            }
        }
        Change::Progress(key) => {
            let is_written = !state.journal.queued_sequences.contains_key(&change);
            if let Some(job) = state.jobs.all.get_mut(key)
                && job.phase.has_ended()
                && is_written
            {
                job.is_final = true;
            }
        }
        Change::Forget(_) | Change::Images => {}
        Change::Roster => {
            if !state.journal.queued_sequences.contains_key(&Change::Roster) {
                for worker in state.workers.all.values_mut() {
                    worker.is_enrolled = true;
                }
            }
        }
    }
}

/// Answers the requests whose changes are durable.
fn answer_durable(state: &mut super::State, out: &mut Vec<Effect>) {
    let durable = state.journal.durable_sequence;
    let (ready, waiting): (Vec<_>, Vec<_>) =
        state.journal.waiting.drain(..).partition(|waiting| waiting.sequence <= durable);
    state.journal.waiting = waiting;
    for Waiting { ticket, answer, .. } in ready {
        out.push(Effect::Work(WorkEffect::Answer { ticket, answer }));
    }
}

/// Queues the roster if a worker is missing in it.
pub(super) fn enroll(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.load.is_none() && state.workers.all.values().any(|worker| !worker.is_enrolled) {
        let sequence = enqueue(state, Change::Roster);
        let reason = format!("{} workers, change {sequence}", state.workers.all.len());
        state::record(out, Subject::Process, "enroll", reason);
    }
}
