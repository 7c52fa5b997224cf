//! Speculative execution: which runs get a copy, so that a slow run or a worker in doubt does not delay their task.
//!
//! A copy is a second run of a task on another worker. The first run that is done finishes the task, and the other one is
//! stopped. [`decide`] is a function of plain values. The leader looks at the active runs of speculative steps at most
//! once per `LOOK_INTERVAL`, after it has placed the waiting tasks, and `place::copy` starts the copies.
//!
//! Copies may cost a share of the processor time of all runs, counted over a sliding window. A new leader has an empty
//! window and starts none until it has seen other runs use processor time.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use super::spec::Step;
use super::{crash, run, symbol, task, wait};
use crate::core::time::Instant;

/// Shortest time between two looks at the active runs, which bounds their cost.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Most runs that one look examines; the next one continues after them.
const RUNS_PER_LOOK: usize = 2_000;

/// Most copies that one look proposes. Each needs a search of all workers.
const COPIES_PER_LOOK: usize = 8;

/// Window over which the processor time of copies is compared with that of all runs.
const WINDOW: Duration = Duration::from_secs(10);

/// Share of the runs of a queue that end earlier than a run that counts as slow.
const SLOW_QUANTILE: f64 = 0.9;

/// Share of the runs of a queue that end within the usual run time, which a copy is expected to take.
const USUAL_QUANTILE: f64 = 0.5;

/// Multiple of its estimate that a slow run has exceeded at least: twice the estimate is within the usual spread of
/// run times of a queue whose steps differ.
const ESTIMATE_FACTOR: u32 = 2;

/// Most runs of a task at a time.
const RUNS_MAX: usize = 2;

/// Processor time, in thousandths of a core times microseconds.
type Work = u64;

/// Why a run gets a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It takes longer than most runs of its queue, and than its estimate.
    Slow,
    /// Its worker is suspected of failing what it starts.
    Suspected,
    /// Its worker does not answer.
    Silent,
}

impl Cause {
    /// Description for timeline entries.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Slow => "it is slow",
            Self::Suspected => "its worker is suspected",
            Self::Silent => "its worker is silent",
        }
    }
}

/// What decides whether a run of a speculative step gets a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Case {
    /// Priority of the job; 0 is the highest.
    pub priority: u32,
    /// Highest priority of the ready tasks that wait; `None` if none does.
    pub waiting_priority: Option<u32>,
    /// Time since the start of the run, as far as this leader knows.
    pub running: Duration,
    /// Progress of the run in percent; 0 if it is not known.
    pub progress_percent: u32,
    /// Estimate of the step.
    pub estimate: Duration,
    /// Usual run time, which is the estimate while too few runs are known.
    pub usual: Duration,
    /// Run time that most runs do not exceed; `None` while too few runs are known.
    pub long: Option<Duration>,
    /// Whether the run has been seen so long after its start that it has not crashed its worker with it.
    pub has_survived: bool,
    /// Whether its worker does not answer.
    pub is_worker_silent: bool,
    /// Whether its worker is suspected of failing what it starts.
    pub is_worker_suspected: bool,
    /// Number of runs of the task that may still exist.
    pub run_count: usize,
    /// Number of failed runs of the task.
    pub failed_runs: usize,
    /// Number of failed runs after which the job fails.
    pub max_attempts: usize,
    /// Whether the task may not start another run now, or may crash its workers.
    pub is_held: bool,
    /// Expected processor time of the copy.
    pub cost: Work,
    /// Processor time that further copies may cost.
    pub budget: Work,
}

/// Whether the tasks of a step may have copies. The run time of a filling task depends on the pace that it is given, so a
/// slow one is no sign of a slow worker.
pub fn allows(step: &Step) -> bool {
    step.is_speculative && !step.is_gang && !step.is_long_running && !step.is_filling
}

