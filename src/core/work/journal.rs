//! Group commit of durable records to the store.
//!
//! Each commit is one transaction with two conditions: the leader's key is unchanged, and the tip key is as the previous
//! commit wrote it. Commits therefore take effect in order and at most once each, even if a reply is lost or a call is
//! executed late. One commit is in flight at a time. A commit without a reply is sent again until its outcome is known.
//!
//! Acceptances of jobs have a queue of their own, from which each commit takes first: their callers wait, and the tasks of
//! the job start only then. The other changes wait behind each other in a second queue.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use super::request::{Answer, Ticket};
use super::spec::Id;
use super::state::{self, Purpose};
use super::store::{Key, Member, Reply, Request, Revision, Roster, Tip, Transaction, Value};
use super::timer::Timer;
use super::worker::{self, Worker};
use super::{dispatch, job, late, leadership, lifecycle, renewal, run};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::core::work::effect::Effect as WorkEffect;
use crate::hash::Map;

/// Keys of a commit besides its changes: the two conditions and the write of the tip.
const FIXED_KEYS: usize = 3;

/// Time after the shortest interval between two placement passes in which the pass for a new job ends, unless the process is late.
const PASS_TIME: Duration = Duration::from_millis(1);

/// A change of the stored records. The value is encoded when the commit is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Change {
    /// Writes the record of an accepted job. Queued once for each job, so that a queued one is not in flight as well.
    Accept(job::Key),
    /// Writes the progress of a job, and deletes its record if it has ended.
    Progress(job::Key),
    /// Deletes the progress of an ended job after its retention.
    Forget(Id),
    /// Writes the workers that may run tasks.
    Roster,
    /// Writes the image estimates.
    Images,
    /// Writes nothing itself: its commit proves that this process still led when the commit was executed, and stores the orders of
    /// planned runs.
    Confirm,
}

/// Position of a change in the order of its queue. Changes of a queue become durable in the order of their numbers, which begin
/// at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// Number of an acceptance.
    Acceptance(u64),
    /// Sequence number of any other change, or 0 for what is durable from the beginning.
    Change(u64),
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Position::Acceptance(number) => write!(formatter, "acceptance {number}"),
            Position::Change(number) => write!(formatter, "change {number}"),
        }
    }
}

impl Default for Position {
    fn default() -> Self {
        Position::Change(0)
    }
}

/// Numbers of the last changes of both queues in a commit, or of the last durable ones.
#[derive(Debug, Clone, Copy, Default)]
struct Reach {
    acceptance: u64,
    change: u64,
}

impl Reach {
    fn includes(self, position: Position) -> bool {
        let (Position::Acceptance(number) | Position::Change(number)) = position;
        number <= self.last_of_queue(position)
    }

    /// Number of the last change of the queue of `position`.
    fn last_of_queue(self, position: Position) -> u64 {
        match position {
            Position::Acceptance(_) => self.acceptance,
            Position::Change(_) => self.change,
        }
    }

    fn extend(&mut self, position: Position) {
        match position {
            Position::Acceptance(number) => self.acceptance = self.acceptance.max(number),
            Position::Change(number) => self.change = self.change.max(number),
        }
    }
}

/// A commit whose outcome is not known.
#[derive(Debug, Clone)]
struct Commit {
    /// Random number that the commit writes to the tip, by which its effect is recognised.
    id: u64,
    /// When it was first sent.
    sent: Instant,
    /// Changes with their positions, in ascending order of each queue.
    changes: Vec<(Position, Change)>,
    /// Planned runs whose orders it stores.
    starts: Vec<run::Key>,
    transaction: Transaction,
    /// Whether a reply to the commit was lost, so that it may have taken effect.
    may_be_applied: bool,
}

impl Commit {
    /// Highest numbers of the changes of both queues.
    fn reach(&self) -> Reach {
        let mut reach = Reach::default();
        self.changes.iter().for_each(|(position, _)| reach.extend(*position));
        reach
    }
}

