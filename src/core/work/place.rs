//! Placement: decides which task starts next, and on which worker.
//!
//! A pass visits the groups of waiting tasks, most urgent first, and starts each task on the worker with the highest
//! score. A task of priority 0 that waits for resources longer than a limit preempts runs of lower priority.

use super::headroom::{Headroom, Urgency};
use super::job::Group;
use super::request;
use super::room::Bounds;
use super::run::Phase;
use super::spec::{Resources, Step};
use super::worker::{Gate, Key, Worker};
use super::{control, crash, headroom, image, run, state, task, wait};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::hash::Map;

/// Score penalty of a worker that a task should avoid, such as one where it failed.
const AVOIDED_WORKER_SCORE: i64 = -1_000_000_000;

/// Score penalty of a worker that is suspected of failing what it starts.
const SUSPECTED_WORKER_SCORE: i64 = -1_000_000_000;

/// Score penalty for each run beside a task that may crash its worker.
const SUSPECT_COMPANY_SCORE: i64 = -10_000;

/// Score penalty of a worker outside the rack that holds the data of a task.
const REMOTE_DATA_SCORE: i64 = -100_000_000;

/// Score penalty for each serving run of another image: filling tasks often interfere with one image and not with
/// another, so serving tasks of an image are kept together.
const MIXED_IMAGE_SCORE: i64 = -30_000;

/// Score penalty for the load that a filling task adds to a serving task, per load of 1, which saturates the serving
/// task.
const INTERFERENCE_SCORE: f64 = -100_000.0;

/// Score penalty of a worker that tolerates all filling images: its resources are kept for images that few other
/// workers tolerate.
const COMPATIBLE_SHARE_SCORE: f64 = -8_000.0;

/// A filling task starts only on a worker that leaves unused the processor time that it requests, divided by this.
const SPARE_CPU_DIVISOR: i64 = 2;

/// Most workers that are examined as a better place for a run; a small sample is likely to contain one if many exist.
const WORKER_SAMPLE: usize = 24;

/// Number of worker visits that a look at a waiting task takes as long as, for the rest after a pass.
const VISITS_PER_TASK: u64 = 8;

/// Number of worker visits that a search for victims among the runs of one worker counts as.
pub(super) const VISITS_PER_VICTIM_SEARCH: u64 = 4;

/// Most visits from which the pause after a pass is computed, so that the pause does not exceed two seconds.
const VISITS_MAX: u64 = 4_000_000;

/// Most workers that the timeline entry about the opening of the gate names.
const UNREACHED_NAMES_MAX: usize = 20;

/// How the worker of a task is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Returns the score of a worker with room for the task; the worker with the highest score is chosen.
    pub score: fn(&Need, &Offer<'_>) -> i64,
}

/// A worker with room for a task, as input of its score.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Number of serving runs on the worker whose image is not that of the task.
    pub other_serving: u32,
    /// Conditions for a filling task on the worker; zero for other tasks.
    pub filling: Filling,
}

/// Conditions that a filling task finds on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Filling {
    /// Processor time that is expected to be left, in thousandths of a core.
    pub spare_cpu_millicores: i64,
    /// Load that the task adds to the serving task on the worker that it interferes with most.
    pub interference: f64,
    /// Share of the filling images whose interference with all serving tasks on the worker is low, from 0 to 1.
    pub compatible_share: f64,
}

/// Requirements of a task.
#[derive(Debug, Clone)]
pub struct Need {
    /// Service whose workers may run the task.
    pub service: String,
    /// Resources that a run of it reserves.
    pub charged: Resources,
    /// Processor time that it requests, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Label that the worker must have, if any.
    pub required_label: Option<String>,
    /// Rack that holds its data, if any.
    pub affinity: Option<String>,
    /// Whether it runs until its job is cancelled.
    pub is_long_running: bool,
    /// Whether it is a filling task, which uses only processor time that others leave.
    pub is_filling: bool,
    /// Image that it runs; `None` if the step names none.
    pub image: Option<image::Key>,
    /// Whether a filling task can wait for a worker whose serving tasks tolerate it at their peak load.
    pub urgency: Urgency,
    /// Whether a run of the task may have crashed its worker.
    pub is_suspect: bool,
    /// Worker to avoid, if any.
    pub avoid: Option<Key>,
}

