//! Counters of bytes between entry VMs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Encoded sizes of messages; clones share their counts. Transport headers are not included.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    shared: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    received: AtomicU64,
    dropped: AtomicU64,
}

impl Traffic {
    /// Bytes sent.
    pub fn sent(&self) -> u64 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Bytes received.
    pub fn received(&self) -> u64 {
        self.shared.received.load(Ordering::Relaxed)
    }

    /// Messages dropped since too much was waiting for their receiver.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.shared.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.shared.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_dropped(&self) {
        self.shared.dropped.fetch_add(1, Ordering::Relaxed);
    }
}
