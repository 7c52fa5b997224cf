//! Configuration in force: the index of documents, their texts, and the plan compiled from them.
//!
//! In each zone `Tuning::index_readers` members poll the index in the store. The others learn of a new version from a
//! heartbeat and request it from its sender. A plan is replaced only by one with a higher version, so a delayed message
//! cannot bring back an older configuration.

use std::net::SocketAddr;
use std::sync::Arc;

use super::effect::Effect;
use super::peer::Message;
use super::state::{State, record};
use super::store::{self, Purpose, Reply, Request};
use super::timer::Timer;
use super::trace::Subject;
use super::{cell, member, route, worker};
use crate::declare::check::{self, Source};
use crate::declare::plan::Plan;
use crate::finding::Finding;
use crate::hash::{self, Map};

/// Index entry of one document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Name of the document.
    pub name: String,
    /// Global version of its last change.
    pub version: u64,
    /// Hash of its stored text; see [`hash::name`].
    pub hash: u64,
    /// Operator who applied it.
    pub author: String,
    /// When it was applied, in seconds since the Unix epoch by the clock of the process that applied it.
    pub applied_s: u64,
}

/// Index of all documents. A configuration is accepted when the compare-and-swap of the index in the store succeeds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Index {
    /// Global version, which each change raises by one; 0 when there is no configuration.
    pub version: u64,
    /// Random number of the last write, which identifies it when the reply to the write is lost.
    pub write_id: u64,
    /// Documents in order of their names.
    pub documents: Vec<Document>,
}

/// Configuration in force, and the one being fetched.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Index in force; its version is 0 when there is none.
    pub index: Index,
    /// Plan compiled from the index in force.
    pub plan: Arc<Plan>,
    /// Texts of documents, by hash.
    pub texts: Map<u64, String>,
    /// Store revision of the index last read; 0 makes the store return the index at the next poll.
    pub revision: u64,
    /// Newer index that is not in force because texts of its documents are missing.
    pub pending: Option<Index>,
}

impl Config {
    /// Hashes of the documents of `index` whose text is missing.
    fn missing_documents(&self, index: &Index) -> Vec<u64> {
        index.documents.iter().map(|d| d.hash).filter(|hash| !self.texts.contains_key(hash)).collect()
    }
}

/// Compiles all documents of an index into a plan.
///
/// # Errors
///
/// All findings, if any document has faults.
pub fn compile(index: &Index, texts: &Map<u64, String>) -> Result<Plan, Vec<Finding>> {
    let sources: Vec<Source<'_>> = index
        .documents
        .iter()
        .filter_map(|d| Some(Source { name: &d.name, text: texts.get(&d.hash)?, is_stored: true }))
        .collect();
    check::compile(&sources)
}

/// Reads the index from the store if this process is one of the zone's readers or has no configuration.
pub(crate) fn poll_index(state: &mut State, out: &mut Vec<Effect>) {
    state.timers.set(state.now + state.tuning.index_interval, Timer::ReadIndex);
    let readers = member::rank_candidates(state, hash::name("config"));
    let is_reader = readers.iter().take(state.tuning.index_readers).any(|id| *id == state.me.id);
    let is_empty = state.config.index.version == 0;
    if (is_reader || is_empty) && !state.store.is_pending(Purpose::Poll) {
        let request = Request::ReadIndex { newer_than: state.config.revision };
        store::call(state, Purpose::Poll, request, out);
    }
}

/// Handles the reply to a poll of the index.
pub(crate) fn handle_index_reply(state: &mut State, reply: Reply, out: &mut Vec<Effect>) {
    let Reply::Index { revision, index } = reply else { return };
    state.config.revision = state.config.revision.max(revision);
    keep_if_newer(state, index);
    fetch_documents(state, out);
}

/// Makes `index` the pending one if it is newer than the index in force and the pending one.
fn keep_if_newer(state: &mut State, index: Index) {
    let known = state.config.pending.as_ref().map_or(state.config.index.version, |pending| pending.version);
    if index.version > known {
        state.config.pending = Some(index);
    }
}

