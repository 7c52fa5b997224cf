//! Rate limit as a token bucket.

/// Tokens that fill at a constant rate, up to those of one second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    per_s: u64,
    /// Thousandths of a token.
    level: u64,
    filled_ms: u64,
}

impl Bucket {
    /// A full bucket.
    pub(super) fn new(per_s: u32) -> Self {
        let per_s = u64::from(per_s);
        Self { per_s, level: per_s * 1000, filled_ms: 0 }
    }

    /// Takes a token if there is one.
    pub(super) fn take(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.filled_ms).saturating_mul(self.per_s);
        self.level = self.level.saturating_add(gained).min(self.per_s * 1000);
        self.filled_ms = self.filled_ms.max(now_ms);
        let Some(level) = self.level.checked_sub(1000) else { return false };
        self.level = level;
        true
    }
}
