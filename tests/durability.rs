//! Tests of what callers and workers are told while the records that it rests on are not durable, on an emulated
//! deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::request::{Answer, Ticket};
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};

const SECOND: Duration = Duration::from_secs(1);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of seeds that each test with one scenario plays.
const SEEDS: u64 = 5;

/// Number of jobs whose acceptances do not fit into one commit.
const JOBS_OVER_ONE_COMMIT: u64 = 30;

/// Identity of the first of the jobs that only fill commits.
const FIRST_OTHER_JOB: u64 = 100;

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

/// Prints the log of a failed play if `NUTMEGFOLD_TRACE` is set.
fn assert_no_violation(emulator: &Emulator, seed: u64) {
    if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !emulator.observer.violations.is_empty() {
        println!("{}", emulator.log.join("\n"));
    }
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

/// Ends the leadership of a VM that the store does not answer, and waits for the next leader.
fn change_leader(emulator: &mut Emulator, leader: usize) {
    emulator.store.revoke_leases();
    emulator.run_for(SECOND);
    assert!(emulator.leader_after(leader).is_some(), "no other leader: {:#?}", emulator.log);
}

/// Worker on which the run was started, according to the log.
fn worker_of(emulator: &Emulator, run: &str) -> usize {
    let start = emulator.log.iter().find(|line| line.contains("\"start\"") && line.contains(run));
    let start = start.unwrap_or_else(|| panic!("{run} was not started: {:#?}", emulator.log));
    (0..emulator.workers.len())
        .find(|worker| start.contains(&format!("on {}\"", emulator.workers[*worker].id)))
        .expect("the log names the worker")
}

/// Guards against an end that is acknowledged because its task was cancelled, while the cancellation is not durable.
#[test]
fn a_done_task_of_a_cancelled_job_runs_again_under_the_next_leader() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 3, 2);
        emulator.workers.iter_mut().for_each(|worker| worker.stop_duration = SECOND / 2);
        emulator.submit(0, 1, job([step(1)]));
        emulator.run_for(SECOND / 2);
        let leader = emulator.leader().expect("a leader");
        emulator.store.silent_vms.insert(leader);
        emulator.run_for(SECOND * 2 / 5);
        emulator.cancel(leader, 1);
        emulator.run_for(SECOND / 5 + MILLISECOND * 10 * seed as u32);
        assert!(emulator.observer.completed.contains(&name(1, 0, 0)), "{:#?}", emulator.log);
        change_leader(&mut emulator, leader);
        emulator.run_for(8 * SECOND);
        assert_no_violation(&emulator, seed);
    }
}

/// Plays a job that fails by its first step while the store does not answer the leader, after which the run of its
/// second step ends as done and that of its third step fails for the last time. The worker that holds the failure of
/// the first step restarts before the leader changes.
fn fail_job_without_store(seed: u64) -> Emulator {
    let mut emulator = ready(seed, 3, 4);
    emulator.workers.iter_mut().for_each(|worker| worker.stop_duration = SECOND);
    let whole_worker = Resources { cpu_millicores: 8_000, memory_mb: 1_000, gpu: 0 };
    let failing = Step { resources: whole_worker, estimate: SECOND / 2, ..step(1) };
    let done = Step { estimate: SECOND * 2, ..step(1) };
    let failing_later = Step { estimate: SECOND * 3 / 5, ..step(1) };
    emulator.observer.injected_failures.insert(name(1, 0, 0), 100);
    emulator.observer.injected_failures.insert(name(1, 2, 0), 100);
    emulator.submit(0, 1, job([failing, done, failing_later]));
    emulator.run_for(SECOND * 14 / 10);
    let leader = emulator.leader().expect("a leader");
    emulator.store.silent_vms.insert(leader);
    emulator.run_for(SECOND * 9 / 10);
    let ends = |emulator: &Emulator, text: &str| {
        emulator.log.iter().any(|line| line.contains("\"ended\"") && line.contains(text))
    };
    assert!(ends(&emulator, "run 3 of 0000000000000001.0.0.0"), "{:#?}", emulator.log);
    assert!(ends(&emulator, "run 1 of 0000000000000001.0.1.0"), "{:#?}", emulator.log);
    assert!(ends(&emulator, "run 3 of 0000000000000001.0.2.0"), "{:#?}", emulator.log);
    let failed_on = worker_of(&emulator, "run 3 of 0000000000000001.0.0.0");
    emulator.restart_worker(failed_on);
    change_leader(&mut emulator, leader);
    emulator.run_for(8 * SECOND);
    emulator
}

/// Guards against an end that is acknowledged because its job has failed, while that failure is not durable.
#[test]
fn a_done_task_of_a_failed_job_runs_again_under_the_next_leader() {
    for seed in 0..SEEDS {
        let emulator = fail_job_without_store(seed);
        let is_repeated = |text: &String| text.contains("after the task's completion was acknowledged");
        let violations = &emulator.observer.violations;
        assert!(!violations.iter().any(is_repeated), "seed {seed}: {violations:#?}");
    }
}

