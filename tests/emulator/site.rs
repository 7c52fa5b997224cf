//! The day of the users' incident 37 on a deployment of the size of their site dorikal-grown.
//!
//! 490 workers run long-running jobs, batch jobs and filling jobs. Half of the workers leave half of their orders without an
//! answer for 14 s and carry them out late; meanwhile 15% of the workers leave after a notice, and 12% and then 10% crash
//! for good. The leader has half a core. Workers and tasks have half of the resources of the site's, so as many tasks fit on
//! a worker.

use std::time::Duration;

use nutmegfold::core::time::Instant;
use nutmegfold::core::work::config::{Config, Queue};
use nutmegfold::core::work::place::Tally;
use nutmegfold::core::work::request::{Answer, Ticket, Verb};
use nutmegfold::core::work::spec::{Id, Name, Resources, Spec, Step};
use nutmegfold::hash::{Map, Set};

use super::{Counts, Emulator, config, job, step};

/// Number of workers of the site.
pub const WORKERS: usize = 490;

/// Share of a core of an entry VM (`cpu_share` of the site).
pub const PROCESSOR_SHARE: f64 = 0.5;

/// Time for which a caller waits for an answer (`deadline_ms` of the site).
pub const DEADLINE: Duration = Duration::from_millis(3_000);

/// Time after the last disruption in which the scheduler catches up (`catch_up_s` of the site).
pub const CATCH_UP: Duration = Duration::from_millis(6_000);

/// Times of the play in milliseconds: first long-running job, begin of the traffic, begin and end of the trouble.
const FILL_AT: u64 = 2_000;
const TRAFFIC_AT: u64 = 4_000;
pub const TROUBLE_AT: u64 = 10_000;
pub const TROUBLE_END: u64 = TROUBLE_AT + 17_500;

/// Times within the trouble, in milliseconds after its begin.
const NOTICE_AT: u64 = 2_000;
const LEAVE_AT: u64 = 4_000;
const FIRST_CRASH_AT: u64 = 7_000;
const SECOND_CRASH_AT: u64 = 13_500;
const UNANSWERED_MS: u64 = 14_000;

/// Share of the orders that get no answer, and delay after which these are carried out.
const UNANSWERED_SHARE: f64 = 0.5;
const UNANSWERED_BY: Duration = Duration::from_millis(600);

/// Long-running jobs at the begin (`filled` of the site), and the time over which they are submitted.
const FILLED_JOBS: u64 = 163;
const FILL_MS: u64 = 4_000;

/// Time between two submitted jobs: about 31 jobs in a second.
const SUBMISSION_INTERVAL_MS: u64 = 32;

/// Mean time after which a long-running job is cancelled (`stay_s` of the site).
const STAY_MS: u64 = 70_000;

/// Images of the long-running jobs and of the filling jobs.
const SERVING_IMAGES: u64 = 10;
const FILLING_IMAGES: u64 = 18;

/// Queues of the three kinds of jobs: batch, filling and long-running.
const BATCH: &str = "/order-quote/";
const FILLING: &str = "/tension-test/";
const LONG_RUNNING: &str = "/fibre-plan/";

/// What a second of the play has counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    pub counts: Counts,
    pub tally: Tally,
    pub visits: u64,
    pub used: Duration,
    pub used_by_placement: Duration,
    pub ready_tasks: usize,
    pub ready_groups: usize,
    pub waiting_inputs: usize,
    pub longest_wait: Duration,
    pub doubtful: u64,
    pub not_sent: u64,
    pub lost: u64,
    pub ended: u64,
    pub silent: u64,
}

/// A request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub ticket: Ticket,
    pub at: Instant,
}

/// A play of the day.
pub struct Play {
    pub emulator: Emulator,
    pub seconds: Vec<Second>,
    pub requests: Vec<Sent>,
    /// Long-running jobs that were not cancelled.
    pub long_running: Set<Id>,
    began_at: Instant,
    elapsed_ms: u64,
    last_id: u64,
    has_trouble: bool,
    /// Cancellations by their time.
    cancellations: Vec<(u64, &'static str, u64)>,
    before: Second,
}

impl Play {
    /// A deployment before its first second. Without trouble the workers answer and stay.
    pub fn new(seed: u64, has_trouble: bool) -> Self {
        let mut emulator = Emulator::with_cpu_millicores(seed, &[500], WORKERS);
        emulator.store.set_config(three_queues());
        emulator.worker_step = Duration::from_millis(10);
        emulator.limit_processor(0, PROCESSOR_SHARE);
        let began_at = emulator.now;
        Self {
            emulator,
            seconds: Vec::new(),
            requests: Vec::new(),
            long_running: Set::default(),
            began_at,
            elapsed_ms: 0,
            last_id: 0,
            has_trouble,
            cancellations: Vec::new(),
            before: Second::default(),
        }
    }

    /// Time of the emulator at which the play has lasted for this long.
    pub fn at(&self, elapsed_ms: u64) -> Instant {
        self.began_at + Duration::from_millis(elapsed_ms)
    }

