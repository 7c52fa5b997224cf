//! Reports why ready tasks are not placed.
//!
//! While tasks are ready, a report is made once a second. It adds an entry `waits` for each group that has waited longer
//! than [`WAIT_MIN`], up to [`ENTRIES_MAX`] of them, one entry `waits-total` for all such groups, and one entry `occupancy` for each service. If workers had room for
//! a task in the report before and have it now, the leader does not keep up; the task that has had room for longest gets an
//! entry `leader-saturated`. So the number of entries does not grow with the queue. A report goes once over the ready tasks,
//! and compares each worker with the groups that get an entry and with those that have waited longest. It changes nothing
//! but the timeline and the metrics.

use std::time::Duration;

use super::job::Group;
use super::place::Need;
use super::spec::{Name, Resources, Step};
use super::timer::Timer;
use super::worker::{Readiness, Tenure, Worker};
use super::{late, occupancy, reserve, state, task};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time from which on a group of ready tasks is reported; most tasks of a deployment with room start much earlier.
const WAIT_MIN: Duration = Duration::from_secs(1);

/// Most groups with an entry in one report, which bounds the log of a long queue.
const ENTRIES_MAX: usize = 20;

/// Why a ready task is no candidate for placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// Its earliest start is not reached.
    NotDue,
    /// An unknown run of an earlier term may exist, and the gate is closed.
    Gate,
    /// Its last run was taken as lost, and no commit that was sent after that has taken effect.
    LostRun,
    /// The change that its next run waits for is not durable.
    Change,
    /// Other tasks of its gang are no candidates.
    Gang,
    /// It has room, and waits for a worker of the rack that holds its data.
    Rack,
    /// An order to start it may be carried out late, so it starts on one worker only.
    LateStart,
}

/// Names of the holds, in the order of the variants.
const HOLD_NAMES: [&str; 7] = [
    "not due",
    "gate",
    "lost run not confirmed",
    "change not durable",
    "incomplete gang",
    "rack",
    "late start",
];

/// Why a worker that is listed and ready takes no new runs; [`Worker::accepts`] decides that it does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// Its availability zone is evacuated.
    Evacuated,
    /// The stored roster does not contain it at its current address.
    NotEnrolled,
    /// It does not answer.
    Silent,
    /// Its current process has not answered in this term.
    Unanswered,
    /// No commit has taken effect that was sent after its process was known.
    Unconfirmed,
    /// Its report is of another process than the one that answers.
    Outdated,
    /// It is paused after a start that was refused or not sent.
    Paused,
    /// It is suspected after failed runs.
    Suspected,
    /// A run on it has to survive its start first.
    Trial,
    /// The store does not answer, and the worker has not answered recently, so that it may have forgotten a later leader.
    Unproven,
    /// It is kept free of long-running tasks that have never run.
    Reserved,
    /// None of the other reasons applies.
    Other,
}

/// Names of the exclusions, in the order of the variants.
const EXCLUSION_NAMES: [&str; 12] = [
    "zone evacuated",
    "not enrolled",
    "silent",
    "no answer yet",
    "process not confirmed",
    "report of another process",
    "paused",
    "suspected",
    "trial",
    "no recent proof",
    "kept free of long-running tasks",
    "other",
];

/// Numbers of tasks by [`Hold`].
type Holds = [usize; HOLD_NAMES.len()];

/// A group of waiting tasks.
#[derive(Debug, Clone)]
struct Waiting {
    group: Group,
    priority: u32,
    /// Since when its first task has been due.
    since: Instant,
    first: Name,
    task_count: usize,
    holds: Holds,
    /// Number of tasks that may have crashed a worker, for which a worker also has to be free of recent starts.
    suspect_count: usize,
}

impl Waiting {
    /// Whether a task of the group may start on any worker with free resources: it is a candidate, and neither the response
    /// times on a worker nor a limit on the tasks of its group count.
    fn is_decided_by_resources(&self, state: &super::State) -> bool {
        let held: usize = self.holds.iter().sum();
        let is_free = |step: &Step| !step.is_filling && !step.is_gang && step.max_per_worker.is_none();
        held < self.task_count
            && self.suspect_count == 0
            && find_step(state, self.group).is_some_and(|(_, step)| is_free(step))
    }
}

/// Room for a task on a set of workers.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    worker_count: usize,
    /// Number of workers with room for the task.
    fitting: usize,
    /// Largest free CPU of a worker, in thousandths of a core.
    max_free_millicores: u32,
}

impl Room {
    fn add(&mut self, free: Resources, need: Resources) {
        self.worker_count += 1;
        self.fitting += usize::from(free.covers(need));
        self.max_free_millicores = self.max_free_millicores.max(free.cpu_millicores);
    }
}

