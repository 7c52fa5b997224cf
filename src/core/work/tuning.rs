//! Times and limits of the scheduling of jobs.

use std::time::Duration;

/// Times and limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Life of the leader's key in the store without a renewal.
    pub leader_ttl: Duration,
    /// Interval between renewals; several fit into the life of the key.
    pub leader_renewal: Duration,
    /// How long a leader acts after its last confirmed renewal was sent.
    pub leader_validity: Duration,
    /// Length of a worker's lease; bridges the change of the leader.
    pub worker_lease: Duration,
    /// Added to the computed end of a lease before it is taken as lapsed.
    pub lease_margin: Duration,
    /// How long a worker may wait for an end before it answers a renewal.
    pub poll_wait: Duration,
    /// The same on workers where response times are observed.
    pub poll_wait_observed: Duration,
    /// Interval between contacts to a worker that runs nothing.
    pub idle_interval: Duration,
    /// Wait before a worker that did not answer is called again.
    pub worker_retry: Duration,
    /// Longest wait for an answer of a worker, besides the wait that the call asks for.
    pub worker_timeout: Duration,
    /// Shortest time between two commits.
    pub commit_interval: Duration,
    /// Keys that one commit may set or delete; the rest of the store's limit are its conditions.
    pub commit_keys: usize,
    /// Time without a successful commit after which waiting requests are answered and new jobs refused; above what a slow
    /// store needs.
    pub commit_patience: Duration,
    /// Wait before a store call is repeated.
    pub store_retry: Duration,
    /// Longest wait for an answer of the store.
    pub store_timeout: Duration,
    /// Wait of a watch for an event; short, since a connection may have gone silent.
    pub watch_wait: Duration,
    /// Shortest time between two placement passes.
    pub place_interval: Duration,
    /// Rest after a pass for each worker that it looked at, several times what the look takes on a small VM, so that a long
    /// queue leaves processor time for everything else.
    pub place_rest_per_visit: Duration,
    /// Time that a caller is told to wait when its request was refused, in seconds.
    pub retry_after_s: u32,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
    /// Failures of different jobs' tasks, with no success between, that keep a worker from placement.
    pub suspect_failures: u32,
    /// How long such a worker is kept from placement.
    pub suspect_duration: Duration,
    /// Time without progress after which a task is stopped and started elsewhere.
    pub stall_timeout: Duration,
    /// How long a task of a failed run waits before it is started again.
    pub task_retry: Duration,
    /// Wait of a task of priority 0 after which it may preempt others.
    pub preempt_after: Duration,
    /// Time near or over its target after which all that disturbs a serving task is slowed down.
    pub slow_down_after: Duration,
    /// Time after which it pauses; well below the time that users bear.
    pub pause_after: Duration,
    /// Wait of a filling task after which it starts where it disturbs nobody now, though it may later.
    pub max_deferral: Duration,
    /// Time at a slow pace after which a filling task that can resume is moved to another worker.
    pub move_after: Duration,
    /// Interval at which what is known of images is stored.
    pub images_interval: Duration,
    /// Longest wait of a graceful stop for requests in progress.
    pub stop_wait: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            leader_ttl: Duration::from_millis(2_000),
            leader_renewal: Duration::from_millis(400),
            leader_validity: Duration::from_millis(5_000),
            worker_lease: Duration::from_millis(4_500),
            lease_margin: Duration::from_millis(150),
            poll_wait: Duration::from_millis(1_000),
            poll_wait_observed: Duration::from_millis(500),
            idle_interval: Duration::from_millis(2_500),
            worker_retry: Duration::from_millis(250),
            worker_timeout: Duration::from_millis(800),
            commit_interval: Duration::from_millis(12),
            commit_keys: 28,
            commit_patience: Duration::from_millis(700),
            store_retry: Duration::from_millis(100),
            store_timeout: Duration::from_millis(1_500),
            watch_wait: Duration::from_millis(2_000),
            place_interval: Duration::from_millis(4),
            place_rest_per_visit: Duration::from_nanos(500),
            retry_after_s: 1,
            retention: Duration::from_secs(150),
            suspect_failures: 2,
            suspect_duration: Duration::from_secs(6),
            stall_timeout: Duration::from_millis(1_500),
            task_retry: Duration::from_millis(20),
            preempt_after: Duration::from_millis(150),
            slow_down_after: Duration::from_millis(1_400),
            pause_after: Duration::from_millis(2_500),
            max_deferral: Duration::from_millis(500),
            move_after: Duration::from_millis(800),
            images_interval: Duration::from_millis(2_000),
            stop_wait: Duration::from_millis(2_000),
        }
    }
}