/// Packs batch tasks onto few workers, keeps serving tasks of an image together, and puts filling tasks where most
/// processor time is unused.
pub const PACKED: Policy = Policy { score: packed };

/// Puts each task on the worker with most free cores; the baseline that [`PACKED`] is compared with.
pub const SPREAD: Policy =
    Policy { score: |_, offer| i64::from(offer.worker.free_resources().cpu_millicores) };

fn packed(need: &Need, offer: &Offer<'_>) -> i64 {
    let worker = offer.worker;
    let free = i64::from(worker.free_resources().cpu_millicores);
    let is_remote = need
        .affinity
        .as_ref()
        .is_some_and(|rack| worker.report.as_ref().is_some_and(|report| !report.labels.contains(rack)));
    let base = if need.is_filling {
        let Filling { spare_cpu_millicores, interference, compatible_share } = offer.filling;
        spare_cpu_millicores
            + (INTERFERENCE_SCORE * interference + COMPATIBLE_SHARE_SCORE * compatible_share) as i64
    } else if need.is_long_running {
        free + MIXED_IMAGE_SCORE * i64::from(offer.other_serving)
    } else {
        -free
    };
    base + if is_remote { REMOTE_DATA_SCORE } else { 0 }
}

/// State of a placement pass.
#[derive(Default)]
struct Pass {
    /// Requirements for which no worker was found.
    unplaceable: Vec<Need>,
    /// Requirements for which no worker has enough runs to preempt.
    unpreemptable: Vec<Need>,
    /// Resources by worker that runs being stopped will release and that are not promised to a task; `None` until they
    /// are needed.
    freed_resources: Option<Map<Key, Resources>>,
    /// Bounds of the free resources of workers.
    bounds: Bounds,
    /// Number of worker visits, over all tasks.
    visits: u64,
    /// Number of waiting tasks that were examined.
    task_visits: u64,
    /// Headroom of workers for filling tasks; an entry is removed when a run is started on the worker.
    headrooms: Map<Key, Headroom>,
    /// Worker with room for a suspect that waits for a time without a start there; the less urgent tasks leave it alone.
    held: Option<Key>,
}

impl Pass {
    /// Returns the conditions for a task on a worker; `None` for a filling task if the serving tasks on the worker do
    /// not tolerate it, or if too little processor time is left.
    fn filling(&mut self, state: &super::State, key: Key, need: &Need) -> Option<Filling> {
        if !need.is_filling {
            return Some(Filling::default());
        }
        let headroom = self.headrooms.entry(key).or_insert_with(|| headroom::estimate(state, key));
        // The interference of a task that names no image is unknown, so only its processor time is checked.
        let is_tolerable = need.image.is_none_or(|image| {
            headroom::slack_after(state, &headroom.slack, image, need.cpu_millicores, need.urgency) >= 0.0
        });
        let interference = need
            .image
            .map(|image| headroom::max_interference(state, &headroom.slack, image, need.cpu_millicores));
        let has_spare_cpu =
            headroom.spare_cpu_millicores >= i64::from(need.cpu_millicores) / SPARE_CPU_DIVISOR;
        (is_tolerable && has_spare_cpu).then(|| Filling {
            spare_cpu_millicores: headroom.spare_cpu_millicores,
            interference: interference.unwrap_or_default(),
            compatible_share: headroom.compatible_share,
        })
    }
}

/// A group of waiting tasks, with its place in the order of a pass.
struct Waiting {
    group: Group,
    urgency: (u32, bool, Instant),
}

/// Handles an expired placement timer: runs a pass if one is due, and schedules the next. A timer that has been
/// replaced by another one is ignored.
pub(super) fn run_timer(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.next_placement.is_some_and(|at| at <= state.now) {
        state.next_placement = None;
        run_pass(state, out);
        if let Some(at) = next_pass_at(state) {
            state.schedule_placement_by(at);
        }
        wait::schedule(state);
    }
}

