//! Tests of the room that is kept free of long-running tasks, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};
use nutmegfold::hash::{Map, Set};

const SECOND: Duration = Duration::from_secs(1);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Workers of the deployment; each has 8 cores.
const WORKERS: usize = 40;

/// Long-running jobs, the tasks of each, and the tasks for which all workers have room; more are submitted.
const LONG_RUNNING_JOBS: u64 = 20;
const LONG_RUNNING_TASKS: u32 = 10;
const LONG_RUNNING_ROOM: usize = 4 * WORKERS;

/// Least part of these tasks that has to run, in percent.
const LONG_RUNNING_PERCENT_MIN: usize = 85;

/// Jobs that end, and the time between two of them. Their tasks need most of a worker for one second.
const ENDING_JOBS: u64 = 20;
const ENDING_INTERVAL: Duration = SECOND;
const FIRST_ENDING_JOB: u64 = 1_000;
const LARGE: Resources = Resources { cpu_millicores: 7_000, memory_mb: 1_000, gpu: 0 };

/// Time to the deadline of such a job: its objective, and its stretch times its run time.
const ALLOWANCE: Duration = SECOND.saturating_mul(3);

/// Longest time that a long-running task may wait while a worker has room for it, by the rule `LOST` of the users.
const LONGEST_WAIT: Duration = SECOND.saturating_mul(3);

/// Number of seeds that each test plays.
const SEEDS: u64 = 3;

fn long_running(count: u32) -> Step {
    Step { is_long_running: true, ..step(count) }
}

fn long_running_tasks() -> impl Iterator<Item = Name> {
    let tasks = |id| (0..LONG_RUNNING_TASKS).map(move |index| name(id, index));
    (0..LONG_RUNNING_JOBS).flat_map(tasks)
}

fn name(id: u64, index: u32) -> Name {
    Name { job: Id(id), occurrence: 0, step: 0, index }
}

fn count_running(emulator: &Emulator) -> usize {
    long_running_tasks().filter(|task| emulator.observer.is_running(*task)).count()
}

/// Emulated deployment on which more long-running tasks were submitted than have room.
fn crowded(seed: u64) -> Emulator {
    let mut emulator = Emulator::new(seed, 3, WORKERS);
    emulator.run_for(2 * SECOND);
    for id in 0..LONG_RUNNING_JOBS {
        emulator.submit(0, id, job([long_running(LONG_RUNNING_TASKS)]));
        emulator.run_for(50 * MILLISECOND);
    }
    emulator.run_for(2 * SECOND);
    emulator
}

/// Number of workers on which no long-running task is at work.
fn count_vacant(emulator: &Emulator) -> usize {
    let occupied: Set<&str> =
        long_running_tasks().filter_map(|task| emulator.observer.worker_of(task)).collect();
    WORKERS - occupied.len()
}

