//! Stand-ins of the platform for tests and local runs: key-value store, workers and VM list.
//!
//! Each stand-in is a reducer, a plain struct whose functions get the time as an argument, with an HTTP server in front
//! of it. The stand-ins implement the published protocol only and share no decisions with [`crate::core`], so the
//! counts of [`audit`] are independent of the scheduler's state.

pub mod audit;
pub mod listing;
pub mod server;
pub mod store;
pub mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex` even if it is poisoned. The protected state is consistent after every function, so a panic in one
/// thread need not fail the others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
