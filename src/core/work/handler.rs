//! Requests of callers: routed by the configuration, served by the leader, handed on by everyone else.

use std::net::SocketAddr;

use super::effect::Effect as WorkEffect;
use super::event::Fault;
use super::leadership::Role;
use super::request::{Answer, Request, Subject, Ticket, Verb, parse_subject};
use super::spec::{Id, Spec};
use super::state;
use super::store::Record;
use super::{journal, leadership, lifecycle};
use crate::core::effect::Effect;
use crate::core::trace;
use crate::hash::Map;

/// A request that another entry VM is to answer.
#[derive(Debug, Clone)]
struct Forward {
    to: SocketAddr,
    /// Job that it is about.
    job: Option<Id>,
    /// Whether the request changes something.
    is_write: bool,
}

/// Requests without an answer.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Requests that wait until the records are loaded.
    deferred: Vec<(Ticket, Request)>,
    forwards: Map<Ticket, Forward>,
}

impl State {
    /// Number of requests without an answer.
    pub fn len(&self) -> usize {
        self.deferred.len() + self.forwards.len()
    }

    /// Whether every request has its answer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Takes a request.
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
    let Some(target) = resolve_target(state, &request) else {
        // Another entry VM may have a newer configuration than this one.
        return if forwarded {
            refuse(state, ticket, job, "the queue is not known here", out)
        } else {
            answer(ticket, Answer::UnknownQueue, out)
        };
    };
    match state.leadership.role {
        Role::Leader { .. } if state.load.is_some() => state.requests.deferred.push((ticket, request)),
        Role::Leader { .. } if !state.leadership.may_act(state.now, &state.tuning) => {
            refuse(state, ticket, job, "the leadership is not confirmed", out);
        }
        Role::Leader { .. } => serve(state, ticket, target, request.verb, out),
        _ if forwarded => refuse(state, ticket, job, "this process does not lead", out),
        _ => forward(state, ticket, request, out),
    }
}

/// Queue and subject of a request.
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
    let changes = !matches!(request.verb, Verb::Read);
    if changes {
        state::record(out, log_subject(job), "forward", format!("to {} at {to}", leader.vm));
    }
    state.requests.forwards.insert(ticket, Forward { to, job, is_write: changes });
    out.push(Effect::Work(WorkEffect::Forward { ticket, to, request }));
}

/// Takes over the answer of the entry VM that a request was handed to.
pub(super) fn handle_forwarded(
    state: &mut super::State,
    ticket: Ticket,
    result: Result<Answer, Fault>,
    out: &mut Vec<Effect>,
) {
    let Some(Forward { to, job, is_write: changes }) = state.requests.forwards.remove(&ticket) else {
        return;
    };
    match result {
        Ok(reply) => answer(ticket, reply, out),
        Err(Fault::Lost) if changes => {
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

/// Gives up the requests that were handed to an entry VM that does not lead any more.
pub(super) fn fail_stale_forwards(state: &mut super::State, out: &mut Vec<Effect>) {
    let leader = state.leadership.holder.as_ref().map(|(holder, _)| holder.address);
    let gone =
        state.requests.forwards.extract_if(|_, forward| Some(forward.to) != leader).collect::<Vec<_>>();
    for (ticket, forward) in gone {
        if forward.is_write {
            state::record(out, log_subject(forward.job), "answer-unknown", "the leader has changed");
            answer(ticket, Answer::Unknown, out);
        } else {
            refuse(state, ticket, forward.job, "the leader has changed", out);
        }
    }
}

/// Serves the requests that waited for the records.
pub(super) fn serve_deferred(state: &mut super::State, out: &mut Vec<Effect>) {
    for (ticket, request) in std::mem::take(&mut state.requests.deferred) {
        handle_request(state, ticket, request, false, out);
    }
}

/// Answers the requests that this process can no longer serve, since it does not lead any more.
pub(super) fn fail_pending(state: &mut super::State, out: &mut Vec<Effect>) {
    let (flying, waiting) = state.journal.drain_waiting();
    for (ticket, job) in flying {
        state::record(
            out,
            log_subject(Some(job)),
            "answer-unknown",
            "the leadership ended during its commit",
        );
        answer(ticket, Answer::Unknown, out);
    }
    for (ticket, job) in waiting {
        refuse(state, ticket, Some(job), "this process does not lead any more", out);
    }
    for (ticket, request) in std::mem::take(&mut state.requests.deferred) {
        refuse(state, ticket, request.job(), "this process does not lead any more", out);
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
        (Subject::Job(id), Verb::Read) => answer(ticket, read(state, id), out),
        (Subject::Job(id), Verb::Cancel) => cancel(state, ticket, id, out),
    }
}

fn read(state: &super::State, id: Id) -> Answer {
    let job = state.jobs.find(id).and_then(|key| state.jobs.all.get(key));
    match job {
        Some(job) if job.is_stored => Answer::Phase(job.visible_phase()),
        _ => Answer::UnknownJob,
    }
}

/// Accepts a job once it is stored. A repeated request with the same identity names the same job.
fn submit(
    state: &mut super::State,
    ticket: Ticket,
    queue: String,
    id: Id,
    spec: Spec,
    out: &mut Vec<Effect>,
) {
    if let Some(key) = state.jobs.find(id) {
        if state.jobs.all[key].is_stored {
            return answer(ticket, Answer::Accepted, out);
        }
        if journal::is_failing(state) {
            return answer(ticket, Answer::Unknown, out);
        }
        let sequence = journal::enqueue(state, journal::Change::Accept(key));
        return journal::answer_when_durable(state, sequence, ticket, id, Answer::Accepted);
    }
    if let Some(fault) = spec.validation_error() {
        return answer(ticket, Answer::Malformed(fault), out);
    }
    if journal::is_failing(state) {
        return refuse(state, ticket, Some(id), "the store does not take records", out);
    }
    let service = state.config.queue(&queue).map(|queue| queue.service.clone()).unwrap_or_default();
    let record = Record { queue, service, spec, accepted_unix_ms: state.unix_ms };
    let job = lifecycle::new_job(state, id, record);
    let reason = format!("queue {}, {} steps", job.queue, job.spec.steps.len());
    state::record(out, trace::Subject::Job(id), "submit", reason);
    let key = state.jobs.all.insert(job);
    state.jobs.by_id.insert(id, key);
    let sequence = journal::enqueue(state, journal::Change::Accept(key));
    journal::answer_when_durable(state, sequence, ticket, id, Answer::Accepted);
}

fn cancel(state: &mut super::State, ticket: Ticket, id: Id, out: &mut Vec<Effect>) {
    let Some(key) = state.jobs.find(id) else { return answer(ticket, Answer::UnknownJob, out) };
    let job = &state.jobs.all[key];
    if job.is_final || matches!(job.phase, super::request::Phase::Completed | super::request::Phase::Failed) {
        return answer(ticket, Answer::Cancelled, out);
    }
    state::record(out, trace::Subject::Job(id), "cancel", format!("was {:?}", job.phase));
    let sequence = lifecycle::end_job(state, key, super::request::Phase::Cancelled, out);
    journal::answer_when_durable(state, sequence, ticket, id, Answer::Cancelled);
}

/// Subject of a log line about a request.
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
    answer(ticket, Answer::Refused(state.tuning.come_back_s), out);
}

fn answer(ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
    out.push(Effect::Work(WorkEffect::Answer { ticket, answer }));
}
