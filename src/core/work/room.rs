//! Upper bounds of the resources of workers, which tell that no worker has room, or has runs to preempt, without a look at
//! each of them.

use super::place::{self, Need, VISITS_PER_VICTIM_SEARCH};
use super::spec::Resources;
use super::worker::Worker;

/// Largest free resources, by component, of the workers of a service that accept a kind of task.
#[derive(Debug, Clone)]
struct Bound {
    service: String,
    is_long_running: bool,
    most: Resources,
}

/// Bounds that a placement pass has computed. They hold until its end, since a pass only takes resources, and its new runs
/// are not preempted.
#[derive(Debug, Clone, Default)]
pub(super) struct Bounds {
    free: Vec<Bound>,
    /// With the resources of the runs that a task of the highest priority may preempt.
    preemptable: Vec<Bound>,
}

impl Bounds {
    /// Whether some worker may have room for a task; false if none has. Adds the number of workers that were examined to
    /// `visits`.
    pub(super) fn may_have_room(&mut self, state: &super::State, need: &Need, visits: &mut u64) -> bool {
        let is_match = |it: &&Bound| it.is_long_running == need.is_long_running && it.service == need.service;
        if let Some(bound) = self.free.iter().find(is_match) {
            return bound.most.covers(need.charged);
        }
        *visits += state.workers.all.len() as u64;
        let most = largest_free(state, &need.service, need.is_long_running);
        let (service, is_long_running) = (need.service.clone(), need.is_long_running);
        self.free.push(Bound { service, is_long_running, most });
        most.covers(need.charged)
    }

    /// Whether some worker may have enough runs to preempt for a task of the highest priority; false if none has. Adds the
    /// number of workers that were examined to `visits`.
    pub(super) fn may_preempt(
        &mut self,
        state: &super::State,
        need: &Need,
        priority: u32,
        visits: &mut u64,
    ) -> bool {
        if let Some(bound) = self.preemptable.iter().find(|it| it.service == need.service) {
            return bound.most.covers(need.charged);
        }
        *visits += state.workers.all.len() as u64 * VISITS_PER_VICTIM_SEARCH;
        let most = largest_preemptable(state, &need.service, priority);
        self.preemptable.push(Bound { service: need.service.clone(), is_long_running: false, most });
        most.covers(need.charged)
    }
}

fn largest_free(state: &super::State, service: &str, is_long_running: bool) -> Resources {
    let (now, confirmed_at) = (state.now, state.journal.confirmed_at);
    workers_of(state, service)
        .filter(|worker| worker.accepts(is_long_running, now, confirmed_at))
        .fold(Resources::default(), |most, worker| most.max_by_component(worker.free_resources()))
}

fn largest_preemptable(state: &super::State, service: &str, priority: u32) -> Resources {
    let (now, confirmed_at) = (state.now, state.journal.confirmed_at);
    let preemptable = |worker: &Worker| {
        let victims = worker.runs.iter().filter_map(|run| place::find_victim(state, *run, priority));
        victims.fold(worker.free_resources(), |sum, (run, _)| sum.saturating_add(run.charged))
    };
    workers_of(state, service)
        .filter(|worker| worker.is_schedulable(now, confirmed_at))
        .fold(Resources::default(), |most, worker| most.max_by_component(preemptable(worker)))
}

fn workers_of<'a>(state: &'a super::State, service: &'a str) -> impl Iterator<Item = &'a Worker> {
    let is_match =
        move |worker: &&Worker| worker.report.as_ref().is_some_and(|report| report.service == service);
    state.workers.all.values().filter(is_match)
}
