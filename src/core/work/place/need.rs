//! Requirements of tasks, as far as they decide which workers have room.

use crate::core::work::headroom::Urgency;
use crate::core::work::job::Group;
use crate::core::work::spec::{Resources, Step};
use crate::core::work::worker::{Key, Worker};
use crate::core::work::{image, symbol, task};

/// Tasks of a group for which the same workers have room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Variant {
    pub group: Group,
    pub urgency: Urgency,
    pub must_leave_reserve: bool,
}

/// Requirements of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Service whose workers may run the task.
    pub service: symbol::Key,
    /// Resources that a run of it reserves.
    pub charged: Resources,
    /// Processor time that it requests, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Label that the worker must have, if any.
    pub required_label: Option<symbol::Key>,
    /// Rack that holds its data, if any.
    pub affinity: Option<symbol::Key>,
    /// Largest number of tasks of its group on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether it starts only together with the other tasks of its group.
    pub is_gang: bool,
    /// Whether it runs until its job is cancelled.
    pub is_long_running: bool,
    /// Whether it is long-running and has never run, so that it leaves the reserve of its service to others.
    pub must_leave_reserve: bool,
    /// Whether it serves users, so that its response time is limited.
    pub is_serving: bool,
    /// Whether it is a filling task, which uses only processor time that others leave.
    pub is_filling: bool,
    /// Image that it runs; `None` if the step names none.
    pub image: Option<image::Key>,
    /// Whether a filling task can wait for a worker whose serving tasks tolerate it at their peak load.
    pub urgency: Urgency,
    /// Whether a run of the task may have crashed its worker.
    pub is_suspect: bool,
    /// Worker to avoid, if any.
    pub avoid: Option<Key>,
    /// Only worker that may run it, if there is one.
    pub only: Option<Key>,
    /// Task for which a worker may keep room, if any.
    pub kept_for: Option<task::Key>,
}

impl Need {
    /// Returns the requirements that all tasks of a step share.
    pub(in crate::core::work) fn of(step: &Step, service: &str, images: &mut image::Table) -> Self {
        Self {
            service: symbol::Key::of(service),
            charged: step.charged(),
            cpu_millicores: step.resources.cpu_millicores,
            required_label: step.required_label.as_deref().map(symbol::Key::of),
            affinity: step.affinity.as_deref().map(symbol::Key::of),
            max_per_worker: step.max_per_worker,
            is_gang: step.is_gang,
            is_long_running: step.is_long_running,
            must_leave_reserve: false,
            is_serving: step.serves(),
            is_filling: step.is_filling,
            image: (!step.image.is_empty()).then(|| images.intern(&step.image)),
            urgency: Urgency::Deferrable,
            is_suspect: false,
            avoid: None,
            only: None,
            kept_for: None,
        }
    }

    /// What the outcome of a search for a worker depends on, for the tasks of one group.
    pub(super) fn variant(&self, group: Group) -> Variant {
        Variant { group, urgency: self.urgency, must_leave_reserve: self.must_leave_reserve }
    }

    /// Whether a worker is outside the rack that holds the data of the task.
    pub(super) fn is_remote(&self, worker: &Worker) -> bool {
        self.affinity.is_some_and(|rack| !worker.labels.contains(&rack))
    }

    /// Whether a worker without room for it has no room for larger needs either, since nothing but the worker decides.
    pub(super) fn stands_for_larger(&self) -> bool {
        self.max_per_worker.is_none()
            && !self.is_gang
            && !self.is_suspect
            && self.kept_for.is_none()
            && self.only.is_none()
    }

    /// Returns whether a worker with room for this need also has room for `other`, so that this need finds no worker where
    /// `other` finds none.
    pub(super) fn is_at_least(&self, other: &Need) -> bool {
        let is_same_kind = self.is_filling == other.is_filling
            && (!self.is_filling || (self.image == other.image && self.urgency == other.urgency));
        let needs_more = self.charged.covers(other.charged) && self.cpu_millicores >= other.cpu_millicores;
        // The search for a long-running task covers more workers, but for a new one not the reserve.
        let is_covered = (other.is_long_running || !self.is_long_running)
            && (!other.must_leave_reserve || self.must_leave_reserve);
        let is_labelled = other.required_label.is_none() || self.required_label == other.required_label;
        self.service == other.service && is_same_kind && needs_more && is_covered && is_labelled
    }
}
