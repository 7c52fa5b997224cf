//! Calls to the platform's store and the modules that their replies go to.
//!
//! Requests name no keys: the store port defines the key names and the encodings of the values.

use super::config::Index;
use super::effect::Effect;
use super::journal::{Segment, Snapshot};
use super::state::State;
use super::{apply, cell, config, journal, recovery};
use crate::hash::Map;

/// Identity of a store call, unique in the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Call(pub u64);

/// A request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Read the configuration index if its revision is higher than `newer_than`.
    ReadIndex {
        /// Revision that the caller knows; 0 reads in any case.
        newer_than: u64,
    },
    /// Replace the configuration index.
    WriteIndex {
        /// Revision that the index must have; 0 if it must be absent.
        expect: u64,
        /// New value.
        index: Index,
    },
    /// Read the text of a document.
    ReadDocument {
        /// Hash of the text.
        hash: u64,
    },
    /// Write the text of a document under its hash.
    WriteDocument {
        /// Hash of the text.
        hash: u64,
        /// The text.
        text: String,
    },
    /// Read the newest snapshot of a cell, whose position the cell's head value holds as a hint.
    ReadSnapshot {
        /// The cell.
        cell: cell::Id,
    },
    /// Write a snapshot, then the head value, then delete the snapshot before the previous one.
    WriteSnapshot {
        /// The cell.
        cell: cell::Id,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Read the segment in the slot of a log position.
    ReadSegment {
        /// The cell.
        cell: cell::Id,
        /// Position in the log.
        position: u64,
    },
    /// Replace the value in the slot of the segment's position.
    Append {
        /// The cell.
        cell: cell::Id,
        /// Revision that the slot must have; 0 if it must be absent.
        expect: u64,
        /// The segment.
        segment: Segment,
    },
}

/// Reply of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The revision of the value is not higher than the requested one.
    Unchanged,
    /// The key does not exist.
    Missing,
    /// The configuration index.
    Index {
        /// Revision of the index.
        revision: u64,
        /// Value of the index.
        index: Index,
    },
    /// The text of a document.
    Document(String),
    /// A segment of the log.
    Segment {
        /// Revision of the slot.
        revision: u64,
        /// The segment in the slot: the one of the requested position, or one of an earlier or later pass over the
        /// ring.
        segment: Segment,
    },
    /// A snapshot.
    Snapshot(Snapshot),
    /// The write took effect.
    Written {
        /// New revision.
        revision: u64,
    },
    /// The write did not take effect, because the key has another revision than the expected one.
    Conflict,
    /// The value cannot be decoded, for the reason in the text.
    Corrupt(String),
    /// The call did not take effect: the rate limit refused it, or it was not written to the connection.
    Refused,
    /// It is unknown whether the call took effect, after a timeout or a lost connection.
    Unknown,
}

/// Purpose of a call, which selects the module that handles the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Poll of the configuration index.
    Poll,
    /// Read of a document that a new index names, by the hash of the text.
    Document(u64),
    /// A step of an apply.
    Apply,
    /// A step of a cell's recovery.
    Recovery(cell::Key),
    /// A step of an append to a cell's log, which writes or reads a slot.
    Journal(cell::Key),
    /// Write of a cell's snapshot, with the first log position that it does not include.
    Snapshot(cell::Key, u64),
}

/// Calls in flight.
#[derive(Debug, Clone, Default)]
pub struct Table {
    last: Call,
    pending: Map<Call, Purpose>,
}

impl Table {
    /// Whether a call with this purpose is in flight.
    pub fn is_pending(&self, purpose: Purpose) -> bool {
        self.is_pending_where(|pending| *pending == purpose)
    }

    /// Whether a call whose purpose satisfies a condition is in flight.
    pub fn is_pending_where(&self, condition: impl Fn(&Purpose) -> bool) -> bool {
        self.pending.values().any(condition)
    }
}

/// Starts a store call.
pub(crate) fn call(state: &mut State, purpose: Purpose, request: Request, out: &mut Vec<Effect>) {
    state.store.last.0 += 1;
    let call = state.store.last;
    state.store.pending.insert(call, purpose);
    out.push(Effect::Store { call, request });
}

/// Passes a reply to the module that made the call. Replies to unknown calls are ignored.
pub(crate) fn handle_reply(state: &mut State, call: Call, reply: Reply, out: &mut Vec<Effect>) {
    let Some(purpose) = state.store.pending.remove(&call) else { return };
    match purpose {
        Purpose::Poll => config::handle_index_reply(state, reply, out),
        Purpose::Document(hash) => config::handle_document_reply(state, hash, reply, out),
        Purpose::Apply => apply::handle_reply(state, reply, out),
        Purpose::Recovery(cell) => recovery::handle_reply(state, cell, reply, out),
        Purpose::Journal(cell) => journal::handle_reply(state, cell, reply, out),
        Purpose::Snapshot(cell, next) => journal::handle_snapshot_reply(state, cell, next, &reply),
    }
}
