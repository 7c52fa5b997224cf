//! Counts what placement examines: a measure of its work that, unlike time, is the same in each run.

/// Numbers of items that placement has examined, summed over all passes. An item that is examined twice counts twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    /// Passes.
    pub passes: u64,
    /// Workers, in the survey and in the searches for room and for victims.
    pub workers: u64,
    /// Groups of waiting tasks.
    pub groups: u64,
    /// Waiting tasks.
    pub tasks: u64,
    /// Remembered needs that a need was compared with.
    pub needs: u64,
    /// Runs: on workers whose preemptable resources or headroom were computed, serving ones that a filling task was compared
    /// with, and all runs in a search for those that are being stopped.
    pub runs: u64,
}

impl Tally {
    /// Adds what another tally counts.
    pub fn add(&mut self, other: &Tally) {
        self.passes += other.passes;
        self.workers += other.workers;
        self.groups += other.groups;
        self.tasks += other.tasks;
        self.needs += other.needs;
        self.runs += other.runs;
    }

    /// What was counted since an earlier state of this tally.
    pub fn since(&self, earlier: &Tally) -> Tally {
        Tally {
            passes: self.passes - earlier.passes,
            workers: self.workers - earlier.workers,
            groups: self.groups - earlier.groups,
            tasks: self.tasks - earlier.tasks,
            needs: self.needs - earlier.needs,
            runs: self.runs - earlier.runs,
        }
    }
}
