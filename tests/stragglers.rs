//! Speculative copies of slow runs, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::meter::Counts;
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};

const SECOND: Duration = Duration::from_secs(1);

/// Factor by which a straggler takes longer than the other runs.
const SLOW_FACTOR: u32 = 7;

/// Job whose runs teach the leader the usual run time.
const KNOWN_JOB: u64 = 1_000;

fn name(job: u64, step: u32, index: u32) -> Name {
    Name { job: Id(job), occurrence: 0, step, index }
}

/// A step whose tasks may have copies.
fn speculative(count: u32) -> Step {
    Step { is_speculative: true, ..step(count) }
}

/// Emulated deployment whose leader knows the usual run time.
fn ready(seed: u64, vms: usize, workers: usize) -> Emulator {
    let mut emulator = Emulator::new(seed, vms, workers);
    emulator.run_for(SECOND);
    emulator.submit(0, KNOWN_JOB, job([step(60)]));
    for _ in 0..200 {
        if is_completed(&mut emulator, KNOWN_JOB) {
            return emulator;
        }
    }
    panic!("the first job is not done: {:#?}", emulator.log);
}

/// Submits a job of one speculative task whose first run is slow, and waits until its copy runs.
fn start_straggler(emulator: &mut Emulator, id: u64) -> Name {
    let task = name(id, 0, 0);
    emulator.observer.slow_runs.insert(task, SLOW_FACTOR);
    emulator.submit(0, id, job([speculative(1)]));
    for _ in 0..400 {
        emulator.run_for(SECOND / 100);
        if emulator.observer.run_count(task) == 2 {
            return task;
        }
    }
    panic!("the straggler has no copy: {:#?}", emulator.log);
}

fn is_completed(emulator: &mut Emulator, id: u64) -> bool {
    let vm = emulator.leader().expect("a leader");
    emulator.read_job(vm, id) == Some(Answer::Phase(Phase::Completed))
}

fn worker_index(emulator: &Emulator, id: &str) -> usize {
    emulator.workers.iter().position(|worker| worker.id == id).expect("an emulated worker")
}

fn assert_no_violation(emulator: &Emulator) {
    assert!(emulator.observer.violations.is_empty(), "{:#?}", emulator.observer.violations);
}

/// Sum of a count over all reports of the leaders.
fn total(emulator: &Emulator, count: impl Fn(&Counts) -> u64) -> u64 {
    emulator.reports.iter().map(|report| count(&report.counts)).sum()
}

