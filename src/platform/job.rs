//! Jobs as callers describe them.

use std::time::Duration;

use serde::Deserialize;

use crate::core::work::spec::{Resources, Schedule, Spec, Step};

#[derive(Deserialize)]
struct Body {
    #[serde(default)]
    spec: String,
    steps: Vec<Wire>,
    /// First due time in milliseconds since the Unix epoch.
    #[serde(default)]
    start_time_ms: u64,
    #[serde(default)]
    interval_ms: u64,
    /// Number of occurrences; 0 for a job that runs once, at once.
    #[serde(default)]
    times: u32,
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct Wire {
    count: u32,
    /// Thousandths of a core.
    cpu: u32,
    mem_mb: u32,
    gpu: u32,
    estimate_ms: f64,
    after: Vec<u32>,
    checkpoint: bool,
    gang: bool,
    same_rack: bool,
    requires: String,
    affinity: String,
    max_per_server: u32,
    speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    daemon: bool,
    image: String,
    target_ms: f64,
    fills: bool,
    may_miss: u32,
}

/// A job from the body of a request.
///
/// # Errors
///
/// What is malformed.
pub(super) fn decode(bytes: &[u8]) -> Result<Spec, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let schedule = (body.times > 0).then_some(Schedule {
        start_unix_ms: body.start_time_ms,
        interval_ms: body.interval_ms,
        times: body.times,
    });
    let steps = body.steps.into_iter().map(Step::try_from).collect::<Result<_, _>>()?;
    Ok(Spec { text: body.spec, steps, schedule })
}

impl TryFrom<Wire> for Step {
    type Error = String;

    fn try_from(wire: Wire) -> Result<Self, String> {
        let text = |text: String| (!text.is_empty()).then_some(text);
        let target = milliseconds("target_ms", wire.target_ms)?;
        Ok(Self {
            count: wire.count,
            resources: Resources { cpu_millicores: wire.cpu, memory_mb: wire.mem_mb, gpu: wire.gpu },
            estimate: milliseconds("estimate_ms", wire.estimate_ms)?,
            depends_on: wire.after,
            is_checkpointable: wire.checkpoint,
            is_gang: wire.gang,
            prefers_same_rack: wire.same_rack,
            required_label: text(wire.requires),
            affinity: text(wire.affinity),
            max_per_worker: (wire.max_per_server > 0).then_some(wire.max_per_server),
            is_speculative: wire.speculative,
            is_long_running: wire.daemon,
            image: wire.image,
            latency_target: (!target.is_zero()).then_some(target),
            is_filling: wire.fills,
            max_unavailable: wire.may_miss,
        })
    }
}

fn milliseconds(field: &str, value: f64) -> Result<Duration, String> {
    Duration::try_from_secs_f64(value / 1_000.0).map_err(|error| format!("{field}: {error}"))
}