fn assert_no_violation(emulator: &Emulator, seed: u64) {
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

/// Jobs that end, with the time of their submission and their end.
fn play_ending_jobs(emulator: &mut Emulator) -> Vec<(Instant, Option<Instant>)> {
    const LOOK_INTERVAL: Duration = Duration::from_millis(50);
    let mut jobs: Vec<(Instant, Option<Instant>)> = Vec::new();
    let begin = emulator.now;
    let span = ENDING_INTERVAL * ENDING_JOBS as u32 + 2 * ALLOWANCE;
    while emulator.now.since(begin) < span {
        let count = jobs.len() as u64;
        if count < ENDING_JOBS && emulator.now >= begin + ENDING_INTERVAL * count as u32 {
            emulator.submit(0, FIRST_ENDING_JOB + count, job([Step { resources: LARGE, ..step(2) }]));
            jobs.push((emulator.now, None));
        }
        emulator.run_for(LOOK_INTERVAL);
        for (id, (_, ended_at)) in (FIRST_ENDING_JOB..).zip(&mut jobs) {
            let has_ended = (0..2).all(|index| emulator.observer.completed.contains(&name(id, index)));
            if ended_at.is_none() && has_ended {
                *ended_at = Some(emulator.now);
            }
        }
    }
    jobs
}

/// Guards against long-running jobs that take all room, so that jobs of the same priority that end don't start.
#[test]
fn long_running_jobs_leave_no_room_for_jobs_that_end() {
    for seed in 0..SEEDS {
        let mut emulator = crowded(seed);
        let jobs = play_ending_jobs(&mut emulator);
        let is_in_time = |(at, ended_at): &&(Instant, Option<Instant>)| {
            ended_at.is_some_and(|ended_at| ended_at.since(*at) <= ALLOWANCE)
        };
        let in_time = jobs.iter().filter(is_in_time).count();
        assert_eq!(in_time, jobs.len(), "seed {seed}: {jobs:?}");
        let running = count_running(&emulator);
        assert!(running * 100 >= LONG_RUNNING_ROOM * LONG_RUNNING_PERCENT_MIN, "seed {seed}: {running} run");
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a long-running task that has run and waits for its next run while a worker has room that is kept for others.
#[test]
fn a_long_running_task_that_was_lost_waits_for_kept_room() {
    for seed in 0..SEEDS {
        let mut emulator = crowded(seed);
        let before: Vec<Name> =
            long_running_tasks().filter(|task| emulator.observer.is_running(*task)).collect();
        emulator.end_worker(0);
        emulator.run_for(2 * LONGEST_WAIT);
        let waiting: Vec<&Name> =
            before.iter().filter(|task| !emulator.observer.is_running(**task)).collect();
        assert!(waiting.is_empty(), "seed {seed}: {waiting:?}");
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a reserve that shrinks with each long-running run that fails, since a task that waits takes its room.
#[test]
fn long_running_runs_that_fail_use_up_the_reserve() {
    for seed in 0..SEEDS {
        let mut emulator = crowded(seed);
        let vacant_before = count_vacant(&emulator);
        assert!(vacant_before > 0, "seed {seed}: no worker is kept free");
        // One run on each worker fails, since a worker on which runs of two jobs fail is suspected.
        let tasks: Map<String, Name> = long_running_tasks()
            .filter_map(|task| Some((emulator.observer.worker_of(task)?.to_owned(), task)))
            .collect();
        for task in tasks.into_values() {
            let now = emulator.now;
            emulator.workers.iter_mut().for_each(|worker| worker.fail_runs(task, now));
            emulator.run_for(50 * MILLISECOND);
        }
        emulator.run_for(2 * SECOND);
        assert_eq!(count_vacant(&emulator), vacant_before, "seed {seed}");
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a gang whose members wait because the room of each is kept from the others.
#[test]
fn a_long_running_gang_waits_for_its_own_room() {
    const MEMBERS: u32 = 4;
    for seed in 0..SEEDS {
        let mut emulator = Emulator::new(seed, 1, 1);
        emulator.run_for(2 * SECOND);
        emulator.submit(0, 0, job([Step { is_gang: true, ..long_running(MEMBERS) }]));
        emulator.run_for(SECOND);
        let now = emulator.now;
        emulator.workers[0].fail_runs(name(0, 0), now);
        emulator.run_for(SECOND / 2);
        let running = (0..MEMBERS).filter(|index| emulator.observer.is_running(name(0, *index)));
        assert_eq!(running.count(), MEMBERS as usize, "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a long-running task that waits for want of room while most of the workers' capacity is free.
#[test]
fn long_running_tasks_wait_on_idle_workers() {
    for seed in 0..SEEDS {
        let mut emulator = Emulator::new(seed, 3, WORKERS);
        emulator.run_for(2 * SECOND);
        let spread = Step { max_per_worker: Some(1), ..long_running(WORKERS as u32) };
        emulator.submit(0, 1, job([spread]));
        emulator.run_for(LONGEST_WAIT);
        let running = (0..WORKERS as u32).filter(|index| emulator.observer.is_running(name(1, *index)));
        assert_eq!(running.count(), WORKERS, "seed {seed}");
        assert_no_violation(&emulator, seed);
    }
}
