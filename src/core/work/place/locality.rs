//! Waits for a better placement: a worker of the rack that holds the data of a task, or one rack for a whole gang.
//!
//! Elsewhere a run takes longer by a factor of the deployment (`Tuning::far_factor`). A task that finds room only elsewhere
//! waits if a worker of the rack is expected to have room so soon that the task would end earlier there. [`decide`] takes
//! plain values; `Racks` gathers the expected room from the runs on the workers of a rack. What waiting tasks of a rack will
//! take counts as taken, so that two tasks do not wait for the same room. With a factor of 1 nothing waits.
//!
//! Waiting tasks are looked at again when a worker of the rack has got more room or takes no more runs, when the expected
//! time has passed, and at the end of the wait.

use std::time::Duration;

use super::need::Need;
use super::{Pass, search};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::core::work::job::{Group, Job};
use crate::core::work::run::{self, Phase, Run};
use crate::core::work::spec::{Name, Resources, Step};
use crate::core::work::state::State;
use crate::core::work::worker::{Key, Worker};
use crate::core::work::{state, symbol, task};
use crate::hash::{Map, Set};

/// Longest time from when a task is ready to the end of its last wait. A task with room may not
/// stay unplaced for 3 s; the remaining second allows for late passes.
pub const WAIT_MAX: Duration = Duration::from_secs(2);

/// Time after the expected time at which a task that still waits is looked at again: an end is known after the worker's answer
/// and the next pass.
const REVIEW_DELAY: Duration = Duration::from_millis(50);

/// Expected time from the order to stop a run to the listing without it: two round trips.
const STOP_TIME: Duration = Duration::from_millis(100);

/// Shares of the tasks of a queue that run no longer than the usual time, and than the time after which a run is a straggler.
const USUAL_SHARE: f64 = 0.5;
const LATE_SHARE: f64 = 0.9;

/// What is expected for a task that has room only outside its rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outlook {
    /// Time until a worker of the rack has room; `None` if no worker there is usable, or if none will have room.
    pub room_in: Option<Duration>,
    /// Run time on the rack.
    pub near: Duration,
    /// Run time elsewhere.
    pub far: Duration,
    /// Time since the task became ready.
    pub ready_for: Duration,
    /// Part of that time in which it had room elsewhere and waited for the rack.
    pub waited: Duration,
    /// Time by which the job may still be delayed without missing its deadline.
    pub slack: Duration,
}

/// What a task does that has room only outside its rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It starts there.
    Start,
    /// It waits for the rack, at most for this time.
    Wait(Duration),
}

/// Waits if the task is expected to end earlier on the rack, and for no longer than the time that it saves there. So a wait
/// in vain costs at most that time.
pub fn decide(outlook: &Outlook) -> Decision {
    let Outlook { room_in, near, far, ready_for, waited, slack } = *outlook;
    let gain = far.saturating_sub(near).saturating_sub(waited);
    let limit = gain.min(WAIT_MAX.saturating_sub(ready_for)).min(slack);
    match room_in {
        Some(time) if time < limit => Decision::Wait(limit),
        _ => Decision::Start,
    }
}

/// Time that a run is expected to go on. One that has run for longer than most of its queue is a straggler, and is taken to be
/// halfway.
pub fn remaining_time(elapsed: Duration, usual: Duration, late: Duration) -> Duration {
    match [usual, late].into_iter().find(|end| *end > elapsed) {
        Some(end) => end - elapsed,
        None => elapsed,
    }
}

/// A wait of a task, or of a gang by its first task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    rack: symbol::Key,
    /// What each of `count` tasks will take there, and for how long.
    need: Need,
    count: usize,
    near: Duration,
    /// When it began.
    since: Instant,
    /// When it was last decided.
    decided_at: Instant,
    /// When the task is looked at again if the rack does not change before.
    review_at: Instant,
    /// When it ends.
    until: Instant,
}

/// Waits by task.
#[derive(Debug, Clone, Default)]
pub struct Waits {
    all: Map<task::Key, Wait>,
}

impl Waits {
    /// Whether a task waits for a rack.
    pub fn is_waiting(&self, key: task::Key, now: Instant) -> bool {
        self.all.get(&key).is_some_and(|wait| wait.until > now)
    }