/// Room for a task on the workers that may run it by their service and label.
#[derive(Debug, Clone, Default)]
struct Offer {
    /// On the workers that take new runs.
    open: Room,
    /// On the listed and ready workers that take none, by [`Exclusion`].
    excluded: [Room; EXCLUSION_NAMES.len()],
}

/// Returns why a task is no candidate for placement on its own; `None` if it is one.
pub(super) fn hold(state: &super::State, task: &task::Task) -> Option<Hold> {
    if task.not_before > state.now {
        Some(Hold::NotDue)
    } else if task.may_have_unseen_run
        && state.workers.gate.as_ref().is_some_and(|gate| gate.holds(task.name))
    {
        Some(Hold::Gate)
    } else if task.lost_at.is_some_and(|at| at > state.journal.confirmed_at) {
        Some(Hold::LostRun)
    } else if task.awaited_change > state.journal.durable_sequence {
        Some(Hold::Change)
    } else {
        None
    }
}

/// The same with the waits for a rack, in which the task stays a candidate of each pass.
fn hold_or_wait(state: &super::State, key: task::Key, task: &task::Task) -> Option<Hold> {
    let is_waiting = state.placement.is_waiting_for_rack(key, state.now);
    let is_bound = late::bound_worker(state, task).is_some();
    hold(state, task).or(is_waiting.then_some(Hold::Rack)).or(is_bound.then_some(Hold::LateStart))
}

/// Returns why a listed and ready worker takes no new runs of long-running or of other tasks, the first reason that
/// applies; `None` if it takes them.
pub(super) fn exclusion(worker: &Worker, is_long_running: bool, tenure: Tenure) -> Option<Exclusion> {
    let Tenure { now, committed_at, led_at, .. } = tenure;
    if worker.accepts(is_long_running, tenure) {
        // A proof is had at once where a task needs it, unless the store does not answer.
        let is_store_silent = now.since(led_at) > WAIT_MIN;
        return (is_store_silent && !worker.has_proof(tenure)).then_some(Exclusion::Unproven);
    }
    let has_answered = worker.last_answer_at.is_some() && worker.clock_reading.is_some();
    Some(if worker.is_evacuated {
        Exclusion::Evacuated
    } else if !worker.is_enrolled {
        Exclusion::NotEnrolled
    } else if worker.silent_since.is_some() {
        Exclusion::Silent
    } else if !has_answered {
        Exclusion::Unanswered
    } else if worker.process_known_at.is_none_or(|at| at > committed_at) {
        Exclusion::Unconfirmed
    } else if !worker.has_current_report() {
        Exclusion::Outdated
    } else if worker.paused_until > now {
        Exclusion::Paused
    } else if worker.trial_run.is_some() {
        Exclusion::Trial
    } else if worker.is_suspected(now) {
        Exclusion::Suspected
    } else {
        Exclusion::Other
    })
}

/// Sets the timer of the next report if tasks are ready, unless it is set.
pub(super) fn schedule(state: &mut super::State) {
    if state.next_wait_report.is_none() && !state.jobs.ready.is_empty() {
        let at = state.now + REPORT_INTERVAL;
        state.next_wait_report = Some(at);
        state.timers.set(at, Timer::ReportWaits);
    }
}

/// Makes a report, and schedules the next one if tasks are still ready.
pub(super) fn run_timer(state: &mut super::State, out: &mut Vec<Effect>) {
    state.next_wait_report = None;
    let waiting = long_waiting(state);
    report(state, &waiting, out);
    report_delayed(state, waiting, out);
    schedule(state);
}

/// Adds the task to the timeline for which workers have had room for longest. Room that no earlier report has found may just
/// have become free, so it does not count.
fn report_delayed(state: &mut super::State, waiting: Vec<Waiting>, out: &mut Vec<Effect>) {
    let now = state.now;
    let earlier = std::mem::take(&mut state.tasks_with_room);
    let since = |task: &Name| earlier.get(task).copied().unwrap_or(now);
    let with_room = find_with_room(state, waiting);
    state.tasks_with_room = with_room.iter().map(|(group, _)| (group.first, since(&group.first))).collect();
    let longest = with_room.iter().min_by_key(|(group, _)| (since(&group.first), group.first));
    let Some((group, room)) = longest.filter(|(group, _)| since(&group.first) < now) else { return };
    let delay = now.since(since(&group.first));
    state.meter.record_placement_delay(delay);
    let (first, delay_ms) = (group.first, delay.as_millis());
    let reason = format!("{first} waits and has had room for {delay_ms} ms, now {}", describe_room(*room));
    state::record(out, Subject::Process, "leader-saturated", reason);
}

