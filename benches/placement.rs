//! Cost of a placement pass in a deployment without room, with 10,000 tasks ready.
//!
//! `cargo bench --bench placement` prints a row for each number of workers. The visits are the same in each run; times are
//! those of the machine.

#[path = "../tests/emulator/mod.rs"]
mod emulator;

use std::time::Duration;

use emulator::{Emulator, HOST, config, job, step};
use nutmegfold::core::work::config::{Config, Queue};
use nutmegfold::core::work::request::Verb;
use nutmegfold::core::work::spec::{Id, Resources, Step};

/// Numbers of workers: those of two grown deployments and of the large one.
const WORKERS: [usize; 3] = [350, 490, 890];

/// Jobs that wait, and tasks of each.
const WAITING_JOBS: u64 = 1_400;
const TASKS_PER_JOB: u32 = 8;

/// Images of the filling tasks.
const IMAGES: u64 = 9;

/// Work of a waiting task: nothing that has started ends while the passes are measured.
const TASK_DURATION: Duration = Duration::from_secs(600);

/// Virtual time that is measured, after the queue has been built up.
const MEASURED: Duration = Duration::from_secs(2);

/// A serving task that leaves little of the worker to others.
fn serving() -> Step {
    Step {
        resources: Resources { cpu_millicores: 6_500, memory_mb: 1_000, gpu: 0 },
        is_long_running: true,
        image: "desk".into(),
        latency_target: Some(Duration::from_millis(40)),
        ..step(1)
    }
}

/// A job whose tasks find no room: every third has filling tasks, the others differ in size.
fn waiting(id: u64) -> Step {
    let cpu_millicores = 1_600 + (id % 40) as u32 * 10;
    let resources = Resources { cpu_millicores, memory_mb: 500 + (id % 7) as u32 * 100, gpu: 0 };
    let sized = Step { resources, estimate: TASK_DURATION, ..step(TASKS_PER_JOB) };
    if id.is_multiple_of(3) {
        Step { is_filling: true, image: format!("fill-{}", id % IMAGES), ..sized }
    } else {
        sized
    }
}

/// Configuration with a queue of each of three priorities.
fn three_priorities() -> Config {
    let base = config();
    let queue = |priority: u32| Queue {
        name: format!("jobs-{priority}"),
        prefix: format!("/p{priority}/"),
        priority,
        ..base.queues[0].clone()
    };
    let queues = base.queues.iter().cloned().chain((0..3).map(queue)).collect();
    Config { version: 2, queues, ..base }
}

fn submit(emulator: &mut Emulator, prefix: &str, id: u64, step: Step) {
    let spec = job([step]);
    emulator.observer.record_submission(Id(id), &spec);
    emulator.request(0, &format!("{prefix}{}", Id(id)), Verb::Submit(spec));
}

fn measure(workers: usize) {
    let mut emulator = Emulator::new(1, 1, workers);
    emulator.store.set_config(three_priorities());
    emulator.run_for(Duration::from_secs(1));
    assert!(emulator.leader().is_some() && HOST == config().queues[0].host);
    for id in 0..workers as u64 {
        submit(&mut emulator, "/p1/", 1_000_000 + id, serving());
    }
    emulator.run_for(Duration::from_secs(2));
    for id in 0..WAITING_JOBS {
        submit(&mut emulator, &format!("/p{}/", id % 3), id, waiting(id));
    }
    emulator.run_for(Duration::from_secs(3));
    let visits = emulator.placement_visits();
    emulator.pass_times.clear();
    emulator.run_for(MEASURED);
    let visits = emulator.placement_visits() - visits;
    let times = &emulator.pass_times;
    let total: Duration = times.iter().sum();
    let passes = times.len().max(1) as u32;
    println!(
        "{workers} workers, {} ready tasks: {passes} passes in {MEASURED:?}, {} visits a pass, mean {:?}, longest {:?}, {:.1}% of the time",
        emulator.ready_count(),
        visits / u64::from(passes),
        total / passes,
        times.iter().max().copied().unwrap_or_default(),
        total.as_secs_f64() / MEASURED.as_secs_f64() * 100.0
    );
}

fn main() {
    for workers in WORKERS {
        measure(workers);
    }
}