    /// Forgets the waits of tasks that are no longer ready.
    pub(super) fn retain_ready(&mut self, tasks: &task::Table) {
        self.all.retain(|key, _| tasks.get(*key).is_some_and(|task| task.phase == task::Phase::Ready));
    }
}

/// Workers by rack in one pass, and the room that they are expected to have.
#[derive(Debug, Default)]
pub(super) struct Racks {
    /// Usable workers by label; `None` until they are needed.
    workers: Option<Map<symbol::Key, Vec<Key>>>,
    forecasts: Map<symbol::Key, Forecast>,
    /// Labels of the workers that have more room than in the last pass, or take no more runs; `None` until they are needed.
    changed: Option<Set<symbol::Key>>,
}

/// Expected room on the workers of a rack.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    pub(super) rooms: Vec<(Key, Room)>,
}

/// Expected room on a worker.
#[derive(Debug, Clone)]
pub struct Room {
    /// Resources that are free from `since` on.
    pub free: Resources,
    /// Time from which on these are free.
    pub since: Instant,
    /// Resources that become free later, in order of time.
    pub ends: Vec<(Instant, Resources)>,
}

impl Room {
    /// Returns when the worker has these resources free, with the free resources then and the number of ends before.
    fn find(&self, charged: Resources) -> Option<(Instant, Resources, usize)> {
        let (mut free, mut at) = (self.free, self.since);
        for index in 0..=self.ends.len() {
            if free.covers(charged) {
                return Some((at, free, index));
            }
            let (end, freed) = self.ends.get(index)?;
            (free, at) = (free.saturating_add(*freed), at.max(*end));
        }
        None
    }

    /// Returns when the worker has these resources free; `None` if that is not expected.
    pub fn next(&self, charged: Resources) -> Option<Instant> {
        self.find(charged).map(|(at, ..)| at)
    }

    /// Takes these resources as soon as they are free, for the time of a run.
    pub fn reserve(&mut self, charged: Resources, time: Duration) {
        let Some((at, free, count)) = self.find(charged) else { return };
        self.ends.drain(..count);
        (self.free, self.since) = (free.saturating_sub(charged), at);
        let end = at + time;
        let index = self.ends.partition_point(|(other, _)| *other <= end);
        self.ends.insert(index, (end, charged));
    }
}

impl Forecast {
    /// Returns when one of the workers that suit has room; `None` if none is expected to.
    fn next(&self, suits: impl Fn(Key) -> bool, charged: Resources) -> Option<Instant> {
        let rooms = self.rooms.iter().filter(|(key, _)| suits(*key));
        rooms.filter_map(|(_, room)| room.next(charged)).min()
    }

    /// Reserves room for `count` tasks as soon as possible, and returns when the last of them has it; `None` if they do not all
    /// find room. Only workers that suit are considered.
    fn reserve(
        &mut self,
        suits: impl Fn(Key) -> bool,
        charged: Resources,
        count: usize,
        time: Duration,
    ) -> Option<Instant> {
        let mut last = None;
        for _ in 0..count {
            let rooms = self.rooms.iter_mut().filter(|(key, _)| suits(*key));
            let first = rooms.filter_map(|(key, room)| Some((room.next(charged)?, *key, room)));
            let (at, _, room) = first.min_by_key(|(at, key, _)| (*at, *key))?;
            room.reserve(charged, time);
            last = last.max(Some(at));
        }
        last
    }
}

/// Factor by which a run takes longer where it runs; `None` if that is not known.
pub(in crate::core::work) fn slowdown(state: &State, run: &Run, step: &Step) -> Option<f64> {
    let factor = state.tuning.far_factor;
    if factor <= 1.0 {
        return Some(1.0);
    }
    if step.is_gang && step.prefers_same_rack {
        return None;
    }
    let Some(rack) = &step.affinity else { return Some(1.0) };
    let worker = state.workers.all.get(run.worker)?;
    Some(if worker.labels.contains(&symbol::Key::of(rack)) { 1.0 } else { factor })
}

