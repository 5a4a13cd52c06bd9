//! The retry budget of forwarded calls: retries are limited to a share of the calls, so that they don't multiply the
//! load on overloaded nodes.

use crate::sans_io::Now;

/// Budget earned by each first attempt, in thousandths of a retry.
const BUDGET_PER_CALL: u64 = 100;
/// Budget earned per millisecond, in thousandths of a retry: one retry per second even when there are few calls.
const BUDGET_PER_MS: u64 = 1;
/// Cost of a retry, in the unit of the budget, which is a thousandth of a retry.
const RETRY_COST: u64 = 1000;
/// Maximum accumulated budget, in thousandths of a retry.
const MAX_BUDGET: u64 = 10 * RETRY_COST;

/// A token bucket for retries.
pub(super) struct RetryBudget {
    /// The available budget, in thousandths of a retry.
    available: u64,
    /// Time of the last update of the budget, in monotonic milliseconds.
    updated_at: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            available: MAX_BUDGET,
            updated_at: 0,
        }
    }
}

impl RetryBudget {
    /// Charges a retry to the budget; returns whether the attempt may be made. First attempts are always allowed and
    /// add to the budget.
    pub fn try_charge(&mut self, now: Now, is_first: bool) -> bool {
        let elapsed_ms = now.mono.saturating_sub(self.updated_at);
        self.updated_at = now.mono;
        self.add(elapsed_ms.saturating_mul(BUDGET_PER_MS));
        if is_first {
            self.add(BUDGET_PER_CALL);
            return true;
        }
        let is_allowed = self.available >= RETRY_COST;
        if is_allowed {
            self.available -= RETRY_COST;
        }
        is_allowed
    }

    fn add(&mut self, thousandths: u64) {
        self.available = self.available.saturating_add(thousandths).min(MAX_BUDGET);
    }
}
