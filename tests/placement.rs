//! Tests of when waiting tasks start although workers were excluded or have left, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};
use nutmegfold::hash::Set;

const SECOND: Duration = Duration::from_secs(1);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of seeds that each test plays.
const SEEDS: u64 = 5;

/// Number of workers.
const WORKERS: usize = 8;

/// Number of workers that leave.
const LEAVING: u32 = 2;

/// Time for which a worker is faulty, and the most starts a second on it over that time.
const FAULT_DURATION: Duration = Duration::from_secs(20);
const MAX_STARTS_PER_SECOND: u32 = 3;

/// Time in which a run of a worker that is cut off has lapsed and its task has been started again.
const RECOVERY: Duration = Duration::from_secs(20);

/// CPU of a worker that has no room for a task.
const TOO_FEW_MILLICORES: u32 = 1_000;

/// Longest time that a long-running task may wait while a worker has room for it, by the rule `LOST` of the users.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// All cores of a worker.
const WHOLE_WORKER: Resources = Resources { cpu_millicores: 8_000, memory_mb: 1_000, gpu: 0 };

/// Cores of which a worker has room for two such tasks, but not beside a task that needs most of it.
const LESS_THAN_HALF: Resources = Resources { cpu_millicores: 3_000, memory_mb: 1_000, gpu: 0 };

/// Identity of the job whose tasks occupy workers, and that of the job with the task that waits.
const OCCUPYING_JOB: u64 = 1;
const WAITING_JOB: u64 = 2;

/// Identity of the first of the jobs with short tasks that can wait.
const FIRST_SHORT_JOB: u64 = 100;

/// Identities of two jobs of which runs fail.
const FAILING_JOBS: [u64; 2] = [3, 4];

fn name(job: u64, index: u32) -> Name {
    Name { job: Id(job), occurrence: 0, step: 0, index }
}

/// A step of tasks that each need all cores of a worker and run until their job is cancelled.
fn occupying(count: u32) -> Step {
    Step { resources: WHOLE_WORKER, is_long_running: true, ..step(count) }
}

/// A step of one task that needs less than half of a worker and runs until its job is cancelled.
fn long_running() -> Step {
    Step { is_long_running: true, ..step(1) }
}

/// Emulated deployment after one second, in which it has elected a leader and discovered its workers.
fn ready(seed: u64) -> Emulator {
    let mut emulator = Emulator::new(seed, 3, WORKERS);
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator
}