/// A request without an answer, and the job that it is about.
pub type Caller = (Ticket, Id);

/// A request that is answered once a change is durable.
#[derive(Debug, Clone)]
struct Waiting {
    /// Position of the change.
    position: Position,
    ticket: Ticket,
    job: Id,
    answer: Answer,
}

/// Queued changes, the commit in flight, and the requests that wait for them.
#[derive(Debug, Clone, Default)]
pub struct State {
    tip_revision: Revision,
    /// Acceptances with their numbers that are not in a commit yet.
    acceptances: VecDeque<(u64, Change)>,
    /// Number of the newest acceptance.
    last_acceptance: u64,
    /// Highest number of a durable acceptance.
    durable_acceptance: u64,
    /// Other changes with their sequence numbers that are not in a commit yet.
    queue: VecDeque<(u64, Change)>,
    /// Sequence numbers of the queued changes.
    queued_sequences: Map<Change, u64>,
    /// Sequence number of the newest change.
    last_sequence: u64,
    /// Highest sequence number of a durable change.
    pub durable_sequence: u64,
    in_flight: Option<Commit>,
    waiting: Vec<Waiting>,
    /// Number of orders to start in the stored tip.
    stored_starts: usize,
    /// Earliest time of the next commit or of its repetition.
    next_commit: Instant,
    /// When the first commit since the last successful one was sent; `None` if none is outstanding.
    pub failing_since: Option<Instant>,
    /// When the newest durable commit was first sent. This process led at some time after that.
    pub confirmed_at: Instant,
}

impl State {
    /// Resets the journal for a new term. `tip` is the revision of the tip key.
    pub fn begin(&mut self, tip: Revision, now: Instant) {
        *self = Self { tip_revision: tip, next_commit: now, ..Self::default() };
    }

    /// Removes all waiting requests: first those in a commit whose outcome is unknown, then those that had no effect.
    pub fn drain_waiting(&mut self) -> (Vec<Caller>, Vec<Caller>) {
        let reach = self.reach_in_flight();
        let (in_flight, unwritten): (Vec<_>, Vec<_>) = self
            .waiting
            .drain(..)
            .partition(|waiting| reach.includes(waiting.position) && !waiting.answer.is_without_effect());
        let callers =
            |list: Vec<Waiting>| list.into_iter().map(|waiting| (waiting.ticket, waiting.job)).collect();
        (callers(in_flight), callers(unwritten))
    }

    /// Number of changes that are not in a commit yet.
    pub fn queued_changes(&self) -> u64 {
        (self.acceptances.len() + self.queue.len()) as u64
    }

    /// Numbers of the last changes that are durable or in the commit in flight.
    fn reach_in_flight(&self) -> Reach {
        let mut reach = Reach { acceptance: self.durable_acceptance, change: self.durable_sequence };
        for (position, _) in self.in_flight.iter().flat_map(|commit| &commit.changes) {
            reach.extend(*position);
        }
        reach
    }

    /// Whether a change is durable.
    fn is_durable(&self, position: Position) -> bool {
        Reach { acceptance: self.durable_acceptance, change: self.durable_sequence }.includes(position)
    }

    /// Takes the next change for a commit: all acceptances before other changes, so that no commit ends a job whose record a
    /// later one writes.
    fn take_next(&mut self) -> Option<(Position, Change)> {
        if let Some((number, change)) = self.acceptances.pop_front() {
            return Some((Position::Acceptance(number), change));
        }
        let (number, change) = self.queue.pop_front()?;
        self.queued_sequences.remove(&change);
        Some((Position::Change(number), change))
    }

    /// Returns a change of a commit without effect to the head of its queue.
    fn put_back(&mut self, position: Position, change: Change) {
        match position {
            Position::Acceptance(number) => self.acceptances.push_front((number, change)),
            Position::Change(number) => {
                self.queued_sequences.insert(change, number);
                self.queue.push_front((number, change));
            }
        }
    }

