//! Placement: which task starts next, and on which worker.
//!
//! A pass looks at the steps that wait, most urgent first, and gives each task the worker with the best score. Work of
//! priority 0 that finds no room for a while makes room by stopping work of a lower priority.

use super::job::Group;
use super::outlook::{Outlook, Urgency};
use super::request;
use super::run::Phase;
use super::spec::{Resources, Step};
use super::worker::{Key, Worker};
use super::{control, image, outlook, run, state, task};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::hash::Map;

/// Score of a worker that a task should avoid, such as one where it failed.
const AVOIDED: i64 = -1_000_000_000;

/// Score of a worker away from the data of a task.
const FAR: i64 = -100_000_000;

/// Score of a worker with serving tasks of other images: filling tasks that disturb one image often leave another alone,
/// so equal images are kept together.
const MIXED: i64 = -30_000;

/// Score of a load that a filling task adds to serving tasks; 1 is all that one bears.
const PRESSURE: f64 = -100_000.0;

/// Score of a worker that bears all filling images: its room is kept for those that few others bear.
const OPENNESS: f64 = -8_000.0;

/// Part of its request that a filling task must find unused, as a divisor.
const SPARE_PART: i64 = 2;

/// Workers that are looked at for a better place of a run; one is found soon where there are many.
const SAMPLE: usize = 24;

/// Looks at a worker's runs count as this many visits of a worker.
const VICTIMS_VISITS: u64 = 4;

/// Most visits that the rest after a pass is computed from; the rest stays below two seconds.
const VISITS_MAX: u64 = 4_000_000;

/// How a task's worker is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Score of a worker with room for the task; the highest is taken.
    pub score: fn(&Need, &Offer<'_>) -> i64,
}

/// A worker with room for a task.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Serving runs there of another image than the task's.
    pub strangers: u32,
    /// What it offers to a filling task.
    pub filling: Filling,
}

/// What a worker offers to a filling task.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Filling {
    /// Processor time that is expected to be left, in thousandths of a core.
    pub spare: i64,
    /// Load that the task adds to the serving task there that it disturbs most.
    pub pressure: f64,
    /// Share of the filling images that hardly disturb any serving task there.
    pub openness: f64,
}

/// What a task needs.
#[derive(Debug, Clone)]
pub struct Need {
    /// Service whose workers may run it.
    pub service: String,
    /// Room that it takes.
    pub charged: Resources,
    /// Processor time that it can use, in thousandths of a core.
    pub cpu: u32,
    /// Label that the worker must have.
    pub requires: Option<String>,
    /// Rack that holds its data.
    pub affinity: Option<String>,
    /// Whether it runs until its job is cancelled.
    pub lasting: bool,
    /// Whether it uses only what others leave.
    pub fills: bool,
    /// Image that it runs, if it says so.
    pub image: Option<image::Key>,
    /// Whether a filling task can wait for a place where it surely disturbs nobody.
    pub urgency: Urgency,
    /// Worker to avoid.
    pub avoid: Option<Key>,
}

/// Packs batch work, keeps serving tasks of an image together, and puts filling work where most is left unused.
pub const PACKED: Policy = Policy { score: packed };

/// Puts every task on the worker with most free cores; the baseline that [`PACKED`] is compared with.
pub const SPREAD: Policy = Policy { score: |_, offer| i64::from(offer.worker.free().cpu_millicores) };

fn packed(need: &Need, offer: &Offer<'_>) -> i64 {
    let worker = offer.worker;
    let free = i64::from(worker.free().cpu_millicores);
    let far = need
        .affinity
        .as_ref()
        .is_some_and(|rack| worker.report.as_ref().is_some_and(|report| !report.labels.contains(rack)));
    let base = if need.fills {
        let Filling { spare, pressure, openness } = offer.filling;
        spare + (PRESSURE * pressure + OPENNESS * openness) as i64
    } else if need.lasting {
        free + MIXED * i64::from(offer.strangers)
    } else {
        -free
    };
    base + if far { FAR } else { 0 }
}

