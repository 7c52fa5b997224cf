//! Decoding of task names, and of the rows of a worker's listing.

use serde::Deserialize;

use crate::core::work::order::{Ended, How, Running};
use crate::core::work::spec::{Id, Name};

/// Parses a task name; `None` if it is malformed.
pub(super) fn parse_name(text: &str) -> Option<Name> {
    let mut parts = text.split('.');
    let job = Id(u64::from_str_radix(parts.next()?, 16).ok()?);
    let mut number = || parts.next()?.parse().ok();
    let (occurrence, step, index) = (number()?, number()?, number()?);
    parts.next().is_none().then_some(Name { job, occurrence, step, index })
}

/// Row of an active run: task name, number of the run, checkpoint, progress in percent, and the reading of the last
/// half second.
#[derive(Deserialize)]
pub(super) struct RunningRow(String, u32, String, f64, #[serde(default)] Option<f64>);

impl RunningRow {
    pub(super) fn decode(self) -> Option<Running> {
        let Self(text, number, checkpoint, progress_percent, reading) = self;
        Some(Running {
            name: parse_name(&text)?,
            number,
            checkpoint,
            progress_percent: progress_percent as u32,
            reading: reading.map(|reading| reading.ceil() as u32),
        })
    }
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum EndReason {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

/// Row of an ended run: number of the end, task name, number of the run, reason for the end, and checkpoint.
#[derive(Deserialize)]
pub(super) struct EndedRow(u64, String, u32, EndReason, String);

impl EndedRow {
    pub(super) fn decode(self) -> Option<Ended> {
        let Self(number, text, run, reason, checkpoint) = self;
        let how = match reason {
            EndReason::Done => How::Done,
            EndReason::Failed => How::Failed,
            EndReason::Stopped => How::Stopped,
            EndReason::Lapsed => How::Lapsed,
            EndReason::Broken => How::Broken,
            EndReason::Alone => How::Alone,
        };
        Some(Ended { number, name: parse_name(&text)?, run, how, checkpoint })
    }
}
