//! Configuration of the operator.

use std::time::Duration;

use serde::Deserialize;

use crate::core::work::config::{Config, Queue, Service};

#[derive(Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    services: Vec<Pool>,
}

#[derive(Deserialize)]
struct Route {
    name: String,
    host: String,
    prefix: String,
    service: String,
    #[serde(default)]
    priority: u32,
    /// Failures of a task after which its job has failed.
    #[serde(default)]
    max_attempts: u32,
    /// Objective in lengths of the longest chain of a job.
    #[serde(default)]
    stretch: f64,
    /// Added to the objective.
    #[serde(default)]
    slo_ms: f64,
}

#[derive(Deserialize)]
struct Pool {
    name: String,
}

/// Configuration from the bytes that the operator wrote.
///
/// # Errors
///
/// What cannot be read.
pub(super) fn decode(bytes: &[u8]) -> Result<Config, String> {
    let document: Document = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let queue = |route: Route| Queue {
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        service: route.service,
        priority: route.priority,
        max_attempts: route.max_attempts,
        stretch: route.stretch,
        objective: Duration::try_from_secs_f64(route.slo_ms / 1_000.0).unwrap_or_default(),
    };
    let service = |pool: Pool| Service { name: pool.name };
    Ok(Config {
        version: document.version,
        queues: document.routes.into_iter().map(queue).collect(),
        services: document.services.into_iter().map(service).collect(),
    })
}