/// Returns the earliest time at which a waiting task may become placeable without another event; `None` if there is
/// none.
fn next_pass_at(state: &super::State) -> Option<Instant> {
    let now = state.now;
    let tasks = state.jobs.ready.values().flatten().filter_map(|key| state.jobs.tasks.get(*key));
    let waits = [state.tuning.preempt_after, state.tuning.max_deferral];
    let tasks = tasks.flat_map(|task| [task.not_before, task.ready_at + waits[0], task.ready_at + waits[1]]);
    let workers = state.workers.all.values().flat_map(|worker| {
        let trials = worker.suspicion.into_iter().flat_map(|it| [it.until, it.next_trial_at]);
        trials.chain([worker.paused_until])
    });
    let gate = state.workers.gate.iter().map(|gate| gate.until);
    if state.jobs.ready.is_empty() {
        return None;
    }
    tasks.chain(workers).chain(gate).filter(|at| *at > now).min()
}

/// Starts the waiting tasks for which a worker is found.
fn run_pass(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.load.is_some() || !state.leadership.may_act(state.now, &state.tuning) {
        return;
    }
    if let Some(gate) = state.workers.open_gate(state.now) {
        record_open_gate(state, &gate, out);
    }
    let mut pass = Pass::default();
    for waiting in sort_waiting(state) {
        place_group(state, waiting.group, &mut pass, out);
    }
    state.jobs.ready.retain(|_, tasks| !tasks.is_empty());
    state.placement_visits += pass.visits;
    let visits = (pass.visits + pass.task_visits * VISITS_PER_TASK).min(VISITS_MAX);
    state.placement_not_before = state.now + state.tuning.place_rest_per_visit * visits as u32;
}

/// Adds the opening of the gate to the timeline, with the workers that have not answered.
fn record_open_gate(state: &super::State, gate: &Gate, out: &mut Vec<Effect>) {
    let (total, elapsed_ms) = (gate.worker_count, state.now.since(gate.closed_at).as_millis());
    let unreached = gate.unreached.len();
    let cause = if unreached == 0 {
        format!("all {total} workers have answered")
    } else {
        let names = gate.unreached.iter().filter_map(|key| state.workers.all.get(*key));
        let names: Vec<_> = names.map(|worker| worker.id.as_str()).take(UNREACHED_NAMES_MAX).collect();
        let names = names.join(", ");
        format!(
            "all leases of earlier terms have expired, {unreached} of {total} workers unanswered: {names}"
        )
    };
    state::record(out, Subject::Process, "gate-open", format!("{cause}, after {elapsed_ms} ms"));
}

/// Returns the waiting groups, most urgent first. Within a priority, groups past their deadline come after those that
/// can still meet it.
fn sort_waiting(state: &super::State) -> Vec<Waiting> {
    let mut waiting: Vec<Waiting> = state
        .jobs
        .ready
        .keys()
        .filter_map(|group| {
            let job = state.jobs.all.get(group.job)?;
            let is_late = job.deadline < state.now && !job.spec.is_long_running();
            Some(Waiting { group: *group, urgency: (job.priority, is_late, job.deadline) })
        })
        .collect();
    waiting.sort_unstable_by_key(|waiting| (waiting.urgency, waiting.group));
    waiting
}

