//! Merges the entries of all processes into one ordered view.
//!
//! Within an instance of a process, the order is that of the sequence numbers. Between processes it is that of the wall
//! time. A wall clock can be set back, so an entry is placed at the latest wall time that its process has shown so far.

use std::collections::BTreeMap;

use super::entry::Entry;

/// All entries in one order, without duplicates of (process, instance, sequence).
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

/// Entries about `subject`, in their order.
pub fn filter(entries: Vec<Entry>, subject: Option<&str>) -> Vec<Entry> {
    entries.into_iter().filter(|entry| subject.is_none_or(|subject| entry.matches_subject(subject))).collect()
}

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
        /// Guards against lost or doubled entries and against a process whose entries are reordered.
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

        /// Guards against processes that are listed one after the other instead of by time.
        #[test]
        fn orders_by_wall_time_when_clocks_never_go_back(mut input in entries()) {
            for entry in &mut input {
                entry.wall_us = entry.sequence * 10 + entry.instance;
            }
            prop_assert!(merge(input).is_sorted_by_key(|entry| entry.wall_us));
        }
    }
}
