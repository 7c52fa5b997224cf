//! Stand-in of the platform's key-value store.
//!
//! [`Store`] is the reducer, and [`http`] serves it over HTTP. Times are in milliseconds since the start of the
//! stand-in.

pub mod bucket;
pub mod http;

use serde::{Deserialize, Serialize};

use crate::hash::Map;
use bucket::Bucket;

/// Maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Rate limits of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of writes, deletes, lease grants and lease renewals per second.
    pub writes_per_s: u32,
    /// Maximum number of reads and watches per second.
    pub reads_per_s: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { writes_per_s: 400, reads_per_s: 2000 }
    }
}

/// Faults that can be injected while the store runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Whether every call is answered with status 503.
    pub outage: bool,
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes and deletes whose answer is lost after they take effect.
    pub lose_answers: u32,
    /// Whether reads return the value before the last write.
    pub stale_reads: bool,
}

/// Number of calls by kind and result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads that were executed.
    pub reads: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes refused because the key had another revision.
    pub conflicts: u64,
    /// Deletes that were executed.
    pub deletes: u64,
    /// Watches, each counted once however often it checks the key.
    pub watches: u64,
    /// Lease grants and lease renewals.
    pub leases: u64,
    /// Calls refused by a rate limit.
    pub over_rate: u64,
    /// Calls refused during an outage.
    pub in_outage: u64,
    /// Writes and deletes whose answer was lost.
    pub answers_lost: u64,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read a key if its revision is higher than `newer_than`.
    Get {
        /// Key to read.
        key: String,
        /// Revision that the caller already knows; 0 for none.
        newer_than: u64,
    },
    /// Write a key.
    Put {
        /// Key to write.
        key: String,
        /// Revision that the key must have, 0 if it must not exist; `None` to write unconditionally.
        expect: Option<u64>,
        /// Lease whose expiry deletes the key; `None` if the key does not expire.
        lease: Option<u64>,
        /// Value to store.
        value: Vec<u8>,
    },
    /// Remove a key.
    Delete {
        /// Key to remove.
        key: String,
    },
    /// Check whether the revision of a key is higher than `newer_than`, as one of the checks of a watch.
    Watch {
        /// Key to watch.
        key: String,
        /// Revision that the caller already knows; 0 for none.
        newer_than: u64,
        /// Whether this is the first check of the watch. Only the first is counted and takes a token of the rate limit.
        is_first: bool,
    },
    /// Grant a lease.
    GrantLease {
        /// Duration of the lease in milliseconds.
        ttl_ms: u64,
    },
    /// Extend a lease by its full duration from now.
    RenewLease {
        /// Identity of the lease.
        lease: u64,
    },
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The value of a key.
    Value {
        /// Revision of the key.
        revision: u64,
        /// Stored value.
        value: Vec<u8>,
    },
    /// The revision of the key is not higher than the known one.
    Unchanged,
    /// The key or lease does not exist.
    Missing,
    /// The write took effect.
    Written {
        /// New revision of the key.
        revision: u64,
    },
    /// The key has another revision.
    Conflict {
        /// Current revision of the key; 0 if it does not exist.
        revision: u64,
    },
    /// The key is deleted.
    Deleted,
    /// The lease is granted or renewed.
    Lease {
        /// Identity of the lease.
        lease: u64,
    },
    /// The value is larger than [`MAX_VALUE_BYTES`].
    TooLarge,
    /// The rate limit is exceeded; nothing was executed.
    OverRate,
    /// The store is unavailable; nothing was executed.
    Outage,
    /// The write or delete took effect, but the caller gets no answer.
    Lost,
}

#[derive(Debug, Clone)]
struct Entry {
    revision: u64,
    value: Vec<u8>,
    lease: Option<u64>,
    /// Revision and value before the last write, for stale reads.
    previous: Option<(u64, Vec<u8>)>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_ms: u64,
    expires_at_ms: u64,
}

