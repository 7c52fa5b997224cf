//! Search for the worker of a task.

use std::collections::BinaryHeap;

use super::memory::Headrooms;
use super::need::Need;
use super::{Filling, Offer, Pass};
use crate::core::work::headroom::{self, Urgency};
use crate::core::work::job::Group;
use crate::core::work::spec::Resources;
use crate::core::work::state::State;
use crate::core::work::worker::{Key, Worker};
use crate::core::work::{crash, image, run};
use crate::hash::Map;

/// Score penalty of a worker that a task should avoid, such as one where it failed.
const AVOIDED_WORKER_SCORE: i64 = -1_000_000_000;

/// Score penalty of a worker that is suspected of failing what it starts.
const SUSPECTED_WORKER_SCORE: i64 = -1_000_000_000;

/// Score penalty of a worker without a recent proof while the store does not give one.
const UNPROVEN_WORKER_SCORE: i64 = -500_000_000;

/// Further score penalty of such a worker if it is being called, since its answer may take as long as a poll.
const CALLED_WORKER_SCORE: i64 = -250_000_000;

/// Score penalty of a worker of the reserve for a long-running task.
const RESERVED_WORKER_SCORE: i64 = -50_000_000;

/// Score penalty for each run beside a task that may crash its worker.
const SUSPECT_COMPANY_SCORE: i64 = -10_000;

/// A filling task starts only on a worker that leaves unused the processor time that it requests, divided by this.
const SPARE_CPU_DIVISOR: i64 = 2;

/// Most workers that are examined as a better place for a run; a small sample is likely to contain one if many exist.
const WORKER_SAMPLE: usize = 24;

/// Resources and number of runs that a gang already uses on each worker.
pub(super) type Plan = Map<Key, (Resources, u32)>;

/// What other tasks of the group of a task have taken.
#[derive(Debug, Clone, Copy)]
pub(super) struct Siblings<'a> {
    pub group: Group,
    pub plan: &'a Plan,
}

/// Workers that are examined for a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    All,
    /// Only those that have changed since the last pass, as the others are known to have no room.
    Changed,
}

/// Workers with room for the tasks of one group, by score. A start changes only its worker, so the tasks of a group share
/// one search of all workers.
#[derive(Debug, Default)]
pub(super) struct Shortlist {
    /// The need and the scope that the workers were searched for; `None` before the first search.
    searched: Option<(Need, Scope)>,
    by_score: BinaryHeap<(i64, Key)>,
    /// Worker that was returned last, whose score may have changed since.
    returned: Option<Key>,
}

impl Shortlist {
    /// Forgets the workers, as after a change of other workers than that which was returned last.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}

/// Returns the worker with the highest score among those with room for a task of a group. Equal needs of the group are
/// answered from one search.
pub(super) fn choose_listed(
    state: &State,
    need: &Need,
    group: Group,
    scope: Scope,
    pass: &mut Pass,
) -> Option<Key> {
    let plan = Plan::default();
    let siblings = Siblings { group, plan: &plan };
    let mut list = std::mem::take(&mut pass.shortlist);
    if list.searched != Some((*need, scope)) {
        let by_score = score_workers(state, need, siblings, scope, pass).collect();
        list = Shortlist { searched: Some((*need, scope)), by_score, returned: None };
    } else if let Some(key) = list.returned.take() {
        pass.visits += 1;
        pass.tally.workers += 1;
        let worker = state.workers.all.get(key);
        let score = worker.and_then(|worker| {
            score_worker(state, &mut pass.memory.headrooms, (key, worker), need, siblings)
        });
        list.by_score.extend(score.map(|score| (score, key)));
    }
    list.returned = pop_best(state, need, siblings, &mut list.by_score, pass);
    let chosen = list.returned;
    pass.shortlist = list;
    chosen
}

/// Takes the worker with the highest score from a list. A start of a long-running task on one worker can make others part of
/// the reserve of their service, so their scores are computed again.
fn pop_best(
    state: &State,
    need: &Need,
    siblings: Siblings<'_>,
    by_score: &mut BinaryHeap<(i64, Key)>,
    pass: &mut Pass,
) -> Option<Key> {
    while let Some((score, key)) = by_score.pop() {
        if !need.is_long_running {
            return Some(key);
        }
        pass.visits += 1;
        pass.tally.workers += 1;
        let worker = state.workers.all.get(key)?;
        let newest = score_worker(state, &mut pass.memory.headrooms, (key, worker), need, siblings);
        if newest.is_some_and(|newest| newest >= score) {
            return Some(key);
        }
        by_score.extend(newest.map(|newest| (newest, key)));
    }
    None
}

/// Returns the worker with the highest score among those with room for a task.
pub(super) fn choose_worker(
    state: &State,
    need: &Need,
    siblings: Siblings<'_>,
    scope: Scope,
    pass: &mut Pass,
) -> Option<Key> {
    score_workers(state, need, siblings, scope, pass).max().map(|(_, key)| key)
}

/// Scores of the workers with room for a task.
fn score_workers<'a>(
    state: &'a State,
    need: &'a Need,
    siblings: Siblings<'a>,
    scope: Scope,
    pass: &'a mut Pass,
) -> impl Iterator<Item = (i64, Key)> + 'a {
    let Pass { memory, found, held, visits, tally, .. } = pass;
    let held = *held;
    let headrooms = &mut memory.headrooms;
    let all = (scope == Scope::All).then(|| state.workers.all.iter()).into_iter().flatten();
    let changed = found.survey.changed.iter().filter(move |_| scope == Scope::Changed);
    let count = match scope {
        Scope::All => state.workers.all.len(),
        Scope::Changed => found.survey.changed.len(),
    };
    *visits += count as u64;
    tally.workers += count as u64;
    all.chain(changed.filter_map(|key| Some((*key, state.workers.all.get(*key)?)))).filter_map(
        move |(key, worker)| {
            (held != Some(key)).then_some(())?;
            Some((score_worker(state, headrooms, (key, worker), need, siblings)?, key))
        },
    )
}