/// Groups that have waited longer than [`WAIT_MIN`].
fn long_waiting(state: &super::State) -> Vec<Waiting> {
    let groups = state.jobs.ready.iter();
    groups
        .filter_map(|(group, tasks)| summarize(state, *group, tasks))
        .filter(|group| state.now.since(group.since) > WAIT_MIN)
        .collect()
}

/// Returns the groups for whose tasks a worker has room, with that room. Only the [`ENTRIES_MAX`] groups with the longest waits
/// are compared with the workers. Groups for which more than the free resources of a worker decides are left out.
fn find_with_room(state: &super::State, mut waiting: Vec<Waiting>) -> Vec<(Waiting, Room)> {
    waiting.retain(|group| group.is_decided_by_resources(state));
    waiting.sort_unstable_by_key(|group| (group.since, group.group));
    waiting.truncate(ENTRIES_MAX);
    let rooms = offers(state, &waiting).into_iter().map(|offer| offer.open);
    waiting.into_iter().zip(rooms).filter(|(_, room)| room.fitting > 0).collect()
}

/// Adds the groups that have waited longer than [`WAIT_MIN`] to the timeline: those of the highest priority and the
/// longest wait, the totals over all, and the occupancy of each service.
fn report(state: &super::State, waiting: &[Waiting], out: &mut Vec<Effect>) {
    if waiting.is_empty() {
        return;
    }
    let mut waiting = waiting.to_vec();
    waiting.sort_unstable_by_key(|group| (group.priority, group.since, group.group));
    state::record(out, Subject::Process, "waits-total", describe_total(state, &waiting));
    for occupancy in occupancy::survey(&state.workers, &state.runs, state.tenure()) {
        state::record(out, Subject::Process, "occupancy", occupancy.describe());
    }
    waiting.truncate(ENTRIES_MAX);
    for (group, offer) in waiting.iter().zip(offers(state, &waiting)) {
        let Some((job, step)) = find_step(state, group.group) else { continue };
        let reason = describe(state, group, step, &offer);
        state::record(out, Subject::Job(job.id), "waits", reason);
    }
}

fn find_step(state: &super::State, group: Group) -> Option<(&super::job::Job, &Step)> {
    let job = state.jobs.all.get(group.job)?;
    Some((job, job.spec.steps.get(group.step as usize)?))
}

/// The job, the step and the need of the waiting tasks of a group.
fn find_need(state: &super::State, group: Group) -> Option<(&super::job::Job, &Step, Need)> {
    let (job, step) = find_step(state, group)?;
    let need = *job.needs.get(group.step as usize)?;
    let must_leave_reserve = reserve::outline(state, group, &need).all_must_leave;
    Some((job, step, Need { must_leave_reserve, ..need }))
}

/// Counts the ready tasks of a group; `None` if it has none. The wait of a task begins when it is ready and due, so a
/// group whose tasks are all due later has waited for no time.
fn summarize<'a>(
    state: &super::State,
    group: Group,
    tasks: impl IntoIterator<Item = &'a task::Key>,
) -> Option<Waiting> {
    let (job, step) = find_step(state, group)?;
    let tasks = tasks.into_iter().filter_map(|key| Some((*key, state.jobs.tasks.get(*key)?)));
    let tasks: Vec<_> = tasks.filter(|(_, task)| task.phase == task::Phase::Ready).collect();
    let due_at = |task: &task::Task| task.ready_at.max(task.not_before);
    let (_, first) = tasks.iter().min_by_key(|(_, task)| (due_at(task), task.name))?;
    let mut holds = Holds::default();
    for hold in tasks.iter().filter_map(|(key, task)| hold_or_wait(state, *key, task)) {
        holds[hold as usize] += 1;
    }
    let candidates = tasks.len() - holds.iter().sum::<usize>();
    if step.is_gang && candidates < state.jobs.count_unfinished(group) {
        holds[Hold::Gang as usize] = candidates;
    }
    Some(Waiting {
        group,
        priority: job.priority,
        since: due_at(first),
        first: first.name,
        task_count: tasks.len(),
        holds,
        suspect_count: tasks.iter().filter(|(_, task)| task.is_suspect()).count(),
    })
}

/// Returns the room for a task of each group, from one pass over the workers.
fn offers(state: &super::State, groups: &[Waiting]) -> Vec<Offer> {
    let steps: Vec<_> = groups.iter().map(|waiting| find_need(state, waiting.group)).collect();
    let mut offers = vec![Offer::default(); groups.len()];
    for worker in state.workers.all.values().filter(|worker| worker.is_listed) {
        let Some(report) = &worker.report else { continue };
        if report.readiness != Readiness::Ready {
            continue;
        }
        let exclusions =
            [false, true].map(|is_long_running| exclusion(worker, is_long_running, state.tenure()));
        let free = worker.free_resources();
        for (offer, (job, step, need)) in
            offers.iter_mut().zip(&steps).filter_map(|(offer, step)| Some((offer, step.as_ref()?)))
        {
            let has_label = step.required_label.as_ref().is_none_or(|label| report.labels.contains(label));
            if report.service == job.service && has_label {
                let reserved = state.reserves.keeps(worker, need, 0).then_some(Exclusion::Reserved);
                let room = match exclusions[usize::from(step.is_long_running)].or(reserved) {
                    None => &mut offer.open,
                    Some(exclusion) => &mut offer.excluded[exclusion as usize],
                };
                room.add(free, step.charged());
            }
        }
    }
    offers
}

