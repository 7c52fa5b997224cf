//! Token bucket that limits the rate of store calls.

/// Token bucket that refills at a constant rate, with a capacity of one second's tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens_per_s: u64,
    /// Available tokens, in thousandths.
    millitokens: u64,
    refilled_at_ms: u64,
}

impl Bucket {
    /// Creates a full bucket.
    pub(super) fn new(tokens_per_s: u32) -> Self {
        let tokens_per_s = u64::from(tokens_per_s);
        Self { tokens_per_s, millitokens: tokens_per_s * 1000, refilled_at_ms: 0 }
    }

    /// Takes a token; false if none is available.
    pub(super) fn try_take(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.refilled_at_ms).saturating_mul(self.tokens_per_s);
        self.millitokens = self.millitokens.saturating_add(gained).min(self.tokens_per_s * 1000);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let Some(millitokens) = self.millitokens.checked_sub(1000) else { return false };
        self.millitokens = millitokens;
        true
    }
}
