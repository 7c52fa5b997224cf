//! Apply operations: validate a document, write its text to the store and compare-and-swap the index.
//!
//! A document is accepted when the compare-and-swap succeeds. If the reply to it is lost, the index is read again and
//! searched for the write.

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

/// A document that an operator applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// Name of the document.
    pub name: String,
    /// Text as the operator wrote it.
    pub text: String,
    /// Version of the document that the operator edited; `None` stands for the version that is first read.
    pub base: Option<u64>,
    /// Operator who applies it.
    pub author: String,
    /// Time of day of the apply, in seconds since the Unix epoch.
    pub applied_s: u64,
}

/// Store call that the operation in progress waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    ReadIndex,
    ReadDocument(u64),
    WriteDocument,
    WriteIndex,
}

/// The apply operation in progress.
#[derive(Debug, Clone)]
struct Operation {
    ticket: Ticket,
    draft: Draft,
    step: Step,
    started: Instant,
    write_id: u64,
    revision: u64,
    index: Index,
    texts: Map<u64, String>,
    /// Index to write, with the hash of the new text.
    proposed: Option<(Index, u64)>,
    /// Whether the outcome of a compare-and-swap is unknown.
    is_in_doubt: bool,
}

/// Apply operations in order of arrival; one is in progress at a time.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    current: Option<Box<Operation>>,
    waiting: VecDeque<(Ticket, Draft)>,
}

/// Time since the start of an operation after which a failed store call is not retried.
const RETRY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(8);

/// Queues a draft and starts it if no other operation is in progress.
pub(crate) fn submit(state: &mut State, ticket: Ticket, draft: Draft, out: &mut Vec<Effect>) {
    state.apply.waiting.push_back((ticket, draft));
    start_next(state, out);
}

fn start_next(state: &mut State, out: &mut Vec<Effect>) {
    if state.apply.current.is_some() {
        return;
    }
    let Some((ticket, draft)) = state.apply.waiting.pop_front() else { return };
    let write_id = state.next_random();
    state.apply.current = Some(Box::new(Operation {
        ticket,
        draft,
        step: Step::ReadIndex,
        started: state.now,
        write_id,
        revision: 0,
        index: Index::default(),
        texts: state.config.texts.clone(),
        proposed: None,
        is_in_doubt: false,
    }));
    send_request(state, out);
}

/// Sends the store call of the current step.
fn send_request(state: &mut State, out: &mut Vec<Effect>) {
    let Some(operation) = &state.apply.current else { return };
    let request = match (operation.step, &operation.proposed) {
        (Step::ReadDocument(hash), _) => Request::ReadDocument { hash },
        (Step::WriteDocument, Some((_, hash))) => {
            Request::WriteDocument { hash: *hash, text: operation.texts[hash].clone() }
        }
        (Step::WriteIndex, Some((index, _))) => {
            Request::WriteIndex { expect: operation.revision, index: index.clone() }
        }
        _ => Request::ReadIndex { newer_than: 0 },
    };
    store::call(state, Purpose::Apply, request, out);
}

/// Sends the call of the current step after the backoff, unless a call is in flight.
pub(crate) fn retry(state: &mut State, out: &mut Vec<Effect>) {
    if !state.store.is_pending(Purpose::Apply) {
        send_request(state, out);
    }
}

/// Handles the store's reply to the current step.
pub(crate) fn handle_reply(state: &mut State, reply: Reply, out: &mut Vec<Effect>) {
    let Some(mut operation) = state.apply.current.take() else { return };
    let transition = advance(state, &mut operation, reply);
    let ticket = operation.ticket;
    match transition {
        Transition::Next(step) => {
            operation.step = step;
            state.apply.current = Some(operation);
            send_request(state, out);
        }
        Transition::Wait => {
            let wait = state.tuning.store_backoff.0;
            state.timers.set(state.now + wait, Timer::RetryApply);
            state.apply.current = Some(operation);
        }
        Transition::Accepted(index) => {
            // The index that contains this write can already contain later changes, so its version can be higher.
            let version = operation.proposed.as_ref().map_or(index.version, |(proposed, _)| proposed.version);
            let reason = format!("document {} by {}", operation.draft.name, operation.draft.author);
            record(out, Subject::Config(version), "accept-config", reason);
            state.config.texts.extend(operation.texts);
            config::install_accepted(state, index, out);
            finish(state, ticket, Answer::Accepted { version }, out);
        }
        Transition::Finish(answer) => finish(state, ticket, answer, out),
    }
}

fn finish(state: &mut State, ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
    admin::send_answer(ticket, answer, out);
    start_next(state, out);
}

/// What the operation does after a reply.
enum Transition {
    Next(Step),
    Wait,
    Accepted(Index),
    Finish(Answer),
}

