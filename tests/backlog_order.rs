//! Tests of the order of waiting groups on a day with more work than room, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, config, job, step};
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::backlog::{self, Class, Order, Rank, Waiting};
use nutmegfold::core::work::config::{Config, Queue};
use nutmegfold::core::work::spec::{Id, Name, Spec, Step};
use nutmegfold::hash;

const SECOND: Duration = Duration::from_secs(1);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Workers of the deployment; each has room for four tasks.
const WORKERS: usize = 6;

/// Jobs that are submitted in a day, and the time between two submissions while there is more work than room.
const JOBS: u64 = 400;
const CROWDED_INTERVAL: Duration = Duration::from_millis(200);

/// Resolution of the times at which jobs end.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time that the work of a day takes.
const DAY: Duration = Duration::from_secs(400);

/// The order by deadline that [`backlog::rank`] has replaced.
fn by_deadline(waiting: &Waiting, now: Instant) -> Rank {
    let is_late = waiting.deadline < now && !waiting.is_long_running;
    let class = if is_late { Class::Late } else { Class::InTime };
    Rank { priority: waiting.priority, class, at: waiting.deadline }
}

/// Kinds of jobs, by the number of their tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Small,
    Chain,
    Large,
}

const KINDS: [Kind; 3] = [Kind::Small, Kind::Chain, Kind::Large];

/// A job of a kind with a random estimate.
fn spec(kind: Kind, estimate: Duration) -> Spec {
    let step = |count| Step { estimate, ..step(count) };
    match kind {
        Kind::Small => job([step(2)]),
        Kind::Chain => {
            job([step(2), Step { depends_on: vec![0], ..step(2) }, Step { depends_on: vec![1], ..step(2) }])
        }
        Kind::Large => job([step(12)]),
    }
}

/// Queue of all kinds: the time to the deadline is 2 s and twice the estimated critical path.
fn queues() -> Config {
    let base = config();
    let queue = Queue { objective: 2 * SECOND, stretch: 2.0, ..base.queues[0].clone() };
    Config { version: 2, queues: vec![queue], ..base }
}

/// A submitted job.
#[derive(Debug)]
struct Submitted {
    kind: Kind,
    at: Instant,
    allowance: Duration,
    last_tasks: Vec<Name>,
    ended_at: Option<Instant>,
}

impl Submitted {
    /// Time from the submission to the end.
    fn duration(&self) -> Duration {
        self.ended_at.unwrap_or_else(|| panic!("{self:?} has not ended")).since(self.at)
    }

    fn is_in_time(&self) -> bool {
        self.duration() <= self.allowance
    }
}

/// Submits a job that is random, but the same for each order. Its run times differ from the estimate by a random factor.
fn submit(emulator: &mut Emulator, seed: u64, id: u64) -> Submitted {
    let random = |salt: u64, below: u64| hash::numbers([seed, id, salt]) % below;
    let kind = KINDS[random(0, KINDS.len() as u64) as usize];
    let estimate = MILLISECOND * (500 + random(1, 1_500)) as u32;
    let slowdown = 0.8 + random(2, 700) as f64 / 1_000.0;
    emulator.observer.slowdowns.insert(Id(id), slowdown);
    let spec = spec(kind, estimate);
    let last = spec.steps.len() as u32 - 1;
    let last_tasks = (0..spec.steps[last as usize].count)
        .map(|index| Name { job: Id(id), occurrence: 0, step: last, index })
        .collect();
    let allowance = queues().queues[0].deadline(spec.critical_path());
    emulator.submit(0, id, spec);
    Submitted { kind, at: emulator.now, allowance, last_tasks, ended_at: None }
}

