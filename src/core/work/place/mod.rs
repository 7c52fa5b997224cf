//! Placement: decides which task starts next, and on which worker.
//!
//! A pass visits the groups of waiting tasks, most urgent first, and starts each task on the worker with the highest
//! score. A task of priority 0 that waits for resources longer than a limit preempts runs of lower priority.
//!
//! What a pass finds out is kept in a [`Memory`], so that later passes examine only what has changed. A pass that has
//! examined many workers stops, and the next one goes on where it was, so that answers of the store and the workers do not
//! wait behind it.

mod copy;
mod gang;
pub mod locality;
mod memory;
mod need;
mod policy;
mod preempt;
mod search;
mod tally;

use std::collections::VecDeque;
use std::ops::ControlFlow;
use std::time::Duration;

pub use memory::Memory;
pub use need::Need;
pub use policy::{Filling, Offer, PACKED, Policy, SPREAD};
pub(super) use search::has_better_worker;
pub use tally::Tally;

use super::gate::Gate;
use super::headroom::Urgency;
use super::job::Group;
use super::reserve::Outline;
use super::spec::Resources;
use super::worker::Key;
use super::{backlog, dispatch, gate, late, leadership, renewal, reserve, symbol, task, wait};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::hash::{Map, Set};
use memory::{Findings, add_need};
use search::{Plan, Scope, Shortlist, Siblings};

/// Number of worker visits that a look at a waiting task takes as long as.
const VISITS_PER_TASK: u64 = 8;

/// Number of worker visits that a look at a group of waiting tasks takes as long as.
const VISITS_PER_GROUP: u64 = 4;

/// Number of comparisons with the needs of tasks without room that take as long as a worker visit.
const NEEDS_PER_VISIT: u64 = 8;

/// Work after which a pass stops, and leaves the other groups to the next one. The order of each start is encoded and sent
/// before the next event is handled, which takes much longer than a look at a worker.
const PASS_LIMIT: Limit = Limit { visits: 40_000, starts: 100 };

/// Time between the passes while tasks wait for a proof.
const PROOF_RETRY: Duration = Duration::from_millis(50);

/// Longest rest after a pass that began late.
const LATE_REST_MAX: Duration = Duration::from_millis(100);

/// Rest after a pass, as a multiple of the time that it took: half of the time is left to answers of the store and the workers.
const REST_PER_PASS_TIME: u32 = 1;

/// The same after a pass that began late, since answers wait: a leader that is behind never catches up without three quarters
/// of the time.
const REST_PER_LATE_PASS_TIME: u32 = 3;

/// Longest rest by the time that a pass took, which includes pauses of the process.
const MEASURED_REST_MAX: Duration = Duration::from_millis(250);

/// Place of a group in the order of a pass.
type Order = (backlog::Rank, Group);

/// Limit on the work of a pass.
#[derive(Debug, Clone, Copy)]
struct Limit {
    /// Number of worker visits.
    visits: u64,
    /// Number of tasks that are started.
    starts: u64,
}

impl Limit {
    fn half(self) -> Self {
        Self { visits: self.visits / 2, starts: self.starts / 2 }
    }
}

/// State of a placement pass.
struct Pass {
    /// Limit for the groups that are being placed.
    limit: Limit,
    /// What earlier passes have found out.
    memory: Memory,
    /// What this pass has found out.
    found: Findings,
    /// Resources by worker that runs being stopped will release and that are not promised to a task; `None` until they
    /// are needed.
    freed_resources: Option<Map<Key, Resources>>,
    /// Number of worker visits, over all tasks.
    visits: u64,
    /// Number of waiting groups and tasks that were examined, as worker visits that take as long.
    other_visits: u64,
    /// Number of tasks that were started.
    starts: u64,
    /// Workers with room for the tasks of the group that is being placed.
    shortlist: Shortlist,
    /// Worker with room for a suspect that waits for a time without a start there; the less urgent tasks leave it alone.
    held: Option<Key>,
    /// Needs of suspects that no worker accepts.
    unplaceable_suspects: Vec<Need>,
    /// Workers that were chosen for tasks, but may have forgotten a later leader.
    unproven: Set<Key>,
    /// Racks for which tasks wait.
    racks: locality::Racks,
    /// What the pass has examined.
    tally: Tally,
}

