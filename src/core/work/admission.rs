//! Admission control: refuses a submission whose job would start too late to have any value.
//!
//! The start of a job is forecast from the work that is queued ahead of it and the rate at which the workers of its service
//! complete work. Nothing is refused while a worker has room for a first task of the job. A job that was accepted is not
//! looked at again. All of this is state of one leader: the next one begins without observations and accepts all jobs at
//! first.

use std::time::Duration;

use super::config::Queue;
use super::spec::{Resources, Spec, Step};
use super::{backlog, job, run, runtime, symbol, task, worker};
use crate::core::time::Instant;
use crate::hash::Map;

/// Time for which a leader observes before it refuses a submission: it has to hear of the runs that it inherits.
pub const OBSERVE_MIN: Duration = Duration::from_secs(5);

/// Longest use of a survey of the queued work, which looks at all jobs and runs. Jobs accepted meanwhile are added to it.
const SURVEY_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which the ends of runs are counted together. It spans many runs of a few seconds.
const YIELD_PERIOD: Duration = Duration::from_secs(10);

/// Shortest and longest time until a caller may retry. A longer one would leave workers idle after a short crowd.
const RETRY_MIN: Duration = Duration::from_secs(1);
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Which submissions are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// All that are valid.
    #[default]
    All,
    /// Those whose job is forecast to start while it has a value.
    Forecast,
}

/// Tables that a decision reads.
#[derive(Debug, Clone, Copy)]
pub struct Tables<'a> {
    /// Jobs, tasks and ready groups.
    pub jobs: &'a job::Table,
    /// Runs.
    pub runs: &'a run::Table,
    /// Workers.
    pub workers: &'a worker::Table,
    /// Learned run times.
    pub runtimes: &'a runtime::Table,
    /// What is known of the leadership, on which it depends whether workers take runs.
    pub tenure: worker::Tenure,
}

/// A submitted job, as far as the decision depends on it.
#[derive(Debug, Clone, PartialEq)]
pub struct Applicant {
    /// Service whose workers run the tasks.
    pub service: symbol::Key,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Time from its acceptance to its deadline.
    pub allowance: Duration,
    /// Expected run time of its longest chain of dependent steps.
    pub remaining: Duration,
    /// Expected work in core-seconds.
    pub work: f64,
    /// Resources and label that a task of each first step needs.
    first_needs: Vec<(Resources, Option<symbol::Key>)>,
    /// Whether a forecast applies: long-running jobs stay until they are cancelled, filling tasks reserve no processor
    /// time, and occurrences of a schedule are released later.
    is_predictable: bool,
}

impl Applicant {
    /// Describes a job that is submitted to a queue.
    pub fn new(queue: &Queue, spec: &Spec, runtimes: &runtime::Table) -> Self {
        let ratio = backlog::median_ratio(runtimes, symbol::Key::of(&queue.name)).unwrap_or(1.0);
        let critical_path = spec.critical_path();
        let first = spec.steps.iter().filter(|step| step.depends_on.is_empty());
        let need = |step: &Step| (step.charged(), step.required_label.as_deref().map(symbol::Key::of));
        Self {
            service: symbol::Key::of(&queue.service),
            priority: queue.priority,
            allowance: queue.deadline(critical_path),
            remaining: critical_path.mul_f64(ratio),
            work: spec.steps.iter().map(|step| f64::from(step.count) * task_work(step)).sum::<f64>() * ratio,
            first_needs: first.map(need).collect(),
            is_predictable: spec.schedule.is_none() && !spec.is_long_running() && !has_filling_step(spec),
        }
    }

    /// Latest start, from now, at which the job still has a value. At least its time to the deadline: a job whose expected
    /// run time exceeds all of its time would otherwise be refused however short the wait is.
    fn start_limit(&self) -> Duration {
        backlog::value_time(self.allowance).saturating_sub(self.remaining).max(self.allowance)
    }
}

fn has_filling_step(spec: &Spec) -> bool {
    spec.steps.iter().any(|step| step.is_filling)
}