fn place_group(state: &mut super::State, group: Group, pass: &mut Pass, out: &mut Vec<Effect>) {
    let Some(job) = state.jobs.all.get(group.job) else { return };
    let step = job.spec.steps[group.step as usize].clone();
    let (service, priority) = (job.service.clone(), job.priority);
    let waiting: Vec<task::Key> = state.jobs.ready.get(&group).into_iter().flatten().copied().collect();
    let is_startable = |key: &task::Key| {
        let task = state.jobs.tasks.get(*key);
        task.is_some_and(|task| task.phase == task::Phase::Ready && wait::hold(state, task).is_none())
    };
    let candidates: Vec<task::Key> = waiting.iter().copied().filter(is_startable).collect();
    // The members of a gang work only together, so none starts before the others can.
    if step.is_gang && candidates.len() < state.jobs.count_unfinished(group) {
        return;
    }
    let mut need = Need {
        service,
        charged: step.charged(),
        cpu_millicores: step.resources.cpu_millicores,
        required_label: step.required_label.clone(),
        affinity: step.affinity.clone(),
        is_long_running: step.is_long_running,
        is_filling: step.is_filling,
        image: (!step.image.is_empty()).then(|| state.images.intern(&step.image)),
        urgency: Urgency::Deferrable,
        is_suspect: candidates.iter().any(|key| state.jobs.tasks[*key].is_suspect()),
        avoid: None,
    };
    if step.is_gang {
        return place_gang(state, group, &step, need, candidates, pass, out);
    }
    pass.task_visits += candidates.len() as u64;
    for key in candidates {
        let task = &state.jobs.tasks[key];
        let has_waited = state.now.since(task.ready_at) >= state.tuning.max_deferral;
        need.avoid = task.avoid_worker;
        need.urgency = if has_waited { Urgency::Urgent } else { Urgency::Deferrable };
        need.is_suspect = task.is_suspect();
        let may_have_room = pass.bounds.may_have_room(state, &need, &mut pass.visits);
        if !may_have_room || pass.unplaceable.iter().any(|other| needs_at_least(&need, other)) {
            preempt(state, key, &need, priority, pass, out);
            continue;
        }
        let Some(worker) = choose_worker(state, &need, &step, group, &Map::default(), pass) else {
            if step.max_per_worker.is_none() && need.required_label.is_none() && !need.is_suspect {
                pass.unplaceable.push(need.clone());
            }
            if need.is_suspect && pass.held.is_none() {
                hold_worker(state, &need, &step, group, pass);
            }
            preempt(state, key, &need, priority, pass, out);
            continue;
        };
        let number = state.jobs.tasks[key].next_run;
        if control::start(state, key, worker, number, out) {
            state.jobs.dequeue(key);
            pass.headrooms.remove(&worker);
        }
    }
}

/// Holds a worker with room for a suspect until nothing has started there for a while, so that a stream of other starts does
/// not keep the suspect from starting.
fn hold_worker(state: &mut super::State, need: &Need, step: &Step, group: Group, pass: &mut Pass) {
    pass.visits += state.workers.all.len() as u64;
    let is_suitable = |(_, worker): &(Key, &Worker)| {
        is_eligible(worker, need)
            && worker.is_schedulable(state.now, state.journal.confirmed_at)
            && worker.free_resources().covers(need.charged)
            && step.max_per_worker.is_none_or(|most| count_group_runs(state, worker, group) < most)
            && crash::has_uptime(worker, state.now)
    };
    let held = state.workers.all.iter().filter(is_suitable).min_by_key(|(_, worker)| worker.last_start_at);
    let Some((key, accepts_at)) = held.map(|(key, worker)| (key, worker.last_start_at + crash::SURVIVAL))
    else {
        return;
    };
    pass.held = Some(key);
    state.schedule_placement_by(accepts_at);
}

/// Returns whether a need is at least as large as one that failed, so that the search for it would fail too.
fn needs_at_least(need: &Need, failed: &Need) -> bool {
    let is_same_kind = need.is_filling == failed.is_filling
        && (!need.is_filling || (need.image == failed.image && need.urgency == failed.urgency));
    let needs_more = need.charged.covers(failed.charged) && need.cpu_millicores >= failed.cpu_millicores;
    // The search for a long-running task covers more workers.
    let is_covered = failed.is_long_running || !need.is_long_running;
    need.service == failed.service && is_same_kind && needs_more && is_covered
}

