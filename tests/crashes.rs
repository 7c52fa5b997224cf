//! Tests of tasks that crash the workers that start them, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::{Id, Name, Step};

const SECOND: Duration = Duration::from_secs(1);

/// Number of seeds that each test plays.
const SEEDS: u64 = 5;

/// Number of workers.
const WORKERS: usize = 12;

/// Number of jobs of harmless tasks, whose runs share the workers with those of the deadly task.
const OTHER_JOBS: u64 = 40;

/// Identity of the job with the deadly task, and that of the first other one.
const DEADLY_JOB: u64 = 1;
const FIRST_OTHER_JOB: u64 = 100;

fn name(job: u64, index: u32) -> Name {
    Name { job: Id(job), occurrence: 0, step: 0, index }
}

/// Emulated deployment with a leader, and a job of which one task crashes each worker that starts it.
fn with_deadly_task(seed: u64, step: Step) -> Emulator {
    let mut emulator = Emulator::new(seed, 3, WORKERS);
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator.observer.deadly.insert(name(DEADLY_JOB, 1));
    emulator.submit(0, DEADLY_JOB, job([step]));
    emulator
}

/// Submits the harmless jobs, one every half second.
fn submit_others(emulator: &mut Emulator) {
    for id in FIRST_OTHER_JOB..FIRST_OTHER_JOB + OTHER_JOBS {
        emulator.submit(0, id, job([step(3)]));
        emulator.run_for(SECOND / 2);
    }
}

fn phase(emulator: &mut Emulator, id: u64) -> Option<Answer> {
    let leader = emulator.leader().expect("a leader");
    emulator.read_job(leader, id)
}

fn assert_no_violation(emulator: &Emulator, seed: u64) {
    if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !emulator.observer.violations.is_empty() {
        println!("{}", emulator.log.join("\n"));
    }
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

/// Guards against a crash that is not counted because the worker had listed the run just before.
#[test]
fn a_task_that_crashes_its_workers_after_they_list_it_is_started_again_and_again() {
    for seed in 0..SEEDS {
        let mut emulator = with_deadly_task(seed, step(4));
        emulator.workers.iter_mut().for_each(|worker| worker.answers_at_once = true);
        emulator.run_for(40 * SECOND);
        assert_no_violation(&emulator, seed);
        assert_eq!(phase(&mut emulator, DEADLY_JOB), Some(Answer::Phase(Phase::Failed)), "seed {seed}");
    }
}

/// Guards against a crash that is not counted because the worker does not come back.
#[test]
fn a_task_whose_crashed_workers_stay_away_is_started_again_and_again() {
    for seed in 0..SEEDS {
        let mut emulator = with_deadly_task(seed, step(4));
        for _ in 0..600 {
            emulator.run_for(SECOND / 10);
            for worker in &mut emulator.workers {
                if worker.crash_count > 0 && !worker.is_refusing {
                    worker.is_refusing = true;
                    emulator.store.unlist_worker(worker);
                }
            }
        }
        assert_no_violation(&emulator, seed);
        assert_eq!(phase(&mut emulator, DEADLY_JOB), Some(Answer::Phase(Phase::Failed)), "seed {seed}");
    }
}

/// Guards against a crash that is not counted because the leader is busy and notices it late.
#[test]
fn a_task_that_crashes_its_workers_is_started_again_and_again_by_a_busy_leader() {
    for seed in 0..SEEDS {
        let mut emulator = with_deadly_task(seed, step(4));
        emulator.lag = SECOND * 3 / 5;
        emulator.run_for(60 * SECOND);
        assert_no_violation(&emulator, seed);
        emulator.lag = Duration::ZERO;
        emulator.run_for(SECOND);
        assert_eq!(phase(&mut emulator, DEADLY_JOB), Some(Answer::Phase(Phase::Failed)), "seed {seed}");
    }
}

/// Guards against a task that is started without limit although each worker that starts it crashes.
#[test]
fn a_task_that_crashes_its_workers_is_started_again_and_again() {
    for seed in 0..SEEDS {
        let mut emulator = with_deadly_task(seed, step(4));
        submit_others(&mut emulator);
        emulator.run_for(20 * SECOND);
        assert_no_violation(&emulator, seed);
        assert_eq!(phase(&mut emulator, DEADLY_JOB), Some(Answer::Phase(Phase::Failed)), "seed {seed}");
        for id in FIRST_OTHER_JOB..FIRST_OTHER_JOB + OTHER_JOBS {
            assert_eq!(
                phase(&mut emulator, id),
                Some(Answer::Phase(Phase::Completed)),
                "seed {seed}, job {id}"
            );
        }
    }
}

/// Guards against a count of crashed workers that starts anew with the next leader.
#[test]
fn a_task_that_crashes_its_workers_is_started_again_by_the_next_leader() {
    for seed in 0..SEEDS {
        let mut emulator = with_deadly_task(seed, step(4));
        for _ in 0..4 {
            emulator.run_for(6 * SECOND);
            let leader = emulator.leader().expect("a leader");
            emulator.kill(leader);
            emulator.run_for(4 * SECOND);
            emulator.start(leader);
        }
        emulator.run_for(20 * SECOND);
        assert_no_violation(&emulator, seed);
        assert_eq!(phase(&mut emulator, DEADLY_JOB), Some(Answer::Phase(Phase::Failed)), "seed {seed}");
    }
}

/// Guards against a long-running task without a limit of crashed workers.
#[test]
fn a_long_running_task_that_crashes_its_workers_is_started_again_and_again() {
    for seed in 0..SEEDS {
        let mut emulator = with_deadly_task(seed, Step { is_long_running: true, ..step(4) });
        emulator.run_for(40 * SECOND);
        assert_no_violation(&emulator, seed);
        assert_eq!(phase(&mut emulator, DEADLY_JOB), Some(Answer::Phase(Phase::Failed)), "seed {seed}");
    }
}

/// Guards against a job that is given up because its workers crash for another reason.
#[test]
fn a_harmless_job_fails_when_its_workers_crash() {
    for seed in 0..SEEDS {
        let mut emulator = Emulator::new(seed, 3, WORKERS);
        emulator.run_for(SECOND);
        for round in 0..30 {
            emulator.submit(0, FIRST_OTHER_JOB + round, job([step(6)]));
            emulator.run_for(SECOND / 2);
            let first = emulator.next_random() as usize;
            for worker in 0..3 {
                let worker = (first + worker * 4) % WORKERS;
                emulator.crash_worker(worker);
            }
            emulator.run_for(SECOND / 2);
        }
        emulator.run_for(60 * SECOND);
        assert_no_violation(&emulator, seed);
        for round in 0..30 {
            let phase = phase(&mut emulator, FIRST_OTHER_JOB + round);
            assert_eq!(phase, Some(Answer::Phase(Phase::Completed)), "seed {seed}, round {round}");
        }
    }
}