/// What one pass has found out so far.
#[derive(Default)]
struct Pass {
    /// Whether tasks of an earlier term may still run unseen.
    is_gated: bool,
    /// Needs that no worker has room for.
    failed: Vec<Need>,
    /// Needs that no worker has victims for.
    cramped: Vec<Need>,
    /// Room that becomes free by orders to stop and is not promised to a task, once it was looked for.
    freed: Option<Map<Key, Resources>>,
    /// Workers looked at, over all tasks.
    visits: u64,
    /// What workers offer to filling tasks, while no run is added there.
    outlooks: Map<Key, Outlook>,
}

impl Pass {
    /// What a worker offers to a filling task, if its serving tasks bear it and it would get processor time.
    fn filling(&mut self, state: &super::State, key: Key, need: &Need) -> Option<Filling> {
        if !need.fills {
            return Some(Filling::default());
        }
        let outlook = self.outlooks.entry(key).or_insert_with(|| outlook::of(state, key));
        // Of a task that does not say what it runs, nothing is known but its size.
        let is_bearable = need
            .image
            .is_none_or(|image| outlook::after(state, &outlook.slack, image, need.cpu, need.urgency) >= 0.0);
        let pressure = need.image.map(|image| outlook::pressure(state, &outlook.slack, image, need.cpu));
        let has_cores = outlook.spare >= i64::from(need.cpu) / SPARE_PART;
        (is_bearable && has_cores).then(|| Filling {
            spare: outlook.spare,
            pressure: pressure.unwrap_or_default(),
            openness: outlook.openness,
        })
    }
}

/// A group of waiting tasks in the order of a pass.
struct Waiting {
    group: Group,
    urgency: (u32, bool, Instant),
}

/// Runs the timer of a pass; one that a later timer replaced does nothing.
pub(super) fn due(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.next_placement.is_some_and(|at| at <= state.now) {
        state.next_placement = None;
        pass(state, out);
        if let Some(at) = next(state) {
            state.schedule_placement_by(at);
        }
    }
}

/// When a waiting task can first be placed although nothing else happens.
fn next(state: &super::State) -> Option<Instant> {
    let now = state.now;
    let tasks = state.jobs.ready.values().flatten().filter_map(|key| state.jobs.tasks.get(*key));
    let waits = [state.tuning.preempt_after, state.tuning.calm_patience];
    let tasks = tasks.flat_map(|task| [task.not_before, task.ready_at + waits[0], task.ready_at + waits[1]]);
    let workers = state.workers.all.values().map(|worker| worker.suspect_until);
    let gate = state.workers.gate.iter().map(|gate| gate.until);
    if state.jobs.ready.is_empty() {
        return None;
    }
    tasks.chain(workers).chain(gate).filter(|at| *at > now).min()
}

/// Starts the waiting tasks that find a worker.
fn pass(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.load.is_some() || !state.leadership.may_act(state.now, &state.tuning) {
        return;
    }
    let mut pass = Pass { is_gated: state.workers.is_gated(state.now), ..Pass::default() };
    for waiting in order(state) {
        place_group(state, waiting.group, &mut pass, out);
    }
    state.jobs.ready.retain(|_, tasks| !tasks.is_empty());
    state.placement_visits += pass.visits;
    state.placement_not_before = state.now + state.tuning.place_rest * pass.visits.min(VISITS_MAX) as u32;
}

