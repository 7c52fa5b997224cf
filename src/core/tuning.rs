//! Times and limits of the protocol.

use std::time::Duration;

/// Times and limits; the same in every process of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Length of a worker's control lease.
    pub worker_lease: Duration,
    /// Interval between renewals of a control lease, which is also how long a renewal waits for events.
    pub renew_interval: Duration,
    /// Length of a connection grant.
    pub grant_duration: Duration,
    /// Interval between renewals of a connection grant.
    pub grant_interval: Duration,
    /// Taken off a lease or grant at the holder; covers scheduling delay between the check and the write.
    pub margin: Duration,
    /// Largest relative difference between two clock rates, in thousandths.
    pub drift_per_mille: u64,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Members of the zone that each heartbeat round goes to.
    pub heartbeat_fanout: usize,
    /// Silence after which a member is suspected and its cells are taken over.
    pub suspect_after: Duration,
    /// Silence after which a member is removed.
    pub remove_after: Duration,
    /// Interval between reads of the configuration index, in the members that read it.
    pub index_interval: Duration,
    /// Members of a zone that read the configuration index.
    pub index_readers: usize,
    /// Appends per second that all cells of the fleet share.
    pub appends_per_second: u32,
    /// Shortest interval between two appends of a cell.
    pub append_interval_min: Duration,
    /// Segments after which a snapshot is written.
    pub segments_per_snapshot: u64,
    /// Shortest and longest wait before a store call is repeated.
    pub store_backoff: (Duration, Duration),
    /// Time after which a store, worker or peer call counts as lost.
    pub call_timeout: Duration,
    /// Grant slots of a cell; each allows its holder that fraction of every worker's connections.
    pub grant_slots: u16,
    /// Exchanges that may wait for a replica.
    pub queue_limit: usize,
    /// Share of a service's requests that may be retries, in percent.
    pub retry_percent: u32,
    /// Failures of different tasks, with no success between, that put a worker out of batch placement.
    pub quarantine_failures: u32,
    /// Time for which such a worker stays out.
    pub quarantine_duration: Duration,
    /// Share of a cell's workers that may be out, in percent.
    pub quarantine_percent: u32,
    /// Wait between readiness turning bad and the end of listening.
    pub drain_wait: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            worker_lease: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            grant_duration: Duration::from_secs(6),
            grant_interval: Duration::from_secs(1),
            margin: Duration::from_millis(500),
            drift_per_mille: 10,
            heartbeat_interval: Duration::from_millis(500),
            heartbeat_fanout: 4,
            suspect_after: Duration::from_secs(2),
            remove_after: Duration::from_secs(4),
            index_interval: Duration::from_millis(500),
            index_readers: 2,
            appends_per_second: 300,
            append_interval_min: Duration::from_millis(50),
            segments_per_snapshot: 64,
            store_backoff: (Duration::from_millis(100), Duration::from_secs(5)),
            call_timeout: Duration::from_secs(2),
            grant_slots: 8,
            queue_limit: 1024,
            retry_percent: 10,
            quarantine_failures: 3,
            quarantine_duration: Duration::from_secs(60),
            quarantine_percent: 20,
            drain_wait: Duration::from_secs(3),
        }
    }
}