/// Estimated work of one task in core-seconds; zero for tasks that do not end or that reserve no processor time.
fn task_work(step: &Step) -> f64 {
    let cores = f64::from(step.charged().cpu_millicores) / 1_000.0;
    if step.is_long_running { 0.0 } else { cores * step.estimate.as_secs_f64() }
}

/// A refusal, with the figures of its timeline entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Time after which the caller may retry, in seconds.
    pub retry_after_s: u32,
    /// Forecast time until the job would start.
    pub wait: Duration,
    /// Longest such time at which the job would have a value.
    pub limit: Duration,
    /// Work ahead of the job in core-seconds.
    pub ahead: f64,
    /// Rate at which work is completed, in cores.
    pub rate: f64,
}

impl Refusal {
    /// Reason for the timeline.
    pub fn describe(&self, queue: &str) -> String {
        let Self { retry_after_s, wait, limit, ahead, rate } = self;
        format!(
            "queue {queue}: forecast start in {} ms, no value after {} ms, {ahead:.0} core-seconds ahead at {rate:.1} \
             cores, retry after {retry_after_s} s",
            wait.as_millis(),
            limit.as_millis()
        )
    }
}

/// Work of the ended runs of a service in core-seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Ends {
    /// Of all runs.
    spent: f64,
    /// Of the runs that were done.
    done: f64,
}

/// Share of their work that the workers of a service complete: the rest is lost to runs that fail or are stopped.
#[derive(Debug, Clone, Copy, Default)]
struct Yield {
    began: Instant,
    newest: Ends,
    before: Ends,
}

impl Yield {
    fn record(&mut self, work: f64, is_done: bool, now: Instant) {
        if now.since(self.began) >= YIELD_PERIOD {
            *self = Self { began: now, newest: Ends::default(), before: self.newest };
        }
        self.newest.spent += work;
        self.newest.done += if is_done { work } else { 0.0 };
    }

    /// The share; 1 without ended runs.
    fn share(&self) -> f64 {
        let (spent, done) = (self.newest.spent + self.before.spent, self.newest.done + self.before.done);
        if spent > 0.0 { done / spent } else { 1.0 }
    }
}

/// Queued work and its rate.
#[derive(Debug, Clone, Default)]
struct Survey {
    at: Instant,
    /// Expected work of the ready and blocked tasks in core-seconds, by service and priority.
    queued: Map<(symbol::Key, u32), f64>,
    /// Cores that runs occupy which will end, by service.
    busy_cores: Map<symbol::Key, f64>,
}

impl Survey {
    fn new(tables: &Tables<'_>) -> Self {
        let mut survey = Self { at: tables.tenure.now, ..Self::default() };
        let mut ratios: Map<&str, f64> = Map::default();
        for (key, job) in tables.jobs.all.iter().filter(|(_, job)| !job.phase.has_ended()) {
            let ratio = *ratios.entry(job.queue.as_str()).or_insert_with(|| {
                backlog::median_ratio(tables.runtimes, symbol::Key::of(&job.queue)).unwrap_or(1.0)
            });
            let work = queued_work(tables.jobs, key, job) * ratio;
            *survey.queued.entry((symbol::Key::of(&job.service), job.priority)).or_default() += work;
        }
        for run in tables.runs.values() {
            let is_long_running = is_long_running(tables.jobs, run.task);
            let Some(service) = tables.workers.all.get(run.worker).and_then(|worker| worker.service) else {
                continue;
            };
            if !is_long_running {
                let cores = f64::from(run.charged.cpu_millicores) / 1_000.0;
                *survey.busy_cores.entry(service).or_default() += cores;
            }
        }
        survey
    }

    /// Work that is queued for a service with a priority or a more urgent one, in core-seconds.
    fn ahead(&self, service: symbol::Key, priority: u32) -> f64 {
        let counts = |other: &(symbol::Key, u32)| other.0 == service && other.1 <= priority;
        self.queued.iter().filter(|(key, _)| counts(key)).map(|(_, work)| work).sum()
    }
}

fn is_long_running(jobs: &job::Table, task: Option<task::Key>) -> bool {
    let task = task.and_then(|task| jobs.tasks.get(task));
    let step = task.and_then(|task| jobs.all.get(task.job)?.spec.steps.get(task.name.step as usize));
    step.is_some_and(|step| step.is_long_running)
}