/// Whether a task can have another run beside those that it has: it never has more than `RUNS_MAX`, and all of them can
/// fail without exceeding its attempts.
pub fn can_add_run(run_count: usize, failed_runs: usize, max_attempts: usize) -> bool {
    run_count < RUNS_MAX && failed_runs + run_count < max_attempts
}

/// Decides whether a run gets a copy, and why; `None` if it gets none.
pub fn decide(case: &Case) -> Option<Cause> {
    let is_outranked = case.waiting_priority.is_some_and(|waiting| waiting <= case.priority);
    let is_possible = case.run_count == 1
        && can_add_run(case.run_count, case.failed_runs, case.max_attempts)
        && !case.is_held
        && !is_outranked
        && case.cost <= case.budget;
    if !is_possible {
        return None;
    }
    // A task that crashes its workers would crash that of its copy as well.
    if case.is_worker_silent {
        return case.has_survived.then_some(Cause::Silent);
    }
    if case.is_worker_suspected && case.has_survived {
        return Some(Cause::Suspected);
    }
    let is_slow = case.running >= crash::SURVIVAL
        && case.running >= case.estimate * ESTIMATE_FACTOR
        && case.long.is_some_and(|long| case.running > long);
    // A run that is about to end is done before its copy would be.
    (is_slow && remaining(case) > case.usual).then_some(Cause::Slow)
}

/// Time that a run takes until its end at the rate of its progress so far.
fn remaining(case: &Case) -> Duration {
    match case.progress_percent.min(100) {
        0 => Duration::MAX,
        percent => case.running * (100 - percent) / percent,
    }
}

/// Processor time of copies and of all runs in one interval.
#[derive(Debug, Clone, Copy)]
struct Sample {
    until: Instant,
    copies: Work,
    all: Work,
}

/// Processor time in the last [`WINDOW`].
#[derive(Debug, Clone, Default)]
struct Ledger {
    samples: VecDeque<Sample>,
    counted_at: Option<Instant>,
}

impl Ledger {
    /// Counts the time since the last call, in which copies and all runs have used this many thousandths of a core. Returns
    /// the processor time of the copies in it.
    fn count(&mut self, now: Instant, copies_millicores: u64, all_millicores: u64) -> Work {
        let begin = self.counted_at.replace(now).unwrap_or(now);
        let elapsed_us = now.since(begin).min(WINDOW).as_micros() as u64;
        let sample =
            Sample { until: now, copies: copies_millicores * elapsed_us, all: all_millicores * elapsed_us };
        self.samples.push_back(sample);
        while self.samples.front().is_some_and(|sample| now.since(sample.until) >= WINDOW) {
            self.samples.pop_front();
        }
        sample.copies
    }

    /// Processor time that further copies may cost, if those that run will still cost `committed`.
    fn budget(&self, share_percent: u32, committed: Work) -> Work {
        let (copies, all) = self.totals();
        (all / 100 * u64::from(share_percent)).saturating_sub(copies + committed)
    }

    /// Processor time of copies and of all runs in the window.
    fn totals(&self) -> (Work, Work) {
        let add = |(copies, all), sample: &Sample| (copies + sample.copies, all + sample.all);
        self.samples.iter().fold((0, 0), add)
    }
}

/// A copy that may still exist on its worker.
#[derive(Debug, Clone, Copy)]
struct Active {
    run: run::Key,
    millicores: u64,
    /// Expected end.
    until: Instant,
}

/// Runs that may get copies, and the copies; empty unless this process leads.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Runs of speculative steps, and some that have ended since.
    watched: Vec<run::Key>,
    /// Position in `watched` at which the next look begins.
    cursor: usize,
    /// Runs that the last look has proposed for a copy and that have none yet.
    candidates: Vec<run::Key>,
    copies: Vec<Active>,
    next_look_at: Instant,
    ledger: Ledger,
}

impl State {
    /// Removes the runs that the last look has proposed.
    pub(super) fn take_candidates(&mut self) -> Vec<run::Key> {
        std::mem::take(&mut self.candidates)
    }

