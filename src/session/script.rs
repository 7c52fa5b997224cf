//! Scripts of a session: faults of links, and actions at points in virtual time.

use std::time::Duration;

use super::Session;
use super::fault::{self, Fault};
use crate::core::admin::Command;
use crate::core::time::Instant;

/// An action on a deployment. VMs are given by their numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ends the process of an entry VM without a graceful shutdown.
    Kill(u16),
    /// Starts a process on an entry VM; has no effect if one runs there.
    Start(u16),
    /// Requests a graceful shutdown of the process of an entry VM.
    Stop(u16),
    /// Pauses the process of an entry VM.
    Pause(u16, Duration),
    /// Pauses the process of an entry VM between its next reduction with side effects and the execution of these
    /// effects.
    Stall(u16, Duration),
    /// Stops all replies of a worker; its work continues.
    Freeze(u16),
    /// Ends the effect of `Freeze`.
    Thaw(u16),
    /// Powers a worker VM off.
    PowerOff(u16),
    /// Removes a worker VM from the VM list; has no effect unless the VM is powered off.
    Unlist(u16),
    /// Replaces a worker VM by a new instance.
    Replace(u16),
    /// Marks a worker as leaving in the VM list; the worker refuses requests from then on.
    Leave(u16),
    /// Makes a worker fail every batch task (`true`), or ends that (`false`).
    Fail(u16, bool),
    /// Sets the upper bound of the age of the VM list that entry VMs read.
    LagList(Duration),
    /// Hides this many of the latest index writes from reads.
    StaleIndex(usize),
    /// Sends an operator's command to an entry VM.
    Command(u16, Command),
    /// Sends requests to an entry VM at the same time: their number, service and path.
    Requests(u16, u16, &'static str, &'static str),
}

/// Faults and actions of a session.
#[derive(Debug, Clone, Default)]
pub struct Script {
    /// Faults of links; the first that applies to a message decides.
    pub link_faults: Vec<Fault>,
    /// Actions with their times.
    pub actions: Vec<(Instant, Action)>,
}

impl Session {
    /// Installs the link faults of a script and schedules its actions. Actions of the past run at the current time.
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
            Action::Fail(at, is_failing) => {
                self.worker_vms[usize::from(at)].worker.faults.is_failing = is_failing
            }
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
        self.worker_vms[usize::from(at)].worker.faults.is_frozen = frozen;
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
        worker_vm.worker.faults.is_leaving = true;
    }
}
