//! What a caller asks for: a job of steps, each with tasks of one kind.

use std::fmt;
use std::time::Duration;

use super::{image, run};

/// Most tasks of one occurrence of a job; a larger job is malformed, since it could exhaust the memory of an entry VM.
pub const TASKS_MAX: u64 = 20_000;

/// Most steps of a job.
pub const STEPS_MAX: usize = 256;

/// Identity of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    /// Job.
    pub job: Id,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the task in its step, from 0.
    pub index: u32,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Resources of a worker, or needed by a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpu: u32,
}

impl Resources {
    /// Whether `need` fits.
    pub fn covers(self, need: Resources) -> bool {
        need.cpu_millicores <= self.cpu_millicores && need.memory_mb <= self.memory_mb && need.gpu <= self.gpu
    }

    /// What is left without `taken`; zero where more is taken than there is.
    pub fn saturating_sub(self, taken: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.saturating_sub(taken.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(taken.memory_mb),
            gpu: self.gpu.saturating_sub(taken.gpu),
        }
    }

    /// Sum of both.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

/// Tasks of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each of them needs.
    pub resources: Resources,
    /// Rough run time of a task.
    pub estimate: Duration,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u32>,
    /// Whether a task can resume from its saved progress.
    pub is_checkpointable: bool,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether a gang is slow on more than one rack.
    pub prefers_same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack that holds the data.
    pub affinity: Option<String>,
    /// Most tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// What the tasks run; equal images behave alike.
    pub image: String,
    /// Limit on the response time of a task that serves users.
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only processor time that others leave.
    pub is_filling: bool,
    /// Tasks of a lasting step that may be away through actions of the scheduler.
    pub max_unavailable: u32,
}

impl Step {
    /// What a task takes from the capacity of its worker.
    pub fn charged(&self) -> Resources {
        if self.is_filling { Resources { cpu_millicores: 0, ..self.resources } } else { self.resources }
    }

    /// How a task shares its worker with others.
    pub fn share(&self, images: &mut image::Table) -> run::Share {
        let image = (!self.image.is_empty()).then(|| images.enter(&self.image));
        if let Some(image) = image.filter(|_| self.is_filling) {
            images.note_filling(image);
        }
        run::Share {
            filling_cpu: if self.is_filling { self.resources.cpu_millicores } else { 0 },
            serves: self.serves(),
            image,
        }
    }

    /// Whether the tasks have users of their own.
    pub fn serves(&self) -> bool {
        self.latency_target.is_some()
    }
}

/// Times at which the steps of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// First due time in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
    /// Time between two occurrences in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A job as its caller describes it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Spec {
    /// Text handed to every task.
    pub text: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// When the steps run; at once and one time if absent.
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// What makes the job impossible to run, if anything does.
    pub fn validation_error(&self) -> Option<String> {
        if self.steps.is_empty() {
            return Some("steps: at least one is needed".into());
        }
        if self.steps.len() > STEPS_MAX {
            return Some(format!("steps: {} are over the limit of {STEPS_MAX}", self.steps.len()));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > TASKS_MAX {
            return Some(format!("steps: {tasks} tasks are over the limit of {TASKS_MAX}"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some(format!("steps[{number}].count: must be above 0"));
            }
            if let Some(later) = step.depends_on.iter().find(|before| **before as usize >= number) {
                return Some(format!("steps[{number}].after: {later} is no earlier step"));
            }
        }
        None
    }

    /// Number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Estimated time of the longest chain of steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.depends_on.iter().filter_map(|before| ends.get(*before as usize)).max();
            ends.push(start.copied().unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Whether all tasks last.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
