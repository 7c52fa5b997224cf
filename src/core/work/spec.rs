//! Specification of a job: steps, each of which is a number of tasks of one kind.

use std::fmt;
use std::time::Duration;

use super::{image, run};

/// Largest number of tasks in one occurrence of a job. A larger job could exhaust the memory of an entry VM, so it is
/// rejected as malformed.
pub const TASKS_MAX: u64 = 20_000;

/// Longest estimate of a run time. Times that are computed from estimates stay far below the range of `Duration`.
pub const ESTIMATE_MAX: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Largest number of steps in a job.
pub const STEPS_MAX: usize = 256;

/// Identity of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity of a task; unique in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    /// Identity of the job.
    pub job: Id,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Capacity of a worker, or resources that a task requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_millicores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub gpu: u32,
}

impl Resources {
    /// Whether every component is at least that of `need`.
    pub fn covers(self, need: Resources) -> bool {
        need.cpu_millicores <= self.cpu_millicores && need.memory_mb <= self.memory_mb && need.gpu <= self.gpu
    }

    /// Difference by component; zero where `taken` is larger.
    pub fn saturating_sub(self, taken: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.saturating_sub(taken.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(taken.memory_mb),
            gpu: self.gpu.saturating_sub(taken.gpu),
        }
    }

    /// Larger value of each component.
    pub fn max_by_component(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Sum by component, limited to the range of the numbers.
    pub fn saturating_add(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

/// A number of equal tasks within a job.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requires.
    pub resources: Resources,
    /// Estimated run time of a task.
    pub estimate: Duration,
    /// Numbers of earlier steps that must be done before this one starts.
    pub depends_on: Vec<u32>,
    /// Whether a task can resume from a checkpoint.
    pub is_checkpointable: bool,
    /// Whether the tasks are gang-scheduled: they make progress only while all of them run.
    pub is_gang: bool,
    /// Whether the gang is slower when it spans several racks.
    pub prefers_same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Preferred rack, which holds the input data.
    pub affinity: Option<String>,
    /// Largest number of tasks of the step on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of one task may be active at the same time.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Image that the tasks run; tasks with equal images are assumed to behave alike. Empty if it is not known.
    pub image: String,
    /// Upper limit on the response time; present if the tasks serve users.
    pub latency_target: Option<Duration>,
    /// Whether the tasks reserve no CPU and use only what other tasks leave idle.
    pub is_filling: bool,
    /// Number of tasks of a long-running step that the scheduler may have stopped at the same time.
    pub max_unavailable: u32,
}

impl Step {
    /// Resources that a task reserves on its worker; a filling task reserves no CPU.
    pub fn charged(&self) -> Resources {
        if self.is_filling { Resources { cpu_millicores: 0, ..self.resources } } else { self.resources }
    }

    /// Sharing attributes of a task; registers its image in `images`.
    pub fn share(&self, images: &mut image::Table) -> run::Profile {
        let image = (!self.image.is_empty()).then(|| images.intern(&self.image));
        if let Some(image) = image.filter(|_| self.is_filling) {
            images.mark_filling(image);
        }
        run::Profile {
            filling_cpu_millicores: if self.is_filling { self.resources.cpu_millicores } else { 0 },
            is_serving: self.serves(),
            is_long_running: self.is_long_running && !self.is_filling,
            image,
        }
    }

    /// Whether the tasks serve users, so that their response time is limited.
    pub fn serves(&self) -> bool {
        self.latency_target.is_some()
    }
}

/// Release times of a recurring job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Release time of the first occurrence in milliseconds since the Unix epoch.
    pub start_unix_ms: u64,
    /// Time between the releases of two occurrences in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A job as submitted by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Spec {
    /// Text that every task receives.
    pub text: String,
    /// Steps, each after the steps that it depends on.
    pub steps: Vec<Step>,
    /// Release times; without them the job has one occurrence that is released at once.
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// Names of the tasks of the gang that a task belongs to, or its own name if its step is no gang.
    pub fn gang_of(&self, name: Name) -> Vec<Name> {
        let gang = self.steps.get(name.step as usize).filter(|step| step.is_gang);
        gang.map_or_else(|| vec![name], |step| (0..step.count).map(|index| Name { index, ..name }).collect())
    }

    /// Reason why the specification is invalid; `None` if it is valid.
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
        let last_due = |schedule: Schedule| {
            let span = schedule.interval_ms.checked_mul(u64::from(schedule.times))?;
            span.checked_add(schedule.start_unix_ms)
        };
        if self.schedule.is_some_and(|schedule| last_due(schedule).is_none()) {
            return Some("interval_ms: the last occurrence is out of range".into());
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.estimate > ESTIMATE_MAX {
                let most = ESTIMATE_MAX.as_millis();
                return Some(format!("steps[{number}].estimate_ms: must be at most {most}"));
            }
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

    /// Estimated run time of the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.depends_on.iter().filter_map(|before| ends.get(*before as usize)).max();
            ends.push(start.copied().unwrap_or_default().saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Estimated run time of the longest chain of dependent steps that begins with each step.
    pub fn remaining_chains(&self) -> Vec<Duration> {
        let mut chains: Vec<Duration> = self.steps.iter().map(|step| step.estimate).collect();
        // Later steps depend on earlier ones only, so the chain of a step is complete when it is reached.
        for (number, step) in self.steps.iter().enumerate().rev() {
            for before in step.depends_on.iter().map(|before| *before as usize) {
                let Some(estimate) = self.steps.get(before).map(|step| step.estimate) else { continue };
                chains[before] = chains[before].max(estimate.saturating_add(chains[number]));
            }
        }
        chains
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
