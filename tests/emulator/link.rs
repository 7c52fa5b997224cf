//! Emulated link between two regions, which all transfers to the entry VMs behind it share equally.

use std::time::Duration;

use nutmegfold::core::time::Instant;
use nutmegfold::core::work::store::Call;
use nutmegfold::hash::Set;

/// A transfer in progress.
#[derive(Debug)]
struct Transfer {
    vm: usize,
    call: Call,
    remaining_bytes: f64,
}

/// The link and its transfers.
#[derive(Debug, Default)]
pub struct Link {
    /// Entry VMs behind the link; the store and all others are on its other side.
    pub vms: Set<usize>,
    /// One-way delay of the link, in addition to that of any message.
    pub delay: Duration,
    /// Bytes of the transfers so far.
    pub bytes: usize,
    /// Capacity in bytes per second.
    pub bytes_per_s: f64,
    transfers: Vec<Transfer>,
    advanced_at: Instant,
}

impl Link {
    /// Starts the transfer of an answer.
    pub fn start(&mut self, vm: usize, call: Call, bytes: usize, now: Instant) {
        self.advance(now);
        self.bytes += bytes;
        self.transfers.push(Transfer { vm, call, remaining_bytes: bytes as f64 });
    }

    /// Whether a transfer is complete; a complete one is removed.
    pub fn finish(&mut self, vm: usize, call: Call, now: Instant) -> bool {
        self.advance(now);
        let count = self.transfers.len();
        self.transfers
            .retain(|transfer| (transfer.vm, transfer.call) != (vm, call) || transfer.remaining_bytes > 0.0);
        self.transfers.len() < count
    }

    fn advance(&mut self, now: Instant) {
        let elapsed: Duration = now.since(self.advanced_at);
        self.advanced_at = now;
        let active = self.transfers.iter().filter(|transfer| transfer.remaining_bytes > 0.0).count();
        let share = self.bytes_per_s * elapsed.as_secs_f64() / active.max(1) as f64;
        for transfer in &mut self.transfers {
            transfer.remaining_bytes -= share;
        }
    }
}