fn assert_no_violation(emulator: &Emulator, seed: u64) {
    if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !emulator.observer.violations.is_empty() {
        println!("{}", emulator.log.join("\n"));
    }
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

/// Whether a task has an active run; prints the log if it has none and `NUTMEGFOLD_TRACE` is set.
fn has_started(emulator: &Emulator, name: Name) -> bool {
    let is_running = emulator.observer.is_running(name);
    if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !is_running {
        println!("{}", emulator.log.join("\n"));
    }
    is_running
}

/// Number of timeline entries of a kind that contain a text.
fn count_entries(emulator: &Emulator, kind: &str, text: &str) -> usize {
    let kind = format!("\"{kind}\"");
    emulator.log.iter().filter(|line| line.contains(&kind) && line.contains(text)).count()
}

/// Workers on which runs of a job were started, according to the log.
fn workers_of(emulator: &Emulator, job: u64) -> Vec<usize> {
    let is_start = |worker: &usize| {
        let text = format!(" of {}.0.0.", Id(job));
        let place = format!(" on {}\"", emulator.workers[*worker].id);
        emulator
            .log
            .iter()
            .any(|line| line.contains("\"start\"") && line.contains(&text) && line.contains(&place))
    };
    (0..emulator.workers.len()).filter(is_start).collect()
}

/// Whether a long-running task starts in time where only a worker has room on which runs of two jobs have failed.
fn starts_on_suspected_worker(seed: u64) -> bool {
    let mut emulator = ready(seed);
    emulator.submit(0, OCCUPYING_JOB, job([occupying(WORKERS as u32 - 1)]));
    emulator.run_for(SECOND);
    // The second run is shorter by more than the time between their starts, so that both fail before either task is
    // started again.
    for (id, estimate) in FAILING_JOBS.into_iter().zip([SECOND, SECOND - MILLISECOND * 20]) {
        emulator.observer.injected_failures.insert(name(id, 0), 1);
        emulator.submit(0, id, job([Step { estimate, ..step(1) }]));
    }
    emulator.run_for(SECOND * 3 / 2 + MILLISECOND * 100 * seed as u32);
    assert_eq!(count_entries(&emulator, "ended", ": failed, end "), 2, "seed {seed}: {:#?}", emulator.log);
    emulator.submit(0, WAITING_JOB, job([long_running()]));
    emulator.run_for(LONGEST_WAIT);
    assert_no_violation(&emulator, seed);
    has_started(&emulator, name(WAITING_JOB, 0))
}

/// Guards against a worker without room for long-running tasks because two jobs on it have failed by themselves.
#[test]
fn a_long_running_task_waits_although_a_suspected_worker_has_room() {
    let late: Vec<u64> = (0..SEEDS).filter(|seed| !starts_on_suspected_worker(*seed)).collect();
    assert!(late.is_empty(), "seeds {late:?}: no start within {LONGEST_WAIT:?}");
}

/// Whether a long-running task that was stopped on a draining worker starts in time under the next leader, where room
/// becomes free after the worker has left and the leader was killed.
fn starts_after_leader_change(seed: u64) -> bool {
    let mut emulator = ready(seed);
    emulator.submit(0, OCCUPYING_JOB, job([occupying(WORKERS as u32 - LEAVING)]));
    emulator.run_for(SECOND / 2);
    emulator.submit(0, WAITING_JOB, job([occupying(LEAVING)]));
    emulator.run_for(SECOND / 2);
    let leaving = workers_of(&emulator, WAITING_JOB);
    assert_eq!(leaving.len(), LEAVING as usize, "seed {seed}: {:#?}", emulator.log);
    leaving.iter().for_each(|worker| emulator.drain_worker(*worker));
    emulator.run_for(SECOND);
    assert_eq!(count_entries(&emulator, "ended", ": stopped, end "), 2, "seed {seed}: {:#?}", emulator.log);
    leaving.iter().for_each(|worker| emulator.remove_worker(*worker));
    emulator.run_for(5 * SECOND + MILLISECOND * 100 * seed as u32);
    let leader = emulator.leader().expect("a leader");
    emulator.kill(leader);
    while emulator.leader_after(leader).is_none() {
        emulator.run_for(MILLISECOND);
    }
    let next = emulator.leader_after(leader).expect("the next leader");
    emulator.cancel(next, OCCUPYING_JOB);
    emulator.run_for(LONGEST_WAIT);
    assert_no_violation(&emulator, seed);
    (0..LEAVING).all(|index| has_started(&emulator, name(WAITING_JOB, index)))
}

/// Guards against a gate that waits for workers on which, as the replaced leader knew, nothing runs.
#[test]
fn a_long_running_task_waits_for_workers_that_left_before_the_leader_changed() {
    let late: Vec<u64> = (0..SEEDS).filter(|seed| !starts_after_leader_change(*seed)).collect();
    assert!(
        late.is_empty(),
        "seeds {late:?}: no start within {LONGEST_WAIT:?} after the records were loaded"
    );
}

/// Guards against starts without a limit on a worker that fails every run, and against short tasks that fail with it.
#[test]
fn a_faulty_worker_is_given_one_start_after_another() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed);
        // One sound worker keeps room for a short task, which is too little for a long-running one.
        let most_of_worker = Resources { cpu_millicores: 6_000, ..WHOLE_WORKER };
        let partly_occupying = Step { resources: most_of_worker, ..occupying(1) };
        emulator.submit(0, OCCUPYING_JOB, job([occupying(WORKERS as u32 - 2), partly_occupying]));
        emulator.run_for(SECOND);
        let faulty = (0..WORKERS).find(|worker| emulator.workers[*worker].start_count == 0);
        let faulty = faulty.expect("a worker without runs");
        emulator.workers[faulty].is_faulty = true;
        for id in FAILING_JOBS {
            emulator.submit(0, id, job([Step { resources: LESS_THAN_HALF, ..long_running() }]));
        }
        emulator.run_for(MILLISECOND * 100 * seed as u32);
        let jobs = FIRST_SHORT_JOB..FIRST_SHORT_JOB + 8;
        for id in jobs.clone() {
            emulator.submit(0, id, job([step(2)]));
            emulator.run_for(FAULT_DURATION / 8);
        }
        let starts = emulator.workers[faulty].start_count;
        assert!(starts > 0, "seed {seed}: {:#?}", emulator.log);
        let most = MAX_STARTS_PER_SECOND * FAULT_DURATION.as_secs() as u32;
        assert!(starts <= most, "seed {seed}: {starts} starts in {FAULT_DURATION:?}");
        emulator.workers[faulty].is_faulty = false;
        emulator.run_for(5 * SECOND);
        assert_no_violation(&emulator, seed);
        let leader = emulator.leader().expect("a leader");
        for id in jobs {
            let answer = emulator.read_job(leader, id);
            assert_eq!(answer, Some(Answer::Phase(Phase::Completed)), "seed {seed}, job {id}");
        }
    }
}

