//! Checkpoints that the platform keeps, shared by the workers of a run.

use std::sync::{Arc, Mutex};

use crate::core::control::Checkpoint;
use crate::standin::lock;

/// All checkpoints of a run.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Run time that was left, in milliseconds alone on a VM; the identity is the position plus one.
    remaining_ms: Arc<Mutex<Vec<f64>>>,
}

impl Table {
    /// Keeps a checkpoint of a task that had `remaining_ms` to go.
    pub(super) fn insert(&self, remaining_ms: f64) -> Checkpoint {
        let mut checkpoints = lock(&self.remaining_ms);
        checkpoints.push(remaining_ms);
        Checkpoint(checkpoints.len() as u64)
    }

    /// Run time that is left from a checkpoint, if it exists.
    pub(super) fn get(&self, checkpoint: Checkpoint) -> Option<f64> {
        let index = checkpoint.0.checked_sub(1)?;
        lock(&self.remaining_ms).get(index as usize).copied()
    }
}