fn advance(state: &State, operation: &mut Operation, reply: Reply) -> Transition {
    if let Reply::Refused | Reply::Unknown = reply {
        return retry_or_fail(state, operation, &reply);
    }
    match (operation.step, reply) {
        (Step::ReadIndex, Reply::Index { revision, index }) => check_index(operation, revision, index),
        (Step::ReadIndex, Reply::Missing) => check_index(operation, 0, Index::default()),
        (Step::ReadDocument(hash), Reply::Document(text)) => {
            operation.texts.insert(hash, text);
            validate(operation)
        }
        (Step::WriteDocument, Reply::Written { .. } | Reply::Conflict) => Transition::Next(Step::WriteIndex),
        (Step::WriteIndex, Reply::Written { .. }) => accept(operation),
        (Step::WriteIndex, Reply::Conflict) => {
            // A read right away could return the same stale index and conflict again, so it waits for the backoff.
            operation.step = Step::ReadIndex;
            retry_or_fail(state, operation, &Reply::Conflict)
        }
        (_, _) if operation.is_in_doubt => {
            Transition::Finish(Answer::Unknown { write_id: operation.write_id })
        }
        (_, reply) => {
            Transition::Finish(Answer::NotAccepted(format!("unexpected reply of the store: {reply:?}")))
        }
    }
}

/// Retries after a refused call, a lost reply or a conflict until the timeout, then fails.
fn retry_or_fail(state: &State, operation: &mut Operation, reply: &Reply) -> Transition {
    if operation.step == Step::WriteIndex && *reply == Reply::Unknown {
        operation.is_in_doubt = true;
    }
    if state.now.since(operation.started) < RETRY_TIMEOUT {
        return Transition::Wait;
    }
    if operation.is_in_doubt {
        return Transition::Finish(Answer::Unknown { write_id: operation.write_id });
    }
    Transition::Finish(Answer::NotAccepted(
        "the store is unreachable or too slow; nothing was changed".into(),
    ))
}

fn accept(operation: &mut Operation) -> Transition {
    match operation.proposed.take() {
        Some((index, _)) => Transition::Accepted(index),
        None => Transition::Next(Step::ReadIndex),
    }
}

fn check_index(operation: &mut Operation, revision: u64, index: Index) -> Transition {
    if let Some(transition) = find_own_write(operation, &index) {
        return transition;
    }
    let found = version_of(&index, &operation.draft.name);
    // Without a base the version that is first read counts as the base, so a change after that read is a conflict.
    let expected = *operation.draft.base.get_or_insert(found);
    if found != expected && operation.is_in_doubt {
        // The write may have taken effect before a later write replaced it.
        return Transition::Finish(Answer::Unknown { write_id: operation.write_id });
    }
    if found != expected {
        return Transition::Finish(Answer::Conflict { expected, found });
    }
    operation.revision = revision;
    operation.index = index;
    validate(operation)
}

/// Searches the index for the write of this operation, whose reply may be lost.
fn find_own_write(operation: &mut Operation, index: &Index) -> Option<Transition> {
    let (proposed, hash) = operation.proposed.as_ref()?;
    let is_mine = index.write_id == operation.write_id
        || index.documents.iter().any(|d| d.hash == *hash && d.version == proposed.version);
    is_mine.then(|| Transition::Accepted(index.clone()))
}

fn version_of(index: &Index, name: &str) -> u64 {
    index.documents.iter().find(|d| d.name == name).map_or(0, |d| d.version)
}

/// Compiles the draft with all other documents, or reads the next missing text first.
fn validate(operation: &mut Operation) -> Transition {
    if let Some(missing) = operation.index.documents.iter().find(|d| !operation.texts.contains_key(&d.hash)) {
        return Transition::Next(Step::ReadDocument(missing.hash));
    }
    match compile_draft(operation) {
        Ok(plan) => propose(operation, &plan),
        Err(findings) => Transition::Finish(Answer::Invalid(findings)),
    }
}

fn compile_draft(operation: &Operation) -> Result<Plan, Vec<Finding>> {
    let draft = &operation.draft;
    let declared = document::name(&draft.name, &draft.text).map_err(|finding| vec![finding])?;
    if declared != draft.name {
        let message = format!("the document is named {declared}, but it was applied as {}", draft.name);
        let (file, key) = (draft.name.clone(), "name".to_owned());
        return Err(vec![Finding { file, line: 1, column: 1, key, message }]);
    }
    let others = operation.index.documents.iter().filter(|d| d.name != draft.name);
    let mut sources: Vec<Source<'_>> =
        others.map(|d| Source { name: &d.name, text: &operation.texts[&d.hash], is_stored: true }).collect();
    sources.push(Source { name: &draft.name, text: &draft.text, is_stored: false });
    check::compile(&sources)
}

/// Builds the text and the index to write.
fn propose(operation: &mut Operation, plan: &Plan) -> Transition {
    let draft = &operation.draft;
    let previous =
        operation.index.documents.iter().find(|d| d.name == draft.name).map(|d| &operation.texts[&d.hash]);
    let content = home::append_homes(&draft.text, &draft.name, plan, previous.map(String::as_str));
    let hash = hash::name(&content);
    operation.texts.insert(hash, content);
    let mut index = operation.index.clone();
    index.version += 1;
    index.write_id = operation.write_id;
    index.documents.retain(|d| d.name != draft.name);
    index.documents.push(Document {
        name: draft.name.clone(),
        version: index.version,
        hash,
        author: draft.author.clone(),
        applied_s: draft.applied_s,
    });
    index.documents.sort_by(|a, b| a.name.cmp(&b.name));
    operation.proposed = Some((index, hash));
    Transition::Next(Step::WriteDocument)
}
