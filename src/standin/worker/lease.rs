//! Arbiter of a worker's control lease.
//!
//! See "Cells, ownership and fencing" in the design page. Times are in the worker's clock.

use crate::core::control::{Call, Status};
use crate::core::{cell, member};
use crate::hash::Map;

/// Who holds a lease, and on whose behalf.
pub type Holder = (member::Id, cell::Id);

/// The control lease.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    epoch: u64,
    holder: Option<Holder>,
    is_caretaker: bool,
    expires_at_ms: u64,
    /// Last sequence number of each holder under this epoch. A former holder's number is kept, so that its delayed calls
    /// stay refused after it gave the lease up.
    last_sequences: Map<Holder, u64>,
}

impl Lease {
    /// Judges a call at `now_ms`, and changes the lease if it is granted.
    ///
    /// A call whose `until_ms` has passed comes too late to be executed under the lease it asks for. It is answered like
    /// an inquiry, since it changes nothing and its sender has to look at the clock again.
    pub fn claim(&mut self, call: &Call, now_ms: u64) -> Status {
        let status = self.evaluate(call, now_ms);
        if status == Status::Granted {
            self.grant(call, now_ms);
        }
        status
    }

    fn evaluate(&self, call: &Call, now_ms: u64) -> Status {
        let holder = (call.holder, call.cell);
        if call.until_ms == 0 {
            return Status::Inquiry;
        }
        if call.epoch < self.epoch {
            return Status::Stale;
        }
        if call.epoch == self.epoch {
            if self.holder(now_ms).is_some_and(|current| current != holder) {
                return Status::Held;
            }
            if self.last_sequences.get(&holder).is_some_and(|last| call.sequence <= *last) {
                return Status::Repeated;
            }
        }
        if call.until_ms <= now_ms { Status::Inquiry } else { Status::Granted }
    }

    fn grant(&mut self, call: &Call, now_ms: u64) {
        let holder = (call.holder, call.cell);
        if call.epoch > self.epoch {
            self.last_sequences.clear();
        }
        let is_renewal = call.epoch == self.epoch && self.holder(now_ms) == Some(holder);
        self.expires_at_ms = if is_renewal { self.expires_at_ms.max(call.until_ms) } else { call.until_ms };
        self.epoch = call.epoch;
        self.holder = Some(holder);
        self.is_caretaker = call.caretaker;
        self.last_sequences.insert(holder, call.sequence);
    }

    /// Gives the lease up. Batch tasks keep running until it would have ended, so that a successor can renew them.
    pub fn release(&mut self) {
        self.holder = None;
    }

    /// Holder of a lease that did not lapse.
    pub fn holder(&self, now_ms: u64) -> Option<Holder> {
        self.holder.filter(|_| self.expires_at_ms > now_ms)
    }

    /// End of the current lease; 0 when there is none.
    pub fn expiry_ms(&self, now_ms: u64) -> u64 {
        self.holder(now_ms).map_or(0, |_| self.expires_at_ms)
    }

    /// Highest epoch granted.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Last sequence number of `holder` under the current epoch.
    pub fn last_sequence(&self, holder: Holder) -> u64 {
        self.last_sequences.get(&holder).copied().unwrap_or(0)
    }

    /// When batch tasks have to stop; a released lease keeps them until it would have ended.
    pub fn batch_deadline_ms(&self) -> u64 {
        self.expires_at_ms
    }

    /// Whether the current holder is a caretaker.
    pub fn is_caretaker(&self) -> bool {
        self.is_caretaker
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::declare::zone;

    fn call(holder: u64, epoch: u64, sequence: u64, until_ms: u64) -> Call {
        Call {
            holder: member::Id(holder),
            cell: cell::Id { zone: zone::Id(1), index: 0 },
            epoch,
            instance: 0,
            caretaker: false,
            sequence,
            until_ms,
            release: false,
            wait_ms: 0,
            acknowledge: vec![],
            commands: vec![],
        }
    }

    /// Guards against two holders at once, each of which could give the worker's last slot away.
    #[test]
    fn one_holder_at_a_time() {
        let mut lease = Lease::default();
        assert_eq!(lease.claim(&call(1, 1, 1, 100), 0), Status::Granted);
        assert_eq!(lease.claim(&call(2, 1, 1, 100), 50), Status::Held);
        assert_eq!(lease.claim(&call(2, 1, 1, 200), 100), Status::Granted);
        assert_eq!(lease.claim(&call(1, 1, 2, 200), 150), Status::Held);
        assert_eq!(lease.claim(&call(3, 2, 1, 200), 150), Status::Granted);
        assert_eq!(lease.claim(&call(2, 1, 2, 300), 160), Status::Stale);
        assert_eq!(lease.claim(&call(2, 1, 2, 300), 400), Status::Stale);
    }

    /// Guards against commands executed again, or out of order, when calls overtake each other.
    #[test]
    fn sequence_rises() {
        let mut lease = Lease::default();
        assert_eq!(lease.claim(&call(1, 1, 5, 100), 0), Status::Granted);
        assert_eq!(lease.claim(&call(1, 1, 5, 100), 1), Status::Repeated);
        assert_eq!(lease.claim(&call(1, 1, 4, 100), 1), Status::Repeated);
        lease.release();
        assert_eq!(lease.claim(&call(2, 1, 1, 100), 2), Status::Granted);
        lease.release();
        assert_eq!(lease.claim(&call(1, 1, 4, 100), 3), Status::Repeated);
        assert_eq!(lease.claim(&call(1, 1, 6, 100), 3), Status::Granted);
        assert_eq!(lease.claim(&call(1, 2, 1, 100), 4), Status::Granted);
    }

    /// Guards against a renewal that was delayed on its way and extends the lease past its sender's belief.
    #[test]
    fn late_renewal_extends_nothing() {
        let mut lease = Lease::default();
        assert_eq!(lease.claim(&call(1, 1, 1, 100), 0), Status::Granted);
        assert_eq!(lease.claim(&call(1, 1, 2, 90), 50), Status::Granted);
        assert_eq!(lease.expiry_ms(50), 100);
        assert_eq!(lease.claim(&call(1, 1, 3, 120), 130), Status::Inquiry);
        assert_eq!(lease.holder(130), None);
        assert_eq!(lease.claim(&call(2, 9, 1, 0), 130), Status::Inquiry);
        assert_eq!(lease.epoch(), 1);
    }

    /// Guards against batch tasks that are stopped while a caretaker renews them in a long outage of the store.
    #[test]
    fn caretakers_keep_batch_tasks() {
        let mut lease = Lease::default();
        let caretaker = |sequence, until_ms| Call { caretaker: true, ..call(1, 1, sequence, until_ms) };
        assert_eq!(lease.claim(&call(1, 1, 1, 100), 0), Status::Granted);
        assert_eq!(lease.claim(&caretaker(2, 70_000), 50), Status::Granted);
        assert_eq!(lease.claim(&caretaker(3, 140_000), 69_000), Status::Granted);
        assert_eq!(lease.batch_deadline_ms(), 140_000);
    }
}