/// Returns the worker with the highest score among those with room for a task. `planned` holds the resources and the
/// number of runs that the current gang already uses on each worker.
fn choose_worker(
    state: &super::State,
    need: &Need,
    step: &Step,
    group: Group,
    planned: &Map<Key, (Resources, u32)>,
    pass: &mut Pass,
) -> Option<Key> {
    pass.visits += state.workers.all.len() as u64;
    let (now, confirmed_at) = (state.now, state.journal.confirmed_at);
    let held = pass.held;
    let fits = |(key, worker): &(Key, &Worker)| {
        let Some(report) = &worker.report else { return false };
        let (resources, count) = planned.get(key).copied().unwrap_or_default();
        report.service == need.service
            && held != Some(*key)
            && worker.accepts(need.is_long_running, now, confirmed_at)
            && worker.free_resources().saturating_sub(resources).covers(need.charged)
            && need.required_label.as_ref().is_none_or(|label| report.labels.contains(label))
            && step.max_per_worker.is_none_or(|most| count_group_runs(state, worker, group) + count < most)
            && (!need.is_suspect || (count == 0 && crash::accepts_suspect(worker, state.now)))
            && (count == 0 || !worker.is_suspected(now))
    };
    let mut score = |(key, worker): (Key, &Worker)| {
        // A filling task is not placed where the serving tasks do not tolerate it; it waits for another worker.
        let filling = pass.filling(state, key, need)?;
        let avoided = if need.avoid == Some(key) { AVOIDED_WORKER_SCORE } else { 0 };
        let suspected = if worker.is_suspected(now) { SUSPECTED_WORKER_SCORE } else { 0 };
        let company = if need.is_suspect { worker.runs.len() as i64 * SUSPECT_COMPANY_SCORE } else { 0 };
        let other_serving =
            if need.is_long_running { count_other_serving(state, worker, need.image) } else { 0 };
        let score = (state.policy.score)(need, &Offer { worker, other_serving, filling });
        Some((score + avoided + suspected + company, key))
    };
    state.workers.all.iter().filter(fits).filter_map(&mut score).max().map(|(_, key)| key)
}

/// Returns whether another worker has room for a filling run, and serving tasks that tolerate it at full speed. Only
/// [`WORKER_SAMPLE`] workers are examined, beginning with a random one.
pub(super) fn has_better_worker(state: &mut super::State, key: run::Key, urgency: Urgency) -> bool {
    let first = state.next_random() as usize % state.workers.all.len().max(1);
    let state = &*state;
    let run = &state.runs[key];
    let Some(image) = run.profile.image else { return false };
    let Some(job) = state.jobs.find(run.name.job).and_then(|job| state.jobs.all.get(job)) else {
        return false;
    };
    let cpu = run.profile.filling_cpu_millicores;
    let is_better = |(key, worker): (Key, &Worker)| {
        let is_able = key != run.worker
            && worker.report.as_ref().is_some_and(|report| report.service == job.service)
            && worker.is_schedulable(state.now, state.journal.confirmed_at)
            && worker.free_resources().covers(run.charged)
            && worker.fillable_cpu_millicores() >= i64::from(cpu);
        is_able && {
            let headroom = headroom::estimate(state, key);
            headroom.spare_cpu_millicores >= i64::from(cpu)
                && headroom::slack_after(state, &headroom.slack, image, cpu, urgency) >= 0.0
        }
    };
    state
        .workers
        .all
        .iter()
        .cycle()
        .skip(first)
        .take(WORKER_SAMPLE.min(state.workers.all.len()))
        .any(is_better)
}

/// Returns the number of serving runs on a worker whose image is not `image`.
fn count_other_serving(state: &super::State, worker: &Worker, image: Option<image::Key>) -> u32 {
    let is_other = |run: &&run::Key| {
        state.runs.get(**run).is_some_and(|run| run.profile.is_serving && run.profile.image != image)
    };
    worker.runs.iter().filter(is_other).count() as u32
}

/// Returns the number of runs on a worker that belong to the same step and occurrence.
fn count_group_runs(state: &super::State, worker: &Worker, group: Group) -> u32 {
    let Some(job) = state.jobs.all.get(group.job) else { return 0 };
    let is_same_group = |run: &&run::Key| {
        state.runs.get(**run).is_some_and(|run| {
            run.name.job == job.id && run.name.occurrence == group.occurrence && run.name.step == group.step
        })
    };
    worker.runs.iter().filter(is_same_group).count() as u32
}