/// Guards against a job that waits for a slow run, a task that is done twice, and a losing run that goes on.
#[test]
fn a_straggler_is_overtaken_by_its_copy() {
    for seed in 0..5 {
        let mut emulator = ready(seed, 2, 6);
        let task = start_straggler(&mut emulator, 1);
        let workers = emulator.observer.workers_of(task);
        assert_ne!(workers[0], workers[1], "seed {seed}");
        emulator.run_for(SECOND * 3 / 2);
        assert!(is_completed(&mut emulator, 1), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(emulator.observer.run_count(task), 0, "seed {seed}: {:#?}", emulator.log);
        emulator.run_for(2 * SECOND);
        assert!(emulator.observer.is_acknowledged(task), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(emulator.observer.start_count, 62, "seed {seed}");
        assert_eq!(total(&emulator, |counts| counts.copies), 1);
        assert_eq!(total(&emulator, |counts| counts.copies_first), 1);
        let core_ms = total(&emulator, |counts| counts.copy_core_ms);
        assert!((1_800..2_600).contains(&core_ms), "{core_ms}");
        assert_no_violation(&emulator);
    }
}

/// Guards against copies that neither the job nor the settings allow.
#[test]
fn only_speculative_steps_get_copies() {
    let slow_step = [
        (5, step(1)),
        (0, speculative(1)),
        (5, Step { is_gang: true, ..speculative(1) }),
        (5, Step { is_filling: true, ..speculative(1) }),
    ];
    for (share, slow_step) in slow_step {
        let mut emulator = ready(1, 1, 6);
        emulator.set_copy_share(share);
        emulator.observer.slow_runs.insert(name(1, 0, 0), SLOW_FACTOR);
        emulator.submit(0, 1, job([slow_step]));
        emulator.run_for(9 * SECOND);
        assert!(is_completed(&mut emulator, 1), "{:#?}", emulator.log);
        assert_eq!(emulator.observer.start_count, 61, "{:#?}", emulator.log);
        assert_no_violation(&emulator);
    }
}

/// Guards against copies that take more processor time than they may, if more runs are slow than the budget covers.
#[test]
fn copies_keep_to_their_share_of_the_processor_time() {
    const JOBS: u64 = 40;
    for share_percent in [2, 5, 20] {
        let mut emulator = ready(2, 1, 8);
        emulator.set_copy_share(share_percent);
        for round in 1..=JOBS {
            emulator.observer.slow_runs.insert(name(round, 0, 0), SLOW_FACTOR);
            emulator.submit(0, round, job([speculative(12)]));
            emulator.run_for(SECOND);
        }
        emulator.run_for(10 * SECOND);
        let (copies, core_ms) =
            (total(&emulator, |counts| counts.copies), total(&emulator, |counts| counts.copy_core_ms));
        let share = core_ms as f64 / emulator.observer.core_ms as f64;
        println!("{copies} copies of {JOBS} slow runs, {:.1} percent of the processor time", share * 100.0);
        assert!(share <= f64::from(share_percent) / 100.0, "{share}");
        assert!(copies >= u64::from(share_percent) * 2, "{copies} copies");
        assert_eq!(copies < JOBS, share_percent < 20, "{copies} copies");
        assert_no_violation(&emulator);
    }
}

/// Times from submission to completion of jobs of four tasks, of which three in a hundred are slow, in ascending order.
fn job_times(seed: u64, share_percent: u32) -> Vec<Duration> {
    const JOBS: u64 = 240;
    const TICK: Duration = Duration::from_millis(50);
    let mut emulator = ready(seed, 1, 8);
    emulator.set_copy_share(share_percent);
    let mut open = Vec::new();
    let mut times = Vec::new();
    for tick in 0.. {
        if tick < JOBS * 5 && tick % 5 == 0 {
            let id = tick / 5 + 1;
            for index in 0..4 {
                // The same runs are slow for each share.
                if (id * 4 + u64::from(index)) % 33 == seed {
                    emulator.observer.slow_runs.insert(name(id, 0, index), SLOW_FACTOR);
                }
            }
            emulator.submit(0, id, job([speculative(4)]));
            open.push((id, emulator.now));
        }
        emulator.run_for(TICK);
        let now = emulator.now;
        open.retain(|(id, submitted)| {
            let is_done = (0..4).all(|index| emulator.observer.completed.contains(&name(*id, 0, index)));
            times.extend(is_done.then(|| now.since(*submitted)));
            !is_done
        });
        assert!(tick < JOBS * 10, "seed {seed}: {} jobs are not done", open.len());
        if times.len() as u64 == JOBS {
            break;
        }
    }
    assert_no_violation(&emulator);
    times.sort_unstable();
    times
}

/// Guards against copies that come too late, or not at all, at the load and the share of slow runs of a deployment.
#[test]
fn copies_shorten_the_slowest_jobs() {
    for seed in 0..3 {
        let [without, with] = [0, 5].map(|share_percent| job_times(seed, share_percent));
        let quantile = |times: &[Duration], percent: usize| times[times.len() * percent / 100];
        let line = |times: &[Duration]| [50, 95, 99].map(|percent| quantile(times, percent));
        println!("seed {seed}: p50, p95, p99 {:?} without copies, {:?} with", line(&without), line(&with));
        assert!(quantile(&with, 99) * 2 < quantile(&without, 99));
        assert!(quantile(&with, 50) <= quantile(&without, 50));
    }
}

/// Guards against copies that take room for which ready tasks of the same priority wait.
#[test]
fn waiting_tasks_come_before_copies() {
    let mut emulator = ready(3, 1, 3);
    emulator.observer.slow_runs.insert(name(1, 0, 0), SLOW_FACTOR);
    emulator.submit(0, 1, job([speculative(1)]));
    emulator.run_for(SECOND / 5);
    // Half of the workers' cores stay free, but none has room for a task of the second job.
    let large = Resources { cpu_millicores: 8_000, memory_mb: 1_000, gpu: 0 };
    emulator.submit(0, 2, job([Step { resources: large, ..step(30) }]));
    let whole = Step { resources: Resources { cpu_millicores: 5_000, ..large }, ..step(1) };
    emulator.submit(0, 3, job([Step { estimate: 20 * SECOND, ..whole }]));
    emulator.run_for(8 * SECOND);
    assert!(emulator.ready_count() > 0);
    assert_eq!(total(&emulator, |counts| counts.copies), 0, "{:#?}", emulator.log);
    assert_no_violation(&emulator);
}

/// Guards against more failed runs than a task may have, when both of its runs fail.
#[test]
fn both_runs_of_a_task_can_fail() {
    for seed in 0..5 {
        let mut emulator = ready(seed, 1, 6);
        emulator.observer.injected_failures.insert(name(1, 0, 0), 10);
        let task = start_straggler(&mut emulator, 1);
        emulator.run_for(12 * SECOND);
        assert_eq!(emulator.read_job(0, 1), Some(Answer::Phase(Phase::Failed)), "{:#?}", emulator.log);
        assert_eq!(emulator.observer.failure_count(task), 3, "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator);
    }
}

/// Guards against a new leader that stops a copy, or starts a third run beside the two that it finds.
#[test]
fn a_new_leader_adopts_both_runs() {
    for seed in 0..10 {
        let mut emulator = ready(seed, 3, 6);
        emulator.set_copy_share(50);
        let task = name(1, 0, 0);
        emulator.observer.slow_runs.insert(task, SLOW_FACTOR);
        let long = Step { estimate: 4 * SECOND, ..speculative(1) };
        emulator.submit(0, 1, job([long]));
        emulator.run_for(9 * SECOND);
        assert_eq!(emulator.observer.run_count(task), 2, "seed {seed}: {:#?}", emulator.log);
        let before = emulator.log.len();
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        emulator.run_for(SECOND * 5 / 2);
        let adopted =
            emulator.log[before..].iter().filter(|line| line.contains("decision: \"adopt\"")).count();
        assert_eq!(adopted, 2, "seed {seed}: {:#?}", &emulator.log[before..]);
        emulator.run_for(3 * SECOND);
        assert!(is_completed(&mut emulator, 1), "seed {seed}: {:#?}", &emulator.log[before..]);
        assert_eq!(emulator.observer.run_count(task), 0, "seed {seed}: {:#?}", &emulator.log[before..]);
        assert_eq!(emulator.observer.start_count, 62, "seed {seed}");
        assert_no_violation(&emulator);
    }
}

/// Guards against a task that waits for the lease of a worker that does not answer, and against a run there that goes on
/// once the worker answers again.
#[test]
fn a_run_on_a_silent_worker_gets_a_copy() {
    for seed in 0..5 {
        let mut emulator = ready(seed, 2, 6);
        emulator.set_copy_share(50);
        let task = name(1, 0, 0);
        emulator.submit(0, 1, job([Step { estimate: 5 * SECOND, ..speculative(1) }]));
        emulator.run_for(SECOND * 5 / 2);
        let worker = emulator.observer.worker_of(task).expect("a run").to_owned();
        let worker = worker_index(&emulator, &worker);
        emulator.workers[worker].is_unresponsive = true;
        emulator.run_for(SECOND * 5 / 2);
        assert_eq!(emulator.observer.run_count(task), 2, "seed {seed}: {:#?}", emulator.log);
        emulator.run_for(SECOND / 2);
        emulator.workers[worker].is_unresponsive = false;
        emulator.run_for(6 * SECOND);
        assert!(is_completed(&mut emulator, 1), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(emulator.observer.run_count(task), 0, "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator);
    }
}

/// Guards against a losing run that is forgotten when the first order to stop it is lost: its worker would get more than its
/// capacity, and the run would go on.
#[test]
fn the_stop_of_the_losing_run_is_repeated() {
    for seed in 0..5 {
        let mut emulator = ready(seed, 2, 2);
        let task = start_straggler(&mut emulator, 1);
        let worker = worker_index(&emulator, &emulator.observer.workers_of(task)[0]);
        emulator.run_for(SECOND / 2);
        emulator.workers[worker].is_unresponsive = true;
        emulator.run_for(SECOND);
        assert!(is_completed(&mut emulator, 1), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(emulator.observer.run_count(task), 1, "seed {seed}");
        assert!(!emulator.observer.is_acknowledged(task), "seed {seed}");
        emulator.workers[worker].is_unresponsive = false;
        emulator.submit(0, 2, job([step(16)]));
        emulator.run_for(3 * SECOND);
        assert_eq!(emulator.observer.run_count(task), 0, "seed {seed}: {:#?}", emulator.log);
        assert!(emulator.observer.is_acknowledged(task), "seed {seed}: {:#?}", emulator.log);
        emulator.run_for(3 * SECOND);
        assert!(is_completed(&mut emulator, 2), "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator);
    }
}

/// Guards against a copy whose order to start is carried out late, after the completion of its task was acknowledged.
#[test]
fn a_late_copy_does_not_start_after_the_acknowledgement() {
    let mut late_starts = 0;
    for seed in 0..20 {
        let mut emulator = ready(seed, 2, 4);
        let task = name(1, 0, 0);
        // The first run ends soon after its copy is ordered.
        emulator.observer.slow_runs.insert(task, 3);
        emulator.submit(0, 1, job([speculative(1)]));
        emulator.run_for(SECOND * 19 / 10);
        let first = worker_index(&emulator, emulator.observer.worker_of(task).expect("a run"));
        for worker in (0..4).filter(|worker| *worker != first) {
            emulator.workers[worker].late_share = 1.0;
            emulator.workers[worker].late_by = SECOND * 7 / 10 + SECOND / 10 * (seed as u32 % 7);
        }
        let mut is_done_alone = false;
        for _ in 0..40 {
            emulator.run_for(SECOND / 20);
            is_done_alone |=
                emulator.observer.completed.contains(&task) && emulator.observer.start_count == 61;
        }
        emulator.workers.iter_mut().for_each(|worker| worker.late_share = 0.0);
        emulator.run_for(SECOND * 20);
        late_starts += u32::from(is_done_alone && emulator.observer.start_count == 62);
        assert!(is_completed(&mut emulator, 1), "seed {seed}: {:#?}", emulator.log);
        assert!(emulator.observer.is_acknowledged(task), "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator);
    }
    println!("{late_starts} copies started after the first run was done");
    assert!(late_starts > 0);
}

/// Guards against violations that only a combination of faults, slow runs and failed runs causes, in jobs with and without
/// copies.
#[test]
fn random_faults_with_copies_violate_no_guarantee() {
    let seeds = std::env::var("NUTMEGFOLD_SCHEDULES").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    let mut copies = 0;
    for seed in 0..seeds {
        let mut emulator = ready(seed, 4, 8);
        emulator.set_copy_share(50);
        for round in 1..=12 {
            let last = Step { depends_on: vec![0], ..speculative(2) };
            for index in 0..2 {
                emulator.observer.slow_runs.insert(name(round, index, index), 5);
            }
            if emulator.next_random().is_multiple_of(3) {
                emulator.observer.injected_failures.insert(name(round, 1, 1), 2);
            }
            let vm = (0..4).find(|vm| emulator.is_up(*vm)).expect("a VM is up");
            let first = if round % 2 == 0 { step(2) } else { speculative(2) };
            emulator.submit(vm, round, job([first, last]));
            inject_random_fault(&mut emulator);
            emulator.run_for(SECOND);
        }
        emulator.store.is_down = false;
        emulator.workers.iter_mut().for_each(|worker| worker.is_unresponsive = false);
        for vm in 0..4 {
            if !emulator.is_up(vm) {
                emulator.start(vm);
            }
        }
        emulator.run_for(40 * SECOND);
        if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !emulator.observer.violations.is_empty() {
            println!("{}", emulator.log.join("\n"));
        }
        assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
        copies += emulator.decisions.get("copy").copied().unwrap_or_default();
        let vm = emulator.leader().expect("a leader");
        for id in 1..=12 {
            let answer = emulator.read_job(vm, id);
            let is_settled =
                matches!(answer, Some(Answer::Phase(Phase::Completed | Phase::Failed) | Answer::UnknownJob));
            assert!(is_settled, "seed {seed}, job {id}: {answer:?}");
        }
    }
    println!("{copies} copies over {seeds} seeds");
    assert!(copies > seeds, "{copies} copies over {seeds} seeds");
}

fn inject_random_fault(emulator: &mut Emulator) {
    let worker = (emulator.next_random() % 8) as usize;
    match emulator.next_random() % 10 {
        0 => {
            let vm = (emulator.next_random() % 4) as usize;
            if emulator.is_up(vm) && (0..4).filter(|vm| emulator.is_up(*vm)).count() > 1 {
                emulator.kill(vm);
            }
        }
        1 => {
            if let Some(vm) = (0..4).find(|vm| !emulator.is_up(*vm)) {
                emulator.start(vm);
            }
        }
        2 => emulator.workers[worker].is_unresponsive = true,
        3 | 4 => emulator.workers.iter_mut().for_each(|worker| worker.is_unresponsive = false),
        5 => emulator.workers[worker].lost_start_replies = 2,
        6 => emulator.restart_worker(worker),
        7 => emulator.store.revoke_leases(),
        8 => emulator.store.lost_commit_replies = 2,
        _ => emulator.store.is_down = !emulator.store.is_down,
    }
}