/// Estimated work of the tasks of a job that are ready or blocked, in core-seconds.
fn queued_work(jobs: &job::Table, key: job::Key, job: &job::Job) -> f64 {
    let steps = &job.spec.steps;
    if job.released_count == 0 && job.spec.schedule.is_none() {
        return steps.iter().map(|step| f64::from(step.count) * task_work(step)).sum();
    }
    let work_of = |number: u32, occurrence: &job::Occurrence| -> f64 {
        let counts = steps.iter().zip(&occurrence.remaining).zip(0..).map(|((step, remaining), index)| {
            let is_blocked = step.depends_on.iter().any(|before| occurrence.remaining[*before as usize] > 0);
            let group = job::Group { job: key, occurrence: number, step: index };
            let ready = || jobs.ready.get(&group).map_or(0, |tasks| tasks.len() as u32);
            f64::from(if is_blocked { *remaining } else { ready() }) * task_work(step)
        });
        counts.sum()
    };
    job.open_occurrences.iter().map(|(number, occurrence)| work_of(*number, occurrence)).sum()
}

/// State of admission control.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// When this leader saw the first submission or end of a run.
    observed_since: Option<Instant>,
    survey: Option<Survey>,
    yields: Map<symbol::Key, Yield>,
    /// Earliest time that the next refused caller is told, by service and priority.
    next_retries: Map<(symbol::Key, u32), Instant>,
    /// Refusals since the last report, by queue.
    refusals: Map<String, u64>,
    /// Longest forecast since the last report.
    longest_wait: Duration,
}

impl State {
    /// Records the end of a run that reserved these resources.
    pub fn record_end(
        &mut self,
        service: symbol::Key,
        charged: Resources,
        run_time: Duration,
        is_done: bool,
        now: Instant,
    ) {
        self.observed_since.get_or_insert(now);
        let work = f64::from(charged.cpu_millicores) / 1_000.0 * run_time.as_secs_f64();
        self.yields.entry(service).or_default().record(work, is_done, now);
    }

    /// Decides on a job that is submitted to a queue; `None` accepts it.
    pub fn decide(&mut self, tables: &Tables<'_>, queue: &str, applicant: &Applicant) -> Option<Refusal> {
        let refusal = self.forecast_refusal(tables, applicant);
        if refusal.is_some() {
            *self.refusals.entry(queue.to_owned()).or_default() += 1;
        } else if let Some(survey) = &mut self.survey {
            *survey.queued.entry((applicant.service, applicant.priority)).or_default() += applicant.work;
        }
        refusal
    }

    fn forecast_refusal(&mut self, tables: &Tables<'_>, applicant: &Applicant) -> Option<Refusal> {
        let now = tables.tenure.now;
        let observed = now.since(*self.observed_since.get_or_insert(now));
        if observed < OBSERVE_MIN || !applicant.is_predictable {
            return None;
        }
        if self.survey.as_ref().is_none_or(|survey| now.since(survey.at) >= SURVEY_INTERVAL) {
            self.survey = Some(Survey::new(tables));
        }
        let survey = self.survey.as_ref()?;
        let ahead = survey.ahead(applicant.service, applicant.priority);
        let share = self.yields.get(&applicant.service).map_or(1.0, Yield::share);
        let rate = survey.busy_cores.get(&applicant.service).copied().unwrap_or_default() * share;
        let wait = forecast_wait(ahead, rate)?;
        self.longest_wait = self.longest_wait.max(wait);
        let limit = applicant.start_limit();
        if wait <= limit || has_room(tables, applicant) {
            return None;
        }
        let work_time = forecast_wait(applicant.work, rate).unwrap_or_default();
        let retry_after_s = self.reserve_retry(applicant, now, wait - limit, work_time);
        Some(Refusal { retry_after_s, wait, limit, ahead, rate })
    }