    /// Keeps a proposed run for the next pass, as when the chosen worker lacks a proof.
    pub(super) fn keep_candidate(&mut self, run: run::Key) {
        self.candidates.push(run);
    }

    /// When the next look is due; `None` if there is nothing to look at.
    pub(super) fn next_look(&self) -> Option<Instant> {
        (!self.watched.is_empty()).then_some(self.next_look_at)
    }

    /// Describes the processor time in the window, for a timeline entry.
    pub(super) fn describe_costs(&self) -> String {
        let (copies, all) = self.ledger.totals();
        let [copies_ms, all_ms] = [copies, all].map(core_ms);
        format!("copies cost {copies_ms} of {all_ms} core-ms in {} s", WINDOW.as_secs())
    }

    /// Processor time that the copies will still cost if they take as long as expected.
    fn committed(&self, now: Instant) -> Work {
        let left = |copy: &Active| copy.millicores * copy.until.since(now).as_micros() as u64;
        self.copies.iter().map(left).sum()
    }
}

/// Whole core-milliseconds of a processor time.
fn core_ms(work: Work) -> u64 {
    work / 1_000_000
}

/// Adds a run of a step that allows copies.
pub(super) fn watch(state: &mut super::State, key: run::Key) {
    // Without copies there are no looks, which forget the runs that have ended.
    if state.tuning.copy_share_percent == 0 {
        return;
    }
    state.speculation.watched.push(key);
    if state.runs.get(key).is_some_and(|run| run.is_copy) {
        add_copy(state, key);
    }
}

/// Adds a run that began as a copy, and is expected to take the usual time from now on.
pub(super) fn add_copy(state: &mut super::State, key: run::Key) {
    if state.tuning.copy_share_percent == 0 {
        return;
    }
    let expected = || {
        let run = state.runs.get(key)?;
        let (_, task) = task_of(state, run)?;
        let job = state.jobs.all.get(task.job)?;
        let step = job.spec.steps.get(task.name.step as usize)?;
        let queue = symbol::Key::of(&job.queue);
        let usual = state.runtimes.expected(queue, step.estimate, USUAL_QUANTILE);
        let until = state.now + usual.min(WINDOW);
        Some(Active { run: key, millicores: u64::from(run.charged.cpu_millicores), until })
    };
    let copy = expected();
    state.speculation.copies.extend(copy);
}

/// Highest priority of the ready tasks that wait; `None` if none does.
pub(super) fn waiting_priority(state: &super::State) -> Option<u32> {
    let groups = state.jobs.ready.keys();
    groups.filter_map(|group| state.jobs.all.get(group.job)).map(|job| job.priority).min()
}

/// Counts the processor time since the last look, and proposes runs for copies, unless a look is not due yet.
pub(super) fn look_if_due(state: &mut super::State) {
    if state.speculation.next_look_at > state.now {
        return;
    }
    state.speculation.next_look_at = state.now + LOOK_INTERVAL;
    count_work(state);
    let mut watched = std::mem::take(&mut state.speculation.watched);
    watched.retain(|run| state.runs.contains_key(*run));
    let waiting = waiting_priority(state);
    let count = watched.len().min(RUNS_PER_LOOK);
    let first = state.speculation.cursor.min(watched.len());
    let mut proposed: Vec<_> = watched
        .iter()
        .cycle()
        .skip(first)
        .take(count)
        .filter_map(|run| {
            let case = examine(state, *run, waiting)?;
            decide(&case)?;
            Some((case.priority, Reverse(remaining(&case)), *run))
        })
        .collect();
    // The most urgent first, and the run with the most remaining time first, since its task gains most.
    proposed.sort_unstable();
    proposed.truncate(COPIES_PER_LOOK);
    state.speculation.cursor = if watched.is_empty() { 0 } else { (first + count) % watched.len() };
    state.speculation.watched = watched;
    state.speculation.candidates = proposed.into_iter().map(|(.., run)| run).collect();
}

