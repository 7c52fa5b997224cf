//! Sample requests, which `local` sends to the services.

use super::service;

/// A sample request that is sent a number of times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sample {
    /// Service to call.
    pub service: service::Key,
    /// Path below the service name.
    pub path: String,
    /// Number of requests.
    pub requests: u32,
    /// Size of each request body in bytes.
    pub body_bytes: u32,
}
