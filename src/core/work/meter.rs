//! Counts of the work of a leader, for the metrics and for the timeline of a leader that is behind.
//!
//! The decisions increment [`Counts`]. `report` hands them to the metrics about once a second as an effect, and adds one
//! entry `leader-behind` to the timeline if timers were handled late in that time. Reports have no timer of their own: each
//! is made with the first input after it is due, so that they do not change when the process wakes.

use std::time::Duration;

use super::effect::Effect as WorkEffect;
use super::occupancy::{self, Occupancy};
use super::order::Order;
use super::place::Tally;
use super::{backlog, evacuation, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Shortest time between two reports, which bounds the entries of a leader that is behind.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay in the handling of a timer from which on a leader counts as behind.
const BEHIND_MIN: Duration = Duration::from_millis(100);

/// Work of a leader since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Placement passes.
    pub passes: u64,
    /// Time that the inputs with a pass took, with their effects.
    pub pass_time: Duration,
    /// Workers that the passes examined, over all tasks.
    pub worker_visits: u64,
    /// Groups of ready tasks that the passes looked at.
    pub group_visits: u64,
    /// Ready tasks that the passes looked at in these groups.
    pub task_visits: u64,
    /// Those of them that might have started, so that the passes looked for workers.
    pub candidates: u64,
    /// Workers without a recent proof that the passes chose, over all passes.
    pub unproven_workers: u64,
    /// Reads of the leader's key.
    pub key_reads: u64,
    /// Commits that took effect.
    pub commits: u64,
    /// Changes in these commits.
    pub commit_changes: u64,
    /// Listings of workers.
    pub listings: u64,
    /// Ends in these listings, including those that had been listed before.
    pub listed_ends: u64,
    /// Orders to renew a lease.
    pub renew_orders: u64,
    /// Orders to start a run.
    pub start_orders: u64,
    /// Orders to stop a run.
    pub stop_orders: u64,
    /// Orders to change the pace of a run.
    pub pace_orders: u64,
    /// Starts that got no answer.
    pub doubtful_starts: u64,
    /// Orders to start that were sent again to the same worker.
    pub resent_starts: u64,
    /// Starts that were not sent.
    pub unsent_starts: u64,
    /// Ends whose acknowledgement was held back while an order to start their task could still be carried out.
    pub held_ends: u64,
    /// Workers that became silent.
    pub silent_workers: u64,
    /// Speculative copies that were started.
    pub copies: u64,
    /// Those that finished their tasks before the first run did.
    pub copies_first: u64,
    /// Processor time that copies reserved, in core-milliseconds.
    pub copy_core_ms: u64,
    /// Waits for a rack that began.
    pub rack_waits: u64,
    /// Those that ended with a start on the rack.
    pub rack_waits_paid: u64,
    /// Those that ended with a start elsewhere.
    pub rack_waits_abandoned: u64,
}

impl Counts {
    /// Counts what a placement pass has examined.
    pub fn add_pass(&mut self, tally: &Tally) {
        self.passes += tally.passes;
        self.worker_visits += tally.workers;
        self.group_visits += tally.groups;
        self.task_visits += tally.tasks;
    }

    /// Counts an order to a worker.
    pub fn count_order(&mut self, order: &Order) {
        let count = match order {
            Order::Renew { .. } => &mut self.renew_orders,
            Order::Start { .. } => &mut self.start_orders,
            Order::Stop { .. } => &mut self.stop_orders,
            Order::Pace { .. } => &mut self.pace_orders,
        };
        *count += 1;
    }
}

/// Work and backlog of a leader, as a report hands them to the metrics.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Time since the last report.
    pub period: Duration,
    /// Work in this time.
    pub counts: Counts,
    /// Longest delay in the handling of a timer in this time.
    pub longest_lag: Duration,
    /// Delay of the timer that was handled last.
    pub last_lag: Duration,
    /// Longest time of a commit in flight, from when it was first sent to its effect, or to now.
    pub longest_commit: Duration,
    /// Longest time between two reports on waiting tasks that both found room for the same task; zero if none did.
    pub placement_delay: Duration,
    /// Changes that wait for a commit.
    pub queued_changes: u64,
    /// Groups of ready tasks.
    pub ready_groups: u64,
    /// Ready tasks.
    pub ready_tasks: u64,
    /// Age of the oldest waiting group, by priority, with 0 for configured priorities without one.
    pub group_ages: Vec<(u32, Duration)>,
    /// Age of the oldest waiting group of a small job.
    pub small_job_age: Duration,
    /// The same of a large job.
    pub large_job_age: Duration,
    /// Submissions that were refused by their forecast, by queue.
    pub refusals: Vec<(String, u64)>,
    /// Longest forecast time until a submitted job would start.
    pub forecast_wait: Duration,
    /// Occupancy of the workers, by service.
    pub occupancies: Vec<Occupancy>,
    /// Evacuated availability zones.
    pub evacuated_zones: u64,
    /// Runs on their workers.
    pub evacuated_runs: u64,
}

/// Counts since the last report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// Work since the last report.
    pub counts: Counts,
    longest_lag: Duration,
    last_lag: Duration,
    longest_commit: Duration,
    placement_delay: Duration,
    reported_at: Instant,
    /// Whether this process led at the last report.
    has_led: bool,
}

