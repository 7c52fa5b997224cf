//! Configuration in force: documents, their index, and the plan compiled from them.
//!
//! Two members of each zone read the index from the store; the others learn of a new version from heartbeats and fetch
//! it from the sender. A plan is replaced only by one with a higher version, so nothing reverts.

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

/// One document in the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Name of the document.
    pub name: String,
    /// Global version at which it last changed.
    pub version: u64,
    /// Hash of its stored content.
    pub hash: u64,
    /// Who applied it.
    pub author: String,
    /// When it was applied, in seconds since the Unix epoch by the clock of the process that applied it.
    pub applied_s: u64,
}

/// Index of all documents. Its compare-and-swap in the store is the single point where a configuration is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Index {
    /// Global version, one higher at each change.
    pub version: u64,
    /// Random number of the write, to recognise it after a lost answer.
    pub write_id: u64,
    /// Documents, by name.
    pub documents: Vec<Document>,
}

/// Configuration in force, and the one being fetched.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Index in force; version 0 when there is none.
    pub index: Index,
    /// Plan compiled from it.
    pub plan: Arc<Plan>,
    /// Texts of the documents, by hash.
    pub texts: Map<u64, String>,
    /// Revision of the index in the store, as last read.
    pub revision: u64,
    /// Newer index whose documents are being fetched.
    pub pending: Option<Index>,
}

impl Config {
    /// Documents of `index` whose text is not here.
    fn missing_documents(&self, index: &Index) -> Vec<u64> {
        index.documents.iter().map(|d| d.hash).filter(|hash| !self.texts.contains_key(hash)).collect()
    }
}

/// Compiles all documents of an index.
///
/// # Errors
///
/// All findings, if any document has faults.
pub fn compile(index: &Index, texts: &Map<u64, String>) -> Result<Plan, Vec<Finding>> {
    let sources: Vec<Source<'_>> = index
        .documents
        .iter()
        .filter_map(|d| Some(Source { name: &d.name, text: texts.get(&d.hash)?, stored: true }))
        .collect();
    check::compile(&sources)
}

/// Reads the index from the store, if this process is one of the zone's readers.
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

/// Takes over an index read from the store.
pub(crate) fn handle_index_reply(state: &mut State, reply: Reply, out: &mut Vec<Effect>) {
    let Reply::Index { revision, index } = reply else { return };
    state.config.revision = state.config.revision.max(revision);
    keep_if_newer(state, index);
    fetch_documents(state, out);
}

/// Keeps an index for installation if it is newer than all that is known.
fn keep_if_newer(state: &mut State, index: Index) {
    let known = state.config.pending.as_ref().map_or(state.config.index.version, |next| next.version);
    if index.version > known {
        state.config.pending = Some(index);
    }
}

/// Reads missing documents of the next index from the store, or installs it when all are here.
fn fetch_documents(state: &mut State, out: &mut Vec<Effect>) {
    let Some(next) = &state.config.pending else { return };
    let missing = state.config.missing_documents(next);
    if missing.is_empty() {
        return install_pending(state, out);
    }
    for hash in missing {
        if !state.store.is_pending(Purpose::Document(hash)) {
            store::call(state, Purpose::Document(hash), Request::ReadDocument { hash }, out);
        }
    }
}

/// Takes over the text of a document.
pub(crate) fn handle_document_reply(state: &mut State, hash: u64, reply: Reply, out: &mut Vec<Effect>) {
    match reply {
        Reply::Document(text) => {
            state.config.texts.insert(hash, text);
            if state
                .config
                .pending
                .as_ref()
                .is_some_and(|next| state.config.missing_documents(next).is_empty())
            {
                install_pending(state, out);
            }
        }
        // The next poll tries again: forgetting the revision makes the store return the index once more.
        _ => state.config.revision = 0,
    }
}

/// Replaces the plan by that of the next index.
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
    route::plan_changed(state);
}

/// Installs an index that this process wrote itself.
pub(crate) fn install_accepted(state: &mut State, index: Index, out: &mut Vec<Effect>) {
    keep_if_newer(state, index);
    fetch_documents(state, out);
}

/// A member has this version; fetch it from there if it is newer.
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

/// Answers a member that asks for the configuration.
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

/// Takes over a configuration offered by a member.
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
    if state.config.pending.as_ref().is_some_and(|next| state.config.missing_documents(next).is_empty()) {
        install_pending(state, out);
    }
}
