//! Protocol parameters: intervals, timeouts and limits.

use std::time::Duration;

/// Protocol parameters; all processes of a deployment use the same values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Duration of a worker's control lease.
    pub worker_lease: Duration,
    /// Interval between renewals of a control lease, and the time for which the worker holds a renewal to wait for
    /// events.
    pub renew_interval: Duration,
    /// Duration of a connection grant.
    pub grant_duration: Duration,
    /// Interval between renewals of a connection grant.
    pub grant_interval: Duration,
    /// Time by which the holder of a lease or grant ends it early; covers the scheduling delay between the check of the
    /// lease and the write.
    pub margin: Duration,
    /// Maximum relative difference between the rates of two clocks, in thousandths.
    pub drift_per_mille: u64,
    /// Interval between heartbeat rounds.
    pub heartbeat_interval: Duration,
    /// Number of members of the own zone that get a heartbeat in each round.
    pub heartbeat_fanout: usize,
    /// Time without a rise of its heartbeat counter after which a member is suspected and its cells are taken over.
    pub suspect_after: Duration,
    /// Time without a rise of its heartbeat counter after which a member that is not listed is removed.
    pub remove_after: Duration,
    /// Interval between polls of the configuration index by each of its readers.
    pub index_interval: Duration,
    /// Number of members of a zone that poll the configuration index.
    pub index_readers: usize,
    /// Log appends per second, shared by all cells of the deployment.
    pub appends_per_second: u32,
    /// Minimum interval between two log appends of a cell.
    pub append_interval_min: Duration,
    /// Number of log segments after which a snapshot is written.
    pub segments_per_snapshot: u64,
    /// Minimum and maximum backoff before a store call is retried.
    pub store_backoff: (Duration, Duration),
    /// Timeout of a store, worker or peer call, after which its reply counts as lost.
    pub call_timeout: Duration,
    /// Number of grant slots of a cell. With n slots, each holder may open 1/n of each worker's connections.
    pub grant_slots: u16,
    /// Maximum number of exchanges that wait for a replica.
    pub queue_limit: usize,
    /// Maximum share of a service's requests that are retries, in percent.
    pub retry_percent: u32,
    /// Number of different tasks that fail on a worker, without a success between, before it is quarantined. A worker
    /// in quarantine gets no batch tasks.
    pub quarantine_failures: u32,
    /// Duration of a worker's quarantine.
    pub quarantine_duration: Duration,
    /// Maximum share of a cell's workers in quarantine, in percent.
    pub quarantine_percent: u32,
    /// Time in a graceful shutdown between reporting not ready and closing the listener.
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