/// Cuts a worker off, replaces the leader at once, and checks that the only task runs again, but never twice at once.
fn check_takeover_without_worker(emulator: &mut Emulator, worker: usize, wait: Duration, seed: u64) {
    assert!(emulator.observer.is_running(name(WAITING_JOB, 0)), "seed {seed}: {:#?}", emulator.log);
    emulator.remove_worker(worker);
    emulator.run_for(wait);
    let leader = emulator.leader().expect("a leader");
    emulator.kill(leader);
    emulator.store.revoke_leases();
    emulator.run_for(RECOVERY);
    assert_no_violation(emulator, seed);
    assert_eq!(emulator.observer.start_count, 2, "seed {seed}: {:#?}", emulator.log);
}

/// A job with a task that runs for longer than any lease.
fn longer_than_leases() -> Step {
    Step { estimate: RECOVERY, ..step(1) }
}

/// Changes the CPU of all workers but one.
fn resize_others(emulator: &mut Emulator, worker: usize, cpu_millicores: u32) {
    (0..WORKERS)
        .filter(|other| *other != worker)
        .for_each(|other| emulator.resize_worker(other, cpu_millicores));
}

/// Waits until a run has started on a worker, and returns whether one has within `limit`.
fn waits_for_start(emulator: &mut Emulator, worker: usize, limit: Duration) -> bool {
    let end = emulator.now + limit;
    while emulator.workers[worker].start_count == 0 && emulator.now < end {
        emulator.run_for(MILLISECOND);
    }
    emulator.workers[worker].start_count > 0
}

/// Guards against a gate that does not wait for a drained worker although a short task still runs there.
#[test]
fn a_task_runs_twice_at_once_when_a_drained_worker_is_cut_off_with_its_run() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed);
        emulator.submit(0, WAITING_JOB, job([longer_than_leases()]));
        emulator.run_for(SECOND / 2);
        let worker = workers_of(&emulator, WAITING_JOB)[0];
        emulator.drain_worker(worker);
        emulator.run_for(SECOND + MILLISECOND * 300 * seed as u32);
        check_takeover_without_worker(&mut emulator, worker, MILLISECOND * 500 * seed as u32, seed);
    }
}

/// Guards against a gate that does not wait for a worker that was drained, and took new runs again before it was cut off.
#[test]
fn a_task_runs_twice_at_once_when_a_worker_is_cut_off_after_its_drain_was_taken_back() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed);
        let worker = 0;
        resize_others(&mut emulator, worker, TOO_FEW_MILLICORES);
        emulator.drain_worker(worker);
        emulator.run_for(SECOND);
        emulator.submit(0, WAITING_JOB, job([longer_than_leases()]));
        emulator.run_for(2 * SECOND + MILLISECOND * 50 * seed as u32);
        emulator.resume_worker(worker);
        assert!(waits_for_start(&mut emulator, worker, LONGEST_WAIT), "seed {seed}: {:#?}", emulator.log);
        resize_others(&mut emulator, worker, WHOLE_WORKER.cpu_millicores);
        check_takeover_without_worker(&mut emulator, worker, Duration::ZERO, seed);
    }
}

