//! Applying a document: validation, the write of its content, and the compare-and-swap of the index.
//!
//! The compare-and-swap is the single point where a document is accepted. When its answer is lost, the index is read
//! and searched for the write.

use std::collections::VecDeque;

use super::admin::{self, Answer, Ticket};
use super::config::{self, Document, Index};
use super::effect::Effect;
use super::state::{State, record};
use super::store::{self, Purpose, Reply, Request};
use super::time::Instant;
use super::timer::Timer;
use super::trace::Subject;
use crate::declare::check::{self, Source};
use crate::declare::document;
use crate::declare::home;
use crate::declare::plan::Plan;
use crate::finding::Finding;
use crate::hash::{self, Map};

/// A document to be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// Name of the document.
    pub name: String,
    /// Its text.
    pub text: String,
    /// Version that the operator worked from.
    pub base: Option<u64>,
    /// Who applies it.
    pub author: String,
    /// Time of day, in seconds since the Unix epoch.
    pub applied_s: u64,
}

/// What the apply in progress waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    ReadIndex,
    ReadDocument(u64),
    WriteDocument,
    WriteIndex,
}

/// An apply in progress.
#[derive(Debug, Clone)]
struct Job {
    ticket: Ticket,
    draft: Draft,
    step: Step,
    started: Instant,
    write_id: u64,
    revision: u64,
    index: Index,
    texts: Map<u64, String>,
    /// Index as it is to be written, with the hash of the new content.
    proposed: Option<(Index, u64)>,
    /// Whether a compare-and-swap was sent whose outcome is not known.
    in_doubt: bool,
}

/// Applies in order; one is in progress at a time.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    current: Option<Box<Job>>,
    waiting: VecDeque<(Ticket, Draft)>,
}

/// Time after which an apply that makes no progress is answered.
const PATIENCE: std::time::Duration = std::time::Duration::from_secs(8);

/// Accepts a draft for application.
pub(crate) fn submit(state: &mut State, ticket: Ticket, draft: Draft, out: &mut Vec<Effect>) {
    state.apply.waiting.push_back((ticket, draft));
    start_next(state, out);
}

fn start_next(state: &mut State, out: &mut Vec<Effect>) {
    if state.apply.current.is_some() {
        return;
    }
    let Some((ticket, draft)) = state.apply.waiting.pop_front() else { return };
    let write_id = state.draw();
    state.apply.current = Some(Box::new(Job {
        ticket,
        draft,
        step: Step::ReadIndex,
        started: state.now,
        write_id,
        revision: 0,
        index: Index::default(),
        texts: state.config.texts.clone(),
        proposed: None,
        in_doubt: false,
    }));
    send(state, out);
}

/// Sends the call of the current step.
fn send(state: &mut State, out: &mut Vec<Effect>) {
    let Some(job) = &state.apply.current else { return };
    let request = match (job.step, &job.proposed) {
        (Step::ReadDocument(hash), _) => Request::ReadDocument { hash },
        (Step::WriteDocument, Some((_, hash))) => {
            Request::WriteDocument { hash: *hash, text: job.texts[hash].clone() }
        }
        (Step::WriteIndex, Some((index, _))) => {
            Request::WriteIndex { expect: job.revision, index: index.clone() }
        }
        _ => Request::ReadIndex { newer_than: 0 },
    };
    store::call(state, Purpose::Apply, request, out);
}

/// Goes on after a wait.
pub(crate) fn retry(state: &mut State, out: &mut Vec<Effect>) {
    if !state.store.is_pending(Purpose::Apply) {
        send(state, out);
    }
}

/// Takes over the store's answer to the current step.
pub(crate) fn answered(state: &mut State, reply: Reply, out: &mut Vec<Effect>) {
    let Some(mut job) = state.apply.current.take() else { return };
    let verdict = step(state, &mut job, reply);
    let ticket = job.ticket;
    match verdict {
        Verdict::Next(step) => {
            job.step = step;
            state.apply.current = Some(job);
            send(state, out);
        }
        Verdict::Wait => {
            let wait = state.tuning.store_backoff.0;
            state.timers.set(state.now + wait, Timer::Apply);
            state.apply.current = Some(job);
        }
        Verdict::Accepted(index) => {
            // A later change can stand in the index in which this one was found.
            let version = job.proposed.as_ref().map_or(index.version, |(proposed, _)| proposed.version);
            let reason = format!("document {} by {}", job.draft.name, job.draft.author);
            record(out, Subject::Config(version), "accept-config", reason);
            state.config.texts.extend(job.texts);
            config::accepted(state, index, out);
            finish(state, ticket, Answer::Accepted { version }, out);
        }
        Verdict::Ended(answer) => finish(state, ticket, answer, out),
    }
}

fn finish(state: &mut State, ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
    admin::send_answer(ticket, answer, out);
    start_next(state, out);
}

/// What follows from an answer.
enum Verdict {
    Next(Step),
    Wait,
    Accepted(Index),
    Ended(Answer),
}

