//! Intervals, timeouts and limits of the job scheduler.

use std::time::Duration;

use super::admission;

/// Intervals, timeouts and limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// Time to live of the leader's key in the store without a renewal.
    pub leader_ttl: Duration,
    /// Interval between renewals of the leadership; several fit into [`Self::leader_ttl`].
    pub leader_renewal: Duration,
    /// Time for which a leader acts after the last call was sent that found the leader's key unchanged.
    pub leader_validity: Duration,
    /// Length of a worker's lease; long enough that runs survive a change of the leader.
    pub worker_lease: Duration,
    /// Longest time from an order to a worker until it is carried out, if it gets no answer.
    pub order_delay_max: Duration,
    /// Longest lease that a worker grants; it shortens a longer one.
    pub lease_max: Duration,
    /// Time after the computed end of a lease until it is taken as expired.
    pub lease_margin: Duration,
    /// Time that a worker may wait for the end of a run before it answers a renewal.
    pub poll_wait: Duration,
    /// The same time for workers whose response times are observed.
    pub poll_wait_observed: Duration,
    /// Interval between renewals sent to a worker without runs.
    pub idle_interval: Duration,
    /// Time until a worker that did not answer is called again.
    pub worker_retry: Duration,
    /// Timeout of a call to a worker, in addition to the wait that the call asks for.
    pub worker_timeout: Duration,
    /// Minimum time between two commits.
    pub commit_interval: Duration,
    /// Most keys that one commit may set or delete; its conditions take the rest of the store's transaction limit.
    pub commit_keys: usize,
    /// Time without a successful commit after which waiting requests are answered and new jobs are refused; longer than
    /// a commit to a slow store takes.
    pub commit_patience: Duration,
    /// Time until a failed store call is repeated.
    pub store_retry: Duration,
    /// Timeout of a store call.
    pub store_timeout: Duration,
    /// Time that a watch call waits for a change; short, since a dead connection goes unnoticed until then.
    pub watch_wait: Duration,
    /// Time beyond its wait after which a watch without an answer counts as lost; it grows while the store is slow.
    pub watch_allowance: Duration,
    /// Minimum time between two placement passes.
    pub place_interval: Duration,
    /// Pause after a placement pass for each worker visit in it. It is several times the duration of a visit on a small
    /// VM, so that a long queue leaves processor time for everything else.
    pub place_rest_per_visit: Duration,
    /// Which submissions are accepted.
    pub admission: admission::Mode,
    /// Time after which a caller may retry a refused request, in seconds.
    pub retry_after_s: u32,
    /// Time for which the state of an ended job is kept.
    pub retention: Duration,
    /// Number of different jobs with failed runs on a worker, without a success between them, after which the worker is
    /// suspected of failing what it starts.
    pub suspect_failures: u32,
    /// Time for which such a worker gets long-running tasks only.
    pub suspect_duration: Duration,
    /// Time without progress, in addition to half of the step's estimate, after which a run is stopped and its task is
    /// started elsewhere.
    pub stall_timeout: Duration,
    /// Time until the task of a failed run may start again.
    pub task_retry: Duration,
    /// Time after which a waiting task of priority 0 may preempt runs of lower priority.
    pub preempt_after: Duration,
    /// Time that a serving task is at risk of missing its target until every filling run that disturbs it is slowed
    /// down.
    pub slow_down_after: Duration,
    /// Time that a serving task is at risk until the filling runs beside it are paused; well below the time that users
    /// tolerate.
    pub pause_after: Duration,
    /// Time that a filling task waits for a worker whose serving tasks tolerate it at peak load. After that it also
    /// starts where they tolerate it at their current load.
    pub max_deferral: Duration,
    /// Time at a slow pace after which a filling run that saves checkpoints is moved to another worker.
    pub move_after: Duration,
    /// Factor by which a task takes longer outside the rack that holds its data, and a gang on several racks; at least 1. With 1
    /// no task waits for a rack.
    pub far_factor: f64,
    /// Interval at which the image estimates are stored.
    pub images_interval: Duration,
    /// Share of the processor time of all runs that speculative copies may cost, in percent; 0 starts none.
    pub copy_share_percent: u32,
    /// Share of the workers of each service that is kept free of long-running runs, in percent, rounded down to whole workers.
    pub reserve_percent: u32,
    /// Longest time that a graceful shutdown waits for requests in progress.
    pub stop_wait: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            leader_ttl: Duration::from_millis(2_000),
            leader_renewal: Duration::from_millis(400),
            leader_validity: Duration::from_millis(5_000),
            worker_lease: Duration::from_millis(4_500),
            order_delay_max: Duration::from_millis(12_000),
            lease_max: Duration::from_millis(10_000),
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
            watch_allowance: Duration::from_millis(250),
            place_interval: Duration::from_millis(4),
            place_rest_per_visit: Duration::from_nanos(500),
            admission: admission::Mode::All,
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
            far_factor: 1.0,
            images_interval: Duration::from_millis(2_000),
            copy_share_percent: 5,
            reserve_percent: 9,
            stop_wait: Duration::from_millis(2_000),
        }
    }
}
