//! What happens in a session: faults of links, and actions at points in time.

use std::time::Duration;

use super::Session;
use super::fault::{self, Fault};
use crate::core::admin::Command;
use crate::core::time::Instant;

/// Something that is done to a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The process of an entry VM ends at once.
    Kill(u16),
    /// A process starts on an entry VM that has none.
    Start(u16),
    /// A process is asked to stop gracefully.
    Stop(u16),
    /// A process is not scheduled for a while.
    Pause(u16, Duration),
    /// A process is not scheduled for a while, between its next reduction and the execution of the effects.
    Stall(u16, Duration),
    /// A worker answers nothing; its work goes on.
    Freeze(u16),
    /// A frozen worker answers again.
    Thaw(u16),
    /// A worker's VM stops.
    PowerOff(u16),
    /// The VM list no longer names a worker, which was stopped before.
    Unlist(u16),
    /// A worker's VM is replaced by a new instance.
    Replace(u16),
    /// The VM list names a worker as leaving, and the worker refuses requests.
    Leave(u16),
    /// A worker fails every batch task, or no longer does.
    Fail(u16, bool),
    /// Readings of the VM list are up to this old.
    LagList(Duration),
    /// Reads of the index are this many writes old.
    StaleIndex(usize),
    /// An operator gives a command.
    Command(u16, Command),
    /// Callers send this many requests at once, of a service and a path.
    Requests(u16, u16, &'static str, &'static str),
}

/// Faults and actions of a session.
#[derive(Debug, Clone, Default)]
pub struct Script {
    /// Faults of links.
    pub link_faults: Vec<Fault>,
    /// Actions by time.
    pub actions: Vec<(Instant, Action)>,
}

impl Session {
    /// Puts the faults of a script in force and schedules its actions; those of the past are done at once.
    pub fn schedule_script(&mut self, script: &Script) {
        self.link = Box::new(fault::faulty_link(script.link_faults.clone()));
        for (at, action) in &script.actions {
            self.schedule_action(*at, action.clone());
        }
    }

    pub(super) fn execute_action(&mut self, action: Action) {
        match action {
            Action::Kill(at) => self.kill(at),
            Action::Start(at) if self.entry_vms[usize::from(at)].process.is_none() => self.start(at),
            Action::Start(_) => {}
            Action::Stop(at) => self.stop(at),
            Action::Pause(at, span) => self.pause(at, span),
            Action::Stall(at, span) => self.stall(at, span),
            Action::Freeze(at) => self.set_frozen(at, true),
            Action::Thaw(at) => self.set_frozen(at, false),
            Action::PowerOff(at) => self.power_off(at),
            Action::Unlist(at) => {
                let worker_vm = &mut self.worker_vms[usize::from(at)];
                worker_vm.is_listed &= !worker_vm.is_powered_off;
            }
            Action::Replace(at) => self.replace_worker_vm(at),
            Action::Leave(at) => self.mark_leaving(at),
            Action::Fail(at, is_failing) => self.worker_vms[usize::from(at)].worker.mode.fail = is_failing,
            Action::LagList(lag) => self.max_list_lag = lag,
            Action::StaleIndex(writes) => self.store.index_lag_writes = writes,
            Action::Command(to, command) => {
                self.command(to, command);
            }
            Action::Requests(to, count, service, path) => {
                for _ in 0..count {
                    self.request(to, service, path);
                }
            }
        }
    }

    fn set_frozen(&mut self, at: u16, frozen: bool) {
        if self.worker_vms[usize::from(at)].is_powered_off {
            return;
        }
        self.advance_worker(at);
        self.worker_vms[usize::from(at)].worker.mode.frozen = frozen;
        self.advance_worker(at);
    }

    fn power_off(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let worker_vm = &mut self.worker_vms[usize::from(at)];
        if !worker_vm.is_powered_off {
            worker_vm.worker.power_off(now_ms);
            worker_vm.is_powered_off = true;
        }
    }

    fn mark_leaving(&mut self, at: u16) {
        let worker_vm = &mut self.worker_vms[usize::from(at)];
        worker_vm.list_entry.leaving = true;
        worker_vm.worker.mode.leaving = true;
    }
}
