//! What earlier passes have found out, which holds until a worker changes.
//!
//! A need for which no worker has room is remembered. As long as tasks wait with such a need, only the workers that have
//! changed since the last pass are examined for them, so a pass costs what has changed, and not each waiting task times
//! each worker.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use slotmap::SecondaryMap;

use super::locality::Waits;
use super::need::{Need, Variant};
use super::{Order, Tally, preempt, search};
use crate::core::time::Instant;
use crate::core::work::headroom::{self, Headroom};
use crate::core::work::job::Group;
use crate::core::work::spec::Resources;
use crate::core::work::state::State;
use crate::core::work::worker::{Key, Worker};
use crate::core::work::{symbol, task};
use crate::hash::Set;

/// Most needs of a kind that are remembered, since each waiting group is compared with them. Groups with other needs are
/// remembered one by one.
const NEEDS_MAX: usize = 64;

/// A worker as the last pass saw it.
#[derive(Debug, Clone, Copy)]
struct Sight {
    version: u64,
    accepts: bool,
    accepts_long_running: bool,
    free: Resources,
    /// Free resources and those of the runs that may be preempted.
    preemptable: Resources,
}

impl Sight {
    /// How a worker looks now. What its runs decide is taken from an earlier sight if they have not changed.
    fn of(state: &State, worker: &Worker, before: Option<&Sight>) -> Self {
        let tenure = state.tenure();
        let unchanged = before.filter(|before| before.version == worker.version);
        Self {
            version: worker.version,
            accepts: worker.accepts(false, tenure),
            accepts_long_running: worker.accepts(true, tenure),
            free: worker.offered_resources(None, state.now),
            preemptable: unchanged
                .map_or_else(|| preempt::preemptable(state, worker), |before| before.preemptable),
        }
    }

    /// Whether the worker may have room for a task for which it had none at an earlier sight.
    fn has_more_room(&self, before: &Sight) -> bool {
        (self.accepts && !before.accepts)
            || (self.accepts_long_running && !before.accepts_long_running)
            || !before.free.covers(self.free)
    }
}

/// Largest resources, by component, of the workers of a service that take runs.
#[derive(Debug, Clone, Copy)]
struct Bound {
    service: symbol::Key,
    free: Resources,
    free_for_long_running: Resources,
    preemptable: Resources,
}

/// The workers at the begin of a pass. A pass only takes resources, and its new runs are not preempted, so the bounds hold
/// until its end.
#[derive(Debug, Clone, Default)]
pub(super) struct Survey {
    /// Workers that may have room for more than at the last pass.
    pub roomier: Vec<Key>,
    /// Workers that have changed in any way: they may suit other filling tasks, or have other runs to preempt.
    pub changed: Vec<Key>,
    /// Workers that took new runs at the last pass, and take none now.
    pub closed: Vec<Key>,
    bounds: Vec<Bound>,
}

impl Survey {
    /// Workers that may have room for a need for which none had room at the last pass.
    pub fn workers_for(&self, need: &Need) -> &[Key] {
        if need.is_filling { &self.changed } else { &self.roomier }
    }

    /// Whether some worker may have room for a need, as far as its resources decide.
    pub fn may_have_room(&self, need: &Need) -> bool {
        self.bound(need).is_some_and(|bound| {
            let free = if need.is_long_running { bound.free_for_long_running } else { bound.free };
            free.covers(need.charged)
        })
    }

    /// Whether some worker may have enough runs to preempt for a need.
    pub fn may_preempt(&self, need: &Need) -> bool {
        self.bound(need).is_some_and(|bound| bound.preemptable.covers(need.charged))
    }

    fn bound(&self, need: &Need) -> Option<&Bound> {
        self.bounds.iter().find(|bound| bound.service == need.service)
    }

    fn extend_bound(&mut self, service: symbol::Key, sight: &Sight) {
        let index = self.bounds.iter().position(|bound| bound.service == service).unwrap_or_else(|| {
            let none = Resources::default();
            self.bounds.push(Bound { service, free: none, free_for_long_running: none, preemptable: none });
            self.bounds.len() - 1
        });
        let bound = &mut self.bounds[index];
        if sight.accepts {
            bound.free = bound.free.max_by_component(sight.free);
            bound.preemptable = bound.preemptable.max_by_component(sight.preemptable);
        }
        if sight.accepts_long_running {
            bound.free_for_long_running = bound.free_for_long_running.max_by_component(sight.free);
        }
    }
}

