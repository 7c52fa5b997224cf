//! Checkpoints that the platform keeps, shared by the workers of a run.

use std::sync::{Arc, Mutex};

use crate::core::control::Checkpoint;
use crate::standin::lock;

/// All checkpoints of a run.
#[derive(Debug, Clone, Default)]
pub struct Shelf {
    /// Run time that was left, in milliseconds alone on a VM; the identity is the position plus one.
    left: Arc<Mutex<Vec<f64>>>,
}

impl Shelf {
    /// Keeps a checkpoint of a task that had `left_ms` to go.
    pub(super) fn put(&self, left_ms: f64) -> Checkpoint {
        let mut left = lock(&self.left);
        left.push(left_ms);
        Checkpoint(left.len() as u64)
    }

    /// Run time that is left from a checkpoint, if it exists.
    pub(super) fn get(&self, checkpoint: Checkpoint) -> Option<f64> {
        let at = checkpoint.0.checked_sub(1)?;
        lock(&self.left).get(at as usize).copied()
    }
}