/// Returns when a run is expected to end; `None` if it is not.
fn expected_end(state: &State, run: &Run) -> Option<Instant> {
    if matches!(run.phase, Phase::Stopping { .. }) {
        return Some(state.now + STOP_TIME);
    }
    let job = &state.jobs.all[state.jobs.find(run.name.job)?];
    let step = job.spec.steps.get(run.name.step as usize).filter(|step| !step.is_long_running)?;
    let slowdown = slowdown(state, run, step).unwrap_or(1.0);
    let queue = symbol::Key::of(&job.queue);
    let [usual, late] = [USUAL_SHARE, LATE_SHARE]
        .map(|share| state.runtimes.expected(queue, step.estimate, share).mul_f64(slowdown));
    // How long a run has been at work that began in an earlier term, or from a checkpoint, shows in its progress only.
    let elapsed = if run.is_from_start {
        state.now.since(run.started_at)
    } else {
        usual * run.progress_percent.min(100) / 100
    };
    Some(state.now + remaining_time(elapsed, usual, late))
}

/// Expected room on a worker without the tasks that wait for it.
fn expect_room(state: &State, worker: &Worker) -> Room {
    let runs = worker.runs.iter().filter_map(|key: &run::Key| state.runs.get(*key));
    let mut ends: Vec<_> = runs.filter_map(|run| Some((expected_end(state, run)?, run.charged))).collect();
    ends.sort_unstable_by_key(|(at, _)| *at);
    Room { free: worker.free_resources(), since: state.now, ends }
}

impl Racks {
    /// Forgets the expected room on the racks of a worker, on which a run has been started.
    pub(super) fn forget(&mut self, worker: &Worker) {
        worker.labels.iter().for_each(|label| {
            self.forecasts.remove(label);
        });
    }
}

impl Pass {
    /// Whether a rack has got more room since the last pass, or lost a usable worker.
    fn has_changed(&mut self, state: &State, rack: symbol::Key) -> bool {
        let survey = &self.found.survey;
        let changed = self.racks.changed.get_or_insert_with(|| {
            let keys = survey.roomier.iter().chain(&survey.closed);
            let workers = keys.filter_map(|key| state.workers.all.get(*key));
            workers.flat_map(|worker| worker.labels.iter().copied()).collect()
        });
        changed.contains(&rack)
    }

    /// Expected room on a rack, without that which other waiting tasks will take.
    fn forecast(&mut self, state: &State, rack: symbol::Key) -> &mut Forecast {
        if !self.racks.forecasts.contains_key(&rack) {
            let forecast = self.make_forecast(state, rack);
            self.racks.forecasts.insert(rack, forecast);
        }
        let forecast = self.racks.forecasts.entry(rack).or_default();
        self.visits += forecast.rooms.len() as u64;
        self.tally.workers += forecast.rooms.len() as u64;
        forecast
    }

    fn make_forecast(&mut self, state: &State, rack: symbol::Key) -> Forecast {
        let visits = &mut self.visits;
        let workers = self.racks.workers.get_or_insert_with(|| {
            *visits += state.workers.all.len() as u64;
            usable_by_label(state)
        });
        let keys = workers.get(&rack).map_or(&[][..], Vec::as_slice);
        let rooms =
            keys.iter().filter_map(|key| Some((*key, expect_room(state, state.workers.all.get(*key)?))));
        let mut forecast = Forecast { rooms: rooms.collect() };
        self.tally.runs += forecast.rooms.iter().map(|(_, room)| room.ends.len() as u64).sum::<u64>();
        // Waits on a rack that has changed are decided again in this pass.
        let has_changed = self.has_changed(state, rack);
        let is_held =
            |wait: &Wait| wait.decided_at == state.now || (!has_changed && wait.review_at > state.now);
        let waits = self.memory.waits.all.iter().filter(|(_, wait)| wait.rack == rack && is_held(wait));
        let mut waits: Vec<_> = waits.map(|(key, wait)| (wait.since, *key, *wait)).collect();
        waits.sort_unstable_by_key(|(since, key, _)| (*since, *key));
        for (_, _, wait) in waits {
            let Wait { need, count, near, .. } = wait;
            forecast.reserve(|key| suits_kind(state, key, &need), need.charged, count, near);
        }
        forecast
    }
}

