//! Decoding of jobs that callers submit.

use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::core::work::spec::{Resources, STEPS_MAX, Schedule, Spec, Step};

/// Longest text of a job in bytes; callers send at most 4,000.
const TEXT_BYTES_MAX: usize = 8_000;

/// Longest name of an image, a label or a rack in bytes.
const NAME_BYTES_MAX: usize = 255;

#[derive(Deserialize)]
struct Body {
    #[serde(default)]
    spec: String,
    #[serde(deserialize_with = "read_list")]
    steps: Vec<StepBody>,
    /// Time of the first occurrence in milliseconds since the Unix epoch.
    #[serde(default)]
    start_time_ms: u64,
    #[serde(default)]
    interval_ms: u64,
    /// Number of occurrences; 0 for a job that runs once, immediately.
    #[serde(default)]
    times: u32,
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct StepBody {
    count: u32,
    /// Thousandths of a core.
    cpu: u32,
    mem_mb: u32,
    gpu: u32,
    estimate_ms: f64,
    #[serde(deserialize_with = "read_list")]
    after: Vec<u32>,
    checkpoint: bool,
    gang: bool,
    same_rack: bool,
    requires: String,
    affinity: String,
    max_per_server: u32,
    speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    daemon: bool,
    image: String,
    target_ms: f64,
    fills: bool,
    may_miss: u32,
}

/// Reads a list of steps, or of numbers of steps. A longer list than a job can have fails while it is read, since its
/// items take many times the memory of their text.
fn read_list<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<Vec<T>, D::Error> {
    deserializer.deserialize_seq(List(PhantomData))
}

struct List<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for List<T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {STEPS_MAX} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            if list.len() == STEPS_MAX {
                return Err(A::Error::custom(format!("a list has over {STEPS_MAX} items")));
            }
            list.push(item);
        }
        Ok(list)
    }
}

/// Decodes a job from the body of a request.
///
/// # Errors
///
/// The reason why the body is malformed.
pub(super) fn decode(bytes: &[u8]) -> Result<Spec, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    check_length("spec", &body.spec, TEXT_BYTES_MAX)?;
    let schedule = (body.times > 0).then_some(Schedule {
        start_unix_ms: body.start_time_ms,
        interval_ms: body.interval_ms,
        times: body.times,
    });
    let steps = body.steps.into_iter().map(Step::try_from).collect::<Result<_, _>>()?;
    Ok(Spec { text: body.spec, steps, schedule })
}

impl TryFrom<StepBody> for Step {
    type Error = String;

    fn try_from(body: StepBody) -> Result<Self, String> {
        let non_empty = |text: String| (!text.is_empty()).then_some(text);
        let target = duration_from_ms("target_ms", body.target_ms)?;
        let names = [("requires", &body.requires), ("affinity", &body.affinity), ("image", &body.image)];
        for (field, name) in names {
            check_length(field, name, NAME_BYTES_MAX)?;
        }
        Ok(Self {
            count: body.count,
            resources: Resources { cpu_millicores: body.cpu, memory_mb: body.mem_mb, gpu: body.gpu },
            estimate: duration_from_ms("estimate_ms", body.estimate_ms)?,
            depends_on: body.after,
            is_checkpointable: body.checkpoint,
            is_gang: body.gang,
            prefers_same_rack: body.same_rack,
            required_label: non_empty(body.requires),
            affinity: non_empty(body.affinity),
            max_per_worker: (body.max_per_server > 0).then_some(body.max_per_server),
            is_speculative: body.speculative,
            is_long_running: body.daemon,
            image: body.image,
            latency_target: (!target.is_zero()).then_some(target),
            is_filling: body.fills,
            max_unavailable: body.may_miss,
        })
    }
}

/// Rejects a string that would take much memory for as long as its job is kept.
fn check_length(field: &str, text: &str, max: usize) -> Result<(), String> {
    let length = text.len();
    if length > max { Err(format!("{field} has {length} bytes; at most {max} are allowed")) } else { Ok(()) }
}

fn duration_from_ms(field: &str, value: f64) -> Result<Duration, String> {
    Duration::try_from_secs_f64(value / 1_000.0).map_err(|error| format!("{field}: {error}"))
}