/// Reads the missing documents of the pending index from the store, or installs the index if none is missing.
fn fetch_documents(state: &mut State, out: &mut Vec<Effect>) {
    let Some(pending) = &state.config.pending else { return };
    let missing = state.config.missing_documents(pending);
    if missing.is_empty() {
        return install_pending(state, out);
    }
    for hash in missing {
        if !state.store.is_pending(Purpose::Document(hash)) {
            store::call(state, Purpose::Document(hash), Request::ReadDocument { hash }, out);
        }
    }
}

/// Handles the reply to the read of a document, and installs the pending index once no text is missing.
pub(crate) fn handle_document_reply(state: &mut State, hash: u64, reply: Reply, out: &mut Vec<Effect>) {
    match reply {
        Reply::Document(text) => {
            state.config.texts.insert(hash, text);
            if state
                .config
                .pending
                .as_ref()
                .is_some_and(|pending| state.config.missing_documents(pending).is_empty())
            {
                install_pending(state, out);
            }
        }
        // Revision 0 makes the store return the index at the next poll, which then reads the document again.
        _ => state.config.revision = 0,
    }
}

/// Compiles the pending index and puts it in force, unless it has findings.
fn install_pending(state: &mut State, out: &mut Vec<Effect>) {
    let Some(next) = state.config.pending.take() else { return };
    if next.version <= state.config.index.version {
        return;
    }
    match compile(&next, &state.config.texts) {
        Ok(plan) => activate(state, next, plan, out),
        Err(findings) => {
            let reason = format!("{} finding(s); the first: {}", findings.len(), findings[0]);
            record(out, Subject::Config(next.version), "reject-config", reason);
        }
    }
}

fn activate(state: &mut State, index: Index, plan: Plan, out: &mut Vec<Effect>) {
    let was_ready = state.is_ready();
    let reason = format!("after version {}", state.config.index.version);
    record(out, Subject::Config(index.version), "config-in-force", reason);
    state.config.texts.retain(|hash, _| index.documents.iter().any(|d| d.hash == *hash));
    state.config.index = index;
    state.config.plan = Arc::new(plan);
    if !was_ready && state.is_ready() {
        out.push(Effect::Ready(true));
    }
    worker::plan_changed(state);
    cell::plan_changed(state);
    route::remove_undeclared(state);
}

/// Installs an index after this process wrote it to the store.
pub(crate) fn install_accepted(state: &mut State, index: Index, out: &mut Vec<Effect>) {
    keep_if_newer(state, index);
    fetch_documents(state, out);
}

/// Requests the configuration from a member that reports a newer version.
pub(crate) fn request_if_newer(state: &mut State, version: u64, from: SocketAddr, out: &mut Vec<Effect>) {
    if version > state.config.index.version {
        request_config(state, from, out);
    }
}

fn request_config(state: &State, from: SocketAddr, out: &mut Vec<Effect>) {
    let message = Message::ConfigAsk {
        known_version: state.config.index.version,
        documents: state.config.texts.keys().copied().collect(),
    };
    out.push(Effect::Peer { to: from, message });
}

/// Sends the index and the documents that the requester lacks, if its version is older.
pub(crate) fn handle_request(
    state: &State,
    known_version: u64,
    documents: &[u64],
    from: SocketAddr,
    out: &mut Vec<Effect>,
) {
    let index = &state.config.index;
    if index.version <= known_version {
        return;
    }
    let missing = index.documents.iter().filter(|d| !documents.contains(&d.hash));
    let texts = missing.filter_map(|d| Some((d.hash, state.config.texts.get(&d.hash)?.clone()))).collect();
    out.push(Effect::Peer {
        to: from,
        message: Message::ConfigOffer { index: index.clone(), documents: texts },
    });
}

/// Handles a configuration that another member sends.
///
/// A text that does not match its hash is dropped.
pub(crate) fn handle_offer(
    state: &mut State,
    index: Index,
    documents: Vec<(u64, String)>,
    out: &mut Vec<Effect>,
) {
    if index.version <= state.config.index.version {
        return;
    }
    for (hash, text) in documents {
        if hash::name(&text) == hash {
            state.config.texts.insert(hash, text);
        }
    }
    keep_if_newer(state, index);
    if state.config.pending.as_ref().is_some_and(|pending| state.config.missing_documents(pending).is_empty())
    {
        install_pending(state, out);
    }
}