impl Pass {
    /// Begins a pass: compares the workers with how the last one saw them.
    fn begin(state: &mut super::State) -> Self {
        let mut memory = std::mem::take(&mut state.placement);
        let mut tally = Tally { passes: 1, ..Tally::default() };
        let reserves = reserve::Table::survey(&state.workers, state.tuning.reserve_percent);
        if reserves.has_opened_since(&state.reserves) {
            memory.forget_kept();
        }
        state.reserves = reserves;
        let survey = memory.look(state, &mut tally);
        Self {
            limit: PASS_LIMIT,
            memory,
            found: Findings { survey, ..Findings::default() },
            freed_resources: None,
            visits: state.workers.all.len() as u64,
            other_visits: 0,
            shortlist: Shortlist::default(),
            starts: 0,
            held: None,
            unplaceable_suspects: Vec::new(),
            unproven: Set::default(),
            racks: locality::Racks::default(),
            tally,
        }
    }

    /// Ends the pass, and keeps what it has found out.
    fn end(mut self, state: &mut super::State) {
        // A task may have found no room only because of this worker.
        if let Some(held) = self.held {
            self.memory.forget(held);
        }
        self.memory.waits.retain_ready(&state.jobs.tasks);
        let is_whole = self.memory.resume_at.is_none();
        self.memory.keep(state, self.found, is_whole, &mut self.tally);
        self.tally.runs += std::mem::take(&mut self.memory.headrooms.runs);
        state.placement_tally.add(&self.tally);
        state.meter.counts.add_pass(&self.tally);
        state.placement = self.memory;
    }

    /// Number of worker visits that the pass has taken as long as.
    fn cost(&self) -> u64 {
        self.visits + self.other_visits
    }

    /// Whether the pass has taken so long that the rest is left to the next one.
    fn is_exhausted(&self) -> bool {
        self.cost() >= self.limit.visits || self.starts >= self.limit.starts
    }

    /// Whether only a worker that has changed can have room for a task of a group.
    fn is_known_unplaceable(&mut self, group: Group, need: &Need) -> bool {
        // What is known of other needs does not hold where room is kept for the task.
        if need.kept_for.is_some() {
            return false;
        }
        self.tally.needs += self.memory.needs_count();
        self.memory.is_stuck(need.variant(group)) || self.memory.is_unplaceable(need)
    }

    /// Whether no worker has room for a task of a group.
    fn is_unplaceable(&mut self, state: &super::State, group: Group, need: &Need) -> bool {
        if need.kept_for.is_some() {
            return false;
        }
        self.tally.needs += self.found.unplaceable.len() as u64;
        if !self.found.survey.may_have_room(need)
            || self.found.stuck.contains(&need.variant(group))
            || self.found.unplaceable.iter().any(|other| need.is_at_least(other))
        {
            return true;
        }
        if !self.is_known_unplaceable(group, need) {
            return false;
        }
        let keys = self.found.survey.workers_for(need);
        self.visits += keys.len() as u64;
        self.tally.workers += keys.len() as u64;
        let has_room = search::has_room_among(state, &mut self.memory.headrooms, keys, need);
        if !has_room {
            self.add_stuck(group, need);
        }
        !has_room
    }

    /// Records that no worker suits a group.
    fn add_stuck(&mut self, group: Group, need: &Need) {
        self.found.stuck.insert(need.variant(group));
        if need.stands_for_larger() {
            add_need(&mut self.found.unplaceable, *need);
        }
    }

    /// Whether this pass has found that no worker accepts such a suspect.
    fn is_unplaceable_suspect(&self, need: &Need) -> bool {
        need.is_suspect && self.unplaceable_suspects.iter().any(|other| need.is_at_least(other))
    }

    /// Records that no worker accepts a suspect. That holds for the pass only, since workers accept suspects after a time.
    fn add_unplaceable_suspect(&mut self, need: &Need) {
        if need.max_per_worker.is_none() {
            add_need(&mut self.unplaceable_suspects, *need);
        }
    }

