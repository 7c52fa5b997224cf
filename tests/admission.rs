//! Tests of admission control by forecast, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, config, job, step};
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::admission::{Mode, OBSERVE_MIN};
use nutmegfold::core::work::config::{Config, Queue};
use nutmegfold::core::work::request::{Answer, Phase, Ticket, Verb};
use nutmegfold::core::work::spec::{Id, Name, Spec, Step};

const SECOND: Duration = Duration::from_secs(1);

/// Workers of the deployment; each has room for four tasks.
const WORKERS: usize = 5;

/// Path prefixes of the two queues, whose jobs have 5 s to their deadline.
const URGENT: &str = "/urgent/";
const USUAL: &str = "/usual/";

fn queues() -> Config {
    let base = config();
    let queue = |name: &str, prefix: &str, priority: u32| Queue {
        name: name.into(),
        prefix: prefix.into(),
        priority,
        objective: 3 * SECOND,
        ..base.queues[0].clone()
    };
    let queues = vec![queue("urgent", URGENT, 0), queue("usual", USUAL, 1)];
    Config { version: 2, queues, ..base }
}

/// Emulated deployment that has completed some jobs for longer than a leader observes.
fn observed(seed: u64, vms: usize, mode: Mode) -> Emulator {
    let mut emulator = Emulator::new(seed, vms, WORKERS);
    emulator.store.set_config(queues());
    emulator.set_admission(mode);
    emulator.run_for(3 * SECOND);
    submit(&mut emulator, USUAL, 1_000_000, job([step(4)]));
    emulator.run_for(OBSERVE_MIN + 3 * SECOND);
    emulator
}

fn submit(emulator: &mut Emulator, prefix: &str, id: u64, spec: Spec) -> Ticket {
    emulator.observer.record_submission(Id(id), &spec);
    emulator.request(0, &format!("{prefix}{}", Id(id)), Verb::Submit(spec))
}

/// Submits one job of 20 core-seconds after the other, twice as fast as they can run. Returns the answers in this order.
fn crowd(emulator: &mut Emulator, first_id: u64, count: u64) -> Vec<Answer> {
    let mut tickets = Vec::new();
    for id in first_id..first_id + count {
        tickets.push(submit(emulator, USUAL, id, job([step(10)])));
        emulator.run_for(SECOND / 4);
    }
    emulator.run_for(SECOND);
    tickets.iter().map(|ticket| emulator.answers.get(ticket).cloned().expect("an answer")).collect()
}

fn refused_seconds(answers: &[Answer]) -> Vec<u32> {
    let seconds = |answer: &Answer| match answer {
        Answer::Refused(seconds) => Some(*seconds),
        _ => None,
    };
    answers.iter().filter_map(seconds).collect()
}

fn assert_no_violation(emulator: &Emulator) {
    assert!(emulator.observer.violations.is_empty(), "{:#?}", emulator.observer.violations);
}

/// Guards against a crowd whose jobs are all accepted and completed when they have no value, and against a refused job that
/// runs.
#[test]
fn jobs_without_value_at_their_start_are_refused() {
    for seed in 0..3 {
        let mut emulator = observed(seed, 1, Mode::Forecast);
        let answers = crowd(&mut emulator, 0, 160);
        let refused = refused_seconds(&answers);
        assert!(!refused.is_empty() && refused.len() < 120, "seed {seed}: {} refused", refused.len());
        emulator.run_for(60 * SECOND);
        for (id, answer) in (0..).zip(&answers) {
            let has_run = emulator.observer.has_started(Id(id));
            assert_eq!(has_run, *answer == Answer::Accepted, "seed {seed}, job {id}: {answer:?}");
        }
        assert!(
            emulator.log.iter().any(|line| line.contains("\"refuse\"") && line.contains("forecast start"))
        );
        assert_no_violation(&emulator);
    }
}

/// Time in which a job of a crowd has a value: three times its 5 s.
const VALUE_TIME: Duration = Duration::from_secs(15);

/// Numbers of jobs of a crowd of 40 s that are refused, that end while they have a value, and that end later, and the longest
/// time until one ends.
fn outcome(seed: u64, mode: Mode) -> (usize, usize, usize, Duration) {
    const INTERVAL: Duration = Duration::from_millis(50);
    const INTERVALS_PER_JOB: u64 = 5;
    let mut emulator = observed(seed, 1, mode);
    let mut jobs: Vec<(Instant, Ticket, Option<Duration>)> = Vec::new();
    for interval in 0..2_400 {
        let id = jobs.len() as u64;
        if interval % INTERVALS_PER_JOB == 0 && id < 160 {
            let ticket = submit(&mut emulator, USUAL, id, job([step(10)]));
            jobs.push((emulator.now, ticket, None));
        }
        emulator.run_for(INTERVAL);
        for (id, (at, _, duration)) in (0..).zip(&mut jobs).filter(|(_, job)| job.2.is_none()) {
            let mut tasks = (0..10).map(|index| Name { job: Id(id), occurrence: 0, step: 0, index });
            if tasks.all(|task| emulator.observer.completed.contains(&task)) {
                *duration = Some(emulator.now.since(*at));
            }
        }
    }
    let answers: Vec<Answer> = jobs.iter().map(|(_, ticket, _)| emulator.answers[ticket].clone()).collect();
    let durations: Vec<Duration> = jobs.iter().filter_map(|(_, _, duration)| *duration).collect();
    let refused = refused_seconds(&answers).len();
    assert_eq!(durations.len() + refused, jobs.len(), "seed {seed}: accepted jobs that have not ended");
    let valuable = durations.iter().filter(|duration| **duration <= VALUE_TIME).count();
    let longest = durations.iter().max().copied().unwrap_or_default();
    (refused, valuable, durations.len() - valuable, longest)
}

