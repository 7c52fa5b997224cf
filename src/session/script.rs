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
    Order(u16, Command),
    /// Callers send this many requests at once, of a service and a path.
    Requests(u16, u16, &'static str, &'static str),
}

/// Faults and actions of a session.
#[derive(Debug, Clone, Default)]
pub struct Script {
    /// Faults of links.
    pub links: Vec<Fault>,
    /// Actions by time.
    pub actions: Vec<(Instant, Action)>,
}

impl Session {
    /// Puts the faults of a script in force and schedules its actions; those of the past are done at once.
    pub fn play(&mut self, script: &Script) {
        self.link = Box::new(fault::with(script.links.clone()));
        for (at, action) in &script.actions {
            self.schedule_action(*at, action.clone());
        }
    }

    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Kill(at) => self.kill(at),
            Action::Start(at) if self.vms[usize::from(at)].process.is_none() => self.start(at),
            Action::Start(_) => {}
            Action::Stop(at) => self.stop(at),
            Action::Pause(at, span) => self.pause(at, span),
            Action::Stall(at, span) => self.stall(at, span),
            Action::Freeze(at) => self.freeze(at, true),
            Action::Thaw(at) => self.freeze(at, false),
            Action::PowerOff(at) => self.power_off(at),
            Action::Unlist(at) => {
                let machine = &mut self.machines[usize::from(at)];
                machine.is_listed &= !machine.is_off;
            }
            Action::Replace(at) => self.replace_machine(at),
            Action::Leave(at) => self.leave(at),
            Action::Fail(at, fails) => self.machines[usize::from(at)].worker.faults.is_failing = fails,
            Action::LagList(lag) => self.list_lag = lag,
            Action::StaleIndex(writes) => self.store.stale = writes,
            Action::Order(to, command) => {
                self.command(to, command);
            }
            Action::Requests(to, count, service, path) => {
                for _ in 0..count {
                    self.request(to, service, path);
                }
            }
        }
    }

    fn freeze(&mut self, at: u16, frozen: bool) {
        if self.machines[usize::from(at)].is_off {
            return;
        }
        self.tend(at);
        self.machines[usize::from(at)].worker.faults.is_frozen = frozen;
        self.tend(at);
    }

    fn power_off(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let machine = &mut self.machines[usize::from(at)];
        if !machine.is_off {
            machine.worker.power_off(now_ms);
            machine.is_off = true;
        }
    }

    fn leave(&mut self, at: u16) {
        let machine = &mut self.machines[usize::from(at)];
        machine.listed.leaving = true;
        machine.worker.faults.is_leaving = true;
    }
}
