//! Tests of a long queue of ready tasks: what a placement pass costs, and that no task with room waits for it.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, config, job, step};
use nutmegfold::core::work::config::{Config, Queue};
use nutmegfold::core::work::request::{Answer, Phase, Verb};
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};
use nutmegfold::core::work::tuning::Tuning;

const SECOND: Duration = Duration::from_secs(1);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of workers.
const WORKERS: usize = 60;

/// Most passes in a second: one each 4 ms.
const PASSES_PER_SECOND: u64 = 250;

/// Most workers that may be examined between two events: about 1 ms of processor time.
const VISITS_BETWEEN_EVENTS_MAX: u64 = 45_000;

/// All cores of a worker, and most of them.
const WHOLE_WORKER: Resources = Resources { cpu_millicores: 8_000, memory_mb: 1_000, gpu: 0 };
const MOST_OF_WORKER: Resources = Resources { cpu_millicores: 7_000, memory_mb: 1_000, gpu: 0 };

/// Memory of a worker but for what a small task needs.
const MOST_MEMORY: Resources = Resources { cpu_millicores: 1_000, memory_mb: 31_000, gpu: 0 };

/// Resources of which a worker has enough for many runs.
const LITTLE: Resources = Resources { cpu_millicores: 10, memory_mb: 10, gpu: 0 };

/// Identity of the job whose tasks occupy workers.
const OCCUPYING_JOB: u64 = 1_000_000;

/// Emulated deployment after one second, in which it has elected a leader and discovered its workers.
fn ready(seed: u64, workers: usize) -> Emulator {
    let mut emulator = Emulator::new(seed, 1, workers);
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator
}

/// A deployment of which each worker has a task that runs until its job is cancelled.
fn occupied(seed: u64, workers: usize, resources: Resources) -> Emulator {
    let mut emulator = ready(seed, workers);
    let occupying = Step { resources, is_long_running: true, ..step(workers as u32) };
    emulator.submit(0, OCCUPYING_JOB, job([occupying]));
    emulator.run_for(2 * SECOND);
    assert_eq!(emulator.ready_count(), 0, "seed {seed}: {:#?}", emulator.log);
    emulator
}

