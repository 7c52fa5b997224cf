//! Recording of the entries of this process: the newest ones in memory and, optionally, all of them in a file.
//!
//! A separate thread writes the file, so that a slow disk does not delay decisions. An entry is counted as lost if the
//! queue of that thread is full or if writing fails. Entries that found the queue full are reported by an entry of their
//! own once there is room again.

use std::collections::VecDeque;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::entry::{Entry, Origin};
use crate::core::time::Instant;
use crate::core::trace::{self, Subject};
use crate::error::{Error, Result};

/// Default number of entries kept in memory, which take about 6 MB.
pub const DEFAULT_CAPACITY: usize = 20_000;

/// Path that stands for standard output.
pub const STDOUT_PATH: &str = "-";

/// Maximum number of entries in the queue of the thread that writes the file.
const QUEUE_CAPACITY: usize = 4_096;

/// Size limit of one write of several lines, in bytes. Collectors of standard output can cut off longer writes.
const WRITE_BYTES_MAX: usize = 8_192;

/// Minimum time between two entries that report dropped ones, which would otherwise take the room of others.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Records the entries of this process; clones share the recorded entries.
#[derive(Debug, Clone)]
pub struct Writer {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    origin: Origin,
    capacity: usize,
    ring: Mutex<Ring>,
    sink: Option<Sink>,
}

#[derive(Debug, Default)]
struct Ring {
    last_sequence: u64,
    entries: VecDeque<Entry>,
    /// Number of entries that found the queue of the file full and have not been reported.
    unreported_drops: u64,
    /// Earliest time of the next report of dropped entries.
    next_report_at: Instant,
}

impl Ring {
    fn push(&mut self, entry: Entry, capacity: usize) {
        self.last_sequence = entry.sequence;
        self.entries.push_back(entry);
        while self.entries.len() > capacity {
            self.entries.pop_front();
        }
    }
}

impl Writer {
    /// Creates a writer that keeps the newest `capacity` entries in memory and has no file.
    pub fn new(origin: Origin, capacity: usize) -> Self {
        Self::with_sink(origin, capacity, None)
    }

    /// Creates a writer that also appends every entry to the file at `path`, or to standard output for [`STDOUT_PATH`].
    ///
    /// # Errors
    ///
    /// The file cannot be opened, or its thread cannot be started.
    pub fn with_file(origin: Origin, capacity: usize, path: impl AsRef<Path>) -> Result<Self> {
        Ok(Self::with_sink(origin, capacity, Some(Sink::open(path.as_ref())?)))
    }

    fn with_sink(origin: Origin, capacity: usize, sink: Option<Sink>) -> Self {
        let shared = Shared { origin, capacity, ring: Mutex::default(), sink };
        Self { shared: Arc::new(shared) }
    }

    /// Records a decision made at `at`.
    pub fn record(&self, at: Instant, entry: &trace::Entry) {
        let Shared { origin, capacity, ring, sink } = &*self.shared;
        let wall_us = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_micros() as u64);
        // Entries are queued under the lock, so that the file has them in the order of their sequence numbers.
        let mut ring = ring.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = Entry::new(origin, ring.last_sequence + 1, wall_us, at, entry);
        let is_queued = sink.as_ref().is_none_or(|sink| sink.enqueue(entry.to_line()));
        ring.push(entry, *capacity);
        if !is_queued {
            sink.iter().for_each(|sink| sink.count_lost(1));
            ring.unreported_drops += 1;
        } else if ring.unreported_drops > 0 && ring.next_report_at <= at {
            let reason = format!("{} entries found the queue of the file full", ring.unreported_drops);
            let report = trace::Entry { subject: Subject::Process, decision: "entries-dropped", reason };
            let report = Entry::new(origin, ring.last_sequence + 1, wall_us, at, &report);
            // A report that finds the queue full is made again with one of the next entries.
            if sink.as_ref().is_some_and(|sink| sink.enqueue(report.to_line())) {
                ring.push(report, *capacity);
                ring.unreported_drops = 0;
                ring.next_report_at = at + DROP_REPORT_INTERVAL;
            }
        }
    }

    /// Entries in memory with a sequence number above `after` and, if given, a subject that matches `subject`.
    pub fn entries(&self, after: u64, subject: Option<&str>) -> Vec<Entry> {
        let ring = self.shared.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let matches = |entry: &&Entry| {
            entry.sequence > after && subject.is_none_or(|subject| entry.matches_subject(subject))
        };
        ring.entries.iter().filter(matches).cloned().collect()
    }

    /// Number of entries that are missing in the file.
    pub fn lost_count(&self) -> u64 {
        self.lost_counter()()
    }

    /// Function that returns the number of entries that are missing in the file. It does not keep the file open.
    pub fn lost_counter(&self) -> impl Fn() -> u64 + Send + Sync + use<> {
        let count = self.shared.sink.as_ref().map(|sink| Arc::clone(&sink.lost_count));
        move || count.as_ref().map_or(0, |count| count.load(Ordering::Relaxed))
    }
}

