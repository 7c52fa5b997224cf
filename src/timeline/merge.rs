//! Merges the entries of all processes into one order.
//!
//! Entries of one instance of a process are ordered by sequence number, entries of different instances by wall-clock
//! time. A wall clock can be set back, so the time of an entry is the latest wall-clock time of its instance up to it.

use std::collections::BTreeMap;

use super::entry::Entry;

/// Merges entries into one order; of several with the same process, instance and sequence number, the first is kept.
pub fn merge(entries: impl IntoIterator<Item = Entry>) -> Vec<Entry> {
    let mut streams: BTreeMap<(String, u64), BTreeMap<u64, Entry>> = BTreeMap::new();
    for entry in entries {
        let stream = streams.entry((entry.process.clone(), entry.instance)).or_default();
        stream.entry(entry.sequence).or_insert(entry);
    }
    let mut timed: Vec<(u64, Entry)> = streams.into_values().flat_map(assign_order_times).collect();
    // The sort is stable, so entries of one instance with equal times keep their order.
    timed.sort_by_key(|(time, _)| *time);
    timed.into_iter().map(|(_, entry)| entry).collect()
}

/// Entries whose subject matches `subject`, in the given order; all entries without a `subject`.
pub fn filter(entries: Vec<Entry>, subject: Option<&str>) -> Vec<Entry> {
    entries.into_iter().filter(|entry| subject.is_none_or(|subject| entry.matches_subject(subject))).collect()
}

/// Adds to each entry the latest wall-clock time, in microseconds, of the stream up to it.
fn assign_order_times(stream: BTreeMap<u64, Entry>) -> impl Iterator<Item = (u64, Entry)> {
    stream.into_values().scan(0, |latest, entry| {
        *latest = entry.wall_us.max(*latest);
        Some((*latest, entry))
    })
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use proptest::prelude::*;

    use super::*;

    fn entries() -> impl Strategy<Value = Vec<Entry>> {
        let entry =
            (0..3u8, 0..2u64, 1..20u64, 0..50u64).prop_map(|(process, instance, sequence, wall_us)| Entry {
                wall_us,
                mono_us: 0,
                process: format!("p{process}"),
                instance,
                zone: "z".into(),
                sequence,
                subject: "process".into(),
                decision: "d".into(),
                reason: String::new(),
            });
        prop::collection::vec(entry, 0..80)
    }

    fn key(entry: &Entry) -> (String, u64, u64) {
        (entry.process.clone(), entry.instance, entry.sequence)
    }

    proptest! {
        /// Guards against lost or duplicated entries, and against reordered entries of one process.
        #[test]
        fn keeps_each_order_and_loses_nothing(input in entries()) {
            let given: BTreeSet<_> = input.iter().map(key).collect();
            let merged = merge(input);
            prop_assert_eq!(merged.len(), given.len());
            prop_assert_eq!(&merged.iter().map(key).collect::<BTreeSet<_>>(), &given);
            let mut last: BTreeMap<(String, u64), u64> = BTreeMap::new();
            for entry in &merged {
                let before = last.insert((entry.process.clone(), entry.instance), entry.sequence);
                prop_assert!(before.is_none_or(|before| before < entry.sequence));
            }
        }

        /// Guards against a merged list that is ordered by process instead of by time.
        #[test]
        fn orders_by_wall_time_when_clocks_never_go_back(mut input in entries()) {
            for entry in &mut input {
                entry.wall_us = entry.sequence * 10 + entry.instance;
            }
            prop_assert!(merge(input).is_sorted_by_key(|entry| entry.wall_us));
        }
    }
}
