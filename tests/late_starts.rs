//! Tests of orders to start that get no answer and are carried out seconds later, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::{Id, Name, Resources, Schedule, Spec, Step};

const SECOND: Duration = Duration::from_secs(1);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of seeds that each test plays.
const SEEDS: u64 = 5;

/// Times after which a late order is carried out, over the range that workers show.
const DELAYS: [Duration; 3] = [Duration::from_secs(3), Duration::from_secs(6), Duration::from_millis(11_900)];

/// Time from the start of a worker's process until the late order arrives there. No call of a leader comes before it.
const AFTER_RESTART: Duration = Duration::from_millis(2);

const TASK: Name = Name { job: Id(1), occurrence: 0, step: 0, index: 0 };

/// Emulated deployment after some seconds, whose workers are no longer young.
fn ready(seed: u64, vms: usize, workers: usize) -> Emulator {
    let mut emulator = Emulator::new(seed, vms, workers);
    emulator.run_for(SECOND * 3);
    assert!(emulator.leader().is_some(), "no leader after three seconds: {:#?}", emulator.log);
    emulator
}

/// Submits a job of one task whose first order to start is carried out late. Returns the worker, and when it gets the order.
fn start_late(emulator: &mut Emulator, task: Step, delay: Duration) -> (usize, Instant) {
    submit_late(emulator, job([task]), delay)
}

/// Submits a job whose first order to start is carried out late. Returns the worker, and when it gets the order.
fn submit_late(emulator: &mut Emulator, spec: Spec, delay: Duration) -> (usize, Instant) {
    emulator.workers.iter_mut().for_each(|worker| (worker.late_starts, worker.late_by) = (1, delay));
    let leader = emulator.leader().expect("a leader");
    emulator.submit(leader, 1, spec);
    while emulator.workers.iter().all(|worker| worker.late_starts > 0) {
        emulator.run_for(MILLISECOND);
    }
    let worker = emulator.workers.iter().position(|worker| worker.late_starts == 0).expect("a late start");
    emulator.workers.iter_mut().for_each(|worker| worker.late_starts = 0);
    (worker, emulator.now + delay)
}

/// Runs until a moment.
fn run_until(emulator: &mut Emulator, at: Instant) {
    emulator.run_for(at.since(emulator.now));
}

fn is_completed(emulator: &mut Emulator) -> bool {
    let leader = emulator.leader().expect("a leader");
    emulator.read_job(leader, TASK.job.0) == Some(Answer::Phase(Phase::Completed))
}

/// Prints the log of a failed play if `NUTMEGFOLD_TRACE` is set.
fn assert_no_violation(emulator: &Emulator, case: &str) {
    if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !emulator.observer.violations.is_empty() {
        println!("{}", emulator.log.join("\n"));
    }
    assert!(emulator.observer.violations.is_empty(), "{case}: {:#?}", emulator.observer.violations);
}

/// Restarts a worker just before a late order arrives, and runs until its effects are known.
fn restart_before(emulator: &mut Emulator, worker: usize, arrives_at: Instant) {
    run_until(emulator, arrives_at - AFTER_RESTART);
    emulator.restart_worker(worker);
    emulator.run_for(SECOND * 15);
}

/// Guards against the acknowledgement of an end while a late order could still start the task in the next process of its
/// worker, which has forgotten that the run was stopped.
#[test]
fn a_done_task_runs_again_when_its_late_start_reaches_a_restarted_worker() {
    for (seed, delay) in (0..SEEDS).flat_map(|seed| DELAYS.map(|delay| (seed, delay))) {
        for workers in [1, 3] {
            let mut emulator = ready(seed, 2, workers);
            let task = Step { estimate: SECOND * 3 / 5, ..step(1) };
            let (worker, arrives_at) = start_late(&mut emulator, task, delay);
            restart_before(&mut emulator, worker, arrives_at);
            assert_no_violation(&emulator, &format!("seed {seed}, {workers} workers, late by {delay:?}"));
            assert!(is_completed(&mut emulator), "seed {seed}: {:#?}", emulator.log);
        }
    }
}