/// Starts all tasks of a gang, or none. Their runs share one number, and one rack if the step asks for it and some rack
/// has room for all.
fn place_gang(
    state: &mut super::State,
    group: Group,
    step: &Step,
    need: Need,
    tasks: Vec<task::Key>,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) {
    let racks: Vec<Option<String>> = if step.prefers_same_rack { racks(state) } else { Vec::new() };
    let plan = racks.iter().chain([&None]).find_map(|rack| {
        let need = Need { affinity: rack.clone(), ..need.clone() };
        plan_gang(state, group, step, &need, (tasks.len(), rack), pass)
    });
    let Some(plan) = plan else { return };
    let number = tasks.iter().map(|task| state.jobs.tasks[*task].next_run).max().unwrap_or(1);
    let checkpoint =
        tasks.iter().map(|task| state.jobs.tasks[*task].checkpoint.clone()).max().unwrap_or_default();
    for (key, worker) in tasks.into_iter().zip(plan) {
        state.jobs.tasks[key].checkpoint.clone_from(&checkpoint);
        if control::start(state, key, worker, number, out) {
            state.jobs.dequeue(key);
            pass.headrooms.remove(&worker);
        }
    }
}

/// Returns the racks of the workers that take new runs.
fn racks(state: &super::State) -> Vec<Option<String>> {
    let mut racks: Vec<Option<String>> = state
        .workers
        .all
        .values()
        .filter(|worker| worker.is_schedulable(state.now, state.journal.confirmed_at))
        .filter_map(|worker| worker.report.as_ref()?.rack().map(|rack| Some(rack.to_owned())))
        .collect();
    racks.sort_unstable();
    racks.dedup();
    racks
}

/// Returns a worker for each of `count` tasks of a gang, all within `rack` if it is given; `None` if they do not all find room.
fn plan_gang(
    state: &super::State,
    group: Group,
    step: &Step,
    need: &Need,
    (count, rack): (usize, &Option<String>),
    pass: &mut Pass,
) -> Option<Vec<Key>> {
    let mut planned: Map<Key, (Resources, u32)> = Map::default();
    let mut workers = Vec::with_capacity(count);
    for _ in 0..count {
        let key = choose_worker(state, need, step, group, &planned, pass)?;
        let report = state.workers.all[key].report.as_ref()?;
        if rack.is_some() && report.rack() != rack.as_deref() {
            return None;
        }
        let (resources, count) = planned.entry(key).or_default();
        *resources = resources.saturating_add(need.charged);
        *count += 1;
        workers.push(key);
    }
    Some(workers)
}

/// Preempts runs of lower priority for a task of priority 0 that has waited longer than a limit.
///
/// Resources that stopping runs will release are counted first, unless they are promised to another task of this pass,
/// so that no more runs are stopped than necessary.
fn preempt(
    state: &mut super::State,
    key: task::Key,
    need: &Need,
    priority: u32,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) {
    let task = &state.jobs.tasks[key];
    let waited = state.now.since(task.ready_at);
    if priority > 0 || waited < state.tuning.preempt_after {
        return;
    }
    let name = task.name;
    if pass.unpreemptable.iter().any(|other| needs_at_least(need, other)) {
        return;
    }
    let freed = pass.freed_resources.get_or_insert_with(|| stopping_resources(state));
    let promised = freed.iter().find(|(worker, resources)| {
        let Some(worker) = state.workers.all.get(**worker) else { return false };
        is_eligible(worker, need)
            && worker.is_schedulable(state.now, state.journal.confirmed_at)
            && worker.free_resources().saturating_add(**resources).covers(need.charged)
    });
    if let Some((worker, resources)) = promised.map(|(worker, resources)| (*worker, *resources)) {
        freed.insert(worker, resources.saturating_sub(need.charged));
        return;
    }
    if !pass.bounds.may_preempt(state, need, priority, &mut pass.visits) {
        return;
    }
    pass.visits += state.workers.all.len() as u64 * VISITS_PER_VICTIM_SEARCH;
    let best = state
        .workers
        .all
        .iter()
        .filter(|(_, worker)| {
            is_eligible(worker, need) && worker.is_schedulable(state.now, state.journal.confirmed_at)
        })
        .filter_map(|(worker, _)| {
            find_victims(state, worker, need, priority).map(|(cost, runs)| (cost, worker, runs))
        })
        .min_by_key(|(cost, ..)| *cost);
    let Some((_, worker, runs)) = best else {
        if need.required_label.is_none() {
            pass.unpreemptable.push(need.clone());
        }
        return;
    };
    let reason = format!("stops {} runs to free resources for {name}", runs.len());
    state::record(out, Subject::Job(name.job), "preempt", reason);
    for run in runs {
        let charged = state.runs[run].charged;
        let resources = freed.entry(worker).or_default();
        *resources = resources.saturating_add(charged);
        control::stop(state, run, "a task of higher priority needs its resources", out);
    }
    let resources = freed.entry(worker).or_default();
    *resources = resources.saturating_sub(need.charged);
}

