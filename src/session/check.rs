//! Promises that a session must have kept, in the books of the stand-ins.

use super::Session;
use super::ledger::Change;
use crate::core::admin::Answer;
use crate::core::cell::{self, Role};
use crate::declare::spread;

impl Session {
    /// Promises that were broken so far; each holds at every moment, whatever fails.
    pub fn broken(&self) -> Vec<String> {
        let counts = self.shared.audit.counts();
        let mut found = self.ledger.faults.clone();
        for (count, words) in [
            (counts.tasks_run_twice, "task(s) run twice"),
            (counts.slots_overcommitted, "worker(s) given more than they hold"),
            (counts.connections_overcommitted, "request(s) over the connections of a worker"),
            (counts.requests_run_twice, "request(s) executed twice"),
        ] {
            if count > 0 {
                found.push(format!("{count} {words}"));
            }
        }
        found.extend(self.untrue_answers());
        found
    }

    /// Answers to operators that do not fit what the store accepted.
    fn untrue_answers(&self) -> Vec<String> {
        let mut found = Vec::new();
        for (ticket, change) in &self.ledger.changes {
            let Some(answer) = self.answers.get(ticket) else { continue };
            let accepted = self.accepted_at(change);
            let is_true = match answer {
                Answer::Accepted { version } => accepted == Some(*version),
                Answer::Conflict { .. } | Answer::NotAccepted(_) | Answer::Invalid(_) => accepted.is_none(),
                _ => true,
            };
            if !is_true {
                found.push(format!("{change:?} was answered {answer:?}, but accepted at {accepted:?}"));
            }
        }
        found.sort_unstable();
        found
    }

    /// Version at which the store accepted a change.
    fn accepted_at(&self, change: &Change) -> Option<u64> {
        self.store.history.iter().map(|index| index.version).find(|version| {
            let index = &self.store.history[*version as usize - 1];
            let is_it = |d: &&crate::core::config::Document| d.version == *version;
            index.documents.iter().find(is_it).is_some_and(|d| d.author == change.author)
        })
    }

    /// What is not as declared; nothing is left some time after the last fault.
    pub fn unsettled(&self) -> Vec<String> {
        let mut found = self.ledger.unfit(&self.completions);
        let declared: u64 = self.plan.jobs.iter().map(|job| u64::from(job.tasks)).sum();
        let finished = self.shared.audit.counts().tasks_finished;
        if finished != declared {
            found.push(format!("{finished} of {declared} tasks finished"));
        }
        for zone in &self.plan.zones {
            self.plan.cells(zone).for_each(|cell| found.extend(self.unsettled_cell(cell)));
        }
        let newest = self.store.history.len() as u64;
        for vm in &self.vms {
            let version = vm.process.as_ref().map(|state| state.config.index.version);
            if version != Some(newest) {
                found.push(format!("{} has version {version:?} of {newest}", vm.name));
            }
        }
        found
    }

    fn unsettled_cell(&self, id: cell::Id) -> Vec<String> {
        let mut found = Vec::new();
        let states = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        let owners: Vec<_> = states
            .filter_map(|state| state.cells.get(state.cells.key(id)?).filter(|cell| cell.role == Role::Owner))
            .collect();
        if owners.len() != 1 {
            found.push(format!("{id:?} has {} owners", owners.len()));
        }
        let open =
            owners.iter().map(|cell| cell.jobs.values().filter(|job| job.open > 0).count()).sum::<usize>();
        if open > 0 {
            found.push(format!("{id:?} has {open} open job(s) in the log"));
        }
        let newest =
            self.vms.iter().filter_map(|vm| vm.process.as_ref()).max_by_key(|s| s.config.index.version);
        let Some(plan) = newest.map(|state| &state.config.plan) else { return found };
        for (at, service) in plan.services.iter().enumerate() {
            let key = crate::declare::service::Key(at as u16);
            let wanted = spread::replicas(plan, key, service.replicas.0, id) as usize;
            let cell_of = |name: &str| {
                let zone = plan.zones.iter().find(|zone| zone.id == id.zone);
                zone.map(|zone| plan.cell_of_worker(zone, crate::core::worker::Id::of(name).0))
            };
            let machines = self.machines.iter().filter(|machine| {
                !machine.worker.mode.frozen
                    && machine.listed.zone == id.zone
                    && cell_of(&machine.listed.name) == Some(id)
            });
            let running = machines.flat_map(|machine| machine.worker.running());
            let count = running.filter(|running| running.service == Some(service.id)).count();
            if count < wanted {
                found.push(format!("{id:?} has {count} of {wanted} replicas of {}", service.name));
            }
        }
        found
    }
}
