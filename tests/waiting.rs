//! Tests of tasks that are ready and do not start although a worker has room for them.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::spec::{Id, Name, Step};

const SECOND: Duration = Duration::from_secs(1);

/// Number of seeds that each test plays.
const SEEDS: u64 = 5;

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