/// Score of a worker for a task; `None` if it has no room for it.
fn score_worker(
    state: &State,
    headrooms: &mut Headrooms,
    (key, worker): (Key, &Worker),
    need: &Need,
    Siblings { group, plan }: Siblings<'_>,
) -> Option<i64> {
    if need.only.is_some_and(|only| only != key) {
        return None;
    }
    let (planned, planned_runs) = plan.get(&key).copied().unwrap_or_default();
    let fits = has_room(state, worker, need, planned)
        && (planned_runs > 0 || !state.reserves.keeps(worker, need, count_vacant(state, need, plan)))
        && need
            .max_per_worker
            .is_none_or(|most| count_group_runs(state, worker, group) + planned_runs < most)
        && (!need.is_suspect || (planned_runs == 0 && crash::accepts_suspect(worker, state.now)))
        && (planned_runs == 0 || !worker.is_suspected(state.now));
    if !fits {
        return None;
    }
    // A filling task is not placed where the serving tasks do not tolerate it; it waits for another worker.
    let filling = filling(state, headrooms, key, need)?;
    // A long-running task whose run has failed goes back to its room, unless the worker is suspected.
    let is_avoided =
        need.avoid == Some(key) && !need.kept_for.is_some_and(|task| worker.keeps_room(task, state.now));
    let avoided = if is_avoided { AVOIDED_WORKER_SCORE } else { 0 };
    let suspected = if worker.is_suspected(state.now) { SUSPECTED_WORKER_SCORE } else { 0 };
    let company = if need.is_suspect { worker.runs.len() as i64 * SUSPECT_COMPANY_SCORE } else { 0 };
    let unproven = unproven_score(state, worker);
    let reserved =
        if need.is_long_running && state.reserves.contains(worker) { RESERVED_WORKER_SCORE } else { 0 };
    let other_serving = if need.is_long_running { count_other_serving(state, worker, need.image) } else { 0 };
    let siblings = if need.is_serving { count_group_runs(state, worker, group) } else { 0 };
    let score = (state.policy.score)(need, &Offer { worker, other_serving, siblings, filling });
    Some(score + avoided + suspected + company + unproven + reserved)
}

/// Returns the number of planned workers without a long-running run; zero for a need that does not depend on it.
fn count_vacant(state: &State, need: &Need, plan: &Plan) -> u64 {
    if !need.must_leave_reserve {
        return 0;
    }
    let is_vacant =
        |key: &Key| state.workers.all.get(*key).is_some_and(|worker| worker.long_running_runs == 0);
    plan.keys().filter(|key| is_vacant(key)).count() as u64
}