impl Meter {
    /// Records that a timer is handled `lag` after it was due.
    pub fn record_lag(&mut self, lag: Duration) {
        self.last_lag = lag;
        self.longest_lag = self.longest_lag.max(lag);
    }

    /// Records that a ready task has had room for `delay` and waits.
    pub fn record_placement_delay(&mut self, delay: Duration) {
        self.placement_delay = self.placement_delay.max(delay);
    }

    /// Records a commit of `changes` that took effect after `in_flight`.
    pub fn record_commit(&mut self, changes: usize, in_flight: Duration) {
        self.counts.commits += 1;
        self.counts.commit_changes += changes as u64;
        self.longest_commit = self.longest_commit.max(in_flight);
    }
}

/// Reports the work of a leader if a report is due. The first report after the end of its leadership sets the backlog in the
/// metrics to zero.
pub(super) fn report(state: &mut super::State, out: &mut Vec<Effect>) {
    let leads = state.leadership.term() > 0;
    if !leads && !state.meter.has_led {
        return;
    }
    if !state.meter.has_led {
        state.meter = Meter { reported_at: state.now, has_led: true, ..Meter::default() };
        return;
    }
    let period = state.now.since(state.meter.reported_at);
    if period < REPORT_INTERVAL {
        return;
    }
    let meter = state.meter;
    state.meter = Meter {
        reported_at: state.now,
        last_lag: if leads { meter.last_lag } else { Duration::ZERO },
        has_led: leads,
        ..Meter::default()
    };
    let (refusals, forecast_wait) = state.admission.take_report();
    let mut report = Report { period, counts: meter.counts, refusals, forecast_wait, ..Report::default() };
    add_ages(state, &mut report);
    if leads {
        let in_flight = state.journal.time_in_flight(state.now);
        report.longest_lag = meter.longest_lag;
        report.last_lag = meter.last_lag;
        report.longest_commit = meter.longest_commit.max(in_flight);
        report.placement_delay = meter.placement_delay;
        report.queued_changes = state.journal.queued_changes();
        report.ready_groups = state.jobs.ready.len() as u64;
        report.ready_tasks = state.jobs.ready.values().map(|tasks| tasks.len() as u64).sum();
        report.occupancies = occupancy::survey(&state.workers, &state.runs, state.tenure());
        report.evacuated_zones = state.evacuations.len() as u64;
        report.evacuated_runs = evacuation::count_runs(state);
        if report.longest_lag >= BEHIND_MIN {
            state::record(out, Subject::Process, "leader-behind", describe(&report));
        }
    }
    out.push(Effect::Work(WorkEffect::Report(Box::new(report))));
}

/// Adds the ages of the waiting groups. A priority that has none any more is set to zero.
fn add_ages(state: &super::State, report: &mut Report) {
    let ages = backlog::Ages::of(&state.jobs, state.now);
    let mut by_priority = ages.by_priority;
    for queue in &state.config.queues {
        by_priority.entry(queue.priority).or_default();
    }
    report.group_ages = by_priority.into_iter().collect();
    report.group_ages.sort_unstable();
    report.small_job_age = ages.small;
    report.large_job_age = ages.large;
}

/// Text of the entry of a leader that is behind.
fn describe(report: &Report) -> String {
    let Report {
        period,
        counts,
        longest_lag,
        last_lag,
        longest_commit,
        placement_delay,
        queued_changes,
        ready_groups,
        ready_tasks,
        ..
    } = report;
    let [period, longest_lag, last_lag, longest_commit, placement_delay] =
        [period, longest_lag, last_lag, longest_commit, placement_delay].map(Duration::as_millis);
    let Counts {
        passes,
        pass_time,
        worker_visits,
        group_visits,
        task_visits,
        candidates,
        unproven_workers,
        key_reads,
        commits,
        commit_changes,
        listings,
        listed_ends,
        renew_orders,
        start_orders,
        stop_orders,
        pace_orders,
        doubtful_starts,
        resent_starts,
        unsent_starts,
        held_ends,
        silent_workers,
        copies,
        copies_first,
        copy_core_ms,
        rack_waits,
        rack_waits_paid,
        rack_waits_abandoned,
    } = counts;
    let pass_time = pass_time.as_millis();
    format!(
        "in {period} ms: longest lag {longest_lag} ms, last {last_lag} ms; placement passes: {passes}, time in them {pass_time} \
         ms, worker visits: {worker_visits}, groups visited: {group_visits}, tasks visited: {task_visits}, candidates: {candidates}, unproven \
         workers: {unproven_workers}, key reads: {key_reads}; commits: {commits}, changes: {commit_changes}, longest in flight \
         {longest_commit} ms, changes queued: {queued_changes}; listings: {listings}, ends in them: {listed_ends}; orders: \
         renew {renew_orders}, start {start_orders}, stop {stop_orders}, pace {pace_orders}; starts without an answer: \
         {doubtful_starts}, sent again: {resent_starts}, starts not sent: {unsent_starts}, ends held back: {held_ends}, workers that became silent: {silent_workers}; copies: {copies}, \
         finished first {copies_first}, core-ms {copy_core_ms}; waits for a rack: {rack_waits}, started there {rack_waits_paid}, \
         elsewhere {rack_waits_abandoned}; longest wait with room {placement_delay} ms; ready tasks: {ready_tasks}, groups: \
         {ready_groups}"
    )
}