/// Fills the workers so that the task of [`long_task`] starts on the fullest of them, which is soon emptier than another one.
fn fill_for_a_second(emulator: &mut Emulator) {
    let leader = emulator.leader().expect("a leader");
    let cores = |cpu_millicores| Resources { cpu_millicores, ..step(1).resources };
    emulator.submit(leader, 2, job([Step { resources: cores(5_000), ..step(1) }]));
    emulator.run_for(SECOND / 10);
    emulator.submit(leader, 3, job([Step { resources: cores(4_000), estimate: SECOND * 60, ..step(1) }]));
    emulator.run_for(SECOND / 10);
}

/// A task that fits beside one task of [`fill_for_a_second`].
fn long_task() -> Step {
    Step {
        resources: Resources { cpu_millicores: 3_000, ..step(1).resources },
        estimate: SECOND * 20,
        ..step(1)
    }
}

/// Guards against a second run on another worker while a late order could still start the task in the next process of the
/// worker that it was sent to.
#[test]
fn a_task_runs_twice_at_once_when_its_late_start_reaches_a_restarted_worker() {
    for (seed, delay) in (0..SEEDS).flat_map(|seed| DELAYS.map(|delay| (seed, delay))) {
        let mut emulator = ready(seed, 2, 3);
        fill_for_a_second(&mut emulator);
        let (worker, arrives_at) = start_late(&mut emulator, long_task(), delay);
        restart_before(&mut emulator, worker, arrives_at);
        assert_no_violation(&emulator, &format!("seed {seed}, late by {delay:?}"));
        assert!(emulator.observer.is_running(TASK), "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against a second run on another worker after the worker with the late order has confirmed that the run is stopped.
#[test]
fn a_task_runs_twice_at_once_when_its_start_is_late_and_its_stop_was_confirmed() {
    for (seed, delay) in (0..SEEDS).flat_map(|seed| DELAYS.map(|delay| (seed, delay))) {
        let mut emulator = ready(seed, 2, 3);
        let (worker, arrives_at) = start_late(&mut emulator, long_task(), delay);
        emulator.drain_worker(worker);
        restart_before(&mut emulator, worker, arrives_at);
        assert_no_violation(&emulator, &format!("seed {seed}, late by {delay:?}"));
        assert!(emulator.observer.is_running(TASK), "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against the acknowledgement of an end by a leader that does not know of an order of the leader before it.
#[test]
fn a_done_task_runs_again_when_the_late_start_of_a_replaced_leader_reaches_a_restarted_worker() {
    for (seed, killed_after_ms) in (0..SEEDS).flat_map(|seed| [5, 600, 900, 1_500].map(|ms| (seed, ms))) {
        let mut emulator = ready(seed, 2, 1);
        let task = Step { estimate: SECOND * 3 / 5, ..step(1) };
        let leader = emulator.leader().expect("a leader");
        let (worker, arrives_at) = start_late(&mut emulator, task, SECOND * 10);
        emulator.run_for(MILLISECOND * killed_after_ms);
        emulator.kill(leader);
        restart_before(&mut emulator, worker, arrives_at);
        assert_no_violation(&emulator, &format!("seed {seed}, killed after {killed_after_ms} ms"));
        assert!(is_completed(&mut emulator), "seed {seed}: {:#?}", emulator.log);
    }
}

/// A job of short tasks with two occurrences, of which the first is due now and the second long after the test.
fn recurring(emulator: &Emulator, steps: impl IntoIterator<Item = Step>) -> Spec {
    let schedule = Schedule { start_unix_ms: emulator.now.0 / 1_000, interval_ms: 60_000, times: 2 };
    Spec { schedule: Some(schedule), ..job(steps) }
}

/// Guards against a leader that drops the note of a late order with the occurrence whose tasks are all done, and acknowledges
/// their ends.
#[test]
fn a_done_task_of_a_closed_occurrence_runs_again_when_its_late_start_reaches_a_restarted_worker() {
    for (seed, killed_after) in (0..SEEDS).flat_map(|seed| [None, Some(SECOND * 3)].map(|at| (seed, at))) {
        let mut emulator = ready(seed, 2, 1);
        // An end counts as acknowledged only while the lease of its worker lasts, as it does with another run.
        emulator.submit(0, 2, job([Step { estimate: SECOND * 60, ..step(1) }]));
        emulator.run_for(SECOND / 2);
        let task = Step { estimate: SECOND * 3 / 10, ..step(1) };
        let spec = recurring(&emulator, [task]);
        let (worker, arrives_at) = submit_late(&mut emulator, spec, SECOND * 10);
        if let Some(killed_after) = killed_after {
            emulator.run_for(killed_after);
            emulator.kill(emulator.leader().expect("a leader"));
        }
        restart_before(&mut emulator, worker, arrives_at);
        assert_no_violation(&emulator, &format!("seed {seed}, leader killed after {killed_after:?}"));
    }
}

/// Kills the leader just after it has sent an order that is carried out late, and each further leader after the given times. The
/// worker that was sent the order restarts just before it arrives there. Meanwhile another worker is fuller.
fn change_leaders(seed: u64, tasks: Step, delay: Duration, killed_after: &[Duration]) -> Emulator {
    let mut emulator = ready(seed, 3, 3);
    fill_for_a_second(&mut emulator);
    let (worker, arrives_at) = start_late(&mut emulator, tasks, delay);
    for killed_after in [&[MILLISECOND * 5], killed_after].concat() {
        emulator.run_for(killed_after);
        emulator.kill(emulator.leader().expect("a leader"));
    }
    restart_before(&mut emulator, worker, arrives_at);
    emulator
}

/// Plays [`change_leaders`] with one and with two changes of the leader.
fn assert_no_violation_after_changes(tasks: &Step) {
    for (seed, delay) in (0..SEEDS).flat_map(|seed| DELAYS.map(|delay| (seed, delay))) {
        for killed_after in [&[][..], &[SECOND * 3][..]] {
            let mut emulator = change_leaders(seed, tasks.clone(), delay, killed_after);
            let case = format!("seed {seed}, late by {delay:?}, next leader killed after {killed_after:?}");
            assert_no_violation(&emulator, &case);
            let has_task = emulator.observer.is_running(TASK) || is_completed(&mut emulator);
            assert!(has_task, "{case}: {:#?}", emulator.log);
        }
    }
}

/// Guards against a leader that starts a task on another worker than the leader before it, whose order was under way when it was
/// killed: the order starts the done task again.
#[test]
fn a_done_task_runs_again_when_an_order_of_a_killed_leader_reaches_a_restarted_worker() {
    assert_no_violation_after_changes(&Step { estimate: SECOND * 3 / 5, ..long_task() });
}

/// Guards against the same with a task that is still at work when the order arrives.
#[test]
fn a_task_runs_twice_at_once_when_an_order_of_a_killed_leader_reaches_a_restarted_worker() {
    assert_no_violation_after_changes(&long_task());
}

/// Guards against the same with a task that runs until its job is cancelled.
#[test]
fn a_long_running_task_runs_twice_at_once_when_an_order_of_a_killed_leader_reaches_a_restarted_worker() {
    assert_no_violation_after_changes(&Step { is_long_running: true, ..long_task() });
}

/// Guards against an end that is never acknowledged, or a job that is shown as running until then.
#[test]
fn the_end_of_a_task_with_a_late_start_is_not_acknowledged_when_the_order_is_too_old() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 2, 1);
        // An end counts as acknowledged only while the lease of its worker lasts, as it does with another run.
        emulator.submit(0, 2, job([Step { estimate: SECOND * 30, ..step(1) }]));
        emulator.run_for(SECOND);
        let task = Step { estimate: SECOND * 3 / 5, ..step(1) };
        start_late(&mut emulator, task, SECOND * 8);
        emulator.run_for(SECOND * 3);
        assert!(is_completed(&mut emulator), "seed {seed}: {:#?}", emulator.log);
        assert!(!emulator.observer.is_acknowledged(TASK), "seed {seed}: {:#?}", emulator.log);
        emulator.run_for(SECOND * 10);
        assert!(emulator.observer.is_acknowledged(TASK), "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator, &format!("seed {seed}"));
    }
}

/// Guards against a task that waits for the end of a late order although the worker that was sent it answers and has room.
#[test]
fn a_task_whose_start_got_no_answer_waits_although_its_worker_answers() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 2, 3);
        let task = Step { estimate: SECOND * 20, ..step(1) };
        start_late(&mut emulator, task, SECOND * 10);
        emulator.run_for(SECOND * 3 / 2);
        assert!(emulator.observer.is_running(TASK), "seed {seed}: {:#?}", emulator.log);
    }
}
