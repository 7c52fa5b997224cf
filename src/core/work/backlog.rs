//! Order of the groups of waiting tasks.
//!
//! A job has its full value until its deadline, a small part of it until three times its allowance (the time from release to deadline), and none after that. Within a
//! priority, groups whose job can meet its deadline come first, least slack first, so that a job that is late anyway does
//! not take the capacity of one that is not. The size of a job does not count.

use std::time::Duration;

use super::{job, runtime, symbol};
use crate::core::time::Instant;
use crate::hash::Map;

/// Share of the expected remaining time by which it may be wrong. Half of all runs take longer than the median, and the
/// histograms of run times have one significant digit.
const ERROR_SHARE: f64 = 0.25;

/// Multiple of its time within which a late job still has a part of its value.
const VALUE_MULTIPLE: u32 = 3;

/// Time after the deadline from which on a late group gets a share of the capacity. It is longer than the rest of the value of
/// jobs of a few seconds, which would otherwise take that share as soon as they are late. It counts for the job, so that one
/// of several steps does not wait for it at each step.
pub const STARVING_AFTER: Duration = Duration::from_secs(30);

/// Time in each [`TURN_PERIOD`] in which starving groups come first. With more work than capacity most groups starve in the
/// end, so without this limit all jobs would start late.
pub const TURN: Duration = Duration::from_secs(1);

/// Time from the start of one turn of the starving groups to the next.
pub const TURN_PERIOD: Duration = Duration::from_secs(8);

/// What the order of a group of waiting tasks depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Whether a step of the job runs until the job is cancelled.
    pub is_long_running: bool,
    /// Time by which the occurrence of the job should be completed.
    pub deadline: Instant,
    /// Time from the release of the occurrence to its deadline.
    pub allowance: Duration,
    /// Expected run time of the longest chain of dependent steps that begins with this one.
    pub remaining: Duration,
    /// Whether that rests on completed runs, and not on the caller's estimates alone.
    pub is_learned: bool,
}

/// Classes of groups, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Long-running, and past its deadline.
    Overdue,
    /// Past its deadline for longer than [`STARVING_AFTER`], in a turn.
    Starving,
    /// Meets its deadline if it starts now, also if the expected time is too short by its error.
    InTime,
    /// Meets its deadline only if the expected time is too long.
    Uncertain,
    /// Misses its deadline, but still has a part of its value.
    Late,
    /// Has no value left.
    Expired,
}

/// Place of a group in the order; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Class within the priority.
    pub class: Class,
    /// Time by which the groups of a class are sorted.
    pub at: Instant,
}

/// Function that ranks a waiting group at a given time.
pub type Order = fn(&Waiting, Instant) -> Rank;

/// Rank by least slack among the groups that can meet their deadline.
pub fn rank(waiting: &Waiting, now: Instant) -> Rank {
    let class = classify(waiting, now);
    let at = match class {
        Class::InTime if !waiting.is_long_running => latest_start(waiting),
        Class::Late => end_of_value(waiting),
        _ => waiting.deadline,
    };
    Rank { priority: waiting.priority, class, at }
}

fn classify(waiting: &Waiting, now: Instant) -> Class {
    if waiting.is_long_running {
        return if waiting.deadline < now { Class::Overdue } else { Class::InTime };
    }
    let error = waiting.remaining.mul_f64(ERROR_SHARE);
    if now + waiting.remaining + error <= waiting.deadline {
        return Class::InTime;
    }
    if is_turn(now) && now >= waiting.deadline + STARVING_AFTER {
        return Class::Starving;
    }
    // A caller's estimate may be wrong by nearly all of it.
    let at_least = if waiting.is_learned { waiting.remaining - error } else { Duration::ZERO };
    if now + at_least <= waiting.deadline {
        Class::Uncertain
    } else if now <= end_of_value(waiting) {
        Class::Late
    } else {
        Class::Expired
    }
}

/// Latest start of the group at which its job is expected to meet its deadline.
fn latest_start(waiting: &Waiting) -> Instant {
    waiting.deadline - waiting.remaining
}

/// Time from which on the job has no value.
fn end_of_value(waiting: &Waiting) -> Instant {
    waiting.deadline - waiting.allowance + value_time(waiting.allowance)
}

/// Time in which a job has a value, if its time to the deadline is `allowance`.
pub fn value_time(allowance: Duration) -> Duration {
    allowance.saturating_mul(VALUE_MULTIPLE)
}

/// Number of tasks from which a job counts as large: it does not fit on one worker of about 32 cores.
const LARGE_JOB_TASKS: u32 = 32;

/// Ages of the groups that wait longest.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ages {
    /// By priority.
    pub by_priority: Map<u32, Duration>,
    /// Among jobs of few tasks.
    pub small: Duration,
    /// Among jobs of many tasks.
    pub large: Duration,
}

impl Ages {
    /// Ages of the waiting groups at `now`.
    pub fn of(jobs: &job::Table, now: Instant) -> Self {
        let mut ages = Self::default();
        for (group, tasks) in &jobs.ready {
            let Some(job) = jobs.all.get(group.job) else { continue };
            let Some(task) = tasks.front().and_then(|task| jobs.tasks.get(*task)) else { continue };
            let age = now.since(task.ready_at.max(task.not_before));
            let task_count: u32 = job.spec.steps.iter().map(|step| step.count).sum();
            let of_size = if task_count < LARGE_JOB_TASKS { &mut ages.small } else { &mut ages.large };
            *of_size = age.max(*of_size);
            let of_priority = ages.by_priority.entry(job.priority).or_default();
            *of_priority = age.max(*of_priority);
        }
        ages
    }
}

