//! Tests of workers that restart under their identity as workers of another kind, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::spec::{Id, Name, Step};

const SECOND: Duration = Duration::from_secs(1);

/// Number of seeds that each test plays.
const SEEDS: u64 = 5;

const TASK: Name = Name { job: Id(1), occurrence: 0, step: 0, index: 0 };

/// Time within which the leader calls a worker without runs, and so notices its restart.
const NOTICED: Duration = Duration::from_secs(3);

/// Deployment of one worker of kind a, which has restarted as one of kind b and has not written its report since.
fn restarted(seed: u64) -> Emulator {
    let mut emulator = Emulator::new(seed, 2, 1);
    emulator.run_for(SECOND * 3);
    emulator.restart_worker_as(0, "b");
    emulator.run_for(NOTICED);
    emulator
}

/// Submits a job that needs a worker of a kind.
fn submit(emulator: &mut Emulator, kind: &str) {
    let leader = emulator.leader().expect("a leader");
    let task = Step { required_label: Some(kind.to_owned()), estimate: SECOND * 60, ..step(1) };
    emulator.submit(leader, TASK.job.0, job([task]));
}

/// Guards against a task that starts on a worker without the label that it requires, by the report of the process before.
#[test]
fn a_task_starts_on_a_restarted_worker_by_its_old_kind() {
    for seed in 0..SEEDS {
        let mut emulator = restarted(seed);
        submit(&mut emulator, "a");
        emulator.run_for(SECOND * 2);
        emulator.report_worker(0);
        emulator.run_for(SECOND * 2);
        assert!(!emulator.observer.has_started(TASK.job), "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against the same under a leader that has known no earlier process of the worker.
#[test]
fn a_task_starts_on_a_restarted_worker_by_its_old_kind_under_the_next_leader() {
    for seed in 0..SEEDS {
        let mut emulator = restarted(seed);
        emulator.kill(emulator.leader().expect("a leader"));
        emulator.run_for(SECOND * 4);
        submit(&mut emulator, "a");
        emulator.run_for(SECOND * 2);
        assert!(!emulator.observer.has_started(TASK.job), "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against a worker that gets no runs although its new report has arrived.
#[test]
fn a_restarted_worker_gets_no_runs_of_its_new_kind() {
    for seed in 0..SEEDS {
        let mut emulator = restarted(seed);
        emulator.report_worker(0);
        submit(&mut emulator, "b");
        emulator.run_for(SECOND * 2);
        assert!(emulator.observer.is_running(TASK), "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against a run that is stopped since the report of its worker is of another process.
#[test]
fn a_run_is_stopped_when_the_report_of_its_worker_is_outdated() {
    for seed in 0..SEEDS {
        let mut emulator = restarted(seed);
        emulator.report_worker(0);
        submit(&mut emulator, "b");
        emulator.run_for(SECOND * 2);
        let mut outdated = emulator.workers[0].report();
        outdated.started_unix_ms = outdated.started_unix_ms.map(|started_ms| started_ms - 1);
        emulator.store.set_report(&emulator.workers[0].id, outdated);
        emulator.run_for(SECOND * 5);
        assert!(emulator.observer.is_running(TASK), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(emulator.observer.start_count, 1, "seed {seed}: {:#?}", emulator.log);
    }
}