    /// Time since the commit in flight was first sent; zero without one.
    pub fn time_in_flight(&self, now: Instant) -> Duration {
        self.in_flight.as_ref().map_or(Duration::ZERO, |commit| now.since(commit.sent))
    }

    /// Takes all acceptances out of both queues.
    fn take_acceptances(&mut self) -> Vec<(Position, job::Key)> {
        let (of_queue, rest): (VecDeque<_>, VecDeque<_>) =
            self.queue.drain(..).partition(|(_, change)| matches!(change, Change::Accept(_)));
        self.queue = rest;
        let of_queue = of_queue.into_iter().map(|(number, change)| (Position::Change(number), change));
        let of_acceptances =
            self.acceptances.drain(..).map(|(number, change)| (Position::Acceptance(number), change));
        let mut taken = Vec::new();
        for (position, change) in of_acceptances.chain(of_queue) {
            self.queued_sequences.remove(&change);
            if let Change::Accept(key) = change {
                taken.push((position, key));
            }
        }
        taken
    }

    /// Whether a commit is in flight.
    pub fn has_commit_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether no change is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.acceptances.is_empty() && self.queue.is_empty() && self.in_flight.is_none()
    }
}

/// Queues a change and returns its sequence number. The change is durable once [`State::durable_sequence`] reaches it.
/// The number can be lower than that of an earlier change of the job, if a refused commit returned the change to the queue.
pub(super) fn enqueue(state: &mut super::State, change: Change) -> u64 {
    let sequence = queue_change(state, change);
    if let Change::Progress(key) = change
        && let Some(job) = state.jobs.all.get_mut(key)
    {
        job.newest_change = sequence;
    }
    sequence
}

/// Queues the acceptance of a job, and returns its position. The commit waits for the next placement pass, so that it stores the
/// first orders of the job, too, which a commit of their own would delay for longer. The acceptance waits behind the removal of an ended job with the same identity,
/// whose progress a later leader would take for that of the new job.
pub(super) fn accept(state: &mut super::State, key: job::Key) -> Position {
    let change = Change::Accept(key);
    let forget = state.jobs.all.get(key).map(|job| Change::Forget(job.id));
    if forget.is_some_and(|forget| state.journal.queued_sequences.contains_key(&forget)) {
        return Position::Change(queue_change(state, change));
    }
    let first_pass_at = state.now + state.tuning.place_interval + PASS_TIME;
    let journal = &mut state.journal;
    if journal.acceptances.is_empty() && journal.in_flight.is_none() {
        journal.next_commit = journal.next_commit.max(first_pass_at);
    }
    journal.last_acceptance += 1;
    journal.acceptances.push_back((journal.last_acceptance, change));
    let position = Position::Acceptance(journal.last_acceptance);
    schedule_commit(state);
    position
}

/// Sets the timer of the next commit, unless one is in flight.
fn schedule_commit(state: &mut super::State) {
    if state.journal.in_flight.is_none() {
        state.timers.set(state.journal.next_commit.max(state.now), Timer::Commit);
    }
}

/// Sequence number of the newest change of a job. An effect that rests on the state of the job leaves this process only
/// once that change is durable, since the next leader knows nothing of an earlier state.
///
/// For a job that is not known it is the newest change of all, which includes the removal of the job.
pub(super) fn newest_change(state: &super::State, id: Id) -> u64 {
    let job = state.jobs.find(id).and_then(|key| state.jobs.all.get(key));
    job.map_or(state.journal.last_sequence, |job| job.newest_change)
}

/// Adds a change to the queue. A change that is already queued is not queued again, since the commit writes the newest
/// value.
fn queue_change(state: &mut super::State, change: Change) -> u64 {
    let journal = &mut state.journal;
    if let Some(sequence) = journal.queued_sequences.get(&change) {
        return *sequence;
    }
    journal.last_sequence += 1;
    journal.queued_sequences.insert(change, journal.last_sequence);
    journal.queue.push_back((journal.last_sequence, change));
    let sequence = journal.last_sequence;
    schedule_commit(state);
    sequence
}