    /// Whether a look at the single tasks of a group is needless: no worker has room for them, nor runs to preempt.
    fn is_hopeless(&mut self, state: &super::State, group: Group, need: &Need, priority: u32) -> bool {
        let urgencies: &[Urgency] =
            if need.is_filling { &[Urgency::Deferrable, Urgency::Urgent] } else { &[Urgency::Deferrable] };
        let is_unplaceable = urgencies
            .iter()
            .all(|urgency| self.is_unplaceable(state, group, &Need { urgency: *urgency, ..*need }));
        is_unplaceable
            && (priority > preempt::PREEMPTING_PRIORITY || self.is_unpreemptable(state, group, need))
    }

    /// Whether this pass has found that no worker has enough runs to preempt for a task of a group.
    fn has_no_victims(&self, group: Group, need: &Need) -> bool {
        self.found.without_victims.contains(&group)
            || self.found.unpreemptable.iter().any(|other| need.is_at_least(other))
    }

    /// Whether a task of a group neither preempts other runs nor waits for the room of runs that are being stopped.
    fn is_unpreemptable(&mut self, state: &super::State, group: Group, need: &Need) -> bool {
        if self.has_no_victims(group, need) {
            return true;
        }
        self.tally.needs += self.memory.needs_count();
        let survey = &self.found.survey;
        self.tally.workers += survey.changed.len() as u64;
        let may_preempt = survey.may_preempt(need)
            && (!self.memory.has_no_victims(group, need)
                || self.memory.may_preempt_among(state, &survey.changed, need));
        let has_none = !may_preempt && self.freed(state).is_empty();
        if has_none {
            self.found.without_victims.insert(group);
        }
        has_none
    }

    /// Resources by worker that runs being stopped will release and that are not promised to a task.
    fn freed(&mut self, state: &super::State) -> &mut Map<Key, Resources> {
        self.freed_resources.get_or_insert_with(|| {
            self.tally.runs += state.runs.len() as u64;
            preempt::stopping_resources(state)
        })
    }
}

/// Handles an expired placement timer: runs a pass if one is due, and schedules the next. A timer that has been
/// replaced by another one is ignored.
pub(super) fn run_timer(state: &mut super::State, out: &mut Vec<Effect>) {
    let Some(due) = state.next_placement.filter(|at| *at <= state.now) else { return };
    state.next_placement = None;
    // The rest after a pass is known only at its end, so a pass may have been scheduled for an earlier time.
    if state.placement_not_before > state.now {
        return state.schedule_placement();
    }
    let lateness = state.now.since(due.max(state.placement_not_before));
    run_pass(state, lateness, out);
    state.pass_lateness = Some(lateness);
    note_ready(state);
    if let Some(at) = next_pass_at(state) {
        state.schedule_placement_by(at);
    }
    wait::schedule(state);
}

/// Extends the rest after a placement pass if the previous input ran one. That input was handled from `begin` on, and took
/// `spent`.
pub(super) fn extend_rest(state: &mut super::State, begin: Instant, spent: Duration) {
    let Some(lateness) = state.pass_lateness.take() else { return };
    state.meter.counts.pass_time += spent;
    let is_late = lateness > state.tuning.place_interval;
    let multiple = if is_late { REST_PER_LATE_PASS_TIME } else { REST_PER_PASS_TIME };
    let rest = (spent * multiple).min(MEASURED_REST_MAX);
    state.placement_not_before = state.placement_not_before.max(begin + spent + rest);
}

/// Notes when the waiting of the tasks that have become ready gets another meaning.
fn note_ready(state: &mut super::State) {
    let (now, tuning) = (state.now, state.tuning);
    for key in std::mem::take(&mut state.jobs.newly_ready) {
        let Some(task) = state.jobs.tasks.get(key) else { continue };
        let job = &state.jobs.all[task.job];
        let preempts_at = task.ready_at + tuning.preempt_after;
        let urgent_at = task.ready_at + tuning.max_deferral;
        let wakes = [
            Some(task.not_before),
            Some(preempts_at).filter(|_| job.priority == preempt::PREEMPTING_PRIORITY),
            Some(urgent_at).filter(|_| job.needs[task.name.step as usize].is_filling),
        ];
        state.placement.wake_at(wakes.into_iter().flatten().filter(|at| *at > now));
    }
}