/// Guards against jobs that are accepted and end when they have no value, although the forecast has shown it.
#[test]
fn accepted_jobs_of_a_crowd_end_without_value() {
    for seed in 0..3 {
        let [all, forecast] = [Mode::All, Mode::Forecast].map(|mode| outcome(seed, mode));
        println!("seed {seed}: refused, with value, without, longest: all {all:?}, forecast {forecast:?}");
        assert_eq!(all.0, 0, "seed {seed}");
        assert!(forecast.2 * 2 <= all.2 && forecast.3 < all.3, "seed {seed}: {all:?}, {forecast:?}");
    }
}

/// Guards against callers that were refused and retry together, and against one that was refused later and may retry
/// earlier.
#[test]
fn callers_that_were_refused_first_may_retry_first() {
    let mut emulator = observed(4, 1, Mode::Forecast);
    let mut tickets = Vec::new();
    for id in 0..400 {
        tickets.push(submit(&mut emulator, USUAL, id, job([step(10)])));
        emulator.run_for(SECOND / 100);
    }
    emulator.run_for(SECOND);
    let answers: Vec<Answer> = tickets.iter().map(|ticket| emulator.answers[ticket].clone()).collect();
    let refused = refused_seconds(&answers);
    assert!(refused.len() > 50, "{} refused", refused.len());
    assert!(refused.is_sorted(), "{refused:?}");
    let mut distinct = refused.clone();
    distinct.dedup();
    assert!(distinct.len() >= 10, "{distinct:?}");
}

/// Guards against a refusal while workers are free, and against one by a deployment that accepts all.
#[test]
fn nothing_is_refused_without_need() {
    let mut emulator = observed(5, 1, Mode::Forecast);
    let mut tickets = Vec::new();
    for id in 0..40 {
        tickets.push(submit(&mut emulator, USUAL, id, job([step(8)])));
        emulator.run_for(SECOND);
    }
    assert!(tickets.iter().all(|ticket| emulator.answers[ticket] == Answer::Accepted));
    let mut emulator = observed(5, 1, Mode::All);
    let answers = crowd(&mut emulator, 0, 160);
    assert!(answers.iter().all(|answer| *answer == Answer::Accepted));
}

/// Guards against the refusal of a job that was accepted before: the caller takes it as one that never runs.
#[test]
fn a_repeated_submission_of_an_accepted_job_is_never_refused() {
    let mut emulator = observed(6, 1, Mode::Forecast);
    let answers = crowd(&mut emulator, 0, 160);
    assert_eq!(answers[0], Answer::Accepted);
    assert!(!refused_seconds(&answers[140..]).is_empty(), "{answers:?}");
    let accepted = (0..).zip(&answers).filter(|(_, answer)| **answer == Answer::Accepted);
    for id in accepted.map(|(id, _)| id).collect::<Vec<u64>>() {
        let ticket = submit(&mut emulator, USUAL, id, job([step(10)]));
        emulator.run_for(SECOND / 20);
        assert_eq!(emulator.answers[&ticket], Answer::Accepted, "job {id}");
    }
    assert_no_violation(&emulator);
}

/// Guards against urgent jobs that are refused for the work of less urgent ones.
#[test]
fn less_urgent_work_does_not_refuse_urgent_jobs() {
    let mut emulator = observed(7, 1, Mode::Forecast);
    let answers = crowd(&mut emulator, 0, 160);
    assert!(!refused_seconds(&answers[140..]).is_empty(), "{answers:?}");
    let ticket = submit(&mut emulator, URGENT, 5_000, job([step(10)]));
    emulator.run_for(SECOND / 10);
    assert_eq!(emulator.answers[&ticket], Answer::Accepted);
    emulator.run_for(5 * SECOND);
    let read = emulator.request(0, &format!("{URGENT}{}", Id(5_000)), Verb::Read);
    emulator.run_for(SECOND);
    assert_eq!(emulator.answers[&read], Answer::Phase(Phase::Completed));
}

/// Guards against long-running and filling jobs that are refused by a forecast that does not apply to them.
#[test]
fn long_running_and_filling_jobs_are_not_refused() {
    let mut emulator = observed(8, 1, Mode::Forecast);
    crowd(&mut emulator, 0, 160);
    let steps = [
        Step { is_long_running: true, ..step(1) },
        Step { is_filling: true, image: "fill".into(), ..step(1) },
    ];
    for (id, step) in (5_000..).zip(steps) {
        let ticket = submit(&mut emulator, USUAL, id, job([step]));
        emulator.run_for(SECOND / 10);
        assert_eq!(emulator.answers[&ticket], Answer::Accepted, "job {id}");
    }
}

/// Guards against a new leader that refuses jobs before it knows what the workers do.
#[test]
fn a_new_leader_accepts_all_jobs_at_first() {
    let mut emulator = observed(9, 2, Mode::Forecast);
    let answers = crowd(&mut emulator, 0, 160);
    assert!(!refused_seconds(&answers[140..]).is_empty(), "{answers:?}");
    let leader = emulator.leader().expect("a leader");
    emulator.kill(leader);
    let mut waited = Duration::ZERO;
    while emulator.leader_after(leader).is_none() && waited < 20 * SECOND {
        emulator.run_for(SECOND / 20);
        waited += SECOND / 20;
    }
    let other = emulator.leader_after(leader).expect("another leader");
    let spec = job([step(10)]);
    emulator.observer.record_submission(Id(5_000), &spec);
    let ticket = emulator.request(other, &format!("{USUAL}{}", Id(5_000)), Verb::Submit(spec));
    emulator.run_for(SECOND / 2);
    assert_eq!(emulator.answers[&ticket], Answer::Accepted, "{:#?}", emulator.log);
    assert_no_violation(&emulator);
}
