//! Connections to the store that go silent: when a watch counts as lost, and which calls are sent again.
//!
//! A silent connection shows only in calls without an answer. The port drops its pooled connections after such a call, and
//! `watch::handle_silence` sends the pending watches on older connections again; other calls end by their own timeout.

use std::time::Duration;

use super::tuning::Tuning;
use crate::core::time::Instant;

/// Most timeouts that count: with more of them the allowance would exceed the timeout of other calls.
const TIMEOUTS_MAX: u32 = 3;

/// Time beyond its wait after which a watch counts as lost. It doubles with each timeout, since the answers of a slow store
/// are late, up to the timeout of other calls.
pub fn allowance(timeouts: u32, tuning: &Tuning) -> Duration {
    (tuning.watch_allowance * (1 << timeouts.min(TIMEOUTS_MAX))).min(tuning.store_timeout)
}

/// Number of timeouts that count after an answer or a timeout of a watch.
pub fn count_timeouts(timeouts: u32, has_timed_out: bool) -> u32 {
    if has_timed_out { (timeouts + 1).min(TIMEOUTS_MAX) } else { timeouts.saturating_sub(1) }
}

/// Whether a lost call timed out. A connection that is closed or reset ends its call sooner, and shows nothing of the others.
pub fn is_timeout(elapsed: Duration, tuning: &Tuning) -> bool {
    elapsed >= tuning.watch_allowance
}

/// Wait of a watch, given when the watch of another range was sent. It is halved once if both end at about the same time:
/// the first of them that times out shows the silence of both, so their ends are spread over the wait.
pub fn wait(full: Duration, other_sent: Option<Instant>, now: Instant) -> Duration {
    let Some(other_sent) = other_sent else { return full };
    let offset = Duration::from_micros((now.since(other_sent).as_micros() % full.as_micros().max(1)) as u64);
    if offset < full / 4 || offset > full * 3 / 4 { full / 2 } else { full }
}

/// Age of the connections to the store.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// When the connections were last replaced.
    renewed_at: Instant,
}

impl State {
    /// Takes note of a call that timed out; returns whether the calls in flight are to be sent again. They are not if the
    /// connections have been replaced since the call was sent.
    pub fn note_timeout(&mut self, sent: Instant, now: Instant) -> bool {
        let is_news = sent >= self.renewed_at;
        if is_news {
            self.renewed_at = now;
        }
        is_news
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: u64 = 1_000;

    /// Guards against an allowance that stays long after the store is fast again, or grows without a bound.
    #[test]
    fn allowance_grows_and_shrinks() {
        let tuning = Tuning::default();
        let mut timeouts = 0;
        for _ in 0..10 {
            timeouts = count_timeouts(timeouts, true);
        }
        assert_eq!(allowance(timeouts, &tuning), tuning.store_timeout);
        for _ in 0..TIMEOUTS_MAX {
            timeouts = count_timeouts(timeouts, false);
        }
        assert_eq!(allowance(timeouts, &tuning), tuning.watch_allowance);
    }

    /// Guards against calls that are sent again for each of many calls that one silence has cost.
    #[test]
    fn a_silence_counts_once() {
        let mut state = State::default();
        assert!(state.note_timeout(Instant(100 * MS), Instant(400 * MS)));
        assert!(!state.note_timeout(Instant(300 * MS), Instant(600 * MS)));
        assert!(state.note_timeout(Instant(500 * MS), Instant(900 * MS)));
    }

    /// Guards against two watches that end at the same time, and against waits that are shortened again and again.
    #[test]
    fn ends_of_watches_are_spread() {
        let full = Duration::from_millis(2_000);
        let sent = Instant(5_000 * MS);
        assert_eq!(wait(full, Some(sent), sent), full / 2);
        assert_eq!(wait(full, Some(sent), sent + full), full / 2);
        assert_eq!(wait(full, Some(sent), sent + full / 2), full);
        assert_eq!(wait(full, None, sent), full);
    }
}