/// Workers that take new runs, by label.
fn usable_by_label(state: &State) -> Map<symbol::Key, Vec<Key>> {
    let mut by_label: Map<symbol::Key, Vec<Key>> = Map::default();
    let tenure = state.tenure();
    for (key, worker) in state.workers.all.iter().filter(|(_, worker)| worker.is_schedulable(tenure)) {
        worker.labels.iter().for_each(|label| by_label.entry(*label).or_default().push(key));
    }
    by_label
}

/// Whether a task waits for a rack that has not changed, and need not be looked at yet.
pub(super) fn is_waiting(state: &State, key: task::Key, pass: &mut Pass) -> bool {
    let Some(wait) = pass.memory.waits.all.get(&key).copied() else { return false };
    wait.review_at > state.now && !pass.has_changed(state, wait.rack)
}

/// Records the end of the wait of a task that has been started.
pub(super) fn record_start(state: &mut State, key: task::Key, is_near: bool, pass: &mut Pass) {
    if pass.memory.waits.all.remove(&key).is_none() {
        return;
    }
    let counts = &mut state.meter.counts;
    *(if is_near { &mut counts.rack_waits_paid } else { &mut counts.rack_waits_abandoned }) += 1;
}

/// Whether a task that has room only outside its rack waits. Suspects, filling tasks and tasks that resume from a checkpoint
/// start: more than room decides when the first two may start, and the run time that is left of the last is not known.
pub(super) fn waits(
    state: &mut State,
    key: task::Key,
    need: &Need,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(rack) = need.affinity else { return false };
    let is_usual = !need.is_suspect && !need.is_filling && !need.is_long_running;
    if state.tuning.far_factor <= 1.0 || !is_usual || state.is_proof_late() {
        return false;
    }
    if !state.jobs.tasks[key].checkpoint.is_empty() {
        return false;
    }
    let group = state.jobs.tasks[key].group();
    let near = near_time(state, group);
    let held = pass.held;
    let room_at = pass.forecast(state, rack).next(suits(state, group, need, held), need.charged);
    let wait = NewWait { rack, room_at, near, need: *need, count: 1 };
    let has_wait = wait.decide(state, key, pass, out);
    if has_wait {
        pass.forecast(state, rack).reserve(suits(state, group, need, held), need.charged, 1, near);
    }
    has_wait
}

