//! Counters of the traffic between entry VMs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of messages and of their encoded sizes, without transport headers; clones share their counts.
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
    /// Number of bytes sent.
    pub fn sent(&self) -> u64 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Number of bytes received.
    pub fn received(&self) -> u64 {
        self.shared.received.load(Ordering::Relaxed)
    }

    /// Number of messages dropped because of the limits on pending messages to one address.
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