/// Counts the processor time that copies and all runs have reserved since the last look.
fn count_work(state: &mut super::State) {
    let runs = &state.runs;
    // Copies that have ended since the last look are charged up to now.
    let copies = state.speculation.copies.iter().map(|copy| copy.millicores).sum();
    state.speculation.copies.retain(|copy| runs.contains_key(copy.run));
    let workers = state.workers.all.values();
    let all = workers.map(|worker| u64::from(worker.used_resources.cpu_millicores)).sum();
    let work = state.speculation.ledger.count(state.now, copies, all);
    state.meter.counts.copy_core_ms += core_ms(work);
}

/// What decides whether a run gets a copy; `None` for a run that is not active, or that is neither long nor in doubt.
pub(super) fn examine(state: &super::State, key: run::Key, waiting_priority: Option<u32>) -> Option<Case> {
    let now = state.now;
    let run = state.runs.get(key)?;
    let run::Phase::Active { .. } = run.phase else { return None };
    let (task_key, task) = task_of(state, run)?;
    let job = state.jobs.all.get(task.job)?;
    let step = job.spec.steps.get(task.name.step as usize).filter(|step| allows(step))?;
    let worker = state.workers.all.get(run.worker)?;
    let running = now.since(run.started_at);
    let is_worker_silent = worker.silent_since.is_some();
    let is_worker_suspected = worker.is_suspected(now);
    // Most runs end here, before the distribution of the run times is read.
    if !is_worker_silent && !is_worker_suspected && running < step.estimate * ESTIMATE_FACTOR {
        return None;
    }
    let queue = symbol::Key::of(&job.queue);
    let expected = |share| state.runtimes.expected(queue, step.estimate, share);
    let usual = expected(USUAL_QUANTILE);
    let (share, committed) = (state.tuning.copy_share_percent, state.speculation.committed(now));
    Some(Case {
        priority: job.priority,
        waiting_priority,
        running,
        progress_percent: run.progress_percent,
        estimate: step.estimate,
        usual,
        long: state.runtimes.is_known(queue).then(|| expected(SLOW_QUANTILE)),
        has_survived: run.has_survived,
        is_worker_silent,
        is_worker_suspected,
        run_count: task.runs.len(),
        failed_runs: state.jobs.count_failed_runs(task_key),
        max_attempts: job.max_attempts as usize,
        is_held: task.is_suspect() || wait::hold(state, task).is_some(),
        cost: u64::from(run.charged.cpu_millicores) * usual.min(WINDOW).as_micros() as u64,
        budget: state.speculation.ledger.budget(share, committed),
    })
}