/// Destination of the written entries.
#[derive(Debug)]
enum Output {
    Stdout,
    File(fs::File),
}

impl Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        match self {
            Self::Stdout => std::io::stdout().lock().write_all(bytes),
            Self::File(file) => file.write_all(bytes),
        }
    }
}

/// Queue of the thread that writes the file; dropping it waits until all queued entries are written.
#[derive(Debug)]
struct Sink {
    sender: Option<SyncSender<String>>,
    thread: Option<JoinHandle<()>>,
    lost_count: Arc<AtomicU64>,
}

impl Sink {
    fn open(path: &Path) -> Result<Self> {
        let open = || -> std::io::Result<_> {
            if path == Path::new(STDOUT_PATH) {
                return Ok((Output::Stdout, false));
            }
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            let has_content = file.metadata()?.len() > 0;
            Ok((Output::File(file), has_content))
        };
        let (output, has_content) =
            open().map_err(|e| Error::io(format!("open timeline {}", path.display()), e))?;
        let (sender, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
        let lost_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&lost_count);
        let thread = thread::Builder::new()
            .name("timeline".to_owned())
            .spawn(move || write_batches(receiver, output, has_content, counter))
            .map_err(|e| Error::io("start the timeline thread", e))?;
        Ok(Self { sender: Some(sender), thread: Some(thread), lost_count })
    }

    /// Queues a line without waiting; returns false if the queue is full.
    fn enqueue(&self, line: String) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.try_send(line).is_ok())
    }

    fn count_lost(&self, count: u64) {
        self.lost_count.fetch_add(count, Ordering::Relaxed);
    }
}

impl Drop for Sink {
    fn drop(&mut self) {
        drop(self.sender.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the timeline thread panicked");
        }
    }
}

/// Writes queued lines to `output`, in batches of lines that are available at that time.
///
/// With `has_partial_line`, the file may end with an incomplete line, so the next batch starts with a line break.
fn write_batches(
    receiver: Receiver<String>,
    mut output: Output,
    mut has_partial_line: bool,
    lost_count: Arc<AtomicU64>,
) {
    let mut next = None;
    while let Some(first) = next.take().or_else(|| receiver.recv().ok()) {
        let mut batch = if has_partial_line { "\n".to_owned() } else { String::new() };
        let count = fill_batch(&mut batch, first, &mut next, || receiver.try_recv().ok());
        let written = output.write(batch.as_bytes());
        has_partial_line = written.is_err();
        if let Err(error) = written {
            lost_count.fetch_add(count, Ordering::Relaxed);
            log::warn!("{count} timeline entries not written: {error}");
        }
    }
}

