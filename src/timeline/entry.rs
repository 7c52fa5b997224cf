//! Timeline entries and their encoding, one JSON object per line.

use std::fmt;
use std::io::BufRead;

use serde::{Deserialize, Serialize};

use crate::core::time::Instant;
use crate::core::trace::{self, Subject};
use crate::finding::Finding;

/// Process that records entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Name of the VM.
    pub process: String,
    /// Identity of the process instance, which changes with a restart.
    pub instance: u64,
    /// Name of the availability zone.
    pub zone: String,
}

/// One decision of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub wall_us: u64,
    /// Time of the monotonic clock of the process in microseconds.
    pub mono_us: u64,
    /// Name of the VM of the process.
    pub process: String,
    /// Identity of the process instance, needed because a restarted process numbers its entries from 1 again.
    pub instance: u64,
    /// Name of the availability zone of the process.
    pub zone: String,
    /// Sequence number among the entries of this instance, from 1.
    pub sequence: u64,
    /// Kind and identity of the subject, for example `task:00000000000008f1:3`.
    pub subject: String,
    /// Short name of the decision, for example `assign`.
    pub decision: String,
    /// Reason, with the values behind it.
    pub reason: String,
}

impl Entry {
    /// Creates the entry with number `sequence` of `origin` for a decision made at `at`.
    pub fn new(origin: &Origin, sequence: u64, wall_us: u64, at: Instant, entry: &trace::Entry) -> Self {
        Self {
            wall_us,
            mono_us: at.0,
            process: origin.process.clone(),
            instance: origin.instance,
            zone: origin.zone.clone(),
            sequence,
            subject: subject_text(entry.subject),
            decision: entry.decision.to_owned(),
            reason: entry.reason.clone(),
        }
    }

    /// Whether `filter` is the subject of the entry, or a prefix of it that ends before a `:` or `/`.
    pub fn matches_subject(&self, filter: &str) -> bool {
        let Some(rest) = self.subject.strip_prefix(filter) else { return false };
        rest.is_empty() || rest.starts_with([':', '/'])
    }

    /// Encodes the entry as JSON without a line break.
    pub fn to_line(&self) -> String {
        serde_json::to_string(self).expect("strings and integers always have a JSON form")
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { process, zone, sequence, subject, decision, reason, .. } = self;
        let time = time_text(self.wall_us);
        write!(f, "{time} {process}/{zone} #{sequence} {subject} {decision}: {reason}")
    }
}

fn time_text(wall_us: u64) -> String {
    let time = i64::try_from(wall_us).ok().and_then(chrono::DateTime::from_timestamp_micros);
    time.map_or_else(|| format!("{wall_us}us"), |time| time.format("%Y-%m-%dT%H:%M:%S%.6fZ").to_string())
}

/// Text of a subject in timeline entries.
pub fn subject_text(subject: Subject) -> String {
    match subject {
        Subject::Process => "process".to_owned(),
        Subject::Member(id) => format!("member:{:016x}", id.0),
        Subject::Cell(id) => format!("cell:{:08x}/{}", id.zone.0, id.index),
        Subject::Worker(id) => format!("worker:{:016x}", id.0),
        Subject::Task(id) => format!("task:{:016x}:{}", id.job.0, id.index),
        Subject::Replica(id) => format!("replica:{:016x}", id.0),
        Subject::Exchange(id) => format!("request:{:016x}", id.0),
        Subject::Job(id) => format!("job:{id}"),
        Subject::Config(version) => format!("config:{version}"),
    }
}

/// Decodes JSON lines; a line that cannot be decoded is returned as a finding of the file `name`.
///
/// Empty lines are skipped. An I/O error is returned as the last finding and ends the input.
pub fn read(name: &str, input: impl BufRead) -> (Vec<Entry>, Vec<Finding>) {
    let mut entries = Vec::new();
    let mut findings = Vec::new();
    let finding =
        |line, column, message| Finding { file: name.to_owned(), line, column, key: String::new(), message };
    for (number, line) in (1..).zip(input.split(b'\n')) {
        let line = match line {
            Ok(line) => line,
            Err(error) => {
                findings.push(finding(number, 1, error.to_string()));
                break;
            }
        };
        match parse(&line) {
            Ok(entry) => entries.extend(entry),
            Err(error) => findings.push(finding(number, error.column().max(1), error.to_string())),
        }
    }
    (entries, findings)
}

fn parse(line: &[u8]) -> serde_json::Result<Option<Entry>> {
    if line.trim_ascii().is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(line).map(Some)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::task;
    use crate::declare::job;

    fn sample() -> Entry {
        let origin = Origin { process: "entry-1".into(), instance: 7, zone: "canning".into() };
        let subject = Subject::Task(task::Id { job: job::Id(0x8f), index: 3 });
        let entry = trace::Entry { subject, decision: "assign", reason: "worker \"w1\"\nfits".into() };
        Entry::new(&origin, 1, 1_700_000_000_000_001, Instant(5), &entry)
    }

    /// Guards against an incomplete line, or bytes that are not UTF-8, that prevent the other entries from being read.
    #[test]
    fn a_bad_line_is_reported_and_the_others_are_read() {
        let line = sample().to_line();
        assert_eq!(line.lines().count(), 1);
        let mut text = format!("{line}\n{{\"wall_us\":1\n\n").into_bytes();
        text.extend(b"\xff\n");
        text.extend(line.as_bytes());
        let (entries, findings) = read("t.jsonl", text.as_slice());
        assert_eq!(entries, [sample(), sample()]);
        assert_eq!(findings.iter().map(|f| f.line).collect::<Vec<_>>(), [2, 4]);
    }

    /// Guards against a filter for task 3 that also matches task 30.
    #[test]
    fn a_filter_ends_at_a_separator() {
        let entry = sample();
        assert!(entry.matches_subject("task") && entry.matches_subject("task:000000000000008f"));
        assert!(entry.matches_subject("task:000000000000008f:3"));
        assert!(!entry.matches_subject("task:0") && !entry.matches_subject("tas"));
        let longer = Entry { subject: format!("{}0", entry.subject), ..entry.clone() };
        assert!(!longer.matches_subject(&entry.subject));
    }

    /// Guards against a wrong time in the printed line.
    #[test]
    fn prints_time_in_utc() {
        assert!(sample().to_string().starts_with("2023-11-14T22:13:20.000001Z entry-1/canning #1 task:"));
    }
}