/// Returns the earliest time at which a waiting task may become placeable without another event; `None` if there is
/// none.
fn next_pass_at(state: &mut super::State) -> Option<Instant> {
    let now = state.now;
    if state.jobs.ready.is_empty() {
        return None;
    }
    let wake = state.placement.next_wake(now);
    let workers = state.workers.all.values().flat_map(|worker| {
        let trials = worker.suspicion.into_iter().flat_map(|it| [it.until, it.next_trial_at]);
        trials.chain([worker.paused_until])
    });
    let gate = state.workers.gate.iter().filter_map(Gate::next_expiry);
    workers.chain(gate).chain(wake).filter(|at| *at > now).min()
}

/// Starts the waiting tasks for which a worker is found. `lateness` is the time by which the pass begins late.
fn run_pass(state: &mut super::State, lateness: Duration, out: &mut Vec<Effect>) {
    if state.load.is_some() || !state.leadership.may_act(state.now, &state.tuning) {
        return;
    }
    gate::review(state, out);
    let unproven = dispatch::send_stored(state, out);
    let waiting = sort_waiting(state);
    let mut pass = Pass::begin(state);
    pass.unproven = unproven;
    pass.tally.groups += waiting.len() as u64;
    let resumed = pass.memory.resume_at.take();
    let resumed_index = resumed.map_or(0, |at| waiting.partition_point(|order| *order < at));
    // The most urgent groups get up to half of each pass, so that they don't wait until the others have had their turn.
    let (urgent, others) = waiting.split_at(resumed_index);
    pass.limit = PASS_LIMIT.half();
    let unfinished_urgent = place_groups(state, urgent, &mut pass, out);
    pass.limit = PASS_LIMIT;
    let unfinished = place_groups(state, others, &mut pass, out);
    pass.memory.resume_at = unfinished.and_then(|index| others.get(index)).copied();
    copy::place(state, &mut pass, out);
    let is_whole = unfinished_urgent.is_none() && pass.memory.resume_at.is_none();
    state.placement_visits += pass.visits;
    state.meter.counts.unproven_workers += pass.unproven.len() as u64;
    // Events that wait while the process is behind are handled before the next pass.
    let comparisons = pass.tally.needs / NEEDS_PER_VISIT;
    let rest = state.tuning.place_rest_per_visit * (pass.cost() + comparisons) as u32;
    state.placement_not_before = state.now + rest.max(lateness.min(LATE_REST_MAX));
    if !pass.unproven.is_empty() {
        seek_proof(state, &pass.unproven, out);
    }
    pass.end(state);
    if !is_whole {
        state.schedule_placement();
    }
}

/// Asks for the proof that tasks wait for: the store, unless a commit will show it soon, and the workers themselves if the
/// store does not answer in time.
fn seek_proof(state: &mut super::State, workers: &Set<Key>, out: &mut Vec<Effect>) {
    if state.journal.is_idle() || state.is_proof_late() {
        leadership::read_key(state, out);
    }
    if state.is_proof_late() {
        for key in workers {
            renewal::schedule_now(state, *key);
            renewal::send_if_due(state, *key, out);
        }
    }
    state.schedule_placement_by(state.now + PROOF_RETRY);
}

/// Returns the waiting groups, most urgent first.
fn sort_waiting(state: &super::State) -> Vec<Order> {
    let mut ratios = Map::default();
    let rank = |group: &Group| {
        let waiting = describe_waiting(state, *group, &mut ratios)?;
        Some(((state.order)(&waiting, state.now), *group))
    };
    let mut waiting: Vec<Order> = state.jobs.ready.keys().filter_map(rank).collect();
    waiting.sort_unstable();
    waiting
}

