//! Rate limit as a token bucket.

/// Tokens that fill at a constant rate, up to those of one second.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bucket {
    tokens_per_s: u64,
    /// Thousandths of a token.
    millitokens: u64,
    refilled_at_ms: u64,
}

impl Bucket {
    /// A full bucket.
    pub(super) fn new(tokens_per_s: u32) -> Self {
        let tokens_per_s = u64::from(tokens_per_s);
        Self { tokens_per_s, millitokens: tokens_per_s * 1000, refilled_at_ms: 0 }
    }

    /// Takes a token if there is one.
    pub(super) fn try_take(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.refilled_at_ms).saturating_mul(self.tokens_per_s);
        self.millitokens = self.millitokens.saturating_add(gained).min(self.tokens_per_s * 1000);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let Some(millitokens) = self.millitokens.checked_sub(1000) else { return false };
        self.millitokens = millitokens;
        true
    }
}
