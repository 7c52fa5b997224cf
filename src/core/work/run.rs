//! Runs: each a start of one task on one worker, until the worker says that it is gone.

use slotmap::SlotMap;

use super::spec::{Name, Resources};
use super::{image, task, worker};
use crate::core::time::Instant;

slotmap::new_key_type! {
    /// A run.
    pub struct Key;
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The order to start is under way.
    Starting,
    /// The order got no answer, so the run may start late.
    Doubtful {
        /// When the wait for the answer ended.
        since: Instant,
    },
    /// The worker has it.
    Active {
        /// When this became known.
        since: Instant,
    },
    /// It is being stopped.
    Stopping {
        /// When the order was sent last.
        sent: Instant,
        /// When the worker confirmed the order; nothing starts there under this number after that.
        confirmed: Option<Instant>,
    },
}

/// How a run shares its worker with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Share {
    /// Processor time that it can use of what others leave, in thousandths of a core; 0 if it does not fill.
    pub filling_cpu: u32,
    /// Whether it has users of its own.
    pub serves: bool,
    /// Image that it runs, if that is known.
    pub image: Option<image::Key>,
}

/// A run.
#[derive(Debug, Clone)]
pub struct Run {
    /// Task; `None` for a run that belongs to no known task.
    pub task: Option<task::Key>,
    /// Name of the task.
    pub name: Name,
    /// Number of the run.
    pub number: u32,
    /// Where it is.
    pub worker: worker::Key,
    /// Room that it takes.
    pub charged: Resources,
    /// What it does to its neighbours, and they to it.
    pub share: Share,
    /// State.
    pub phase: Phase,
    /// When it was ordered or first seen.
    pub started: Instant,
    /// Progress in percent.
    pub percent: u32,
    /// When the progress last changed.
    pub progressed: Instant,
    /// Newest observation of the worker.
    pub observed: Option<u32>,
    /// Load of a serving task at its last reading.
    pub load: Option<f64>,
    /// Part of the load that is its own, smoothed.
    pub own: Option<f64>,
    /// Since when its response time is over its target, or near it.
    pub over_since: Option<Instant>,
    /// Share at which it works, in percent.
    pub pace: u32,
    /// When its pace was changed last.
    pub paced_at: Instant,
}

/// Runs of the deployment.
pub type Table = SlotMap<Key, Run>;
