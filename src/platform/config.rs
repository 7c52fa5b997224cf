//! Decoding of the operator's configuration.

use std::time::Duration;

use serde::Deserialize;

use crate::core::work::config::{Config, Queue, Service};

#[derive(Deserialize)]
struct Document {
    version: u64,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    services: Vec<ServiceEntry>,
}

#[derive(Deserialize)]
struct Route {
    name: String,
    host: String,
    prefix: String,
    service: String,
    #[serde(default)]
    priority: u32,
    /// Number of failures of a task after which its job fails.
    #[serde(default)]
    max_attempts: u32,
    /// Factor by which the critical path of a job is multiplied to get its time to completion.
    #[serde(default)]
    stretch: f64,
    /// Fixed part of the time to completion in milliseconds, added to the stretched critical path.
    #[serde(default)]
    slo_ms: f64,
}

#[derive(Deserialize)]
struct ServiceEntry {
    name: String,
}

/// Decodes the configuration that the operator wrote.
///
/// # Errors
///
/// The reason why the bytes are not a configuration.
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
    let service = |entry: ServiceEntry| Service { name: entry.name };
    Ok(Config {
        version: document.version,
        newest_until: 0,
        queues: document.routes.into_iter().map(queue).collect(),
        services: document.services.into_iter().map(service).collect(),
    })
}