/// Plays a day on which jobs are submitted faster than they can run, but for a third of each minute if there are breaks,
/// until all have ended.
fn play(seed: u64, order: Order, count: u64, has_breaks: bool) -> Vec<Submitted> {
    let mut emulator = Emulator::new(seed, 1, WORKERS);
    emulator.store.set_config(queues());
    emulator.set_backlog_order(order);
    emulator.run_for(3 * SECOND);
    let begin = emulator.now;
    let (mut jobs, mut next): (Vec<Submitted>, Instant) = (Vec::new(), begin);
    while emulator.now.since(begin) < DAY {
        while (jobs.len() as u64) < count && next <= emulator.now {
            let submitted = submit(&mut emulator, seed, jobs.len() as u64);
            jobs.push(submitted);
            let is_calm = has_breaks && emulator.now.since(begin).as_secs() % 60 >= 40;
            next = next + if is_calm { 3 * CROWDED_INTERVAL } else { CROWDED_INTERVAL };
        }
        emulator.run_for(LOOK_INTERVAL);
        let completed = &emulator.observer.completed;
        for job in jobs.iter_mut().filter(|job| job.ended_at.is_none()) {
            if job.last_tasks.iter().all(|task| completed.contains(task)) {
                job.ended_at = Some(emulator.now);
            }
        }
        if jobs.len() as u64 == count && jobs.iter().all(|job| job.ended_at.is_some()) {
            break;
        }
    }
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
    jobs
}

/// Numbers of jobs that have ended by their deadline, by kind.
fn in_time(jobs: &[Submitted]) -> [usize; 3] {
    let is_counted = |kind| jobs.iter().filter(move |job| job.kind == kind && job.is_in_time()).count();
    KINDS.map(is_counted)
}

fn slowest(jobs: &[Submitted]) -> Duration {
    jobs.iter().map(Submitted::duration).max().unwrap_or_default()
}

/// Guards against an order by which jobs that are late anyway take the capacity of others, against one that prefers small or
/// large jobs, and against one that leaves the late ones until much later than before.
#[test]
fn late_jobs_take_the_capacity_of_jobs_in_time() {
    let (mut before, mut after) = ([0; 3], [0; 3]);
    for seed in 0..3 {
        let days = [by_deadline, backlog::rank].map(|order| play(seed, order, JOBS, true));
        let counts = days.each_ref().map(|jobs| in_time(jobs));
        let slowest = days.each_ref().map(|jobs| slowest(jobs));
        println!("seed {seed}: in time by deadline and by slack {counts:?}, slowest {slowest:?}");
        assert!(slowest[1] < slowest[0] * 5 / 4, "seed {seed}: slowest {slowest:?}");
        for kind in 0..KINDS.len() {
            before[kind] += counts[0][kind];
            after[kind] += counts[1][kind];
        }
    }
    assert!(after.iter().sum::<usize>() * 2 >= before.iter().sum::<usize>() * 3, "{before:?}, {after:?}");
    for kind in 0..KINDS.len() {
        assert!(after[kind] * 4 >= before[kind] * 5, "{:?}: {before:?}, {after:?}", KINDS[kind]);
    }
}

/// Guards against a late job that waits as long as jobs in time keep coming.
#[test]
fn a_late_job_waits_until_no_more_jobs_come() {
    /// Jobs that are submitted in 120 s, and those of them that are submitted in the first 5 s. There is about twice as much work
    /// as room, so the turns of starving groups do not suffice for all late jobs.
    const STEADY_JOBS: u64 = 600;
    const FIRST_JOBS: usize = 25;
    let jobs = play(1, backlog::rank, STEADY_JOBS, false);
    let last = jobs.iter().map(|job| job.at).max().expect("jobs");
    let late = jobs[..FIRST_JOBS].iter().filter(|job| !job.is_in_time());
    let (ended, waiting): (Vec<_>, Vec<_>) = late.partition(|job| job.at + job.duration() < last);
    assert!(!ended.is_empty());
    assert!(waiting.is_empty(), "{} late jobs of the first 5 s have not ended: {waiting:#?}", waiting.len());
}

/// Guards against a chain that leaves out a step, so that a job is taken as one in time until its last step is reached.
#[test]
fn a_chain_is_shorter_than_the_steps_that_depend_on_it() {
    let step = |seconds: u32, depends_on: &[u32]| Step {
        estimate: seconds * SECOND,
        depends_on: depends_on.to_vec(),
        ..step(1)
    };
    let spec = job([step(1, &[]), step(5, &[]), step(2, &[0]), step(3, &[0, 1]), step(4, &[2])]);
    assert_eq!(spec.remaining_chains(), [7, 8, 6, 3, 4].map(|seconds| seconds * SECOND));
    assert_eq!(spec.remaining_chains().into_iter().max(), Some(spec.critical_path()));
}