    /// Time in seconds after which a caller may retry: when the forecast has fallen below the limit, but after the callers that
    /// were refused before, each of which is given the time that its work takes.
    fn reserve_retry(
        &mut self,
        applicant: &Applicant,
        now: Instant,
        excess: Duration,
        work_time: Duration,
    ) -> u32 {
        let next = self.next_retries.entry((applicant.service, applicant.priority)).or_default();
        let at = (*next).max(now + excess.max(RETRY_MIN)).min(now + RETRY_MAX);
        *next = (at + work_time).min(now + RETRY_MAX);
        at.since(now).as_secs_f64().ceil() as u32
    }

    /// Returns the refusals by queue and the longest forecast since this was last called.
    pub fn take_report(&mut self) -> (Vec<(String, u64)>, Duration) {
        let mut refusals: Vec<_> = self.refusals.drain().collect();
        refusals.sort_unstable();
        (refusals, std::mem::take(&mut self.longest_wait))
    }
}

/// Time in which work in core-seconds is completed at a rate in cores; `None` if nothing is completed.
fn forecast_wait(work: f64, rate: f64) -> Option<Duration> {
    let wait = Duration::try_from_secs_f64(work / rate).ok()?;
    (rate > 0.0).then_some(wait)
}

/// Whether a worker has room for a first task of a job.
fn has_room(tables: &Tables<'_>, applicant: &Applicant) -> bool {
    tables.workers.all.values().filter(|worker| worker.is_schedulable(tables.tenure)).any(|worker| {
        applicant.first_needs.iter().any(|(resources, label)| {
            worker.suits(applicant.service, *label) && worker.free_resources().covers(*resources)
        })
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    fn applicant(allowance: Duration, remaining: Duration) -> Applicant {
        Applicant {
            service: symbol::Key::of("desk"),
            priority: 1,
            allowance,
            remaining,
            work: 10.0,
            first_needs: Vec::new(),
            is_predictable: true,
        }
    }

    /// Guards against a limit by which a job is refused that still has a value, or one that cannot have any is refused however
    /// short the wait is.
    #[test]
    fn a_job_may_start_while_it_has_a_value() {
        let table: [(u32, u32, u32); 4] = [(10, 4, 26), (10, 10, 20), (10, 25, 10), (10, 100, 10)];
        for (allowance, remaining, limit) in table {
            let applicant = applicant(allowance * SECOND, remaining * SECOND);
            assert_eq!(applicant.start_limit(), limit * SECOND, "{allowance} s, {remaining} s");
        }
    }

    /// Guards against a forecast without a rate that refuses jobs.
    #[test]
    fn the_forecast_is_work_by_rate() {
        assert_eq!(forecast_wait(100.0, 20.0), Some(5 * SECOND));
        assert_eq!(forecast_wait(0.0, 20.0), Some(Duration::ZERO));
        assert_eq!(forecast_wait(100.0, 0.0), None);
        assert_eq!(forecast_wait(0.0, 0.0), None);
    }

    /// Guards against a rate that counts work that is lost, and against one that rests on ends of long ago.
    #[test]
    fn the_share_of_completed_work_follows_the_latest_ends() {
        let mut ends = Yield::default();
        assert_eq!(ends.share(), 1.0);
        let mut now = Instant::default() + SECOND;
        ends.record(3.0, true, now);
        ends.record(1.0, false, now);
        assert_eq!(ends.share(), 0.75);
        for _ in 0..3 {
            now = now + YIELD_PERIOD;
            ends.record(2.0, true, now);
        }
        assert_eq!(ends.share(), 1.0);
    }

    /// Guards against callers that are all told the same time, and against a time beyond the bound.
    #[test]
    fn each_refused_caller_is_told_a_later_time() {
        let mut state = State::default();
        let applicant = applicant(10 * SECOND, 4 * SECOND);
        let now = Instant::default() + 100 * SECOND;
        let told: Vec<u32> =
            (0..50).map(|_| state.reserve_retry(&applicant, now, 3 * SECOND, 2 * SECOND)).collect();
        assert_eq!(told[..4], [3, 5, 7, 9]);
        assert!(told.is_sorted() && told[49] == 30, "{told:?}");
        let urgent = Applicant { priority: 0, ..applicant };
        assert_eq!(state.reserve_retry(&urgent, now, SECOND / 10, 2 * SECOND), 1);
    }
}
