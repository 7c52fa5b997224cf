//! Handling of callers' requests: routed by the configuration, served by the leader, forwarded by all other entry VMs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::confirm::{Decision, Waiting};
use super::effect::Effect as WorkEffect;
use super::event::Fault;
use super::leadership::Role;
use super::request::{Answer, Request, Subject, Ticket, Verb, parse_subject};
use super::spec::{Id, Spec};
use super::state;
use super::store::Record;
use super::timer::Timer;
use super::{admission, journal, leadership, lifecycle, relay, watch};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace;
use crate::hash::Map;

/// Time in which a job gets one timeline entry as unknown, since callers may ask for the same job often.
const UNKNOWN_JOB_INTERVAL: Duration = Duration::from_secs(10);

/// Most timeline entries about unknown jobs in that time, since callers may ask for many jobs.
const UNKNOWN_JOB_ENTRIES_MAX: usize = 64;

/// Longest wait of a forwarded request for a configuration that is at least as new as that of the entry VM that forwarded it.
const CONFIG_WAIT: Duration = Duration::from_millis(500);

/// A forwarded request that waits for a newer configuration.
#[derive(Debug, Clone)]
struct Outdated {
    ticket: Ticket,
    request: Request,
    until: Instant,
}

/// A request that was forwarded to another entry VM.
#[derive(Debug, Clone)]
struct Forward {
    to: SocketAddr,
    /// Job that the request is about.
    job: Option<Id>,
    /// Whether the request submits or cancels a job.
    is_write: bool,
}

/// Requests that are deferred or forwarded; those that wait for a commit are in the journal.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Requests that wait until the leader has loaded the records.
    deferred: Vec<(Ticket, Request)>,
    forwards: Map<Ticket, Forward>,
    /// Forwarded requests that wait for a newer configuration.
    outdated: Vec<Outdated>,
    /// Jobs that the timeline named as unknown, with the times of their entries, oldest first.
    unknown_jobs: VecDeque<(Id, Instant)>,
}

impl State {
    /// Returns whether an answer that a job is unknown gets a timeline entry, and takes note of it if so.
    fn note_unknown_job(&mut self, id: Id, now: Instant) -> bool {
        while self.unknown_jobs.pop_front_if(|(_, at)| now.since(*at) >= UNKNOWN_JOB_INTERVAL).is_some() {}
        let is_noted = self.unknown_jobs.len() < UNKNOWN_JOB_ENTRIES_MAX
            && self.unknown_jobs.iter().all(|(other, _)| *other != id);
        if is_noted {
            self.unknown_jobs.push_back((id, now));
        }
        is_noted
    }

    /// Number of requests that are deferred, forwarded or wait for a newer configuration.
    pub fn len(&self) -> usize {
        self.deferred.len() + self.forwards.len() + self.outdated.len()
    }