/// Waiting groups, most urgent first. Groups that are late already come after those that can still be in time.
fn order(state: &super::State) -> Vec<Waiting> {
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
    let now = state.now;
    let waiting: Vec<task::Key> = state.jobs.ready.get(&group).into_iter().flatten().copied().collect();
    let startable = |key: &task::Key| {
        state.jobs.tasks.get(*key).is_some_and(|task| {
            task.phase == task::Phase::Ready
                && task.not_before <= now
                && !(pass.is_gated && task.may_have_unseen_run)
        })
    };
    let candidates: Vec<task::Key> = waiting.iter().copied().filter(startable).collect();
    if step.is_gang && candidates.len() < step.count as usize {
        return;
    }
    let need = Need {
        service,
        charged: step.charged(),
        cpu: step.resources.cpu_millicores,
        requires: step.required_label.clone(),
        affinity: step.affinity.clone(),
        lasting: step.is_long_running,
        fills: step.is_filling,
        image: (!step.image.is_empty()).then(|| state.images.enter(&step.image)),
        urgency: Urgency::Patient,
        avoid: None,
    };
    if step.is_gang {
        return place_gang(state, group, &step, need, candidates, pass, out);
    }
    for key in candidates {
        let task = &state.jobs.tasks[key];
        let has_waited = now.since(task.ready_at) >= state.tuning.calm_patience;
        let urgency = if has_waited { Urgency::Pressing } else { Urgency::Patient };
        let need = Need { avoid: task.avoid_worker, urgency, ..need.clone() };
        if pass.failed.iter().any(|other| is_harder(&need, other)) {
            make_room(state, key, &need, priority, pass, out);
            continue;
        }
        let Some(worker) = choose(state, &need, &step, group, &Map::default(), pass) else {
            if step.max_per_worker.is_none() && need.requires.is_none() {
                pass.failed.push(need.clone());
            }
            make_room(state, key, &need, priority, pass, out);
            continue;
        };
        let number = state.jobs.tasks[key].next_run;
        if control::start(state, key, worker, number, out) {
            state.jobs.dequeue(key);
            pass.outlooks.remove(&worker);
        }
    }
}

/// Whether a task surely finds no worker since one that needs less found none.
fn is_harder(need: &Need, failed: &Need) -> bool {
    let is_same_kind = need.fills == failed.fills
        && (!need.fills || (need.image == failed.image && need.urgency == failed.urgency));
    let needs_more = need.charged.covers(failed.charged) && need.cpu >= failed.cpu;
    need.service == failed.service && is_same_kind && needs_more
}

/// Best worker with room for a task; `planned` is room that the same decision uses already.
fn choose(
    state: &super::State,
    need: &Need,
    step: &Step,
    group: Group,
    planned: &Map<Key, (Resources, u32)>,
    pass: &mut Pass,
) -> Option<Key> {
    pass.visits += state.workers.all.len() as u64;
    let fits = |(key, worker): &(Key, &Worker)| {
        let Some(report) = &worker.report else { return false };
        let (room, count) = planned.get(key).copied().unwrap_or_default();
        report.service == need.service
            && worker.takes_work(state.now)
            && worker.free().saturating_sub(room).covers(need.charged)
            && need.requires.as_ref().is_none_or(|label| report.labels.contains(label))
            && step.max_per_worker.is_none_or(|most| beside(state, worker, group) + count < most)
    };
    let mut score = |(key, worker): (Key, &Worker)| {
        // Work that would disturb the serving tasks of a worker waits for another one.
        let filling = pass.filling(state, key, need)?;
        let avoided = if need.avoid == Some(key) { AVOIDED } else { 0 };
        let strangers = if need.lasting { strangers(state, worker, need.image) } else { 0 };
        Some(((state.policy.score)(need, &Offer { worker, strangers, filling }) + avoided, key))
    };
    state.workers.all.iter().filter(fits).filter_map(&mut score).max().map(|(_, key)| key)
}

