//! Checkpoints that the platform stores, shared by the workers of a run.

use std::sync::{Arc, Mutex};

use crate::core::control::Checkpoint;
use crate::standin::lock;

/// All checkpoints of a run; clones share the same checkpoints.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Remaining run time at each checkpoint, in milliseconds without interference. The identity is the index plus one.
    remaining_ms: Arc<Mutex<Vec<f64>>>,
}

impl Table {
    /// Stores a checkpoint of a task with `remaining_ms` of run time left.
    pub(super) fn insert(&self, remaining_ms: f64) -> Checkpoint {
        let mut checkpoints = lock(&self.remaining_ms);
        checkpoints.push(remaining_ms);
        Checkpoint(checkpoints.len() as u64)
    }

    /// Remaining run time at a checkpoint in milliseconds; `None` if the checkpoint does not exist.
    pub(super) fn get(&self, checkpoint: Checkpoint) -> Option<f64> {
        let index = checkpoint.0.checked_sub(1)?;
        lock(&self.remaining_ms).get(index as usize).copied()
    }
}