    /// Whether there is no such request.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Serves, defers, forwards or refuses a request, depending on the role of this process.
pub(super) fn handle_request(
    state: &mut super::State,
    ticket: Ticket,
    request: Request,
    forwarded: bool,
    out: &mut Vec<Effect>,
) {
    let job = request.job();
    if state.config.version == 0 {
        return refuse(state, ticket, job, "no configuration", out);
    }
    let leads = matches!(state.leadership.role, Role::Leader { .. });
    if leads && state.config.version < request.min_config {
        let until = state.now + CONFIG_WAIT.min(request.timeout);
        state.requests.outdated.push(Outdated { ticket, request, until });
        return state.timers.set(until, Timer::RefuseOutdated);
    }
    let Some(target) = resolve_target(state, &request) else {
        return handle_unknown_queue(state, ticket, request, forwarded, out);
    };
    match state.leadership.role {
        Role::Leader { .. } if state.load.is_some() => state.requests.deferred.push((ticket, request)),
        Role::Leader { .. } if !state.leadership.may_act(state.now, &state.tuning) => {
            refuse(state, ticket, job, "the leadership is not confirmed", out);
        }
        Role::Leader { .. } => serve(state, ticket, target, request.verb, out),
        _ if forwarded => refuse(state, ticket, job, "this process is not the leader", out),
        _ => {
            let min_config = state.config.version;
            forward(state, ticket, Request { min_config, ..request }, out);
        }
    }
}

/// Handles a request whose queue this process does not know. The answer that it does not exist would be wrong if a newer
/// configuration has it, so the configuration is confirmed first. While a newer version is known, the request is forwarded,
/// or refused if that is not possible.
fn handle_unknown_queue(
    state: &mut super::State,
    ticket: Ticket,
    request: Request,
    forwarded: bool,
    out: &mut Vec<Effect>,
) {
    let leads = matches!(state.leadership.role, Role::Leader { .. });
    let is_outdated = relay::pending_time(state).is_some();
    if (forwarded && !leads) || (leads && is_outdated) {
        let reason = "the queue is not in this process's configuration";
        return refuse(state, ticket, request.job(), reason, out);
    }
    if is_outdated {
        // An older configuration may have a queue that was removed since.
        let min_config = state.config.version + 1;
        return forward(state, ticket, Request { min_config, ..request }, out);
    }
    let waiting = Waiting { ticket, request, is_forwarded: forwarded, arrived: state.now };
    match state.confirm.decide(state.now) {
        Decision::Answer => answer(ticket, Answer::UnknownQueue, out),
        Decision::Fail => forward_unconfirmed(state, waiting, out),
        Decision::Wait => hold_unconfirmed(state, waiting),
        Decision::Begin => {
            hold_unconfirmed(state, waiting);
            watch::begin_confirmation(state, out);
        }
    }
}

fn hold_unconfirmed(state: &mut super::State, waiting: Waiting) {
    state.timers.set(waiting.until(), Timer::EndConfirmWait);
    state.confirm.hold(waiting);
}

/// Forwards a request to the leader, which may have a newer configuration than this process can confirm. The leader itself
/// refuses it, as does a process that was the leader when another one forwarded the request.
fn forward_unconfirmed(state: &mut super::State, waiting: Waiting, out: &mut Vec<Effect>) {
    let ticket = waiting.ticket;
    let is_forwarded = waiting.is_forwarded;
    let request = waiting.into_request(state.now);
    if is_forwarded || matches!(state.leadership.role, Role::Leader { .. }) {
        return refuse(state, ticket, request.job(), "the configuration is not confirmed", out);
    }
    let min_config = state.config.version;
    forward(state, ticket, Request { min_config, ..request }, out);
}

/// Handles the requests that wait for a confirmation of the configuration and can be answered now.
pub(super) fn review_unconfirmed(state: &mut super::State, out: &mut Vec<Effect>) {
    for waiting in state.confirm.take(|_| true) {
        if let Some(waiting) = settle_unconfirmed(state, waiting, out) {
            state.confirm.hold(waiting);
        }
    }
}

/// Forwards or refuses the waiting requests for which `is_due` holds, unless they can be answered now.
pub(super) fn fail_unconfirmed(
    state: &mut super::State,
    is_due: impl Fn(&Waiting) -> bool,
    out: &mut Vec<Effect>,
) {
    for waiting in state.confirm.take(is_due) {
        if let Some(waiting) = settle_unconfirmed(state, waiting, out) {
            forward_unconfirmed(state, waiting, out);
        }
    }
}

/// Handles a waiting request if its queue is known now, a newer version is, or the configuration is confirmed; returns it
/// otherwise.
fn settle_unconfirmed(state: &mut super::State, waiting: Waiting, out: &mut Vec<Effect>) -> Option<Waiting> {
    let is_outdated = relay::pending_time(state).is_some();
    if is_outdated || resolve_target(state, &waiting.request).is_some() {
        let (ticket, is_forwarded) = (waiting.ticket, waiting.is_forwarded);
        handle_request(state, ticket, waiting.into_request(state.now), is_forwarded, out);
        return None;
    }
    if !state.confirm.covers(waiting.arrived) {
        return Some(waiting);
    }
    answer(waiting.ticket, Answer::UnknownQueue, out);
    None
}

/// Handles the requests for which the configuration is new enough now, and refuses those whose wait for it is over.
pub(super) fn review_outdated(state: &mut super::State, out: &mut Vec<Effect>) {
    let (now, version) = (state.now, state.config.version);
    let is_due = |waiting: &mut Outdated| waiting.request.min_config <= version || waiting.until <= now;
    let due: Vec<Outdated> = state.requests.outdated.extract_if(.., is_due).collect();
    for Outdated { ticket, request, .. } in due {
        if request.min_config <= version {
            handle_request(state, ticket, request, true, out);
        } else {
            refuse(state, ticket, request.job(), "the configuration is older than the forwarder's", out);
        }
    }
}

/// Queue and subject of a request; `None` if no configured queue matches or the path is malformed.
fn resolve_target(state: &super::State, request: &Request) -> Option<(String, Subject)> {
    let queue = state.config.route(&request.host, &request.path)?;
    let subject = parse_subject(request.path.get(queue.prefix.len()..)?)?;
    Some((queue.name.clone(), subject))
}

fn forward(state: &mut super::State, ticket: Ticket, request: Request, out: &mut Vec<Effect>) {
    let holder = state
        .leadership
        .holder
        .as_ref()
        .filter(|(_, revision)| state.leadership.dead_revision != Some(*revision));
    let job = request.job();
    let Some((leader, _)) = holder else { return refuse(state, ticket, job, "no leader is known", out) };
    let to = leader.address;
    let is_write = !matches!(request.verb, Verb::Read);
    if is_write {
        state::record(out, log_subject(job), "forward", format!("to {} at {to}", leader.vm));
    }
    state.requests.forwards.insert(ticket, Forward { to, job, is_write });
    out.push(Effect::Work(WorkEffect::Forward { ticket, to, request }));
}

/// Handles the outcome of a forwarded request.
pub(super) fn handle_forwarded(
    state: &mut super::State,
    ticket: Ticket,
    result: Result<Answer, Fault>,
    out: &mut Vec<Effect>,
) {
    let Some(Forward { to, job, is_write }) = state.requests.forwards.remove(&ticket) else {
        return;
    };
    match result {
        Ok(reply) => answer(ticket, reply, out),
        Err(Fault::Lost) if is_write => {
            let reason = format!("no answer from {to}");
            state::record(out, log_subject(job), "answer-unknown", reason);
            answer(ticket, Answer::Unknown, out);
        }
        Err(fault) => {
            if fault == Fault::Refused {
                leadership::mark_leader_dead(state, to, out);
            }
            refuse(state, ticket, job, "the leader cannot be reached", out);
        }
    }
}

/// Answers the requests that were forwarded to an entry VM that is no longer the leader.
///
/// Whether such a write took effect is unknown; a read is refused, so that the caller retries it.
pub(super) fn fail_stale_forwards(state: &mut super::State, out: &mut Vec<Effect>) {
    let leader = state.leadership.holder.as_ref().map(|(holder, _)| holder.address);
    let stale =
        state.requests.forwards.extract_if(|_, forward| Some(forward.to) != leader).collect::<Vec<_>>();
    for (ticket, forward) in stale {
        if forward.is_write {
            state::record(out, log_subject(forward.job), "answer-unknown", "the leader has changed");
            answer(ticket, Answer::Unknown, out);
        } else {
            refuse(state, ticket, forward.job, "the leader has changed", out);
        }
    }
}

/// Serves the requests that were deferred until the records were loaded.
pub(super) fn serve_deferred(state: &mut super::State, out: &mut Vec<Effect>) {
    for (ticket, request) in std::mem::take(&mut state.requests.deferred) {
        let is_forwarded = request.min_config > 0;
        handle_request(state, ticket, request, is_forwarded, out);
    }
}

/// Answers the requests that this process cannot serve after the end of its leadership.
///
/// The outcome of a change in flight is unknown; all other requests are refused, since they had no effect.
pub(super) fn fail_pending(state: &mut super::State, out: &mut Vec<Effect>) {
    let (in_flight, unwritten) = state.journal.drain_waiting();
    for (ticket, job) in in_flight {
        state::record(
            out,
            log_subject(Some(job)),
            "answer-unknown",
            "the leadership ended during its commit",
        );
        answer(ticket, Answer::Unknown, out);
    }
    for (ticket, job) in unwritten {
        refuse(state, ticket, Some(job), "this process is no longer the leader", out);
    }
    for (ticket, request) in std::mem::take(&mut state.requests.deferred) {
        refuse(state, ticket, request.job(), "this process is no longer the leader", out);
    }
    for Outdated { ticket, request, .. } in std::mem::take(&mut state.requests.outdated) {
        refuse(state, ticket, request.job(), "this process is no longer the leader", out);
    }
}

fn serve(
    state: &mut super::State,
    ticket: Ticket,
    (queue, subject): (String, Subject),
    verb: Verb,
    out: &mut Vec<Effect>,
) {
    match (subject, verb) {
        (Subject::Queue, Verb::Read) => answer(ticket, Answer::Pending(state.jobs.queued_count(&queue)), out),
        (Subject::Queue, _) => answer(ticket, Answer::UnknownQueue, out),
        (Subject::Job(id), Verb::Submit(spec)) => submit(state, ticket, queue, id, spec, out),
        (Subject::Job(id), Verb::Read) => read(state, ticket, id, out),
        (Subject::Job(id), Verb::Cancel) => cancel(state, ticket, id, out),
    }
}

/// Answers with the phase of a job; waits for the acceptance of a job that is not stored yet.
fn read(state: &mut super::State, ticket: Ticket, id: Id, out: &mut Vec<Effect>) {
    let Some(job) = state.jobs.find(id).and_then(|key| state.jobs.all.get(key)) else {
        return answer_unknown_job(state, ticket, id, "read of a job that is not known", out);
    };
    let (phase, acceptance) = (Answer::Phase(job.visible_phase()), job.acceptance);
    if job.is_stored {
        return answer(ticket, phase, out);
    }
    if journal::is_failing(state) {
        return refuse(state, ticket, Some(id), "commits to the store fail", out);
    }
    journal::answer_when_durable(state, acceptance, ticket, id, phase);
}

/// Answers that a job is unknown once a commit proves that this process still leads: a replaced leader does not know the
/// jobs that the next one has accepted. Only some of these answers get a timeline entry; the metrics count all of them.
fn answer_unknown_job(state: &mut super::State, ticket: Ticket, id: Id, reason: &str, out: &mut Vec<Effect>) {
    if journal::is_failing(state) {
        return refuse(state, ticket, Some(id), "commits to the store fail", out);
    }
    if state.requests.note_unknown_job(id, state.now) {
        let reason = format!("{reason}, term {}", state.leadership.term());
        state::record(out, trace::Subject::Job(id), "unknown-job", reason);
    }
    let sequence = journal::enqueue(state, journal::Change::Confirm);
    let position = journal::Position::Change(sequence);
    journal::answer_when_durable(state, position, ticket, id, Answer::UnknownJob);
}

/// Stores a job and answers when it is durable. The request is idempotent: a job with the same identity is not added
/// again, and a repeated request waits for the acceptance of the first one.
fn submit(
    state: &mut super::State,
    ticket: Ticket,
    queue: String,
    id: Id,
    spec: Spec,
    out: &mut Vec<Effect>,
) {
    if let Some(key) = state.jobs.find(id) {
        let job = &state.jobs.all[key];
        if job.is_stored {
            return answer(ticket, Answer::Accepted, out);
        }
        if journal::is_failing(state) {
            return answer(ticket, Answer::Unknown, out);
        }
        let acceptance = job.acceptance;
        return journal::answer_when_durable(state, acceptance, ticket, id, Answer::Accepted);
    }
    if let Some(fault) = spec.validation_error() {
        return answer(ticket, Answer::Malformed(fault), out);
    }
    if journal::is_failing(state) {
        return refuse(state, ticket, Some(id), "commits to the store fail", out);
    }
    if let Some(refusal) = forecast_refusal(state, &queue, &spec) {
        state::record(out, trace::Subject::Job(id), "refuse", refusal.describe(&queue));
        return answer(ticket, Answer::Refused(refusal.retry_after_s), out);
    }
    let service = state.config.queue(&queue).map(|queue| queue.service.clone()).unwrap_or_default();
    let record = Record { queue, service, spec, accepted_unix_ms: state.unix_ms };
    let job = lifecycle::new_job(state, id, record);
    let reason = format!("queue {}, {} steps", job.queue, job.spec.steps.len());
    state::record(out, trace::Subject::Job(id), "submit", reason);
    let key = state.jobs.all.insert(job);
    state.jobs.by_id.insert(id, key);
    let acceptance = journal::accept(state, key);
    state.jobs.all[key].acceptance = acceptance;
    lifecycle::release_unstored(state, key);
    journal::answer_when_durable(state, acceptance, ticket, id, Answer::Accepted);
}

/// Why a submission to a queue is refused by the forecast of its start; `None` if it is not.
fn forecast_refusal(state: &mut super::State, queue: &str, spec: &Spec) -> Option<admission::Refusal> {
    if state.tuning.admission == admission::Mode::All {
        return None;
    }
    let applicant = admission::Applicant::new(state.config.queue(queue)?, spec, &state.runtimes);
    let tables = admission::Tables {
        jobs: &state.jobs,
        runs: &state.runs,
        workers: &state.workers,
        runtimes: &state.runtimes,
        tenure: state.tenure(),
    };
    state.admission.decide(&tables, queue, &applicant)
}

/// Ends a job unless it has ended, and answers when its end is durable.
fn cancel(state: &mut super::State, ticket: Ticket, id: Id, out: &mut Vec<Effect>) {
    let Some(key) = state.jobs.find(id) else {
        return answer_unknown_job(state, ticket, id, "cancellation of a job that is not known", out);
    };
    let job = &state.jobs.all[key];
    if job.is_final {
        return answer(ticket, Answer::Cancelled, out);
    }
    state::record(out, trace::Subject::Job(id), "cancel", format!("was {:?}", job.phase));
    lifecycle::end_job(state, key, super::request::Phase::Cancelled, out);
    let sequence = journal::newest_change(state, id);
    let position = journal::Position::Change(sequence);
    journal::answer_when_durable(state, position, ticket, id, Answer::Cancelled);
}

/// Subject of a timeline entry about a request.
fn log_subject(job: Option<Id>) -> trace::Subject {
    job.map_or(trace::Subject::Process, trace::Subject::Job)
}

fn refuse(
    state: &super::State,
    ticket: Ticket,
    job: Option<Id>,
    reason: &'static str,
    out: &mut Vec<Effect>,
) {
    state::record(out, log_subject(job), "refuse", reason);
    answer(ticket, Answer::Refused(state.tuning.retry_after_s), out);
}

fn answer(ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
    out.push(Effect::Work(WorkEffect::Answer { ticket, answer }));
}
