//! Small stand-ins of the platform: store, workers, VM list.
//!
//! Each one is a reducer of its own, a plain struct whose functions get the time as an argument, behind a thin HTTP
//! shell. They follow the published protocol only and share no decision with [`crate::core`], so that the
//! [`audit`] counts what really happened, whatever the scheduler believes.

pub mod audit;
pub mod listing;
pub mod server;
pub mod store;
pub mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks state whose functions leave it consistent, so that a panic elsewhere does not spread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