/// Whether another worker has room for a filling run, and serving tasks that bear it at full speed. Only some workers are
/// looked at, from a random one on.
pub(super) fn has_better(state: &mut super::State, key: run::Key, urgency: Urgency) -> bool {
    let first = state.next_random() as usize % state.workers.all.len().max(1);
    let state = &*state;
    let run = &state.runs[key];
    let Some(image) = run.share.image else { return false };
    let Some(job) = state.jobs.find(run.name.job).and_then(|job| state.jobs.all.get(job)) else {
        return false;
    };
    let cpu = run.share.filling_cpu;
    let is_better = |(key, worker): (Key, &Worker)| {
        let is_able = key != run.worker
            && worker.report.as_ref().is_some_and(|report| report.service == job.service)
            && worker.takes_work(state.now)
            && worker.free().covers(run.charged)
            && worker.fillable() >= i64::from(cpu);
        is_able && {
            let outlook = outlook::of(state, key);
            outlook.spare >= i64::from(cpu)
                && outlook::after(state, &outlook.slack, image, cpu, urgency) >= 0.0
        }
    };
    state.workers.all.iter().cycle().skip(first).take(SAMPLE.min(state.workers.all.len())).any(is_better)
}

/// Serving runs of other images on a worker.
fn strangers(state: &super::State, worker: &Worker, image: Option<image::Key>) -> u32 {
    let is_strange = |run: &&run::Key| {
        state.runs.get(**run).is_some_and(|run| run.share.serves && run.share.image != image)
    };
    worker.runs.iter().filter(is_strange).count() as u32
}

/// Runs of the same step and occurrence on a worker.
fn beside(state: &super::State, worker: &Worker, group: Group) -> u32 {
    let Some(job) = state.jobs.all.get(group.job) else { return 0 };
    let same = |run: &&run::Key| {
        state.runs.get(**run).is_some_and(|run| {
            run.name.job == job.id && run.name.occurrence == group.occurrence && run.name.step == group.step
        })
    };
    worker.runs.iter().filter(same).count() as u32
}

/// Starts all tasks of a gang, or none. They get one run number, and one rack if they are slow on several.
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
        plan_gang(state, group, step, &Need { affinity: rack.clone(), ..need.clone() }, rack, pass)
    });
    let Some(plan) = plan else { return };
    let number = tasks.iter().map(|task| state.jobs.tasks[*task].next_run).max().unwrap_or(1);
    let saved = tasks.iter().map(|task| state.jobs.tasks[*task].checkpoint.clone()).max().unwrap_or_default();
    for (key, worker) in tasks.into_iter().zip(plan) {
        state.jobs.tasks[key].checkpoint.clone_from(&saved);
        if control::start(state, key, worker, number, out) {
            state.jobs.dequeue(key);
            pass.outlooks.remove(&worker);
        }
    }
}

/// Racks of the workers that take work.
fn racks(state: &super::State) -> Vec<Option<String>> {
    let mut racks: Vec<Option<String>> = state
        .workers
        .all
        .values()
        .filter(|worker| worker.takes_work(state.now))
        .filter_map(|worker| worker.report.as_ref()?.rack().map(|rack| Some(rack.to_owned())))
        .collect();
    racks.sort_unstable();
    racks.dedup();
    racks
}

/// Workers for all tasks of a gang, within one rack if one is given.
fn plan_gang(
    state: &super::State,
    group: Group,
    step: &Step,
    need: &Need,
    rack: &Option<String>,
    pass: &mut Pass,
) -> Option<Vec<Key>> {
    let mut planned: Map<Key, (Resources, u32)> = Map::default();
    let mut workers = Vec::with_capacity(step.count as usize);
    for _ in 0..step.count {
        let key = choose(state, need, step, group, &planned, pass)?;
        let report = state.workers.all[key].report.as_ref()?;
        if rack.is_some() && report.rack() != rack.as_deref() {
            return None;
        }
        let (room, count) = planned.entry(key).or_default();
        *room = room.saturating_add(need.charged);
        *count += 1;
        workers.push(key);
    }
    Some(workers)
}

