//! Names of tasks, and the rows in which workers list runs.

use serde::Deserialize;

use crate::core::work::order::{Ended, How, Running};
use crate::core::work::spec::{Id, Name};

/// Task with this name; `None` if it is malformed.
pub(super) fn name(text: &str) -> Option<Name> {
    let mut parts = text.split('.');
    let job = Id(u64::from_str_radix(parts.next()?, 16).ok()?);
    let mut number = || parts.next()?.parse().ok();
    let (occurrence, step, index) = (number()?, number()?, number()?);
    parts.next().is_none().then_some(Name { job, occurrence, step, index })
}

/// Name, number of the run, saved progress, percent, and the observation of the last half second.
#[derive(Deserialize)]
pub(super) struct RunningRow(String, u32, String, f64, #[serde(default)] Option<f64>);

impl RunningRow {
    pub(super) fn decode(self) -> Option<Running> {
        let Self(text, number, saved, percent, observed) = self;
        Some(Running {
            name: name(&text)?,
            number,
            checkpoint: saved,
            progress_percent: percent as u32,
            reading: observed.map(|observed| observed.ceil() as u32),
        })
    }
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum Word {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

/// Number of the end, name, number of the run, how it ended, saved progress.
#[derive(Deserialize)]
pub(super) struct EndedRow(u64, String, u32, Word, String);

impl EndedRow {
    pub(super) fn decode(self) -> Option<Ended> {
        let Self(number, text, run, word, saved) = self;
        let how = match word {
            Word::Done => How::Done,
            Word::Failed => How::Failed,
            Word::Stopped => How::Stopped,
            Word::Lapsed => How::Lapsed,
            Word::Broken => How::Broken,
            Word::Alone => How::Alone,
        };
        Some(Ended { number, name: name(&text)?, run, how, checkpoint: saved })
    }
}