/// Guards against a failure that is acknowledged because its job has failed by another task, while that is not durable.
#[test]
fn a_task_of_a_failed_job_is_tried_once_too_often_under_the_next_leader() {
    for seed in 0..SEEDS {
        let emulator = fail_job_without_store(seed);
        // The restart discarded the last failure of the first step, so only the third step counts.
        let task = name(1, 2, 0).to_string();
        let is_excess = |text: &String| text.starts_with(&task) && text.contains("after 3 failures");
        let violations = &emulator.observer.violations;
        assert!(!violations.iter().any(is_excess), "seed {seed}: {violations:#?}");
    }
}

/// A deployment in which the acceptance of job 1 has taken effect and the one of its repeated submission has not.
struct Repeated {
    emulator: Emulator,
    leader: usize,
    /// The repeated submission.
    ticket: Ticket,
}

/// Submits job 1 and, while its acceptance is in flight, as many other jobs as `others` and job 1 again. Ends when the
/// acceptance has taken effect, before the next commit is sent.
fn repeat_submission(seed: u64, others: u64, failures: u32) -> Repeated {
    let mut emulator = ready(seed, 3, 4);
    let leader = emulator.leader().expect("a leader");
    let spec = job([Step { estimate: 2 * SECOND, ..step(1) }]);
    emulator.observer.injected_failures.insert(name(1, 0, 0), failures);
    emulator.store.commit_delay = SECOND / 4;
    let first = emulator.submit(leader, 1, spec.clone());
    emulator.run_for(SECOND / 10);
    for id in FIRST_OTHER_JOB..FIRST_OTHER_JOB + others {
        emulator.submit(leader, id, job([step(1)]));
    }
    let ticket = emulator.submit(leader, 1, spec);
    while !emulator.answers.contains_key(&first) {
        emulator.run_for(MILLISECOND);
    }
    assert_eq!(emulator.answers.get(&first), Some(&Answer::Accepted), "seed {seed}: {:#?}", emulator.log);
    emulator.store.commit_delay = Duration::ZERO;
    Repeated { emulator, leader, ticket }
}

/// The same, after the store did not answer the leader for longer than commits may fail.
fn repeat_submission_without_store(seed: u64, failures: u32) -> Repeated {
    let mut repeated = repeat_submission(seed, JOBS_OVER_ONE_COMMIT, failures);
    repeated.emulator.store.silent_vms.insert(repeated.leader);
    repeated.emulator.run_for(SECOND);
    repeated.emulator.store.silent_vms.clear();
    repeated
}

/// Guards against the removal of a stored job whose second acceptance is still queued when commits fail.
#[test]
fn a_running_job_is_unknown_after_a_repeated_submission() {
    for seed in 0..SEEDS {
        let Repeated { mut emulator, leader, .. } = repeat_submission_without_store(seed, 0);
        assert!(emulator.observer.is_running(name(1, 0, 0)), "seed {seed}: {:#?}", emulator.log);
        emulator.read_job(leader, 1);
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a refusal, which says that the job never runs, of the repeated submission of a running job.
#[test]
fn a_repeated_submission_of_a_running_job_is_refused_in_a_store_outage() {
    for seed in 0..SEEDS {
        let Repeated { emulator, ticket, .. } = repeat_submission_without_store(seed, 0);
        let answer = emulator.answers.get(&ticket);
        assert!(
            matches!(answer, Some(Answer::Accepted | Answer::Unknown)),
            "seed {seed}: {answer:?}: {:#?}",
            emulator.log
        );
    }
}

/// Guards against the same refusal where the store refuses commits instead of not answering them.
#[test]
fn a_repeated_submission_of_a_running_job_is_refused_when_commits_are_refused() {
    for seed in 0..SEEDS {
        let Repeated { mut emulator, leader, ticket } = repeat_submission(seed, 0, 0);
        emulator.store.refused_vms.insert(leader);
        emulator.run_for(SECOND);
        let answer = emulator.answers.get(&ticket);
        assert!(
            matches!(answer, Some(Answer::Accepted | Answer::Unknown)),
            "seed {seed}: {answer:?}: {:#?}",
            emulator.log
        );
    }
}

/// Guards against an end that is acknowledged without a record because its stored job was removed.
#[test]
fn a_done_task_of_a_job_submitted_twice_runs_again_under_the_next_leader() {
    for seed in 0..SEEDS {
        let Repeated { mut emulator, leader, .. } = repeat_submission_without_store(seed, 0);
        emulator.run_for(2 * SECOND);
        assert!(emulator.observer.completed.contains(&name(1, 0, 0)), "{:#?}", emulator.log);
        emulator.kill(leader);
        emulator.run_for(10 * SECOND);
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a panic of the leader when a run fails whose stored job was removed.
#[test]
fn a_failed_run_of_a_job_submitted_twice_panics_the_leader() {
    for seed in 0..SEEDS {
        let Repeated { mut emulator, .. } = repeat_submission_without_store(seed, 1);
        emulator.run_for(4 * SECOND);
        let failure = emulator.log.iter().any(|line| line.contains("\"ended\"") && line.contains("0.0.0 on"));
        assert!(failure, "seed {seed}: {:#?}", emulator.log);
    }
}