/// Stops work of a lower priority so that an urgent task that has waited for a while finds room.
///
/// `freed` is the room that becomes free by orders to stop and is not promised to another task of this pass.
fn make_room(
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
    if pass.cramped.iter().any(|other| is_harder(need, other)) {
        return;
    }
    let freed = pass.freed.get_or_insert_with(|| stopping(state));
    let promised = freed.iter().find(|(worker, room)| {
        let Some(worker) = state.workers.all.get(**worker) else { return false };
        matches(worker, need)
            && worker.takes_work(state.now)
            && worker.free().saturating_add(**room).covers(need.charged)
    });
    if let Some((worker, room)) = promised.map(|(worker, room)| (*worker, *room)) {
        freed.insert(worker, room.saturating_sub(need.charged));
        return;
    }
    pass.visits += state.workers.all.len() as u64 * VICTIMS_VISITS;
    let best = state
        .workers
        .all
        .iter()
        .filter(|(_, worker)| matches(worker, need) && worker.takes_work(state.now))
        .filter_map(|(worker, _)| {
            victims(state, worker, need, priority).map(|(cost, runs)| (cost, worker, runs))
        })
        .min_by_key(|(cost, ..)| *cost);
    let Some((_, worker, runs)) = best else {
        if need.requires.is_none() {
            pass.cramped.push(need.clone());
        }
        return;
    };
    let reason = format!("{} runs make room for {name}", runs.len());
    state::record(out, Subject::Job(name.job), "preempt", reason);
    for run in runs {
        let charged = state.runs[run].charged;
        let room = freed.entry(worker).or_default();
        *room = room.saturating_add(charged);
        control::stop(state, run, "more urgent work needs the room", out);
    }
    let room = freed.entry(worker).or_default();
    *room = room.saturating_sub(need.charged);
}

fn matches(worker: &Worker, need: &Need) -> bool {
    worker.report.as_ref().is_some_and(|report| {
        report.service == need.service
            && need.requires.as_ref().is_none_or(|label| report.labels.contains(label))
    })
}

/// Room of the runs that are being stopped, by worker.
fn stopping(state: &super::State) -> Map<Key, Resources> {
    let mut rooms: Map<Key, Resources> = Map::default();
    for run in state.runs.values().filter(|run| matches!(run.phase, Phase::Stopping { .. })) {
        let room = rooms.entry(run.worker).or_default();
        *room = room.saturating_add(run.charged);
    }
    rooms
}

/// Runs on a worker whose end makes room for a task, with the work that is thrown away.
fn victims(state: &super::State, key: Key, need: &Need, priority: u32) -> Option<(u64, Vec<run::Key>)> {
    let worker = &state.workers.all[key];
    let mut able: Vec<(u64, run::Key, Resources)> = worker
        .runs
        .iter()
        .filter_map(|key| {
            let run = state.runs.get(*key)?;
            let job = state.jobs.all.get(state.jobs.find(run.name.job)?)?;
            let step = job.spec.steps.get(run.name.step as usize)?;
            let can = matches!(run.phase, Phase::Active { .. })
                && job.priority > priority
                && !step.is_long_running
                && !step.is_gang
                && job.phase == request::Phase::Running;
            can.then(|| (waste(state, run, step), *key, run.charged))
        })
        .collect();
    able.sort_unstable_by_key(|(waste, ..)| *waste);
    let mut room = worker.free();
    let mut cost = 0;
    let mut runs = Vec::new();
    for (waste, key, charged) in able {
        if room.covers(need.charged) {
            break;
        }
        if charged.cpu_millicores == 0
            && room.cpu_millicores < need.charged.cpu_millicores
            && room.memory_mb >= need.charged.memory_mb
        {
            continue;
        }
        room = room.saturating_add(charged);
        cost += waste;
        runs.push(key);
    }
    (room.covers(need.charged) && !runs.is_empty()).then_some((cost, runs))
}

/// Work that a stop throws away, in core-milliseconds; a task that saves its progress loses only its restoration.
fn waste(state: &super::State, run: &run::Run, step: &Step) -> u64 {
    const RESTORE_MS: u64 = 300;
    let ran = state.now.since(run.started).as_millis() as u64;
    u64::from(step.resources.cpu_millicores)
        * if step.is_checkpointable { RESTORE_MS } else { RESTORE_MS + ran }
}