    /// Plays until the play has lasted for this long.
    pub fn run_until(&mut self, elapsed_ms: u64) {
        const STEP_MS: u64 = 2;
        while self.elapsed_ms < elapsed_ms {
            self.act();
            self.emulator.run_for(Duration::from_millis(STEP_MS));
            self.elapsed_ms += STEP_MS;
            if self.elapsed_ms.is_multiple_of(1_000) {
                self.count_second();
            }
        }
    }

    /// Sends the requests that are due, and begins and ends disruptions.
    fn act(&mut self) {
        let now = self.elapsed_ms;
        if (FILL_AT..FILL_AT + FILL_MS).contains(&now) {
            let due = (now - FILL_AT + 2) * FILLED_JOBS / FILL_MS - (now - FILL_AT) * FILLED_JOBS / FILL_MS;
            (0..due).for_each(|_| self.submit_long_running());
        }
        if now >= TRAFFIC_AT && now.is_multiple_of(SUBMISSION_INTERVAL_MS) {
            // The weights of the three kinds are those of the site's traffic.
            match self.emulator.next_random() % 312 {
                0..9 => self.submit_long_running(),
                9..116 => self.submit_batch(),
                _ => self.submit_filling(),
            }
        }
        while let Some(index) = self.cancellations.iter().position(|(at, ..)| *at <= now) {
            let (_, queue, id) = self.cancellations.swap_remove(index);
            self.long_running.remove(&Id(id));
            self.request(queue, id, Verb::Cancel);
        }
        if self.has_trouble && now >= TROUBLE_AT {
            self.disrupt(now - TROUBLE_AT);
        }
    }

    fn disrupt(&mut self, elapsed_ms: u64) {
        for worker in 0..WORKERS {
            let place = worker % 100;
            match elapsed_ms {
                0 if (worker / 100 + worker).is_multiple_of(2) => {
                    self.emulator.workers[worker].late_share = UNANSWERED_SHARE;
                    self.emulator.workers[worker].late_by = UNANSWERED_BY;
                }
                UNANSWERED_MS => self.emulator.workers[worker].late_share = 0.0,
                NOTICE_AT if place < 15 => self.emulator.drain_worker(worker),
                LEAVE_AT if place < 15 => self.emulator.end_worker(worker),
                FIRST_CRASH_AT if (15..27).contains(&place) => self.emulator.end_worker(worker),
                SECOND_CRASH_AT if (27..37).contains(&place) => self.emulator.end_worker(worker),
                _ => {}
            }
        }
    }

    /// A value around a mean, which differs from it by up to `spread` of it.
    fn draw(&mut self, mean: f64, spread: f64) -> u32 {
        let share = (self.emulator.next_random() % 2_001) as f64 / 1_000.0 - 1.0;
        (mean * (1.0 + spread * share)).round().max(1.0) as u32
    }

    fn resources(&mut self, cpu_millicores: (f64, f64), memory_mb: (f64, f64)) -> Resources {
        Resources {
            cpu_millicores: self.draw(cpu_millicores.0, cpu_millicores.1) / 25 * 25,
            memory_mb: self.draw(memory_mb.0, memory_mb.1),
            gpu: 0,
        }
    }

    fn submit_long_running(&mut self) {
        let step = Step {
            resources: self.resources((1_600.0, 0.25), (3_200.0, 0.3)),
            is_long_running: true,
            image: format!("desk-{}", self.emulator.next_random() % SERVING_IMAGES),
            latency_target: Some(Duration::from_millis(50)),
            max_per_worker: self.emulator.next_random().is_multiple_of(2).then_some(1),
            max_unavailable: 1,
            ..step(self.draw(14.0, 0.4))
        };
        let id = self.submit(LONG_RUNNING, [step]);
        self.long_running.insert(Id(id));
        // Half of the time that is left of the jobs of the begin has passed on average.
        let stay_ms = self.emulator.next_random() % (STAY_MS * 2);
        self.cancellations.push((self.elapsed_ms + 1_000 + stay_ms, LONG_RUNNING, id));
    }

    fn submit_batch(&mut self) {
        let (resources, width) = (self.resources((1_400.0, 0.45), (2_800.0, 0.3)), self.draw(9.5, 0.8));
        let max_per_worker = (self.emulator.next_random() % 100 < 15).then_some(1);
        let count = 1 + u32::from(self.emulator.next_random() % 10 < 6);
        let estimate = Duration::from_millis(self.draw(1_000.0, 0.5).into());
        let steps = chain(count, &Step { resources, estimate, max_per_worker, ..step(width) });
        self.submit(BATCH, steps);
    }

    fn submit_filling(&mut self) {
        let (resources, width) = (self.resources((900.0, 0.3), (1_600.0, 0.3)), self.draw(20.0, 0.6));
        let filling = Step {
            resources,
            estimate: Duration::from_millis(self.draw(2_200.0, 0.5).into()),
            is_filling: true,
            is_checkpointable: self.emulator.next_random() % 100 < 85,
            image: format!("fill-{}", self.emulator.next_random() % FILLING_IMAGES),
            ..step(width)
        };
        let count = 1 + (self.emulator.next_random() % 3) as u32;
        let id = self.submit(FILLING, chain(count, &filling));
        if self.emulator.next_random().is_multiple_of(20) {
            self.cancellations.push((self.elapsed_ms + 1_000, FILLING, id));
        }
    }