/// Appends lines to a batch, `first` and then those that `receive` returns, and returns their number. A line that does
/// not fit is put into `next`.
fn fill_batch(
    batch: &mut String,
    first: String,
    next: &mut Option<String>,
    receive: impl FnMut() -> Option<String>,
) -> u64 {
    let mut count = 0;
    for line in std::iter::once(first).chain(std::iter::from_fn(receive)) {
        if count > 0 && batch.len() + line.len() >= WRITE_BYTES_MAX {
            *next = Some(line);
            break;
        }
        batch.push_str(&line);
        batch.push('\n');
        count += 1;
    }
    count
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::timeline::entry;

    fn origin() -> Origin {
        Origin { process: "entry-1".into(), instance: 1, zone: "canning".into() }
    }

    fn decision(version: u64) -> trace::Entry {
        trace::Entry { subject: Subject::Config(version), decision: "adopt", reason: String::new() }
    }

    /// Guards against unbounded memory use, and against missing or repeated entries after a sequence number.
    #[test]
    fn keeps_the_newest_entries_and_reads_on_from_a_sequence_number() {
        let writer = Writer::new(origin(), 3);
        for version in 1..=5 {
            writer.record(Instant(version), &decision(version));
        }
        let numbers = |entries: Vec<Entry>| entries.iter().map(|e| e.sequence).collect::<Vec<_>>();
        assert_eq!(numbers(writer.entries(0, None)), [3, 4, 5]);
        assert_eq!(numbers(writer.entries(4, None)), [5]);
        assert_eq!(numbers(writer.entries(0, Some("config:4"))), [4]);
    }

    /// Guards against entries lost at shutdown, and against an incomplete last line of an earlier run that makes the
    /// first entry of the next run unreadable.
    #[test]
    fn the_file_has_every_entry_after_drop() {
        let path = std::env::temp_dir().join(format!("nutmegfold-timeline-{}.jsonl", std::process::id()));
        fs::write(&path, "{\"torn").expect("temporary file");
        let writer = Writer::with_file(origin(), 2, &path).expect("temporary file");
        for version in 1..=100 {
            writer.record(Instant(version), &decision(version));
        }
        assert_eq!(writer.lost_count(), 0);
        drop(writer);
        let text = fs::read(&path).expect("temporary file");
        fs::remove_file(&path).expect("temporary file");
        let (entries, findings) = entry::read("t", text.as_slice());
        assert_eq!(entries.iter().map(|e| e.sequence).collect::<Vec<_>>(), (1..=100).collect::<Vec<_>>());
        assert_eq!(findings.len(), 1);
    }

    /// Guards against lines that are cut off in a long write, and against a line that is lost between two writes.
    #[test]
    fn long_batches_are_split_between_lines() {
        let lines: Vec<String> = (0..200).map(|number| format!("{number}").repeat(100)).collect();
        let mut rest = lines.clone().into_iter();
        let (mut written, mut count) = (String::new(), 0);
        let mut next = rest.next();
        while let Some(first) = next.take() {
            let mut batch = String::new();
            count += fill_batch(&mut batch, first, &mut next, || rest.next());
            assert!(batch.len() <= WRITE_BYTES_MAX, "{} bytes", batch.len());
            written += &batch;
        }
        assert_eq!(count, 200);
        assert_eq!(written.lines().collect::<Vec<_>>(), lines);
        let mut batch = String::new();
        fill_batch(&mut batch, "x".repeat(2 * WRITE_BYTES_MAX), &mut None, || None);
        assert_eq!(batch.len(), 2 * WRITE_BYTES_MAX + 1);
    }

    /// Guards against a full disk that is not reported or that stops the process.
    #[cfg(target_os = "linux")]
    #[test]
    fn entries_that_cannot_be_written_are_counted() {
        let writer = Writer::with_file(origin(), 2, "/dev/full").expect("device");
        let lost_count = Arc::clone(&writer.shared.sink.as_ref().expect("has a file").lost_count);
        for version in 1..=10 {
            writer.record(Instant(version), &decision(version));
        }
        drop(writer);
        assert_eq!(lost_count.load(Ordering::Relaxed), 10);
    }

    /// Guards against dropped entries that the log does not show, against a line for each of them, and against a decision
    /// that waits for the file.
    #[test]
    fn dropped_entries_are_reported_at_most_once_a_second() {
        let (sender, receiver) = mpsc::sync_channel(10);
        let sink = Sink { sender: Some(sender), thread: None, lost_count: Arc::default() };
        let writer = Writer::with_sink(origin(), 100, Some(sink));
        let read_reports =
            || receiver.try_iter().filter(|line| line.contains("entries-dropped")).collect::<Vec<_>>();
        let mut reports = Vec::new();
        // The queue has room for 10 of 100 entries, one a millisecond, until all of it is read.
        for number in 1..=2_000 {
            writer.record(Instant(number * 1_000), &decision(number));
            if number % 100 == 0 {
                reports.extend(read_reports());
            }
        }
        assert_eq!(reports.len(), 2, "{reports:#?}");
        // The rest is reported once there is room and a second has passed.
        writer.record(Instant(4_000_000), &decision(0));
        reports.extend(read_reports());
        let counts = reports.iter().map(|line| {
            let reason = serde_json::from_str::<Entry>(line).expect("JSON").reason;
            reason.split(' ').next().and_then(|count| count.parse::<u64>().ok()).expect("a count")
        });
        assert_eq!(counts.sum::<u64>(), writer.lost_count(), "{reports:#?}");
        assert_eq!(writer.lost_count(), 2_000 - 20 * 10 + 2);
    }
}