/// Text of the entry for all waiting groups.
fn describe_total(state: &super::State, waiting: &[Waiting]) -> String {
    let task_count: usize = waiting.iter().map(|group| group.task_count).sum();
    let mut holds = Holds::default();
    for (index, total) in holds.iter_mut().enumerate() {
        *total = waiting.iter().map(|group| group.holds[index]).sum();
    }
    let (groups, omitted) = (waiting.len(), waiting.len().saturating_sub(ENTRIES_MAX));
    let held = describe_holds(state, task_count, &holds);
    format!("ready tasks: {task_count}, groups: {groups}, groups without an entry: {omitted}; {held}")
}

/// Text of the entry for one group.
fn describe(state: &super::State, waiting: &Waiting, step: &Step, offer: &Offer) -> String {
    let Waiting { task_count, first, since, suspect_count, .. } = waiting;
    let waited_ms = state.now.since(*since).as_millis();
    let Resources { cpu_millicores, memory_mb, gpu } = step.resources;
    let gpu = if gpu > 0 { format!(", {gpu} accelerators") } else { String::new() };
    let kind = match (step.is_filling, step.is_long_running) {
        (true, _) => "filling task",
        (false, true) => "long-running task",
        (false, false) => "task",
    };
    let held = describe_holds(state, *task_count, &waiting.holds);
    let limit = step.max_per_worker.map(|most| format!(", at most {most} on a worker")).unwrap_or_default();
    let label = step.required_label.as_ref().map(|label| format!(", with label {label}")).unwrap_or_default();
    let suspects = if *suspect_count > 0 { format!(", {suspect_count} are suspects") } else { String::new() };
    let (open, excluded) = (describe_room(offer.open), describe_excluded(&offer.excluded));
    format!(
        "{task_count} ready, the first {first} for {waited_ms} ms; each {kind} needs {cpu_millicores} millicores, \
         {memory_mb} MB{gpu}{limit}{label}{suspects}; {held}; workers that take runs: {open}; excluded workers: {excluded}"
    )
}

/// Text of the tasks that are candidates, and of those that are held back, by reason.
fn describe_holds(state: &super::State, task_count: usize, holds: &Holds) -> String {
    let gate = state.workers.gate.as_ref().map_or_else(String::new, |gate| {
        let (unanswered, total) = gate.counts();
        format!(" ({unanswered} of {total} workers unanswered)")
    });
    let held: Vec<String> = HOLD_NAMES
        .iter()
        .enumerate()
        .filter(|(index, _)| holds[*index] > 0)
        .map(|(index, name)| {
            let detail = if index == Hold::Gate as usize { gate.as_str() } else { "" };
            format!("{name} {}{detail}", holds[index])
        })
        .collect();
    let candidates = task_count - holds.iter().sum::<usize>();
    let held = if held.is_empty() { "none".to_owned() } else { held.join(", ") };
    let can_act = state.leadership.may_act(state.now, &state.tuning);
    let pause = if can_act { "" } else { ", but the leadership is not confirmed" };
    format!("held: {held}; candidates: {candidates}{pause}")
}

fn describe_room(room: Room) -> String {
    let Room { worker_count, fitting, max_free_millicores } = room;
    format!("room on {fitting} of {worker_count}, most free {max_free_millicores} millicores")
}

/// Text of the room on excluded workers, with their number and the number of those with room by reason.
fn describe_excluded(rooms: &[Room]) -> String {
    let total = rooms.iter().fold(Room::default(), |total, room| Room {
        worker_count: total.worker_count + room.worker_count,
        fitting: total.fitting + room.fitting,
        max_free_millicores: total.max_free_millicores.max(room.max_free_millicores),
    });
    let reasons = EXCLUSION_NAMES.iter().zip(rooms).filter(|(_, room)| room.worker_count > 0);
    let reasons: Vec<String> = reasons
        .map(|(name, room)| format!("{name} {} ({} with room)", room.worker_count, room.fitting))
        .collect();
    let reasons = if reasons.is_empty() { String::new() } else { format!(": {}", reasons.join(", ")) };
    format!("{}{reasons}", describe_room(total))
}
