//! Control lease of a worker, which the worker itself grants.
//!
//! A claim needs an epoch that is not lower than the highest one granted, and a sequence number that is higher than the
//! holder's last one. See "Cells, ownership and fencing" in the design page. Times are in milliseconds of the worker's
//! clock.

use crate::core::control::{Call, Status};
use crate::core::{cell, member};
use crate::hash::Map;

/// Member that holds a lease, and the cell that it acts for.
pub type Holder = (member::Id, cell::Id);

/// State of the control lease.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    epoch: u64,
    holder: Option<Holder>,
    is_caretaker: bool,
    expires_at_ms: u64,
    /// Last sequence number of each holder under this epoch. The number of a former holder is kept, so that its delayed
    /// calls are refused after it has released the lease.
    last_sequences: Map<Holder, u64>,
}

impl Lease {
    /// Decides on a call at `now_ms`, and grants or renews the lease if the claim is valid.
    ///
    /// A call whose `until_ms` has passed is too late to be executed under the lease that it requests. It is answered
    /// as an inquiry: it changes nothing, and the reply gives the sender a new reading of the worker's clock.
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

    /// Releases the lease. Batch tasks keep running until its expiry time, so that the next holder can take them over.
    pub fn release(&mut self) {
        self.holder = None;
    }

    /// Current holder; `None` if the lease is released or expired.
    pub fn holder(&self, now_ms: u64) -> Option<Holder> {
        self.holder.filter(|_| self.expires_at_ms > now_ms)
    }

    /// Expiry time of the current lease; 0 if nobody holds it.
    pub fn expiry_ms(&self, now_ms: u64) -> u64 {
        self.holder(now_ms).map_or(0, |_| self.expires_at_ms)
    }

    /// Highest epoch under which the lease was granted; 0 if it never was.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Last sequence number of `holder` under the current epoch; 0 if there is none.
    pub fn last_sequence(&self, holder: Holder) -> u64 {
        self.last_sequences.get(&holder).copied().unwrap_or(0)
    }

    /// Time at which batch tasks must stop: the expiry time of the last grant, also after a release.
    pub fn batch_deadline_ms(&self) -> u64 {
        self.expires_at_ms
    }

    /// Whether the lease was last granted to a caretaker.
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

    /// Guards against two holders at the same time, which could both assign the worker's last free slot.
    #[test]
    fn only_one_member_holds_the_lease() {
        let mut lease = Lease::default();
        assert_eq!(lease.claim(&call(1, 1, 1, 100), 0), Status::Granted);
        assert_eq!(lease.claim(&call(2, 1, 1, 100), 50), Status::Held);
        assert_eq!(lease.claim(&call(2, 1, 1, 200), 100), Status::Granted);
        assert_eq!(lease.claim(&call(1, 1, 2, 200), 150), Status::Held);
        assert_eq!(lease.claim(&call(3, 2, 1, 200), 150), Status::Granted);
        assert_eq!(lease.claim(&call(2, 1, 2, 300), 160), Status::Stale);
        assert_eq!(lease.claim(&call(2, 1, 2, 300), 400), Status::Stale);
    }

    /// Guards against commands that are executed twice or out of order because calls are delayed or reordered.
    #[test]
    fn sequence_numbers_must_increase() {
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

    /// Guards against a delayed renewal that shortens the lease, or that restores it after its sender considers it
    /// expired.
    #[test]
    fn late_renewal_does_not_change_the_lease() {
        let mut lease = Lease::default();
        assert_eq!(lease.claim(&call(1, 1, 1, 100), 0), Status::Granted);
        assert_eq!(lease.claim(&call(1, 1, 2, 90), 50), Status::Granted);
        assert_eq!(lease.expiry_ms(50), 100);
        assert_eq!(lease.claim(&call(1, 1, 3, 120), 130), Status::Inquiry);
        assert_eq!(lease.holder(130), None);
        assert_eq!(lease.claim(&call(2, 9, 1, 0), 130), Status::Inquiry);
        assert_eq!(lease.epoch(), 1);
    }

    /// Guards against batch tasks that stop in a long outage of the store although a caretaker renews the lease.
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
