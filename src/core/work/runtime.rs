//! Run times of tasks, learned from completed runs.
//!
//! Callers' estimates can be far off. For each queue, a histogram holds the ratio of the actual run time to the estimate.
//! A new leader begins without samples, and takes the estimates as they are until it has seen enough runs.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::symbol;
use crate::hash::Map;

/// Samples of a queue below which its estimates are taken as they are.
const SAMPLES_MIN: u64 = 30;

/// Samples after which a new histogram begins; the one before it is read until the new one has [`SAMPLES_MIN`] samples.
const SAMPLES_PER_HISTOGRAM: u64 = 1_000;

/// Most queues with histograms, which bounds the memory to about 4 MB.
const QUEUES_MAX: usize = 1_000;

/// Ratios are counted in thousandths, up to 100 times the estimate.
const RATIO_UNIT: f64 = 1_000.0;
const RATIO_MAX: u64 = 100_000;

/// Precision of the histograms in significant digits.
const DIGITS: u8 = 1;

/// Ratios of actual run times to their estimates, by queue.
#[derive(Debug, Clone, Default)]
pub struct Table {
    queues: Map<symbol::Key, Ratios>,
}

/// Ratios of one queue: the newest samples, and the full histogram before them.
#[derive(Debug, Clone)]
struct Ratios {
    newest: Histogram<u32>,
    before: Option<Histogram<u32>>,
}

impl Ratios {
    fn new() -> Option<Self> {
        let newest = Histogram::new_with_bounds(1, RATIO_MAX, DIGITS).ok()?;
        Some(Self { newest, before: None })
    }

    fn record(&mut self, ratio: u64) {
        if self.newest.len() >= SAMPLES_PER_HISTOGRAM {
            let empty = Histogram::new_from(&self.newest);
            self.before = Some(std::mem::replace(&mut self.newest, empty));
        }
        self.newest.saturating_record(ratio);
    }

    /// Ratio that a share of the runs does not exceed; `None` with too few samples.
    fn quantile(&self, share: f64) -> Option<f64> {
        let is_sufficient = |ratios: &&Histogram<u32>| ratios.len() >= SAMPLES_MIN;
        let ratios = Some(&self.newest).filter(is_sufficient).or(self.before.as_ref())?;
        Some(ratios.value_at_quantile(share) as f64 / RATIO_UNIT)
    }
}

impl Table {
    /// Records the run time of a completed run at full pace that did not resume from a checkpoint.
    pub fn record(&mut self, queue: symbol::Key, estimate: Duration, actual: Duration) {
        if estimate.is_zero() {
            return;
        }
        if !self.queues.contains_key(&queue) {
            let Some(ratios) = Ratios::new().filter(|_| self.queues.len() < QUEUES_MAX) else { return };
            self.queues.insert(queue, ratios);
        }
        let ratio = (actual.as_secs_f64() / estimate.as_secs_f64() * RATIO_UNIT) as u64;
        if let Some(ratios) = self.queues.get_mut(&queue) {
            ratios.record(ratio.max(1));
        }
    }

    /// Run time that a share of the tasks with this estimate does not exceed; the estimate with too few samples.
    pub fn expected(&self, queue: symbol::Key, estimate: Duration, share: f64) -> Duration {
        let ratio = self.queues.get(&queue).and_then(|ratios| ratios.quantile(share));
        ratio.map_or(estimate, |ratio| estimate.mul_f64(ratio))
    }

    /// Whether enough runs of a queue are known for [`Self::expected`] to differ from the estimate.
    pub fn is_known(&self, queue: symbol::Key) -> bool {
        self.queues.get(&queue).is_some_and(|ratios| ratios.quantile(0.5).is_some())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ESTIMATE: Duration = Duration::from_secs(1);

    fn queue() -> symbol::Key {
        symbol::Key::of("tests")
    }

    /// Guards against a few unusual runs that replace the estimates.
    #[test]
    fn estimates_hold_until_enough_runs_are_known() {
        let mut table = Table::default();
        for _ in 1..SAMPLES_MIN {
            table.record(queue(), ESTIMATE, ESTIMATE * 5);
        }
        assert_eq!(table.expected(queue(), ESTIMATE, 0.5), ESTIMATE);
        table.record(queue(), ESTIMATE, ESTIMATE * 5);
        assert!(table.expected(queue(), ESTIMATE, 0.5) > ESTIMATE * 4);
    }

    /// Guards against a tail that is taken for the usual run time, and against a usual run time that hides the tail.
    #[test]
    fn quantiles_tell_the_tail_from_the_usual_run_time() {
        let mut table = Table::default();
        for run in 0..1_000 {
            let factor = if run % 30 == 0 { 7 } else { 2 };
            table.record(queue(), ESTIMATE, ESTIMATE * factor);
        }
        let [usual, tail] = [0.5, 0.99].map(|share| table.expected(queue(), ESTIMATE, share).as_secs_f64());
        assert!((1.8..2.3).contains(&usual), "{usual}");
        assert!((6.5..7.6).contains(&tail), "{tail}");
    }

    /// Guards against run times of long ago that outweigh those of today.
    #[test]
    fn old_run_times_are_replaced() {
        let mut table = Table::default();
        for run in 0..3 * SAMPLES_PER_HISTOGRAM {
            let factor = if run < SAMPLES_PER_HISTOGRAM { 5 } else { 1 };
            table.record(queue(), ESTIMATE, ESTIMATE * factor);
        }
        assert!(table.expected(queue(), ESTIMATE, 0.99) < ESTIMATE * 2);
    }

    /// Guards against memory that grows with the number of queues.
    #[test]
    fn memory_is_bounded() {
        let mut table = Table::default();
        for number in 0..2 * QUEUES_MAX {
            table.record(symbol::Key::of(&format!("queue-{number}")), ESTIMATE, ESTIMATE);
        }
        assert_eq!(table.queues.len(), QUEUES_MAX);
    }
}