/// State of the store: keys, leases and rate limits.
#[derive(Debug, Clone)]
pub struct Store {
    entries: Map<String, Entry>,
    leases: Map<u64, Lease>,
    revision: u64,
    reads: Bucket,
    writes: Bucket,
    /// Injected faults.
    pub faults: Faults,
    counts: Counts,
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            entries: Map::default(),
            leases: Map::default(),
            revision: 0,
            reads: Bucket::new(limits.reads_per_s),
            writes: Bucket::new(limits.writes_per_s),
            faults: Faults::default(),
            counts: Counts::default(),
        }
    }

    /// Number of calls since the start, by kind.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Changes a stored value in place without a new revision, as a storage fault does; false if there is no such key.
    pub fn corrupt(&mut self, key: impl AsRef<str>, change: impl FnOnce(&mut Vec<u8>)) -> bool {
        let Some(entry) = self.entries.get_mut(key.as_ref()) else { return false };
        change(&mut entry.value);
        true
    }

    /// Keys in lexical order.
    pub fn keys(&self) -> Vec<String> {
        let mut keys: Vec<String> = self.entries.keys().cloned().collect();
        keys.sort_unstable();
        keys
    }

    /// Executes one call at time `now_ms`.
    pub fn call(&mut self, call: Call, now_ms: u64) -> Answer {
        if self.faults.outage {
            self.counts.in_outage += 1;
            return Answer::Outage;
        }
        if !self.try_take_token(&call, now_ms) {
            self.counts.over_rate += 1;
            return Answer::OverRate;
        }
        self.expire_leases(now_ms);
        match call {
            Call::Get { key, newer_than } => {
                self.counts.reads += 1;
                self.read(&key, newer_than)
            }
            Call::Put { key, expect, lease, value } => {
                let answer = self.put(key, expect, lease, value);
                self.lose_if_configured(answer)
            }
            Call::Delete { key } => {
                self.counts.deletes += 1;
                let removed = self.entries.remove(&key);
                self.lose_if_configured(if removed.is_some() { Answer::Deleted } else { Answer::Missing })
            }
            Call::Watch { key, newer_than, is_first } => {
                self.counts.watches += u64::from(is_first);
                self.read(&key, newer_than)
            }
            Call::GrantLease { ttl_ms } => {
                self.counts.leases += 1;
                self.revision += 1;
                self.leases.insert(self.revision, Lease { ttl_ms, expires_at_ms: now_ms + ttl_ms });
                Answer::Lease { lease: self.revision }
            }
            Call::RenewLease { lease } => {
                self.counts.leases += 1;
                let Some(granted) = self.leases.get_mut(&lease) else { return Answer::Missing };
                granted.expires_at_ms = now_ms + granted.ttl_ms;
                Answer::Lease { lease }
            }
        }
    }

    fn try_take_token(&mut self, call: &Call, now_ms: u64) -> bool {
        match call {
            Call::Watch { is_first: false, .. } => true,
            Call::Get { .. } | Call::Watch { .. } => self.reads.try_take(now_ms),
            Call::Put { .. } | Call::Delete { .. } | Call::GrantLease { .. } | Call::RenewLease { .. } => {
                self.writes.try_take(now_ms)
            }
        }
    }

    fn read(&self, key: &str, newer_than: u64) -> Answer {
        let Some(entry) = self.entries.get(key) else { return Answer::Missing };
        let (revision, value) = match &entry.previous {
            _ if !self.faults.stale_reads => (entry.revision, &entry.value),
            Some((revision, value)) => (*revision, value),
            None => return Answer::Missing,
        };
        if revision <= newer_than {
            return Answer::Unchanged;
        }
        Answer::Value { revision, value: value.clone() }
    }

    fn put(&mut self, key: String, expect: Option<u64>, lease: Option<u64>, value: Vec<u8>) -> Answer {
        if value.len() > MAX_VALUE_BYTES {
            return Answer::TooLarge;
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Answer::Missing;
        }
        let revision = self.entries.get(&key).map_or(0, |entry| entry.revision);
        if expect.is_some_and(|expect| expect != revision) {
            self.counts.conflicts += 1;
            return Answer::Conflict { revision };
        }
        self.counts.writes += 1;
        self.revision += 1;
        let previous = self.entries.remove(&key).map(|entry| (entry.revision, entry.value));
        self.entries.insert(key, Entry { revision: self.revision, value, lease, previous });
        Answer::Written { revision: self.revision }
    }

    fn lose_if_configured(&mut self, answer: Answer) -> Answer {
        let took_effect = matches!(answer, Answer::Written { .. } | Answer::Deleted);
        if !took_effect || self.faults.lose_answers == 0 {
            return answer;
        }
        self.faults.lose_answers -= 1;
        self.counts.answers_lost += 1;
        Answer::Lost
    }

    fn expire_leases(&mut self, now_ms: u64) {
        let count = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at_ms > now_ms);
        if self.leases.len() < count {
            let leases = &self.leases;
            self.entries.retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn put(store: &mut Store, expect: Option<u64>, value: &[u8]) -> Answer {
        store.call(Call::Put { key: "k".into(), expect, lease: None, value: value.to_vec() }, 0)
    }

    fn get(store: &mut Store, now_ms: u64) -> Answer {
        store.call(Call::Get { key: "k".into(), newer_than: 0 }, now_ms)
    }

    /// Guards against two concurrent writers whose writes both succeed.
    #[test]
    fn compare_and_swap_accepts_one_of_two_writers() {
        let mut store = Store::new(Limits::default());
        assert_eq!(put(&mut store, Some(0), b"a"), Answer::Written { revision: 1 });
        assert_eq!(put(&mut store, Some(0), b"b"), Answer::Conflict { revision: 1 });
        assert_eq!(put(&mut store, Some(1), b"c"), Answer::Written { revision: 2 });
        store.faults.stale_reads = true;
        assert_eq!(get(&mut store, 0), Answer::Value { revision: 1, value: b"a".to_vec() });
    }

    /// Guards against an injected answer loss whose write does not take effect, or takes effect twice.
    #[test]
    fn write_takes_effect_although_its_answer_is_lost() {
        let mut store = Store::new(Limits::default());
        store.faults.lose_answers = 1;
        assert_eq!(put(&mut store, Some(0), b"a"), Answer::Lost);
        assert_eq!(put(&mut store, Some(0), b"a"), Answer::Conflict { revision: 1 });
        assert_eq!(get(&mut store, 0), Answer::Value { revision: 1, value: b"a".to_vec() });
    }

    /// Guards against a stand-in that accepts calls which the platform's store refuses.
    #[test]
    fn calls_over_a_limit_or_in_an_outage_are_refused() {
        let mut store = Store::new(Limits { writes_per_s: 2, reads_per_s: 1 });
        assert_eq!(put(&mut store, None, &vec![0; MAX_VALUE_BYTES + 1]), Answer::TooLarge);
        assert_eq!(put(&mut store, None, b"a"), Answer::Written { revision: 1 });
        assert_eq!(put(&mut store, None, b"b"), Answer::OverRate);
        assert!(matches!(get(&mut store, 0), Answer::Value { .. }));
        assert_eq!(get(&mut store, 500), Answer::OverRate);
        assert!(matches!(get(&mut store, 1000), Answer::Value { .. }));
        store.faults.outage = true;
        assert_eq!(get(&mut store, 5000), Answer::Outage);
    }

    /// Guards against keys that remain after the expiry of their lease.
    #[test]
    fn keys_expire_with_their_lease() {
        let mut store = Store::new(Limits::default());
        let Answer::Lease { lease } = store.call(Call::GrantLease { ttl_ms: 100 }, 0) else {
            panic!("no lease")
        };
        let call = Call::Put { key: "k".into(), expect: None, lease: Some(lease), value: vec![1] };
        assert!(matches!(store.call(call, 0), Answer::Written { .. }));
        assert_eq!(store.call(Call::RenewLease { lease }, 90), Answer::Lease { lease });
        assert!(matches!(get(&mut store, 189), Answer::Value { .. }));
        assert_eq!(get(&mut store, 190), Answer::Missing);
        assert_eq!(store.call(Call::RenewLease { lease }, 190), Answer::Missing);
    }
}