fn assert_no_violation(emulator: &Emulator, seed: u64) {
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

/// Guards against a leader that searches all workers for each waiting task whenever one worker has answered, although
/// nothing has changed that could give the task room.
#[test]
fn each_pass_searches_all_workers_for_each_need_that_waits() {
    let mut emulator = ready(1, WORKERS);
    emulator.set_reserve(0);
    // Half of the workers have processor time left, and the others have memory left.
    for (id, resources) in [(OCCUPYING_JOB, MOST_MEMORY), (OCCUPYING_JOB + 1, MOST_OF_WORKER)] {
        let occupying =
            Step { resources, is_long_running: true, max_per_worker: Some(1), ..step(WORKERS as u32 / 2) };
        emulator.submit(0, id, job([occupying]));
        emulator.run_for(SECOND);
    }
    // Each job needs more processor time and less memory than the one before, so none implies another.
    for id in 0..300_u32 {
        let resources = Resources { cpu_millicores: 1_001 + id, memory_mb: 1_401 - id, gpu: 0 };
        emulator.submit(0, u64::from(id), job([Step { resources, ..step(4) }]));
    }
    emulator.run_for(2 * SECOND);
    assert_eq!(emulator.ready_count(), 1_200, "{:#?}", emulator.log);
    let before = emulator.placement_visits();
    emulator.run_for(SECOND);
    let visits = emulator.placement_visits() - before;
    let most = PASSES_PER_SECOND * WORKERS as u64;
    assert!(visits <= most, "{visits} workers examined in a second in which nothing could start");
    assert_no_violation(&emulator, 1);
}

/// Guards against a pass that places a long queue at once, while answers of the store and of the workers wait behind it.
#[test]
fn answers_wait_behind_the_placement_of_a_long_queue() {
    let mut emulator = ready(2, WORKERS);
    for id in 0..20 {
        emulator.submit(0, id, job([Step { resources: LITTLE, ..step(200) }]));
    }
    emulator.run_for(5 * SECOND);
    let most = emulator.most_visits;
    assert!(most <= VISITS_BETWEEN_EVENTS_MAX, "{most} workers examined between two events");
    for id in 0..20 {
        assert_eq!(emulator.read_job(0, id), Some(Answer::Phase(Phase::Completed)), "job {id}");
    }
    assert_no_violation(&emulator, 2);
}

/// Guards against a pass that searches all workers for each task of a group, so that it ends after a few starts although
/// hundreds of workers have room.
#[test]
fn a_pass_searches_all_workers_for_each_task_of_a_group() {
    const HUNDREDS_OF_WORKERS: usize = 300;
    const TASKS: u32 = 90;
    let mut emulator = ready(6, HUNDREDS_OF_WORKERS);
    emulator.run_for(2 * SECOND);
    emulator.most_visits = 0;
    emulator.submit(0, 1, job([step(TASKS)]));
    emulator.run_for(SECOND / 10);
    assert_eq!(emulator.ready_count(), 0, "{:#?}", emulator.log);
    // The pass compares the workers with how the last one saw them, searches them once, and looks at each chosen one again.
    let most = 2 * HUNDREDS_OF_WORKERS as u64 + u64::from(TASKS);
    let visits = emulator.most_visits;
    assert!(visits <= most, "{visits} workers examined in a pass that starts {TASKS} tasks");
    assert_no_violation(&emulator, 6);
}

/// Guards against a pass that starts a long queue at once where there is room for all of it, while answers wait behind it.
#[test]
fn a_pass_starts_all_tasks_of_a_large_group_at_once() {
    const STARTS_PER_PASS_MAX: usize = 100;
    let mut emulator = ready(7, WORKERS);
    emulator.run_for(2 * SECOND);
    emulator.submit(0, 1, job([Step { resources: LITTLE, ..step(450) }]));
    emulator.run_for(6 * MILLISECOND);
    let starts = emulator.starts_of_pass(0, false).len();
    assert!(starts <= STARTS_PER_PASS_MAX, "{starts} starts in a pass");
    emulator.run_for(SECOND / 2);
    assert_eq!(emulator.ready_count(), 0, "{:#?}", emulator.log);
    assert_no_violation(&emulator, 7);
}

/// Configuration with a second queue, at `/urgent/`, of the highest priority.
fn with_urgent_queue() -> Config {
    let base = config();
    let jobs = Queue { priority: 2, ..base.queues[0].clone() };
    let urgent = Queue { name: "urgent".into(), prefix: "/urgent/".into(), priority: 0, ..jobs.clone() };
    Config { version: 2, queues: vec![jobs, urgent], ..base }
}

/// Guards against an urgent task that waits until the groups of a long queue have had their turn, although it has room.
#[test]
fn an_urgent_task_waits_for_the_turns_of_a_long_queue() {
    let mut emulator = Emulator::new(8, 1, WORKERS);
    emulator.store.set_config(with_urgent_queue());
    emulator.run_for(3 * SECOND);
    for id in 0..60 {
        emulator.submit(0, id, job([Step { resources: LITTLE, estimate: 60 * SECOND, ..step(200) }]));
    }
    emulator.run_for(SECOND / 5);
    assert!(emulator.ready_count() > 5_000, "{} tasks are ready", emulator.ready_count());
    let urgent = job([Step { resources: LITTLE, estimate: 60 * SECOND, ..step(5) }]);
    let id = Id(1_000);
    emulator.observer.record_submission(id, &urgent);
    emulator.request(0, &format!("/urgent/{id}"), Verb::Submit(urgent));
    emulator.run_for(SECOND / 20);
    assert!(emulator.ready_count() > 1_000, "{} tasks are ready", emulator.ready_count());
    for index in 0..5 {
        let name = Name { job: id, occurrence: 0, step: 0, index };
        assert!(emulator.observer.is_running(name), "{name} waits: {:#?}", emulator.log);
    }
    assert_no_violation(&emulator, 8);
}

/// Guards against a task with room that never starts, since each pass stops at the groups before it, which find none.
#[test]
fn a_task_with_room_waits_behind_groups_without_room() {
    let mut emulator = occupied(3, WORKERS, MOST_OF_WORKER);
    let limited = Step { resources: WHOLE_WORKER, max_per_worker: Some(1), ..step(1) };
    for id in 0..3_000 {
        emulator.submit(0, id, job([limited.clone()]));
    }
    emulator.run_for(2 * SECOND);
    let last = Step { resources: LITTLE, estimate: 30 * SECOND, ..step(1) };
    emulator.submit(0, 5_000, job([last]));
    emulator.run_for(SECOND / 2);
    let name = Name { job: Id(5_000), occurrence: 0, step: 0, index: 0 };
    assert!(emulator.observer.is_running(name), "no start in half a second");
    assert_no_violation(&emulator, 3);
}

/// A deployment of which half of the workers have crashed for good, with a long queue of filling tasks that may have crashed
/// them, while the processor time of the other workers is used up.
fn with_waiting_suspects(seed: u64) -> Emulator {
    let mut emulator = ready(seed, WORKERS);
    emulator.run_for(5 * SECOND);
    for id in 0..20 {
        let resources = Resources { cpu_millicores: 100, memory_mb: 10, gpu: 0 };
        let filling = Step { is_filling: true, resources, estimate: 600 * SECOND, ..step(WORKERS as u32) };
        emulator.submit(0, id, job([filling]));
    }
    emulator.run_for(SECOND / 10);
    let occupying = Step {
        resources: WHOLE_WORKER,
        is_long_running: true,
        max_per_worker: Some(1),
        ..step(WORKERS as u32)
    };
    emulator.submit(0, OCCUPYING_JOB, job([occupying]));
    emulator.run_for(SECOND / 10);
    assert_eq!(emulator.ready_count(), 0, "seed {seed}: {:#?}", emulator.log);
    for worker in 0..WORKERS / 2 {
        emulator.crash_worker(worker);
        emulator.workers[worker].is_refusing = true;
        emulator.store.unlist_worker(&emulator.workers[worker]);
    }
    emulator.run_for(15 * SECOND);
    emulator
}

/// Guards against placement passes that follow each other without the rest between them, so that answers of the workers and
/// requests wait, while tasks that may have crashed their workers find no worker to start on.
#[test]
fn passes_leave_no_rest_while_suspects_wait() {
    let mut emulator = with_waiting_suspects(5);
    assert!(emulator.ready_count() > 500, "{} tasks wait: {:#?}", emulator.ready_count(), emulator.log);
    let before = emulator.placement_visits();
    emulator.run_for(2 * SECOND);
    let visits = emulator.placement_visits() - before;
    let most = (2 * SECOND).as_nanos() / Tuning::default().place_rest_per_visit.as_nanos();
    assert!(u128::from(visits) <= most, "{visits} workers examined in 2 s, at most {most} allowed");
    assert_no_violation(&emulator, 5);
}

/// Guards against a filling task that waits beside unused processor time, since the headroom of the worker is kept from
/// before its capacity grew.
#[test]
fn a_filling_task_waits_for_the_next_listing_of_a_worker_that_has_grown() {
    for seed in 0..5 {
        let mut emulator = ready(seed, 1);
        emulator.resize_worker(0, 3_000);
        emulator.run_for(SECOND / 2);
        emulator.submit(0, 1, job([Step { resources: WHOLE_WORKER, is_filling: true, ..step(1) }]));
        emulator.run_for(SECOND / 2);
        assert_eq!(emulator.ready_count(), 1, "seed {seed}: {:#?}", emulator.log);
        emulator.resize_worker(0, 8_000);
        // An idle worker is listed every 2.5 s, the first time in the second before the task is submitted.
        emulator.run_for(SECOND / 5);
        let name = Name { job: Id(1), occurrence: 0, step: 0, index: 0 };
        assert!(emulator.observer.is_running(name), "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator, seed);
    }
}

/// A step of a random kind that may or may not find room.
fn random_step(emulator: &mut Emulator) -> Step {
    let mut pick = |values: &[u32]| values[emulator.next_random() as usize % values.len()];
    let resources = Resources {
        cpu_millicores: pick(&[500, 1_000, 2_000, 3_000, 5_000, 8_000]),
        memory_mb: pick(&[500, 2_000, 9_000]),
        gpu: 0,
    };
    let sized =
        Step { resources, estimate: MILLISECOND * pick(&[300, 900, 2_500]), ..step(pick(&[1, 2, 5])) };
    match pick(&[0, 1, 2, 3, 4, 5]) {
        0 => Step { is_long_running: true, ..sized },
        1 => Step { is_filling: true, ..sized },
        2 => Step { max_per_worker: Some(1), ..sized },
        3 => Step { is_gang: true, ..sized },
        4 => Step { required_label: Some("a".into()), ..sized },
        _ => sized,
    }
}

/// Changes a random worker in a way that gives or takes room.
fn change_worker(emulator: &mut Emulator, workers: usize) {
    let worker = emulator.next_random() as usize % workers;
    match emulator.next_random() % 8 {
        0 => emulator.workers[worker].is_unresponsive = true,
        1 => emulator.workers.iter_mut().for_each(|worker| worker.is_unresponsive = false),
        2 => emulator.resize_worker(worker, 3_000),
        3 => emulator.resize_worker(worker, 8_000),
        4 => emulator.drain_worker(worker),
        5 => emulator.resume_worker(worker),
        6 => emulator.workers[worker].is_faulty ^= true,
        _ => emulator.restart_worker(worker),
    }
}

/// Guards against a task that has room and is taken as one without, since what an earlier pass has found out does not hold
/// any more.
#[test]
fn a_task_waits_for_room_that_an_earlier_pass_did_not_find() {
    compare_passes(Tuning::default().reserve_percent);
}

/// Guards against the same for a long-running task, which depends on workers that have not changed while some are kept free.
#[test]
fn a_long_running_task_waits_for_room_that_is_not_kept_any_more() {
    compare_passes(30);
}

/// Compares what passes start with what they start without any knowledge of earlier ones, on few workers of which a share is
/// kept free of long-running runs.
fn compare_passes(reserve_percent: u32) {
    const FEW_WORKERS: usize = 8;
    let mut compared = 0;
    for seed in 0..10 {
        let mut emulator = ready(seed, FEW_WORKERS);
        emulator.set_reserve(reserve_percent);
        for id in 0..60 {
            let step = random_step(&mut emulator);
            emulator.submit(0, id, job([step]));
            if id >= 12 {
                emulator.cancel(0, id - 12);
            }
            change_worker(&mut emulator, FEW_WORKERS);
            for _ in 0..10 {
                let pause = MILLISECOND * (emulator.next_random() % 40) as u32;
                emulator.run_for(pause);
                let (found, expected) = (emulator.starts_of_pass(0, false), emulator.starts_of_pass(0, true));
                assert_eq!(found, expected, "seed {seed}, job {id}: {:#?}", emulator.log);
                compared += expected.len();
            }
        }
        assert_no_violation(&emulator, seed);
    }
    assert!(compared > 0, "no pass would have started a task");
}