/// Answers a request once the change at this position is durable.
pub(super) fn answer_when_durable(
    state: &mut super::State,
    position: Position,
    ticket: Ticket,
    job: Id,
    answer: Answer,
) {
    state.journal.waiting.push(Waiting { position, ticket, job, answer });
}

/// Sends the next commit, or repeats the commit whose reply was lost.
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
    let max_keys = state.tuning.commit_keys - FIXED_KEYS;
    let mut transaction = Transaction {
        expect: vec![condition, (Key::Tip, state.journal.tip_revision)],
        ..Transaction::default()
    };
    let mut changes = Vec::new();
    while transaction.put.len() + transaction.delete.len() + 1 < max_keys {
        let Some((position, change)) = state.journal.take_next() else { break };
        // A change of a refused commit returns to the queue beside a later one of the same key, whose value it writes.
        if !changes.iter().any(|(_, earlier)| *earlier == change) {
            add_to_transaction(state, change, &mut transaction);
        }
        changes.push((position, change));
    }
    let starts = dispatch::take_queued(state);
    if changes.is_empty() && starts.is_empty() {
        return;
    }
    let id = state.next_random();
    let tip = Tip { write: id, starts: late::under_way(state) };
    transaction.put.push((Key::Tip, Value::Tip(tip), None));
    state.journal.in_flight = Some(Commit {
        id,
        sent: state.now,
        changes,
        starts,
        transaction: transaction.clone(),
        may_be_applied: false,
    });
    state.call_store(Purpose::Commit, Request::Commit(transaction), out);
    state.journal.failing_since.get_or_insert(state.now);
    state.timers.set(state.now + state.tuning.commit_patience, Timer::Commit);
}

/// Adds the newest value of a change to a transaction.
fn add_to_transaction(state: &super::State, change: Change, transaction: &mut Transaction) {
    match change {
        Change::Accept(key) => {
            let Some(job) = state.jobs.all.get(key) else { return };
            transaction.put.push((Key::Job(job.id), Value::Job(Box::new(job.record())), None));
        }
        Change::Progress(key) => {
            let Some(job) = state.jobs.all.get(key) else { return };
            let Some(progress) = state.jobs.progress(key, &state.late) else { return };
            if progress.phase.has_ended() {
                transaction.put.retain(|(written, ..)| *written != Key::Job(job.id));
                transaction.delete.push(Key::Job(job.id));
            }
            transaction.put.push((Key::Progress(job.id), Value::Progress(progress), None));
        }
        Change::Forget(id) => transaction.delete.push(Key::Progress(id)),
        Change::Confirm => {}
        Change::Images => {
            transaction.put.push((Key::Images, Value::Images(state.images.estimates()), None));
        }
        Change::Roster => {
            let roster = Roster { members: members(state, |_, _| None), resigned_in: 0 };
            transaction.put.push((Key::Roster, Value::Roster(roster), None));
        }
    }
}

/// Members of the roster. `wait` tells the time until the leases on a worker have expired.
pub(super) fn members(
    state: &super::State,
    wait: impl Fn(worker::Key, &Worker) -> Option<Duration>,
) -> Vec<Member> {
    let workers = state.workers.all.iter().filter(|(_, worker)| !worker.is_retired);
    let member = |(key, worker): (worker::Key, &Worker)| Member {
        id: worker.id.clone(),
        address: worker.address,
        remaining: worker.remaining.clone().filter(|_| worker.is_closed()),
        wait: wait(key, worker),
    };
    workers.map(member).collect()
}

/// Queues a commit if the stored tip has orders that are not under way any more: the next leader waits for these.
pub(super) fn review_tip(state: &mut super::State) {
    if state.load.is_none() && late::under_way(state).len() < state.journal.stored_starts {
        enqueue(state, Change::Confirm);
    }
}