/// Headroom of workers, kept until their reports, their runs or the readings of these change.
#[derive(Debug, Clone, Default)]
pub(super) struct Headrooms {
    by_worker: SecondaryMap<Key, (u64, Headroom)>,
    /// Number of runs that were examined, in estimates and in comparisons with them.
    pub runs: u64,
}

impl Headrooms {
    /// Returns the headroom of a worker.
    pub fn get(&mut self, state: &State, key: Key) -> &Headroom {
        let version = state.workers.all[key].version;
        if self.by_worker.get(key).is_none_or(|(known, _)| *known != version) {
            self.by_worker.insert(key, (version, headroom::estimate(state, key)));
            self.runs += state.workers.all[key].runs.len() as u64;
        }
        let headroom = &self.by_worker[key].1;
        self.runs += headroom.slack.len() as u64;
        headroom
    }
}

/// What earlier passes have found out.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    sights: SecondaryMap<Key, Sight>,
    pub(super) headrooms: Headrooms,
    /// Needs for which no worker has room, apart from those that have changed since the last pass.
    unplaceable: Vec<Need>,
    /// Needs for which no worker has enough runs to preempt, apart from the same.
    unpreemptable: Vec<Need>,
    /// Tasks of groups that no worker suits, apart from the same.
    stuck: Set<Variant>,
    /// Groups for which no worker has enough runs to preempt, apart from the same.
    without_victims: Set<Group>,
    /// Times at which the waiting of a task gets another meaning.
    wakes: BinaryHeap<Reverse<Instant>>,
    /// Tasks that wait for a rack although they have room elsewhere.
    pub(super) waits: Waits,
    /// Place in the order of the groups at which the next pass goes on; `None` to begin with the first.
    pub(super) resume_at: Option<Order>,
}

impl Memory {
    /// Compares the workers with how the last pass saw them.
    pub(super) fn look(&mut self, state: &State, tally: &mut Tally) -> Survey {
        let mut survey = Survey::default();
        for (key, worker) in &state.workers.all {
            let before = self.sights.get(key).copied();
            let sight = Sight::of(state, worker, before.as_ref());
            self.sights.insert(key, sight);
            tally.workers += 1;
            if before.is_none_or(|before| before.version != sight.version) {
                tally.runs += worker.runs.len() as u64;
            }
            if before.is_some_and(|before| before.accepts && !sight.accepts) {
                survey.closed.push(key);
            }
            if before.is_none_or(|before| sight.has_more_room(&before)) {
                survey.roomier.push(key);
                survey.changed.push(key);
            } else if before.is_some_and(|before| before.version != sight.version) {
                survey.changed.push(key);
            }
            if let Some(service) = worker.service {
                survey.extend_bound(service, &sight);
            }
        }
        survey
    }

    /// Takes note of a worker that the pass itself has changed.
    pub(super) fn note(&mut self, state: &State, key: Key) {
        let Some(worker) = state.workers.all.get(key) else { return };
        let sight = Sight::of(state, worker, None);
        self.sights.insert(key, sight);
    }

    /// Forgets a worker, so that the next pass takes it as changed.
    pub fn forget(&mut self, key: Key) {
        self.sights.remove(key);
    }

    /// Forgets what was found out on tasks that must leave the reserve of their service to others.
    pub(super) fn forget_kept(&mut self) {
        self.unplaceable.retain(|need| !need.must_leave_reserve);
        self.stuck.retain(|variant| !variant.must_leave_reserve);
    }

    /// Forgets all that was found out.
    pub fn forget_all(&mut self) {
        let (wakes, waits) = (std::mem::take(&mut self.wakes), std::mem::take(&mut self.waits));
        *self = Self { wakes, waits, ..Self::default() };
    }

    /// Number of remembered needs that a need is compared with.
    pub(super) fn needs_count(&self) -> u64 {
        (self.unplaceable.len() + self.unpreemptable.len()) as u64
    }