    fn submit(&mut self, queue: &'static str, steps: impl IntoIterator<Item = Step>) -> u64 {
        self.last_id += 1;
        let spec: Spec = job(steps);
        self.emulator.observer.record_submission(Id(self.last_id), &spec);
        self.request(queue, self.last_id, Verb::Submit(spec));
        self.last_id
    }

    fn request(&mut self, queue: &str, id: u64, verb: Verb) {
        let at = self.emulator.now;
        let ticket = self.emulator.request(0, &format!("{queue}{}", Id(id)), verb);
        self.requests.push(Sent { ticket, at });
    }

    fn count_second(&mut self) {
        let longest_wait = self.emulator.take_longest_wait(0);
        let emulator = &self.emulator;
        let decided = |names: &[&str]| names.iter().filter_map(|name| emulator.decisions.get(name)).sum();
        let processor = emulator.processor(0);
        let total = Second {
            counts: emulator.counts,
            tally: emulator.placement_tally(),
            visits: emulator.placement_visits(),
            used: processor.used,
            used_by_placement: processor.used_by_placement,
            ready_tasks: emulator.ready_count(),
            ready_groups: emulator.ready_group_count(),
            waiting_inputs: processor.waiting.len(),
            longest_wait,
            doubtful: decided(&["start-doubtful"]),
            not_sent: decided(&["start-not-sent"]),
            lost: decided(&["lost-lease", "lost-stopped", "lost-unlisted", "lost-restart"]),
            ended: decided(&["ended"]),
            silent: decided(&["worker-silent"]),
        };
        let before = std::mem::replace(&mut self.before, total);
        let (counts, earlier) = (total.counts, before.counts);
        self.seconds.push(Second {
            counts: Counts {
                starts: counts.starts - earlier.starts,
                stops: counts.stops - earlier.stops,
                renewals: counts.renewals - earlier.renewals,
                paces: counts.paces - earlier.paces,
                key_reads: counts.key_reads - earlier.key_reads,
                commits: counts.commits - earlier.commits,
                watches: counts.watches - earlier.watches,
                events: counts.events - earlier.events,
            },
            tally: total.tally.since(&before.tally),
            visits: total.visits - before.visits,
            used: total.used - before.used,
            used_by_placement: total.used_by_placement - before.used_by_placement,
            doubtful: total.doubtful - before.doubtful,
            not_sent: total.not_sent - before.not_sent,
            lost: total.lost - before.lost,
            ended: total.ended - before.ended,
            silent: total.silent - before.silent,
            ..total
        });
    }

    /// Requests sent between two times that got no answer in time, or one that says that their outcome is not known, and the
    /// number of all requests that were sent then.
    pub fn unanswered(&self, from: Instant, to: Instant) -> (usize, usize) {
        let sent: Vec<&Sent> = self.requests.iter().filter(|sent| (from..to).contains(&sent.at)).collect();
        let is_answered = |sent: &&&Sent| {
            let emulator = &self.emulator;
            let answer = emulator.answers.get(&sent.ticket).filter(|answer| **answer != Answer::Unknown);
            let at = emulator.answered_at.get(&sent.ticket);
            answer.is_some() && at.is_some_and(|at| at.since(sent.at) <= DEADLINE)
        };
        (sent.len() - sent.iter().filter(is_answered).count(), sent.len())
    }

    /// Tasks of long-running jobs that do not run, and that a pass would start now since there is room.
    pub fn waiting_with_room(&mut self) -> Set<Name> {
        let starts = self.emulator.starts_of_pass(0, true);
        let is_waiting =
            |name: &Name| self.long_running.contains(&name.job) && !self.emulator.observer.is_running(*name);
        starts.into_iter().map(|(name, _)| name).filter(is_waiting).collect()
    }

    /// Answers by their names.
    pub fn answers(&self) -> Map<&'static str, usize> {
        let mut names: Map<&'static str, usize> = Map::default();
        self.emulator.answers.values().for_each(|answer| *names.entry(answer.name()).or_default() += 1);
        names
    }
}

/// Equal steps, each after the one before.
fn chain(count: u32, step: &Step) -> Vec<Step> {
    (0..count)
        .map(|number| Step { depends_on: number.checked_sub(1).into_iter().collect(), ..step.clone() })
        .collect()
}

/// Configuration with a queue of each kind of job, with the priorities and stretches of the site.
fn three_queues() -> Config {
    let base = config();
    let queue = |prefix: &str, priority: u32, stretch: f64| Queue {
        name: prefix.trim_matches('/').into(),
        prefix: prefix.into(),
        priority,
        stretch,
        ..base.queues[0].clone()
    };
    let queues = vec![queue(BATCH, 0, 1.5), queue(FILLING, 2, 2.0), queue(LONG_RUNNING, 0, 2.2)];
    Config { version: 2, queues, ..base }
}