/// Handles the reply to a commit.
pub(super) fn handle_reply(state: &mut super::State, reply: Reply, out: &mut Vec<Effect>) {
    let Some(commit) = state.journal.in_flight.take() else { return };
    let is_refused = reply == Reply::Refused;
    let revision = match reply {
        Reply::Committed(revision) => Some(revision),
        Reply::Conflict(current) => match find_own_commit(&current, commit.id) {
            Some(revision) => Some(revision),
            None => {
                // A commit without a reply may have taken effect before the other process wrote the tip, so the requests
                // that wait for it are not refused.
                state.journal.in_flight = Some(commit).filter(|commit| commit.may_be_applied);
                return leadership::step_down(state, "another process wrote the records", out);
            }
        },
        _ => None,
    };
    let Some(revision) = revision else { return retry_later(state, commit, is_refused, out) };
    state.journal.tip_revision = revision;
    let Reach { acceptance, change } = commit.reach();
    state.journal.durable_acceptance = state.journal.durable_acceptance.max(acceptance);
    state.journal.durable_sequence = state.journal.durable_sequence.max(change);
    state.journal.failing_since = None;
    state.journal.confirmed_at = commit.sent;
    state.journal.stored_starts = commit.transaction.tip().map_or(0, |tip| tip.starts.len());
    state.meter.record_commit(commit.changes.len(), state.now.since(commit.sent));
    state.journal.next_commit = state.now + state.tuning.commit_interval;
    if !state.journal.is_idle() {
        state.timers.set(state.journal.next_commit, Timer::Commit);
    }
    for (_, change) in commit.changes {
        apply_committed(state, change, &commit.transaction);
    }
    leadership::confirm(state, commit.sent, out);
    dispatch::handle_stored(state, commit.starts, out);
    answer_durable(state, out);
    renewal::acknowledge_durable(state, out);
    state.schedule_placement();
}

/// Schedules a repetition of a failed commit. The changes of a commit that cannot have taken effect return to the queue.
fn retry_later(state: &mut super::State, mut commit: Commit, is_refused: bool, out: &mut Vec<Effect>) {
    let journal = &mut state.journal;
    commit.may_be_applied |= !is_refused;
    if commit.may_be_applied {
        journal.in_flight = Some(commit);
    } else {
        for (position, change) in commit.changes.into_iter().rev() {
            journal.put_back(position, change);
        }
        dispatch::put_back(state, commit.starts);
    }
    state.journal.next_commit = state.now + state.tuning.store_retry;
    state.timers.set(state.journal.next_commit, Timer::Commit);
    answer_stalled(state, out);
}

/// Whether commits have failed for so long that new jobs are refused.
pub(super) fn is_failing(state: &super::State) -> bool {
    let since = state.journal.failing_since;
    since.is_some_and(|since| state.now.since(since) >= state.tuning.commit_patience)
}

/// Answers the requests that wait for a commit if [`is_failing`].
///
/// Jobs that are not written are refused and removed, and reads are refused. A change in flight may still take effect, so
/// the outcome of its request is unknown.
fn answer_stalled(state: &mut super::State, out: &mut Vec<Effect>) {
    if !is_failing(state) {
        return;
    }
    let mut withdrawn = Vec::new();
    for (position, key) in state.journal.take_acceptances() {
        withdrawn.push(position);
        record_withdrawal(state, key, position, out);
        lifecycle::remove_unstored(state, key, out);
    }
    let reach = state.journal.reach_in_flight();
    for Waiting { position, ticket, job, answer } in std::mem::take(&mut state.journal.waiting) {
        let (decision, answer) = if withdrawn.contains(&position) || answer.is_without_effect() {
            ("refuse", Answer::Refused(state.tuning.retry_after_s))
        } else {
            ("answer-unknown", Answer::Unknown)
        };
        let last = reach.last_of_queue(position);
        let reason = format!("commits to the store fail: {position}, in flight up to {last}");
        state::record(out, Subject::Job(job), decision, reason);
        out.push(Effect::Work(WorkEffect::Answer { ticket, answer }));
    }
    // New jobs are refused until a commit succeeds, so one is kept in the queue.
    if state.journal.is_idle() {
        enqueue(state, Change::Confirm);
    }
}

