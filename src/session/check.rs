//! Checks of a session: invariants that hold at all times, and convergence after the last fault.

use super::Session;
use super::ledger::Change;
use crate::core::admin::Answer;
use crate::core::cell::{self, Role};
use crate::declare::spread;

impl Session {
    /// Invariants that were violated so far. They hold at all times, under all faults.
    pub fn violations(&self) -> Vec<String> {
        let counts = self.shared.audit.counts();
        let mut violations = self.ledger.violations.clone();
        for (count, description) in [
            (counts.tasks_run_twice, "task(s) run twice"),
            (counts.slots_overcommitted, "worker(s) with more work than their capacity"),
            (counts.connections_overcommitted, "request(s) above the connection limit of a worker"),
            (counts.requests_run_twice, "request(s) executed twice"),
        ] {
            if count > 0 {
                violations.push(format!("{count} {description}"));
            }
        }
        violations.extend(self.answer_violations());
        violations
    }

    /// Answers to operators that contradict what the store accepted.
    fn answer_violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (ticket, change) in &self.ledger.changes {
            let Some(answer) = self.answers.get(ticket) else { continue };
            let accepted = self.accepted_version(change);
            let is_correct = match answer {
                Answer::Accepted { version } => accepted == Some(*version),
                Answer::Conflict { .. } | Answer::NotAccepted(_) | Answer::Invalid(_) => accepted.is_none(),
                _ => true,
            };
            if !is_correct {
                violations.push(format!("{change:?} was answered {answer:?}, but accepted at {accepted:?}"));
            }
        }
        violations.sort_unstable();
        violations
    }

    /// Version with which the store accepted a change; `None` if it was not accepted.
    fn accepted_version(&self, change: &Change) -> Option<u64> {
        self.store.index_history.iter().map(|index| index.version).find(|version| {
            let index = &self.store.index_history[*version as usize - 1];
            let is_accepted_document = |d: &&crate::core::config::Document| d.version == *version;
            index.documents.iter().find(is_accepted_document).is_some_and(|d| d.author == change.author)
        })
    }

    /// Differences between the deployment and its declaration. There are none some time after the last fault.
    pub fn convergence_failures(&self) -> Vec<String> {
        let mut failures = self.ledger.completion_violations(&self.completions);
        let declared: u64 = self.plan.jobs.iter().map(|job| u64::from(job.tasks)).sum();
        let finished = self.shared.audit.counts().tasks_finished;
        if finished != declared {
            failures.push(format!("{finished} of {declared} tasks finished"));
        }
        for zone in &self.plan.zones {
            self.plan.cells(zone).for_each(|cell| failures.extend(self.cell_convergence_failures(cell)));
        }
        let newest = self.store.index_history.len() as u64;
        for vm in &self.entry_vms {
            let version = vm.process.as_ref().map(|state| state.config.index.version);
            if version != Some(newest) {
                failures.push(format!("{} has version {version:?} of {newest}", vm.name));
            }
        }
        failures
    }

    fn cell_convergence_failures(&self, id: cell::Id) -> Vec<String> {
        let mut failures = Vec::new();
        let states = self.entry_vms.iter().filter_map(|vm| vm.process.as_ref());
        let owners: Vec<_> = states
            .filter_map(|state| state.cells.get(state.cells.key(id)?).filter(|cell| cell.role == Role::Owner))
            .collect();
        if owners.len() != 1 {
            failures.push(format!("{id:?} has {} owners", owners.len()));
        }
        let open_jobs =
            owners.iter().map(|cell| cell.jobs.values().filter(|job| job.open > 0).count()).sum::<usize>();
        if open_jobs > 0 {
            failures.push(format!("{id:?} has {open_jobs} open job(s) in the log"));
        }
        let newest =
            self.entry_vms.iter().filter_map(|vm| vm.process.as_ref()).max_by_key(|s| s.config.index.version);
        let Some(plan) = newest.map(|state| &state.config.plan) else { return failures };
        for (at, service) in plan.services.iter().enumerate() {
            let key = crate::declare::service::Key(at as u16);
            let desired = spread::replicas(plan, key, service.replicas.0, id) as usize;
            let cell_of = |name: &str| {
                let zone = plan.zones.iter().find(|zone| zone.id == id.zone);
                zone.map(|zone| plan.cell_of_worker(zone, crate::core::worker::Id::of(name).0))
            };
            let worker_vms = self.worker_vms.iter().filter(|worker_vm| {
                !worker_vm.worker.faults.is_frozen
                    && worker_vm.list_entry.zone == id.zone
                    && cell_of(&worker_vm.list_entry.name) == Some(id)
            });
            let running = worker_vms.flat_map(|worker_vm| worker_vm.worker.running());
            let count = running.filter(|running| running.service == Some(service.id)).count();
            if count < desired {
                failures.push(format!("{id:?} has {count} of {desired} replicas of {}", service.name));
            }
        }
        failures
    }
}