/// Median ratio of the run times of a queue to their estimates; `None` if it is not known. It is the same for all estimates,
/// so one look at it gives the expected times of all chains.
pub fn median_ratio(runtimes: &runtime::Table, queue: symbol::Key) -> Option<f64> {
    let unit = Duration::from_secs(1);
    runtimes.is_known(queue).then(|| runtimes.expected(queue, unit, 0.5).as_secs_f64())
}

/// Whether starving groups come first now.
fn is_turn(now: Instant) -> bool {
    u128::from(now.0) % TURN_PERIOD.as_micros() < TURN.as_micros()
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    /// A time between two turns of the starving groups.
    const NOW: Instant = Instant(804_000_000);

    /// A time in such a turn.
    const IN_TURN: Instant = Instant(800_500_000);

    /// A group whose deadline is in 10 s, half of its time, with 4 s of work left.
    fn waiting() -> Waiting {
        Waiting {
            priority: 1,
            is_long_running: false,
            deadline: NOW + 10 * SECOND,
            allowance: 20 * SECOND,
            remaining: 4 * SECOND,
            is_learned: true,
        }
    }

    /// A group whose deadline is `seconds` from now.
    fn due_in(seconds: u32) -> Waiting {
        Waiting { deadline: NOW + SECOND * seconds, ..waiting() }
    }

    /// A group whose deadline was `seconds` ago.
    fn due_before(seconds: u32) -> Waiting {
        Waiting { deadline: NOW - SECOND * seconds, ..waiting() }
    }

    /// Guards against a job that is late anyway and takes the capacity of one that is not, and against a job that misses its
    /// deadline by less than the error of its expected time and is given up.
    #[test]
    fn groups_are_classified_by_what_they_can_still_reach() {
        let unknown = |group: Waiting| Waiting { is_learned: false, ..group };
        let lasting = |group: Waiting| Waiting { is_long_running: true, ..group };
        let table = [
            (due_in(10), Class::InTime),
            (due_in(5), Class::InTime),
            (due_in(4), Class::Uncertain),
            (due_in(3), Class::Uncertain),
            (due_in(2), Class::Late),
            (due_before(39), Class::Late),
            (due_before(41), Class::Expired),
            (unknown(due_in(5)), Class::InTime),
            (unknown(due_in(1)), Class::Uncertain),
            (unknown(due_before(1)), Class::Late),
            (lasting(due_in(1)), Class::InTime),
            (lasting(due_before(100)), Class::Overdue),
        ];
        for (group, class) in table {
            assert_eq!(rank(&group, NOW).class, class, "{group:?}");
        }
    }

    /// Guards against an order that differs from the one of the design page.
    #[test]
    fn groups_are_sorted_by_priority_class_and_time() {
        let sorted = [
            Waiting { priority: 0, ..due_before(100) },
            Waiting { is_long_running: true, ..due_before(200) },
            Waiting { is_long_running: true, ..due_before(100) },
            // Less slack, although its deadline is later.
            Waiting { remaining: 20 * SECOND, ..due_in(26) },
            due_in(11),
            Waiting { is_long_running: true, ..due_in(8) },
            due_in(3),
            due_in(4),
            // The end of its value is earlier, although its deadline is later.
            Waiting { allowance: 2 * SECOND, ..due_before(1) },
            due_before(2),
            due_before(100),
            Waiting { priority: 2, ..due_in(10) },
        ];
        for pair in sorted.windows(2) {
            assert!(rank(&pair[0], NOW) < rank(&pair[1], NOW), "{:?} before {:?}", pair[0], pair[1]);
        }
    }

    /// Guards against a late group that waits forever, and against late groups that take all of the capacity once they have
    /// waited for long.
    #[test]
    fn starving_groups_come_first_in_their_turns_only() {
        let starving = Waiting { deadline: IN_TURN - STARVING_AFTER, ..waiting() };
        let oldest = Waiting { deadline: IN_TURN - 2 * STARVING_AFTER, ..waiting() };
        let recent = Waiting { deadline: IN_TURN - STARVING_AFTER + SECOND, ..waiting() };
        let urgent = due_in(20);
        let lasting = Waiting { is_long_running: true, ..due_before(10) };
        let sorted = [lasting, oldest, starving, urgent, recent];
        for pair in sorted.windows(2) {
            assert!(rank(&pair[0], IN_TURN) < rank(&pair[1], IN_TURN), "{:?} before {:?}", pair[0], pair[1]);
        }
        assert!(rank(&urgent, NOW) < rank(&starving, NOW));
        let turns = (0..TURN_PERIOD.as_secs()).filter(|second| is_turn(Instant(second * 1_000_000)));
        assert_eq!(turns.count(), 1);
    }

    /// Guards against an order that prefers small or large jobs: only the time that is left counts.
    #[test]
    fn jobs_with_equal_slack_are_alike_whatever_their_length() {
        let rank_of = |remaining: Duration| {
            let deadline = NOW + remaining * 2 + SECOND;
            let group = Waiting { deadline, remaining, allowance: remaining * 2 + SECOND, ..waiting() };
            rank(&group, NOW).class
        };
        for seconds in [1, 10, 100, 1_000] {
            assert_eq!(rank_of(SECOND * seconds), Class::InTime);
        }
    }
}