/// Adds the removal of a job whose acceptance is withdrawn to the timeline.
fn record_withdrawal(state: &super::State, key: job::Key, position: Position, out: &mut Vec<Effect>) {
    let Some(job) = state.jobs.all.get(key) else { return };
    let stored = if job.is_stored { "stored" } else { "not stored" };
    let count = state.jobs.count_tasks_with_runs(key);
    let reason = format!("{position}, the job is {stored}, {count} of its tasks have runs");
    state::record(out, Subject::Job(job.id), "withdraw", reason);
}

/// Revision of the tip key if the commit with this number wrote it, so that the commit took effect.
fn find_own_commit(current: &[(Key, Value, Revision)], id: u64) -> Option<Revision> {
    current.iter().find_map(|(key, value, revision)| {
        let is_own = matches!(value, Value::Tip(tip) if tip.write == id);
        (*key == Key::Tip && is_own).then_some(*revision)
    })
}

/// Updates the state for a change that has become durable with a transaction.
fn apply_committed(state: &mut super::State, change: Change, transaction: &Transaction) {
    match change {
        Change::Accept(key) => {
            if let Some(job) = state.jobs.all.get_mut(key) {
                job.is_stored = true;
                lifecycle::release_due(state, key);
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
        Change::Forget(_) | Change::Images | Change::Confirm => {}
        Change::Roster => {
            let rosters = transaction.put.iter().filter_map(|(_, value, _)| match value {
                Value::Roster(roster) => Some(roster),
                _ => None,
            });
            for member in rosters.flat_map(|roster| &roster.members) {
                state.workers.enroll(member);
            }
        }
    }
}

/// Answers the requests whose changes are durable.
fn answer_durable(state: &mut super::State, out: &mut Vec<Effect>) {
    let waiting = std::mem::take(&mut state.journal.waiting);
    let (ready, waiting): (Vec<_>, Vec<_>) =
        waiting.into_iter().partition(|waiting| state.journal.is_durable(waiting.position));
    state.journal.waiting = waiting;
    for Waiting { ticket, answer, .. } in ready {
        out.push(Effect::Work(WorkEffect::Answer { ticket, answer }));
    }
}

/// Queues a write of the roster if the stored one lacks a known worker that is not retired.
pub(super) fn enroll(state: &mut super::State, out: &mut Vec<Effect>) {
    let is_missing =
        |worker: &Worker| !worker.is_enrolled && !worker.is_enrolled_closed && !worker.is_retired;
    if state.load.is_none() && state.workers.all.values().any(is_missing) {
        write_roster(state, out);
    }
}

/// Queues a write of the roster without the workers on which no run is left and none will be started, and with the tasks that
/// are left on others that take no new runs, so that the next leader waits for no more than these.
pub(super) fn retire_vacated(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.load.is_some() {
        return;
    }
    let has_retired = state.workers.review_retirement(state.now, &state.tuning);
    let has_closed = state.workers.review_remaining(&state.runs);
    if has_retired || has_closed {
        write_roster(state, out);
    }
}

/// Queues a write of the roster.
pub(super) fn write_roster(state: &mut super::State, out: &mut Vec<Effect>) {
    let sequence = enqueue(state, Change::Roster);
    let total = state.workers.all.len();
    let retired = state.workers.all.values().filter(|worker| worker.is_retired).count();
    let reason = format!("{} of {total} workers, change {sequence}", total - retired);
    state::record(out, Subject::Process, "enroll", reason);
}