    /// Whether only a worker that has changed can have room for a need.
    pub(super) fn is_unplaceable(&self, need: &Need) -> bool {
        self.unplaceable.iter().any(|failed| need.is_at_least(failed))
    }

    /// Whether only a worker that has changed can suit these tasks.
    pub(super) fn is_stuck(&self, variant: Variant) -> bool {
        self.stuck.contains(&variant)
    }

    /// Whether only a worker that has changed can have enough runs to preempt for a task of a group.
    pub(super) fn has_no_victims(&self, group: Group, need: &Need) -> bool {
        self.without_victims.contains(&group)
            || self.unpreemptable.iter().any(|failed| need.is_at_least(failed))
    }

    /// Whether one of these workers may have enough runs to preempt for a need, as far as their resources decide.
    pub(super) fn may_preempt_among(&self, state: &State, keys: &[Key], need: &Need) -> bool {
        keys.iter().any(|key| {
            let (Some(worker), Some(sight)) = (state.workers.all.get(*key), self.sights.get(*key)) else {
                return false;
            };
            sight.accepts
                && sight.preemptable.covers(need.charged)
                && worker.suits(need.service, need.required_label)
        })
    }

    /// Keeps what a pass has found out, and what it has not refuted. After a pass that has not visited all groups, the workers
    /// that it took as changed count as changed again, since the other groups have not been compared with them.
    pub(super) fn keep(&mut self, state: &State, found: Findings, is_whole: bool, tally: &mut Tally) {
        let Findings { survey, unplaceable, unpreemptable, stuck, without_victims } = found;
        let mut kept = std::mem::take(&mut self.unplaceable);
        kept.retain(|need| {
            let keys = survey.workers_for(need);
            tally.workers += keys.len() as u64;
            !search::has_room_among(state, &mut self.headrooms, keys, need)
        });
        unplaceable.iter().for_each(|need| add_need(&mut kept, *need));
        self.unplaceable = kept;
        let mut kept = std::mem::take(&mut self.unpreemptable);
        tally.workers += (kept.len() * survey.changed.len()) as u64;
        kept.retain(|need| !self.may_preempt_among(state, &survey.changed, need));
        self.unpreemptable = kept;
        unpreemptable.iter().for_each(|need| add_need(&mut self.unpreemptable, *need));
        if is_whole {
            self.stuck = stuck;
            self.without_victims = without_victims;
        } else {
            self.stuck.extend(stuck);
            self.without_victims.extend(without_victims);
            survey.changed.iter().for_each(|key| self.forget(*key));
        }
    }

    /// Whether a task waits for a rack although it has room elsewhere.
    pub fn is_waiting_for_rack(&self, key: task::Key, now: Instant) -> bool {
        self.waits.is_waiting(key, now)
    }

    /// Adds times at which a waiting task may become placeable without another event.
    pub fn wake_at(&mut self, times: impl IntoIterator<Item = Instant>) {
        self.wakes.extend(times.into_iter().map(Reverse));
    }

    /// Returns the earliest of these times after `now`.
    pub(super) fn next_wake(&mut self, now: Instant) -> Option<Instant> {
        while self.wakes.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.wakes.pop();
        }
        self.wakes.peek().map(|Reverse(at)| *at)
    }
}

/// What a pass has found out on all workers.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// The workers at its begin.
    pub survey: Survey,
    /// Needs for which no worker has room.
    pub unplaceable: Vec<Need>,
    /// Needs for which no worker has enough runs to preempt.
    pub unpreemptable: Vec<Need>,
    /// Tasks of groups that no worker suits.
    pub stuck: Set<Variant>,
    /// Groups for which no worker has enough runs to preempt.
    pub without_victims: Set<Group>,
}

/// Adds a need in place of those that it implies, unless too many are there.
pub(super) fn add_need(needs: &mut Vec<Need>, need: Need) {
    if needs.iter().any(|other| need.is_at_least(other)) {
        return;
    }
    needs.retain(|other| !other.is_at_least(&need));
    if needs.len() < NEEDS_MAX {
        needs.push(need);
    }
}
