//! The store of a session: typed values, with outages and lost answers.

use crate::core::cell;
use crate::core::config::Index;
use crate::core::journal::{Segment, Snapshot};
use crate::core::store::{Reply, Request};
use crate::hash::Map;

/// Calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads.
    pub reads: u64,
    /// Writes, including those that were refused by a condition.
    pub writes: u64,
}

/// State of the store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// Calls so far.
    pub counts: Counts,
    index: Option<(u64, Index)>,
    documents: Map<u64, String>,
    segments: Map<(cell::Id, u64), Segment>,
    snapshots: Map<cell::Id, Snapshot>,
}

impl Store {
    /// Executes a call.
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
                let next = snapshot.next;
                let is_kept = |position: u64| position >= next || snapshot.takeovers.contains(&position);
                self.segments.retain(|(other, position), _| *other != cell || is_kept(*position));
                self.snapshots.insert(cell, snapshot);
                Reply::Written { revision: 1 }
            }
            Request::ReadSegment { cell, position } => {
                self.segments.get(&(cell, position)).cloned().map_or(Reply::Missing, Reply::Segment)
            }
            Request::Append { cell, position, segment } => self.append(cell, position, segment),
        }
    }

    /// Segments of a cell's log, in order.
    pub fn log(&self, cell: cell::Id) -> Vec<&Segment> {
        let mut found: Vec<_> = self.segments.iter().filter(|((other, _), _)| *other == cell).collect();
        found.sort_unstable_by_key(|((_, position), _)| *position);
        found.into_iter().map(|(_, segment)| segment).collect()
    }

    fn read_index(&self, newer_than: u64) -> Reply {
        match &self.index {
            None => Reply::Missing,
            Some((revision, _)) if *revision <= newer_than => Reply::Unchanged,
            Some((revision, index)) => Reply::Index { revision: *revision, index: index.clone() },
        }
    }

    fn write_index(&mut self, expect: u64, index: Index) -> Reply {
        let revision = self.index.as_ref().map_or(0, |(revision, _)| *revision);
        if revision != expect {
            return Reply::Conflict;
        }
        self.index = Some((revision + 1, index));
        Reply::Written { revision: revision + 1 }
    }

    fn append(&mut self, cell: cell::Id, position: u64, segment: Segment) -> Reply {
        if self.segments.contains_key(&(cell, position)) {
            return Reply::Conflict;
        }
        self.segments.insert((cell, position), segment);
        Reply::Written { revision: 1 }
    }
}