fn is_eligible(worker: &Worker, need: &Need) -> bool {
    worker.report.as_ref().is_some_and(|report| {
        report.service == need.service
            && need.required_label.as_ref().is_none_or(|label| report.labels.contains(label))
    })
}

/// Returns the resources of the runs that are being stopped, by worker.
fn stopping_resources(state: &super::State) -> Map<Key, Resources> {
    let mut by_worker: Map<Key, Resources> = Map::default();
    for run in state.runs.values().filter(|run| matches!(run.phase, Phase::Stopping { .. })) {
        let resources = by_worker.entry(run.worker).or_default();
        *resources = resources.saturating_add(run.charged);
    }
    by_worker
}

/// Returns a run and its step if the run may be stopped for a task of a priority.
pub(super) fn find_victim(state: &super::State, key: run::Key, priority: u32) -> Option<(&run::Run, &Step)> {
    let run = state.runs.get(key).filter(|run| matches!(run.phase, Phase::Active { .. }))?;
    let job = state.jobs.all.get(state.jobs.find(run.name.job)?)?;
    let step = job.spec.steps.get(run.name.step as usize)?;
    let is_victim = job.priority > priority
        && !step.is_long_running
        && !step.is_gang
        && job.phase == request::Phase::Running;
    is_victim.then_some((run, step))
}

/// Returns runs on a worker that would release enough resources for a task if stopped, with the total cost of stopping
/// them.
fn find_victims(state: &super::State, key: Key, need: &Need, priority: u32) -> Option<(u64, Vec<run::Key>)> {
    let worker = &state.workers.all[key];
    let mut candidates: Vec<(u64, run::Key, Resources)> = worker
        .runs
        .iter()
        .filter_map(|key| {
            let (run, step) = find_victim(state, *key, priority)?;
            Some((preemption_cost(state, run, step), *key, run.charged))
        })
        .collect();
    candidates.sort_unstable_by_key(|(cost, ..)| *cost);
    let mut resources = worker.free_resources();
    let mut total_cost = 0;
    let mut runs = Vec::new();
    for (cost, key, charged) in candidates {
        if resources.covers(need.charged) {
            break;
        }
        if charged.cpu_millicores == 0
            && resources.cpu_millicores < need.charged.cpu_millicores
            && resources.memory_mb >= need.charged.memory_mb
        {
            continue;
        }
        resources = resources.saturating_add(charged);
        total_cost += cost;
        runs.push(key);
    }
    (resources.covers(need.charged) && !runs.is_empty()).then_some((total_cost, runs))
}

/// Returns the work lost by stopping a run, in thousandths of a core-millisecond: its run time and the restart, or only
/// the restart if the task saves checkpoints.
fn preemption_cost(state: &super::State, run: &run::Run, step: &Step) -> u64 {
    const RESTORE_MS: u64 = 300;
    let ran_ms = state.now.since(run.started_at).as_millis() as u64;
    u64::from(step.resources.cpu_millicores)
        * if step.is_checkpointable { RESTORE_MS } else { RESTORE_MS + ran_ms }
}