fn step(state: &State, job: &mut Job, reply: Reply) -> Verdict {
    if let Reply::Refused | Reply::Unknown = reply {
        return unanswered(state, job, &reply);
    }
    match (job.step, reply) {
        (Step::ReadIndex, Reply::Index { revision, index }) => index_read(job, revision, index),
        (Step::ReadIndex, Reply::Missing) => index_read(job, 0, Index::default()),
        (Step::ReadDocument(hash), Reply::Document(text)) => {
            job.texts.insert(hash, text);
            validate(job)
        }
        (Step::WriteDocument, Reply::Written { .. } | Reply::Conflict) => Verdict::Next(Step::WriteIndex),
        (Step::WriteIndex, Reply::Written { .. }) => accepted(job),
        (Step::WriteIndex, Reply::Conflict) => {
            // A stale read leads to the same conflict again, so the next read waits.
            job.step = Step::ReadIndex;
            unanswered(state, job, &Reply::Conflict)
        }
        (_, _) if job.in_doubt => Verdict::Ended(Answer::Unknown { write_id: job.write_id }),
        (_, reply) => Verdict::Ended(Answer::NotAccepted(format!("unusable answer of the store: {reply:?}"))),
    }
}

/// The store refused the call or its answer was lost.
fn unanswered(state: &State, job: &mut Job, reply: &Reply) -> Verdict {
    if job.step == Step::WriteIndex && *reply == Reply::Unknown {
        job.in_doubt = true;
    }
    if state.now.since(job.started) < PATIENCE {
        return Verdict::Wait;
    }
    if job.in_doubt {
        return Verdict::Ended(Answer::Unknown { write_id: job.write_id });
    }
    Verdict::Ended(Answer::NotAccepted(
        "the store cannot be reached or is too slow; nothing was changed".into(),
    ))
}

fn accepted(job: &mut Job) -> Verdict {
    match job.proposed.take() {
        Some((index, _)) => Verdict::Accepted(index),
        None => Verdict::Next(Step::ReadIndex),
    }
}

fn index_read(job: &mut Job, revision: u64, index: Index) -> Verdict {
    if let Some(verdict) = earlier_write(job, &index) {
        return verdict;
    }
    let found = version_of(&index, &job.draft.name);
    // Without a base the operator works from what is first read; a later change is then a conflict too.
    let expected = *job.draft.base.get_or_insert(found);
    if found != expected && job.in_doubt {
        // The write may have taken effect and have been replaced by a later one.
        return Verdict::Ended(Answer::Unknown { write_id: job.write_id });
    }
    if found != expected {
        return Verdict::Ended(Answer::Conflict { expected, found });
    }
    job.revision = revision;
    job.index = index;
    validate(job)
}

/// Looks for a compare-and-swap whose answer was lost.
fn earlier_write(job: &mut Job, index: &Index) -> Option<Verdict> {
    let (proposed, hash) = job.proposed.as_ref()?;
    let is_mine = index.write_id == job.write_id
        || index.documents.iter().any(|d| d.hash == *hash && d.version == proposed.version);
    is_mine.then(|| Verdict::Accepted(index.clone()))
}

fn version_of(index: &Index, name: &str) -> u64 {
    index.documents.iter().find(|d| d.name == name).map_or(0, |d| d.version)
}

/// Checks the draft together with all other documents, once their texts are here.
fn validate(job: &mut Job) -> Verdict {
    if let Some(missing) = job.index.documents.iter().find(|d| !job.texts.contains_key(&d.hash)) {
        return Verdict::Next(Step::ReadDocument(missing.hash));
    }
    match compile_with(job) {
        Ok(plan) => propose(job, &plan),
        Err(findings) => Verdict::Ended(Answer::Invalid(findings)),
    }
}

fn compile_with(job: &Job) -> Result<Plan, Vec<Finding>> {
    let draft = &job.draft;
    let declared = document::name(&draft.name, &draft.text).map_err(|finding| vec![finding])?;
    if declared != draft.name {
        let message = format!("the document is called {declared}, but it was applied as {}", draft.name);
        let (file, key) = (draft.name.clone(), "name".to_owned());
        return Err(vec![Finding { file, line: 1, column: 1, key, message }]);
    }
    let others = job.index.documents.iter().filter(|d| d.name != draft.name);
    let mut sources: Vec<Source<'_>> =
        others.map(|d| Source { name: &d.name, text: &job.texts[&d.hash], stored: true }).collect();
    sources.push(Source { name: &draft.name, text: &draft.text, stored: false });
    check::compile(&sources)
}

/// Builds the new content and the new index.
fn propose(job: &mut Job, plan: &Plan) -> Verdict {
    let draft = &job.draft;
    let previous = job.index.documents.iter().find(|d| d.name == draft.name).map(|d| &job.texts[&d.hash]);
    let content = home::seal(&draft.text, &draft.name, plan, previous.map(String::as_str));
    let hash = hash::name(&content);
    job.texts.insert(hash, content);
    let mut index = job.index.clone();
    index.version += 1;
    index.write_id = job.write_id;
    index.documents.retain(|d| d.name != draft.name);
    index.documents.push(Document {
        name: draft.name.clone(),
        version: index.version,
        hash,
        author: draft.author.clone(),
        applied_s: draft.applied_s,
    });
    index.documents.sort_by(|a, b| a.name.cmp(&b.name));
    job.proposed = Some((index, hash));
    Verdict::Next(Step::WriteDocument)
}
