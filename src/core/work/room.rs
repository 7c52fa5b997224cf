//! Upper bounds of the free resources of workers, which tell that no worker has room without a look at each of them.

use super::place::Need;
use super::spec::Resources;

/// Largest free resources, by component, of the workers of a service that accept a kind of task.
#[derive(Debug, Clone)]
struct Bound {
    service: String,
    is_long_running: bool,
    most: Resources,
}

/// Bounds that a placement pass has computed. They hold until its end, since a pass only takes resources.
#[derive(Debug, Clone, Default)]
pub(super) struct Bounds {
    known: Vec<Bound>,
}

impl Bounds {
    /// Whether some worker may have room for a task; false if none has. Adds the number of workers that were examined to
    /// `visits`.
    pub(super) fn may_have_room(&mut self, state: &super::State, need: &Need, visits: &mut u64) -> bool {
        let is_match = |it: &&Bound| it.is_long_running == need.is_long_running && it.service == need.service;
        if let Some(bound) = self.known.iter().find(is_match) {
            return bound.most.covers(need.charged);
        }
        *visits += state.workers.all.len() as u64;
        let most = largest_free(state, &need.service, need.is_long_running);
        let (service, is_long_running) = (need.service.clone(), need.is_long_running);
        self.known.push(Bound { service, is_long_running, most });
        most.covers(need.charged)
    }
}

fn largest_free(state: &super::State, service: &str, is_long_running: bool) -> Resources {
    let (now, confirmed_at) = (state.now, state.journal.confirmed_at);
    state
        .workers
        .all
        .values()
        .filter(|worker| worker.report.as_ref().is_some_and(|report| report.service == service))
        .filter(|worker| worker.accepts(is_long_running, now, confirmed_at))
        .fold(Resources::default(), |most, worker| most.max_by_component(worker.free_resources()))
}
