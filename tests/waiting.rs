//! Tests of tasks that are ready and do not start although a worker has room for them.

mod emulator;

use std::time::Duration;

use emulator::worker::Worker;
use emulator::{Emulator, job, step};
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::{Id, Name, Step};

const SECOND: Duration = Duration::from_secs(1);

/// Number of seeds that each test plays.
const SEEDS: u64 = 5;

/// Longest time that a ready task may wait while a worker has room for it, as the users' rule for long-running tasks says.
const WAIT_MAX: Duration = Duration::from_secs(3);

fn name(job: u64, step: u32, index: u32) -> Name {
    Name { job: Id(job), occurrence: 0, step, index }
}

/// Emulated deployment after one second, in which it has elected a leader and discovered its workers.
fn ready(seed: u64, vms: usize, workers: usize) -> Emulator {
    let mut emulator = Emulator::new(seed, vms, workers);
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator
}

fn is_completed(emulator: &mut Emulator, id: u64) -> bool {
    let leader = emulator.leader().expect("a leader");
    emulator.read_job(leader, id) == Some(Answer::Phase(Phase::Completed))
}

/// Time until a run of the task is active, in steps of 10 ms; `limit` if none is by then.
fn time_to_start(emulator: &mut Emulator, task: Name, limit: Duration) -> Duration {
    let begin = emulator.now;
    while !emulator.observer.is_running(task) && emulator.now.since(begin) < limit {
        emulator.run_for(SECOND / 100);
    }
    emulator.now.since(begin)
}

fn assert_no_violation(emulator: &Emulator, seed: u64) {
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

/// Guards against a gang that never runs again after one member has failed, or that runs again without the others.
#[test]
fn a_gang_of_which_one_member_fails_never_runs_again() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 2, 4);
        emulator.observer.injected_failures.insert(name(1, 0, 0), 1);
        emulator.submit(0, 1, job([Step { is_gang: true, ..step(2) }]));
        emulator.run_for(20 * SECOND);
        assert_no_violation(&emulator, seed);
        assert!(is_completed(&mut emulator, 1), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(emulator.observer.start_count, 4, "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against a task that may crash its worker and is never started again, because other tasks start on each worker
/// all the time.
#[test]
fn a_suspect_never_starts_beside_a_stream_of_other_tasks() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 2, 1);
        emulator.run_for(5 * SECOND);
        emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
        emulator.run_for(SECOND / 10);
        emulator.crash_worker(0);
        for id in 0..200 {
            emulator.submit(0, 100 + id, job([Step { estimate: SECOND * 3 / 10, ..step(1) }]));
            emulator.run_for(SECOND / 10);
        }
        assert_no_violation(&emulator, seed);
        assert!(emulator.observer.is_running(name(1, 0, 0)), "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against a task that may crash its worker and waits after a change of the leader until its workers have answered
/// that leader for seconds, although their processes have run for long.
#[test]
fn a_suspect_waits_after_a_change_of_the_leader() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 3, 3);
        emulator.run_for(5 * SECOND);
        // The first run ends with its worker, and the second one fails after the change of the leader.
        emulator.observer.injected_failures.insert(name(1, 0, 0), 2);
        emulator.submit(0, 1, job([Step { estimate: 8 * SECOND, ..step(1) }]));
        emulator.run_for(SECOND / 10);
        let worker = (0..3).find(|worker| emulator.workers[*worker].pace_percent(name(1, 0, 0)).is_some());
        emulator.crash_worker(worker.expect("the task runs"));
        emulator.run_for(SECOND / 10);
        let waited = time_to_start(&mut emulator, name(1, 0, 0), 20 * SECOND);
        assert!(waited < 20 * SECOND, "seed {seed}: no second run: {:#?}", emulator.log);
        emulator.run_for(11 * SECOND / 2);
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        while emulator.observer.is_running(name(1, 0, 0)) {
            emulator.run_for(SECOND / 100);
        }
        assert!(emulator.leader().is_some(), "seed {seed}: the leader changes late: {:#?}", emulator.log);
        let waited = time_to_start(&mut emulator, name(1, 0, 0), 20 * SECOND);
        assert_no_violation(&emulator, seed);
        assert!(waited < WAIT_MAX, "seed {seed}: {waited:?} after the second run: {:#?}", emulator.log);
    }
}

/// Guards against a worker that takes no new runs for longer than a task that may crash it needs to survive its start.
#[test]
fn a_worker_takes_no_runs_long_after_a_suspect_has_survived() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 2, 1);
        emulator.run_for(5 * SECOND);
        emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
        emulator.run_for(SECOND / 10);
        emulator.crash_worker(0);
        emulator.run_for(2 * SECOND);
        let waited = time_to_start(&mut emulator, name(1, 0, 0), 20 * SECOND);
        assert!(waited < 20 * SECOND, "seed {seed}: the suspect does not start: {:#?}", emulator.log);
        emulator.submit(0, 2, job([step(1)]));
        let waited = time_to_start(&mut emulator, name(2, 0, 0), 20 * SECOND);
        assert_no_violation(&emulator, seed);
        assert!(
            waited < SECOND,
            "seed {seed}: {waited:?} after the start of the suspect: {:#?}",
            emulator.log
        );
    }
}

/// Guards against a gate after a change of the leader that waits for a worker on which no earlier leader can have started
/// a task, since the stored roster lacks it.
#[test]
fn tasks_wait_for_a_new_worker_that_does_not_answer() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 3, 4);
        // The steps have work for longer than the change of the leader takes.
        emulator.submit(0, 1, job([step(1), Step { depends_on: vec![0], is_long_running: true, ..step(1) }]));
        emulator.run_for(SECOND / 2);
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        let mut added = Worker::new(4);
        added.is_unresponsive = true;
        emulator.store.list_worker(&added);
        emulator.workers.push(added);
        while emulator.leader().is_none() {
            emulator.run_for(SECOND / 100);
        }
        let waited = time_to_start(&mut emulator, name(1, 1, 0), 20 * SECOND);
        assert_no_violation(&emulator, seed);
        assert!(waited < WAIT_MAX, "seed {seed}: {waited:?} after the load: {:#?}", emulator.log);
    }
}

/// Guards against a leader that takes itself as late because the confirmation of a stop in the poll of a worker sets a timer
/// for a time that has passed: it would start tasks on proofs that have ended, as only a leader that is behind may.
#[test]
fn stops_in_the_polls_of_workers_make_a_leader_late() {
    let mut emulator = ready(31, 2, 3);
    emulator.submit(0, 100, job([Step { is_long_running: true, ..step(6) }]));
    for id in 1..=6 {
        emulator.submit(0, id, job([Step { is_long_running: true, ..step(1) }]));
        emulator.run_for(SECOND / 3);
        emulator.cancel(0, id);
        emulator.run_for(SECOND / 3);
        let leader = emulator.leader().expect("a leader");
        assert_eq!(emulator.perceived_lag(leader), Duration::ZERO, "{:#?}", emulator.log);
    }
}