fn task_of<'a>(state: &'a super::State, run: &run::Run) -> Option<(task::Key, &'a task::Task)> {
    let key = run.task?;
    Some((key, state.jobs.tasks.get(key)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    /// A run that is slow, and for which no condition forbids a copy.
    fn slow() -> Case {
        Case {
            priority: 1,
            waiting_priority: None,
            running: SECOND * 4,
            progress_percent: 30,
            estimate: SECOND,
            usual: SECOND,
            long: Some(SECOND * 2),
            has_survived: true,
            is_worker_silent: false,
            is_worker_suspected: false,
            run_count: 1,
            failed_runs: 0,
            max_attempts: 3,
            is_held: false,
            cost: 100,
            budget: 100,
        }
    }

    /// Guards against copies of runs that are not slow, and against slow runs without a copy.
    #[test]
    fn slow_runs_get_copies() {
        let cases = [
            (slow(), Some(Cause::Slow)),
            (Case { progress_percent: 0, ..slow() }, Some(Cause::Slow)),
            // Not longer than most runs of the queue.
            (Case { long: Some(SECOND * 5), ..slow() }, None),
            // Not twice the estimate.
            (Case { estimate: SECOND * 3, ..slow() }, None),
            // Too few runs are known to call it slow.
            (Case { long: None, ..slow() }, None),
            // It ends before its copy would.
            (Case { progress_percent: 90, ..slow() }, None),
        ];
        for (case, expected) in cases {
            assert_eq!(decide(&case), expected, "{case:?}");
        }
    }

    /// Guards against tasks that wait for a worker in doubt, and against copies of a task that crashes its workers.
    #[test]
    fn runs_on_workers_in_doubt_get_copies() {
        let young = Case { running: SECOND / 10, ..slow() };
        let silent = Case { is_worker_silent: true, ..young };
        let suspected = Case { is_worker_suspected: true, ..young };
        assert_eq!(decide(&young), None);
        assert_eq!(decide(&silent), Some(Cause::Silent));
        assert_eq!(decide(&suspected), Some(Cause::Suspected));
        assert_eq!(decide(&Case { has_survived: false, ..silent }), None);
        assert_eq!(decide(&Case { has_survived: false, ..suspected }), None);
        assert_eq!(decide(&Case { is_worker_silent: true, has_survived: false, ..slow() }), None);
    }

    /// Guards against a copy that breaks a limit of its task, takes room from waiting tasks, or exceeds the budget.
    #[test]
    fn each_condition_forbids_a_copy() {
        let forbidden = [
            Case { run_count: 2, ..slow() },
            Case { run_count: 0, ..slow() },
            Case { failed_runs: 2, ..slow() },
            Case { max_attempts: 1, ..slow() },
            Case { is_held: true, ..slow() },
            Case { waiting_priority: Some(1), ..slow() },
            Case { waiting_priority: Some(0), ..slow() },
            Case { cost: 101, ..slow() },
        ];
        for case in forbidden {
            for case in [case, Case { is_worker_silent: true, ..case }] {
                assert_eq!(decide(&case), None, "{case:?}");
            }
        }
        assert_eq!(decide(&Case { waiting_priority: Some(2), ..slow() }), Some(Cause::Slow));
        assert_eq!(decide(&Case { failed_runs: 1, ..slow() }), Some(Cause::Slow));
    }

    /// Guards against more failed runs than a task may have, when all of its runs fail together.
    #[test]
    fn all_runs_of_a_task_may_fail() {
        for max_attempts in 1..6 {
            for failed_runs in 0..max_attempts {
                for run_count in 0..3 {
                    if can_add_run(run_count, failed_runs, max_attempts) {
                        let runs = run_count + 1;
                        assert!(failed_runs + runs <= max_attempts && runs <= RUNS_MAX);
                    }
                }
            }
        }
        assert!(can_add_run(1, 1, 3) && !can_add_run(1, 2, 3));
    }

    /// Guards against a budget that counts work of long ago, or not that of the copies which still run.
    #[test]
    fn the_budget_covers_the_window() {
        let at = |seconds: u64| Instant::default() + SECOND * seconds as u32;
        let mut ledger = Ledger::default();
        ledger.count(at(100), 0, 1_000);
        assert_eq!(ledger.budget(5, 0), 0);
        for second in 101..=110 {
            ledger.count(at(second), 0, 1_000);
        }
        let core_second = 1_000_000_000;
        assert_eq!(ledger.totals(), (0, 10 * core_second));
        assert_eq!(ledger.budget(5, 0), core_second / 2);
        assert_eq!(ledger.budget(0, 0), 0);
        assert_eq!(ledger.budget(5, core_second / 4), core_second / 4);
        assert_eq!(ledger.count(at(111), 400, 1_000), core_second * 2 / 5);
        assert_eq!(ledger.budget(5, 0), core_second / 10);
        assert_eq!(ledger.budget(5, core_second), 0);
        for second in 112..=121 {
            ledger.count(at(second), 0, 1_000);
        }
        assert_eq!(ledger.budget(5, 0), core_second / 2);
        ledger.count(at(131), 0, 0);
        assert_eq!(ledger.budget(5, 0), 0);
    }
}