/// Whether a gang that finds room only on several racks waits for one of these racks with room for all its tasks.
pub(super) fn gang_waits(
    state: &mut State,
    tasks: &[task::Key],
    need: &Need,
    racks: &[symbol::Key],
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> bool {
    let is_usual = !need.is_suspect && !need.is_filling && !need.is_long_running;
    if state.tuning.far_factor <= 1.0 || !is_usual || state.is_proof_late() {
        return false;
    }
    let is_resumed = |key: &task::Key| !state.jobs.tasks[*key].checkpoint.is_empty();
    let Some(first) = tasks.first().copied().filter(|_| !tasks.iter().any(is_resumed)) else { return false };
    let group = state.jobs.tasks[first].group();
    let near = near_time(state, group);
    let mut best: Option<(Instant, symbol::Key, Forecast)> = None;
    for rack in racks {
        let mut forecast = pass.forecast(state, *rack).clone();
        let suits = suits(state, group, need, pass.held);
        let room_at = forecast.reserve(suits, need.charged, tasks.len(), near);
        let Some(at) = room_at else { continue };
        if best.as_ref().is_none_or(|(other, ..)| at < *other) {
            best = Some((at, *rack, forecast));
        }
    }
    let Some((at, rack, forecast)) = best else { return false };
    let wait = NewWait { rack, room_at: Some(at), near, need: *need, count: tasks.len() };
    let has_wait = wait.decide(state, first, pass, out);
    if has_wait {
        pass.racks.forecasts.insert(rack, forecast);
    }
    has_wait
}

/// Expected run time of the tasks of a group on their rack.
fn near_time(state: &State, group: Group) -> Duration {
    let job = &state.jobs.all[group.job];
    let estimate = job.spec.steps[group.step as usize].estimate;
    state.runtimes.expected(symbol::Key::of(&job.queue), estimate, USUAL_SHARE)
}

/// Whether a worker suits a task, apart from its room.
fn suits<'a>(state: &'a State, group: Group, need: &'a Need, held: Option<Key>) -> impl Fn(Key) -> bool + 'a {
    move |key| {
        let is_excluded = need.avoid == Some(key) || held == Some(key);
        let Some(worker) = state.workers.all.get(key).filter(|_| !is_excluded) else { return false };
        suits_kind(state, key, need)
            && need.max_per_worker.is_none_or(|most| search::count_group_runs(state, worker, group) < most)
    }
}

/// Whether a worker runs tasks of this kind.
fn suits_kind(state: &State, key: Key, need: &Need) -> bool {
    state.workers.all.get(key).is_some_and(|worker| worker.suits(need.service, need.required_label))
}

/// A wait that is to be decided.
struct NewWait {
    rack: symbol::Key,
    /// When the rack has room; `None` if that is not expected.
    room_at: Option<Instant>,
    near: Duration,
    need: Need,
    count: usize,
}

impl NewWait {
    /// Decides whether a task waits, and remembers and records its wait.
    fn decide(&self, state: &mut State, key: task::Key, pass: &mut Pass, out: &mut Vec<Effect>) -> bool {
        let now = state.now;
        let task = &state.jobs.tasks[key];
        let (name, job) = (task.name, &state.jobs.all[task.job]);
        let known = pass.memory.waits.all.get(&key).copied();
        let outlook = Outlook {
            room_in: self.room_at.map(|at| at.since(now)),
            near: self.near,
            far: self.near.mul_f64(state.tuning.far_factor),
            ready_for: now.since(task.ready_at),
            waited: known.map_or(Duration::ZERO, |wait| now.since(wait.since)),
            slack: slack(state, job, name),
        };
        let Decision::Wait(limit) = (state.policy.wait)(&outlook) else {
            // The count of the outcome waits for the start, which a worker without a proof may delay.
            if let Some(wait) = pass.memory.waits.all.get_mut(&key) {
                (wait.review_at, wait.until) = (now, now);
            }
            return false;
        };
        let until = now + limit;
        let room_at = self.room_at.unwrap_or(until);
        let review_at = until.min(room_at + REVIEW_DELAY);
        let NewWait { rack, need, near, count, .. } = *self;
        let since = known.map_or(now, |wait| wait.since);
        let wait = Wait { rack, need, count, near, since, decided_at: now, review_at, until };
        pass.memory.waits.all.insert(key, wait);
        pass.memory.wake_at([review_at]);
        if known.is_none() {
            state.meter.counts.rack_waits += 1;
            let reason = describe(state, job, name.step, self, &outlook, limit);
            state::record(out, Subject::Job(name.job), "waits-for-rack", format!("{name} {reason}"));
        }
        true
    }
}

/// Text of the entry of a wait.
fn describe(
    state: &State,
    job: &Job,
    step: u32,
    wait: &NewWait,
    outlook: &Outlook,
    limit: Duration,
) -> String {
    let affinity = job.spec.steps[step as usize].affinity.as_deref();
    let rack = affinity.or_else(|| rack_name(state, wait.rack)).unwrap_or("unknown");
    let [near, far, slack, limit] =
        [outlook.near, outlook.far, outlook.slack, limit].map(|time| time.as_millis());
    let room_in = outlook.room_in.unwrap_or_default().as_millis();
    let until = (state.now + Duration::from_millis(limit as u64)).0 / 1_000;
    format!(
        "waits for rack {rack} until {until} ms, at most {limit} ms; room there is expected in {room_in} ms; run time there \
         {near} ms, elsewhere {far} ms; slack {slack} ms"
    )
}

/// Name of a rack.
fn rack_name(state: &State, rack: symbol::Key) -> Option<&str> {
    let mut reports = state.workers.all.values().filter_map(|worker| worker.report.as_ref());
    reports
        .find_map(|report| report.labels.iter().find(|label| symbol::Key::of(label) == rack))
        .map(String::as_str)
}

/// Time by which a job may still be delayed without missing its deadline, if the step of a task starts now and takes its
/// expected time.
fn slack(state: &State, job: &Job, task: Name) -> Duration {
    let chain = job.chains.get(task.step as usize).copied().unwrap_or_default();
    let expected = state.runtimes.expected(symbol::Key::of(&job.queue), chain, USUAL_SHARE);
    let deadline = job.occurrence_deadline(task.occurrence, state.now, state.unix_ms);
    deadline.since(state.now).saturating_sub(expected)
}
