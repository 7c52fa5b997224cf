//! Calls to the platform's store, by purpose.
//!
//! The store port owns the key names and encodings.

use super::cell;
use super::config::Index;
use super::journal::{Segment, Snapshot};
use crate::declare::zone;

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
    /// Write a snapshot, then the head hint, then delete the segments before it.
    WriteSnapshot {
        /// Cell.
        cell: cell::Id,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Read one segment of the log.
    ReadSegment {
        /// Cell.
        cell: cell::Id,
        /// Position in the log.
        position: u64,
    },
    /// Create one segment of the log; it must not exist.
    Append {
        /// Cell.
        cell: cell::Id,
        /// Position in the log.
        position: u64,
        /// The segment.
        segment: Segment,
    },
}

impl Request {
    /// Zone whose log is used, if any.
    pub fn zone(&self) -> Option<zone::Id> {
        match self {
            Self::ReadSnapshot { cell }
            | Self::WriteSnapshot { cell, .. }
            | Self::ReadSegment { cell, .. }
            | Self::Append { cell, .. } => Some(cell.zone),
            _ => None,
        }
    }
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
    Segment(Segment),
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