/// What the order of a group depends on. All steps of a queue have the same ratio of run times to estimates, so one look at
/// the learned run times for each queue gives the times of all chains; `ratios` holds those that are known.
fn describe_waiting<'a>(
    state: &'a super::State,
    group: Group,
    ratios: &mut Map<&'a str, Option<f64>>,
) -> Option<backlog::Waiting> {
    let job = state.jobs.all.get(group.job)?;
    let ratio = *ratios
        .entry(job.queue.as_str())
        .or_insert_with(|| backlog::median_ratio(&state.runtimes, symbol::Key::of(&job.queue)));
    let chain = *job.chains.get(group.step as usize)?;
    Some(backlog::Waiting {
        priority: job.priority,
        is_long_running: job.spec.is_long_running(),
        deadline: job.occurrence_deadline(group.occurrence, state.now, state.unix_ms),
        allowance: job.allowance,
        remaining: ratio.map_or(chain, |ratio| chain.mul_f64(ratio)),
        is_learned: ratio.is_some(),
    })
}

/// Starts the tasks of these groups that find room, one group after the other. Returns the index of the group at which the
/// next pass goes on; `None` after the last one.
fn place_groups(
    state: &mut super::State,
    groups: &[Order],
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> Option<usize> {
    for (index, order) in groups.iter().enumerate() {
        let is_done = place_group(state, order.1, pass, out).is_continue();
        if pass.is_exhausted() {
            return Some(if is_done { index + 1 } else { index });
        }
    }
    None
}

/// Starts the tasks of a group that find room. Breaks if the pass has to stop before it has looked at all of them.
fn place_group(
    state: &mut super::State,
    group: Group,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> ControlFlow<()> {
    pass.other_visits += VISITS_PER_GROUP;
    pass.tally.groups += 1;
    pass.shortlist.clear();
    let Some(job) = state.jobs.all.get(group.job) else { return ControlFlow::Continue(()) };
    let (mut need, priority) = (job.needs[group.step as usize], job.priority);
    let outline = reserve::outline(state, group, &need);
    need.must_leave_reserve = outline.all_must_leave;

    if !outline.has_kept_room && pass.is_hopeless(state, group, &need, priority) {
        return ControlFlow::Continue(());
    }
    let mut flow = ControlFlow::Continue(());
    if need.is_gang {
        let candidates = candidates(state, group);
        pass.other_visits += candidates.len() as u64 * VISITS_PER_TASK;
        pass.tally.tasks += state.jobs.ready.get(&group).map_or(0, VecDeque::len) as u64;
        state.meter.counts.candidates += candidates.len() as u64;
        // The members of a gang work only together, so none starts before the others can.
        if candidates.len() >= state.jobs.count_unfinished(group) {
            need.is_suspect = candidates.iter().any(|key| state.jobs.tasks[*key].is_suspect());
            gang::place(state, group, need, &candidates, pass, out);
        }
    } else {
        flow = place_tasks(state, group, &need, priority, outline, pass, out);
    }
    state.jobs.remove_started(group);
    flow
}

/// Returns the tasks of a group that may start now.
fn candidates(state: &super::State, group: Group) -> Vec<task::Key> {
    let tasks = state.jobs.ready.get(&group).into_iter().flatten().copied();
    tasks.filter(|key| is_startable(state, *key)).collect()
}

/// Whether a task may start now.
fn is_startable(state: &super::State, key: task::Key) -> bool {
    let task = state.jobs.tasks.get(key);
    task.is_some_and(|task| task.phase == task::Phase::Ready && wait::hold(state, task).is_none())
}

/// Starts the tasks of a group one by one, in the order in which they became ready, as long as there may be room for them.
/// Breaks if the pass has to stop before the last task.
fn place_tasks(
    state: &mut super::State,
    group: Group,
    need: &Need,
    priority: u32,
    outline: Outline,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> ControlFlow<()> {
    let mut unplaceable = Vec::new();
    for index in 0.. {
        let Some(key) = state.jobs.ready.get(&group).and_then(|tasks| tasks.get(index)).copied() else {
            break;
        };
        if pass.starts >= pass.limit.starts {
            return ControlFlow::Break(());
        }
        pass.tally.tasks += 1;
        let Some(task) = state.jobs.tasks.get(key) else { continue };
        let urgency = urgency(state, need, task);
        let must_leave_reserve = reserve::must_leave(need, task);
        let task_need = Need {
            avoid: task.avoid_worker,
            only: late::bound_worker(state, task),
            is_suspect: task.is_suspect(),
            urgency,
            must_leave_reserve,
            kept_for: reserve::has_kept_room(state, key).then_some(key),
            ..*need
        };
        let variant = task_need.variant(group);
        if let Some(worker) = task_need.only {
            late::seek_listing(state, key, worker);
        }
        let is_usual = task_need.kept_for.is_none() && task_need.only.is_none();
        if (is_usual && unplaceable.contains(&variant)) || !is_startable(state, key) {
            continue;
        }
        if locality::is_waiting(state, key, pass) {
            pass.other_visits += 1;
            continue;
        }
        pass.other_visits += VISITS_PER_TASK;
        state.meter.counts.candidates += 1;
        if place_task(state, key, &task_need, priority, pass, out).is_break() {
            // Only the first tasks of a group have waited for so long that they are urgent, and only later ones have run before.
            if urgency == Urgency::Deferrable
                && must_leave_reserve == outline.all_must_leave
                && !outline.has_kept_room
            {
                break;
            }
            unplaceable.push(variant);
        }
    }
    ControlFlow::Continue(())
}

/// Whether a task can wait for a better worker; only filling tasks become urgent.
fn urgency(state: &super::State, need: &Need, task: &task::Task) -> Urgency {
    let has_waited = need.is_filling && state.now.since(task.ready_at) >= state.tuning.max_deferral;
    if has_waited { Urgency::Urgent } else { Urgency::Deferrable }
}

/// Starts a task if a worker has room for it, or else preempts others if it may. Breaks if no later task of its group with the
/// same urgency can start or preempt in this pass.
fn place_task(
    state: &mut super::State,
    key: task::Key,
    need: &Need,
    priority: u32,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> ControlFlow<()> {
    let task = &state.jobs.tasks[key];
    let (group, number) = (task.group(), task.next_run);
    if pass.is_unplaceable(state, group, need) || pass.is_unplaceable_suspect(need) {
        return preempt_for(state, key, need, priority, pass, out);
    }
    let is_known = pass.is_known_unplaceable(group, need);
    let scope = if is_known && !need.is_suspect { Scope::Changed } else { Scope::All };
    let Some(worker) = search::choose_listed(state, need, group, scope, pass) else {
        if need.only.is_some() {
            return ControlFlow::Continue(());
        }
        if !need.is_suspect {
            pass.add_stuck(group, need);
        } else {
            if pass.held.is_none() {
                let plan = Plan::default();
                search::hold_worker(state, need, Siblings { group, plan: &plan }, pass);
            }
            pass.add_unplaceable_suspect(need);
        }
        return preempt_for(state, key, need, priority, pass, out);
    };
    let is_near = !need.is_remote(&state.workers.all[worker]);
    if !is_near && need.only.is_none() && locality::waits(state, key, need, pass, out) {
        return ControlFlow::Continue(());
    }
    if state.is_proof_late() && !state.workers.all[worker].has_proof(state.tenure()) {
        pass.unproven.insert(worker);
        // Nothing is reserved, so the same worker would be found for each later task that accepts it.
        let is_usual = !need.is_suspect && need.avoid.is_none() && need.only.is_none();
        return if is_usual { ControlFlow::Break(()) } else { ControlFlow::Continue(()) };
    }
    if dispatch::start(state, key, worker, number) {
        pass.memory.note(state, worker);
        pass.racks.forget(&state.workers.all[worker]);
        locality::record_start(state, key, is_near, pass);
        pass.starts += 1;
    }
    ControlFlow::Continue(())
}

/// Preempts other runs for a task without room, if it may. Breaks as [`place_task`].
fn preempt_for(
    state: &mut super::State,
    key: task::Key,
    need: &Need,
    priority: u32,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> ControlFlow<()> {
    if need.only.is_some() {
        return ControlFlow::Continue(());
    }
    let gets_room = preempt::preempt(state, key, need, priority, pass, out);
    // A run that is being stopped no longer counts beside a filling task.
    pass.shortlist.clear();
    // A suspect is accepted by fewer workers than the other tasks of its group.
    if gets_room || need.is_suspect { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
}