/// Plays a worker that drains, and takes new runs again, while the commits of the leader fail.
fn resume_worker_without_commits(seed: u64, fail: fn(&mut Emulator), heal: fn(&mut Emulator)) {
    let mut emulator = ready(seed);
    let worker = 0;
    (0..WORKERS).for_each(|worker| emulator.resize_worker(worker, TOO_FEW_MILLICORES));
    emulator.run_for(SECOND / 2);
    emulator.submit(0, WAITING_JOB, job([longer_than_leases()]));
    emulator.run_for(SECOND / 2);
    emulator.drain_worker(worker);
    // The commits begin to fail before the leader knows of the drain, or up to 160 ms later.
    emulator.run_for(MILLISECOND * 40 * seed as u32);
    fail(&mut emulator);
    emulator.run_for(3 * SECOND);
    emulator.resize_worker(worker, WHOLE_WORKER.cpu_millicores);
    emulator.resume_worker(worker);
    if !waits_for_start(&mut emulator, worker, 2 * SECOND) {
        heal(&mut emulator);
        assert!(waits_for_start(&mut emulator, worker, LONGEST_WAIT), "seed {seed}: {:#?}", emulator.log);
    }
    heal(&mut emulator);
    resize_others(&mut emulator, worker, WHOLE_WORKER.cpu_millicores);
    check_takeover_without_worker(&mut emulator, worker, Duration::ZERO, seed);
}

/// Guards against a stored drain that the gate relies on, while the commit that takes it back is not durable.
#[test]
fn a_task_runs_twice_at_once_when_a_drain_is_taken_back_while_commits_are_refused() {
    for seed in 0..SEEDS {
        resume_worker_without_commits(
            seed,
            |emulator| emulator.store.refuses_commits = true,
            |emulator| emulator.store.refuses_commits = false,
        );
    }
}

/// Guards against the same where the commits take effect and their replies are lost.
#[test]
fn a_task_runs_twice_at_once_when_a_drain_is_taken_back_while_replies_to_commits_are_lost() {
    for seed in 0..SEEDS {
        resume_worker_without_commits(
            seed,
            |emulator| emulator.store.commit_delay = SECOND,
            |emulator| emulator.store.commit_delay = Duration::ZERO,
        );
    }
}

/// Guards against a task that needs a whole worker and never starts, since serving tasks stand on every worker and are not
/// preempted.
#[test]
fn tasks_of_a_whole_worker_wait_behind_serving_tasks() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed);
        for (id, image) in [(10, "desk"), (11, "ledger"), (12, "desk"), (13, "ledger")] {
            let resources = Resources { cpu_millicores: 1_000, memory_mb: 500, gpu: 0 };
            let latency_target = Some(50 * MILLISECOND);
            let serving =
                Step { resources, is_long_running: true, latency_target, image: image.into(), ..step(6) };
            emulator.submit(0, id, job([serving]));
            emulator.run_for(SECOND);
        }
        emulator.submit(0, WAITING_JOB, job([Step { resources: WHOLE_WORKER, ..step(2) }]));
        emulator.run_for(LONGEST_WAIT);
        let answer = emulator.read_job(0, WAITING_JOB);
        assert_eq!(answer, Some(Answer::Phase(Phase::Completed)), "seed {seed}: {:#?}", emulator.log);
        for id in 10..14 {
            let workers: Set<_> =
                (0..6).filter_map(|index| emulator.observer.worker_of(name(id, index))).collect();
            assert!(workers.len() > 1, "seed {seed}: all tasks of job {id} on {workers:?}");
        }
        assert_no_violation(&emulator, seed);
    }
}
