//! Simulated store of a session.
//!
//! It holds typed values and executes the reducers' store requests with their revision checks. Reads of the index can
//! be stale. Outages and lost replies are faults of the links to it.

use crate::core::cell;
use crate::core::config::Index;
use crate::core::journal::{SLOTS, Segment, Snapshot};
use crate::core::store::{Reply, Request};
use crate::hash::Map;

/// Numbers of executed requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads.
    pub reads: u64,
    /// Writes, including those whose revision check failed.
    pub writes: u64,
}

/// State of the simulated store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// Executed requests.
    pub counts: Counts,
    /// All accepted versions of the index; the revision of a version is its position, from 1.
    pub index_history: Vec<Index>,
    /// Number of the latest index writes that reads do not see.
    pub index_lag_writes: usize,
    documents: Map<u64, String>,
    slots: Map<(cell::Id, u64), (u64, Segment)>,
    last_revision: u64,
    snapshots: Map<cell::Id, Snapshot>,
}

impl Store {
    /// Executes a request.
    pub fn execute(&mut self, request: Request) -> Reply {
        match request {
            Request::ReadIndex { .. }
            | Request::ReadDocument { .. }
            | Request::ReadSnapshot { .. }
            | Request::ReadSegment { .. } => self.counts.reads += 1,
            _ => self.counts.writes += 1,
        }
        match request {
            Request::ReadIndex { newer_than } => self.read_index(newer_than),
            Request::WriteIndex { expect, index } => self.write_index(expect, index),
            Request::ReadDocument { hash } => {
                self.documents.get(&hash).cloned().map_or(Reply::Missing, Reply::Document)
            }
            Request::WriteDocument { hash, text } => {
                self.documents.insert(hash, text);
                Reply::Written { revision: 1 }
            }
            Request::ReadSnapshot { cell } => {
                self.snapshots.get(&cell).cloned().map_or(Reply::Missing, Reply::Snapshot)
            }
            Request::WriteSnapshot { cell, snapshot } => {
                self.snapshots.insert(cell, snapshot);
                Reply::Written { revision: 1 }
            }
            Request::ReadSegment { cell, position } => {
                let found = self.slots.get(&(cell, position % SLOTS)).cloned();
                found.map_or(Reply::Missing, |(revision, segment)| Reply::Segment { revision, segment })
            }
            Request::Append { cell, expect, segment } => self.append(cell, expect, segment),
        }
    }

    /// Segments of a cell's log, ordered by position.
    pub fn log(&self, cell: cell::Id) -> Vec<&Segment> {
        let mut found: Vec<&Segment> =
            self.slots.iter().filter(|((other, _), _)| *other == cell).map(|(_, (_, s))| s).collect();
        found.sort_unstable_by_key(|segment| segment.position);
        found
    }

    fn read_index(&self, newer_than: u64) -> Reply {
        let revision = self.index_history.len().saturating_sub(self.index_lag_writes);
        match self.index_history[..revision].last() {
            None => Reply::Missing,
            Some(_) if revision as u64 <= newer_than => Reply::Unchanged,
            Some(index) => Reply::Index { revision: revision as u64, index: index.clone() },
        }
    }

    fn write_index(&mut self, expect: u64, index: Index) -> Reply {
        if self.index_history.len() as u64 != expect {
            return Reply::Conflict;
        }
        self.index_history.push(index);
        Reply::Written { revision: expect + 1 }
    }

    fn append(&mut self, cell: cell::Id, expect: u64, segment: Segment) -> Reply {
        let slot = (cell, segment.position % SLOTS);
        let found = self.slots.get(&slot).map_or(0, |(revision, _)| *revision);
        if found != expect {
            return Reply::Conflict;
        }
        self.last_revision += 1;
        self.slots.insert(slot, (self.last_revision, segment));
        Reply::Written { revision: self.last_revision }
    }
}
