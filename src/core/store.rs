//! Calls to the platform's store, by purpose.
//!
//! The store port owns the key names and encodings.

use super::config::Index;
use super::effect::Effect;
use super::journal::{Segment, Snapshot};
use super::state::State;
use super::{apply, cell, config, journal, recovery};
use crate::hash::Map;

/// Number of a call, unique in the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Call(pub u64);

/// What is asked of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Read the configuration index if its revision is above `newer_than`.
    ReadIndex {
        /// Revision already known; 0 reads always.
        newer_than: u64,
    },
    /// Replace the configuration index.
    WriteIndex {
        /// Revision it must have; 0 for absent.
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
    /// Read the newest snapshot of a cell by its head hint.
    ReadSnapshot {
        /// Cell.
        cell: cell::Id,
    },
    /// Write a snapshot, then the head hint, then delete the snapshot before the previous one.
    WriteSnapshot {
        /// Cell.
        cell: cell::Id,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Read what stands in the slot of a position of the log.
    ReadSegment {
        /// Cell.
        cell: cell::Id,
        /// Position in the log.
        position: u64,
    },
    /// Replace what stands in the slot of the segment's position.
    Append {
        /// Cell.
        cell: cell::Id,
        /// Revision that the slot must have; 0 for absent.
        expect: u64,
        /// The segment.
        segment: Segment,
    },
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The value's revision is not above the one given.
    Unchanged,
    /// The key does not exist.
    Missing,
    /// The configuration index.
    Index {
        /// Its revision.
        revision: u64,
        /// Its value.
        index: Index,
    },
    /// The text of a document.
    Document(String),
    /// A segment of the log.
    Segment {
        /// Revision of its slot.
        revision: u64,
        /// The segment, of this position or an earlier or later lap.
        segment: Segment,
    },
    /// A snapshot.
    Snapshot(Snapshot),
    /// The write took effect.
    Written {
        /// New revision.
        revision: u64,
    },
    /// The write did not take effect, since the key had another revision.
    Conflict,
    /// The value cannot be decoded.
    Corrupt(String),
    /// The call surely did not take effect: refused by the rate limit, or never written to the connection.
    Refused,
    /// The call may have taken effect: time-out or a lost connection.
    Unknown,
}

/// What a call in flight is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Polling the configuration index.
    Poll,
    /// Fetching a document that a new index names.
    Document(u64),
    /// A step of an apply.
    Apply,
    /// A step of a cell's recovery.
    Recovery(cell::Key),
    /// An append to a cell's log, or looking at what stands there.
    Journal(cell::Key),
    /// A snapshot of a cell's log up to a position.
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

    /// Whether a call whose purpose meets a condition is in flight.
    pub fn is_pending_where(&self, condition: impl Fn(&Purpose) -> bool) -> bool {
        self.pending.values().any(condition)
    }
}

/// Calls the store.
pub(crate) fn call(state: &mut State, purpose: Purpose, request: Request, out: &mut Vec<Effect>) {
    state.store.last.0 += 1;
    let call = state.store.last;
    state.store.pending.insert(call, purpose);
    out.push(Effect::Store { call, request });
}

/// Hands an answer to the area that asked.
pub(crate) fn handle_reply(state: &mut State, call: Call, reply: Reply, out: &mut Vec<Effect>) {
    let Some(purpose) = state.store.pending.remove(&call) else { return };
    match purpose {
        Purpose::Poll => config::polled(state, reply, out),
        Purpose::Document(hash) => config::document_read(state, hash, reply, out),
        Purpose::Apply => apply::answered(state, reply, out),
        Purpose::Recovery(cell) => recovery::handle_reply(state, cell, reply, out),
        Purpose::Journal(cell) => journal::handle_reply(state, cell, reply, out),
        Purpose::Snapshot(cell, next) => journal::handle_snapshot_reply(state, cell, next, &reply),
    }
}