/// Score penalty of a worker without a recent proof, which matters only while the store does not give one.
fn unproven_score(state: &State, worker: &Worker) -> i64 {
    if !state.is_proof_late() || worker.has_proof(state.tenure()) {
        0
    } else if worker.renewal_sent_at.is_none() {
        UNPROVEN_WORKER_SCORE
    } else {
        UNPROVEN_WORKER_SCORE + CALLED_WORKER_SCORE
    }
}

/// Returns whether a worker takes runs and has the resources for one more, besides those that are `planned`.
fn has_room(state: &State, worker: &Worker, need: &Need, planned: Resources) -> bool {
    worker.suits(need.service, need.required_label)
        && worker.offered_resources(need.kept_for, state.now).saturating_sub(planned).covers(need.charged)
        && worker.accepts(need.is_long_running, state.tenure())
}

/// Returns whether one of these workers has room for a task.
pub(super) fn has_room_among(state: &State, headrooms: &mut Headrooms, keys: &[Key], need: &Need) -> bool {
    keys.iter().any(|key| {
        let Some(worker) = state.workers.all.get(*key) else { return false };
        has_room(state, worker, need, Resources::default())
            && !state.reserves.keeps(worker, need, 0)
            && filling(state, headrooms, *key, need).is_some()
    })
}

/// Returns the conditions for a task on a worker; `None` for a filling task if the serving tasks on the worker do not
/// tolerate it, or if too little processor time is left.
fn filling(state: &State, headrooms: &mut Headrooms, key: Key, need: &Need) -> Option<Filling> {
    if !need.is_filling {
        return Some(Filling::default());
    }
    let headroom = headrooms.get(state, key);
    let has_spare_cpu = headroom.spare_cpu_millicores >= i64::from(need.cpu_millicores) / SPARE_CPU_DIVISOR;
    // The interference of a task that names no image is unknown, so only its processor time is checked.
    let is_tolerable = || {
        need.image.is_none_or(|image| {
            headroom::slack_after(state, &headroom.slack, image, need.cpu_millicores, need.urgency) >= 0.0
        })
    };
    if !has_spare_cpu || !is_tolerable() {
        return None;
    }
    let interference = need
        .image
        .map(|image| headroom::max_interference(state, &headroom.slack, image, need.cpu_millicores));
    Some(Filling {
        spare_cpu_millicores: headroom.spare_cpu_millicores,
        interference: interference.unwrap_or_default(),
        compatible_share: headroom.compatible_share,
    })
}

/// Holds a worker with room for a suspect until nothing has started there for a while, so that a stream of other starts does
/// not keep the suspect from starting.
pub(super) fn hold_worker(state: &mut State, need: &Need, siblings: Siblings<'_>, pass: &mut Pass) {
    pass.visits += state.workers.all.len() as u64;
    pass.tally.workers += state.workers.all.len() as u64;
    let headrooms = &mut pass.memory.headrooms;
    let is_suitable = |(key, worker): &(Key, &Worker)| {
        has_room(state, worker, &Need { is_long_running: false, ..*need }, Resources::default())
            && filling(state, headrooms, *key, need).is_some()
            && need.max_per_worker.is_none_or(|most| count_group_runs(state, worker, siblings.group) < most)
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

/// Returns whether another worker has room for a filling run, and serving tasks that tolerate it at full speed. Only
/// [`WORKER_SAMPLE`] workers are examined, beginning with a random one.
pub(in crate::core::work) fn has_better_worker(state: &mut State, key: run::Key, urgency: Urgency) -> bool {
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
            && worker.is_schedulable(state.tenure())
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
fn count_other_serving(state: &State, worker: &Worker, image: Option<image::Key>) -> u32 {
    if worker.serving_runs == 0 {
        return 0;
    }
    let is_other = |run: &&run::Key| {
        state.runs.get(**run).is_some_and(|run| run.profile.is_serving && run.profile.image != image)
    };
    worker.runs.iter().filter(is_other).count() as u32
}

/// Returns the number of runs on a worker that belong to the same step and occurrence.
pub(super) fn count_group_runs(state: &State, worker: &Worker, group: Group) -> u32 {
    let Some(job) = state.jobs.all.get(group.job) else { return 0 };
    let is_same_group = |run: &&run::Key| {
        state.runs.get(**run).is_some_and(|run| {
            run.name.job == job.id && run.name.occurrence == group.occurrence && run.name.step == group.step
        })
    };
    worker.runs.iter().filter(is_same_group).count() as u32
}
