//! Runs: executions of a task on a worker, each from the order to start until the worker no longer has it.

use std::net::SocketAddr;

use slotmap::SlotMap;

use super::order::{How, Refusal};
use super::spec::{Name, Resources};
use super::{image, task, worker};
use crate::core::time::Instant;

slotmap::new_key_type! {
    /// Key of a run.
    pub struct Key;
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The order to start is sent once the store has it.
    Planned,
    /// The order to start is in flight.
    Starting,
    /// The order to start got no answer, so the run may have been started, or may still be.
    Unconfirmed {
        /// When the call failed.
        since: Instant,
    },
    /// The worker has accepted or listed the run.
    Active {
        /// When the acceptance or the listing arrived.
        since: Instant,
    },
    /// The run is being stopped.
    Stopping {
        /// When the order to stop was last sent.
        sent: Instant,
        /// When the worker confirmed the order; `None` before. The worker starts no run of this number after it.
        confirmed: Option<Instant>,
    },
}

/// Sign by which a run is taken as no longer at work although no end of it was listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Its worker does not answer, and the lease has expired.
    LeaseExpired,
    /// Its worker does not list it.
    NotListed,
    /// Its worker has confirmed the order to stop it, and does not list its end.
    StopConfirmed,
    /// Its worker has answered as a later process.
    Restarted,
    /// Another worker has answered at the address of its worker.
    AddressTaken,
}

impl Loss {
    /// Name of the timeline entry, and so of the counter, of a run that is lost by this sign.
    pub fn decision(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lost-lease",
            Self::NotListed => "lost-unlisted",
            Self::StopConfirmed => "lost-stopped",
            Self::Restarted => "lost-restart",
            Self::AddressTaken => "lost-address",
        }
    }

    /// Description for timeline entries.
    pub fn describe(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease expired",
            Self::NotListed => "not listed",
            Self::StopConfirmed => "stop confirmed",
            Self::Restarted => "worker restarted",
            Self::AddressTaken => "address taken by another worker",
        }
    }
}

/// Why a run is no longer at work, so that its task may start again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Its worker listed its end.
    Ended(How),
    /// A sign showed that it is gone.
    Lost(Loss),
    /// Its worker refused to start it.
    Refused(Refusal),
    /// The order to start it was not sent.
    NotSent,
}

impl Exit {
    /// Description for timeline entries.
    pub fn describe(self) -> String {
        match self {
            Self::Ended(how) => format!("ended, {}", how.describe()),
            Self::Lost(loss) => format!("lost, {}", loss.describe()),
            Self::Refused(refusal) => format!("start refused, {}", refusal.describe()),
            Self::NotSent => "start not sent".to_owned(),
        }
    }
}

/// Profile of a run: what it shares its worker with depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Profile {
    /// Processor time that a filling run can use of what others leave, in thousandths of a core; 0 if it does not fill.
    pub filling_cpu_millicores: u32,
    /// Whether it is a serving run, whose response times have a target.
    pub is_serving: bool,
    /// Whether it reserves processor time until its job is cancelled.
    pub is_long_running: bool,
    /// Image of the run; `None` if the step names none.
    pub image: Option<image::Key>,
}

/// An execution of a task on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Task of the run; `None` if it belongs to no known task.
    pub task: Option<task::Key>,
    /// Name of the task.
    pub name: Name,
    /// Number of the run within its task.
    pub number: u32,
    /// Worker that executes it.
    pub worker: worker::Key,
    /// Address of the worker that the order to start was sent to, or from which the run was last listed.
    pub address: SocketAddr,
    /// Resources that it reserves on the worker.
    pub charged: Resources,
    /// What kind of run it is.
    pub profile: Profile,
    /// Current state.
    pub phase: Phase,
    /// Whether an answer of the worker shows that the process that is known has carried out the start, so that its clock
    /// bounds the lease.
    pub is_confirmed: bool,
    /// Whether an order to start it may still be carried out, as far as the known process of the worker does not refuse it.
    pub has_open_start: bool,
    /// Whether the order to start it was sent more than once.
    pub is_resent: bool,
    /// Whether the worker has listed it so long after its start that it cannot have crashed the worker with it.
    pub has_survived: bool,
    /// Whether its whole run time is known: it was started by this leader, and not from a checkpoint.
    pub is_from_start: bool,
    /// Whether it began as a speculative copy, beside another run of its task.
    pub is_copy: bool,
    /// When the run was planned, when the order to start was sent, or when the run was first listed.
    pub started_at: Instant,
    /// Progress in percent.
    pub progress_percent: u32,
    /// When the progress last changed.
    pub progressed_at: Instant,
    /// Newest reading of the worker: response time in milliseconds of a serving run, processor time in thousandths of a
    /// core of any other; `None` if there is none.
    pub reading: Option<u32>,
    /// Load of a serving run at its last reading; `None` before the first usable one.
    pub last_load: Option<f64>,
    /// Load of a serving run without interference, smoothed over the readings.
    pub own_load: Option<f64>,
    /// Since when its response time is near or over its target; `None` if it is not.
    pub at_risk_since: Option<Instant>,
    /// Share of full speed at which it works, in percent.
    pub pace_percent: u32,
    /// When its pace was last changed.
    pub pace_changed_at: Instant,
}

impl Run {
    /// Describes its phase for a timeline entry.
    pub fn describe_phase(&self, now: Instant) -> String {
        let age_ms = |at: Instant| now.since(at).as_millis();
        match self.phase {
            Phase::Planned => format!("planned {} ms ago", age_ms(self.started_at)),
            Phase::Starting => format!("start sent {} ms ago, not answered yet", age_ms(self.started_at)),
            Phase::Unconfirmed { since } => format!("start unconfirmed for {} ms", age_ms(since)),
            Phase::Active { since } => format!("active for {} ms", age_ms(since)),
            Phase::Stopping { sent, confirmed: None } if sent == Instant::default() => {
                "stop to be sent again".to_owned()
            }
            Phase::Stopping { sent, confirmed: None } => {
                format!("stop sent {} ms ago, not confirmed", age_ms(sent))
            }
            Phase::Stopping { sent, confirmed: Some(at) } => {
                format!("stop sent {} ms ago, confirmed {} ms ago", age_ms(sent), age_ms(at))
            }
        }
    }
}

/// All known runs.
pub type Table = SlotMap<Key, Run>;
