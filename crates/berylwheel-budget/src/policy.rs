//! Policy parameters of a holder.

use berylwheel_types::Millis;
use berylwheel_types::Share;

/// Parameters for grant sizes, write intervals and timeouts of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderPolicy {
    /// Number of ledger pages.
    pub pages: u32,
    /// Time for which a grant should last at the current rate of spend.
    pub horizon: Millis,
    /// Share of the unspent budget that all holders together may hold.
    pub share: Share,
    /// Minimum grant, as a part of the holder's share. Without it, a holder that has seen few
    /// requests has a low rate estimate and runs out of tokens as soon as the store goes down.
    pub min_grant: Share,
    /// Margin of a grant above the expected spend, as a multiple of the largest recent reservation.
    pub margin: u64,
    /// Averaging window of the rate of spend. Small budgets get a request only every few minutes,
    /// and with a shorter window their estimate would often be near zero.
    pub rate_window: Millis,
    /// Minimum age that is assumed for a new rate estimate.
    pub min_window: Millis,
    /// Minimum interval between settlements of a page without urgent need.
    pub settle_min: Millis,
    /// Maximum interval between settlements, to which the write and byte rates can stretch it.
    pub settle_max: Millis,
    /// Page writes per second for the settlements of all routers together.
    pub write_rate: u32,
    /// Bytes per second that the settlements of this router may read and write.
    pub byte_rate: u32,
    /// Minimum interval between two urgent reads of a page.
    pub urgent_interval: Millis,
    /// Lock time: the time after a write in which a holder spends at most the open tokens of its
    /// row. Zero disables the limit.
    pub lock_time: Millis,
    /// Share of the unspent budget that is open, in addition to the expected spend of a second.
    pub open_share: Share,
    /// Minimum share of the unspent budget that is unlocked per second after the lock time.
    pub pace_share: Share,
    /// Maximum difference between the clocks of two holders that both agree with their peers.
    pub clock_error: Millis,
    /// Maximum interval between writes of a page with grants.
    pub refresh_interval: Millis,
    /// The same interval for a page whose grants have not been used since the last write.
    pub refresh_idle: Millis,
    /// Maximum age of a page's content on which a request may be refused.
    pub max_staleness: Millis,
    /// Whether a page may be written from the content of the last write, without a read before.
    pub use_cache: bool,
    /// Whether holders lend tokens to each other. This is not possible where the row of a dead
    /// holder is billed from usage records of engines, since these do not identify the lender.
    pub loans_enabled: bool,
    /// Time for which a request waits for the store before other holders are asked for a loan.
    pub borrow_after: Millis,
    /// Time limit for other holders to answer a recall.
    pub recall_timeout: Millis,
    /// Interval between reads of a page while a recall is unanswered.
    pub recall_poll: Millis,
    /// Minimum delay between an unsuccessful recall round and the next one.
    pub recall_delay: Millis,
    /// Maximum time for which a request waits for a grant.
    pub wait_timeout: Millis,
    /// Time after which an unanswered read or write is treated as failed.
    pub response_timeout: Millis,
    /// First retry delay after a failed read. It doubles up to `retry_max`.
    pub retry_min: Millis,
    /// Maximum retry delay after a failed read.
    pub retry_max: Millis,
    /// Time without requests after which a grant is returned to the balance.
    pub idle_timeout: Millis,
}

impl HolderPolicy {
    /// Returns the policy for deployments in which engines keep no usage records.
    ///
    /// The tokens that a killed router has not settled are lost to the budget there. Grants are
    /// therefore sized to last only for `horizon` without the store.
    ///
    /// ```
    /// use berylwheel_budget::HolderPolicy;
    /// use berylwheel_types::Millis;
    /// assert_eq!(HolderPolicy::without_usage_records(Millis(10_000)).horizon, Millis(10_000));
    /// ```
    pub fn without_usage_records(horizon: Millis) -> Self {
        Self {
            pages: 64,
            horizon,
            share: Share::from_permille(850),
            min_grant: Share::from_permille(400),
            margin: 1,
            rate_window: Millis(horizon.0 * 2),
            min_window: Millis(horizon.0 / 5),
            settle_min: Millis(1_000),
            settle_max: Millis(4_000),
            byte_rate: 128 << 10,
            urgent_interval: Millis(50),
            // A killed process is back about 2.5 s after its last write: up to one second between
            // writes, plus the restart.
            lock_time: Millis(3_600),
            open_share: Share::from_permille(40),
            pace_share: Share::from_permille(40),
            refresh_interval: Millis(1_000),
            refresh_idle: Millis(3_000),
            max_staleness: Millis(1_000),
            use_cache: true,
            loans_enabled: true,
            recall_timeout: Millis(200),
            recall_poll: Millis(100),
            response_timeout: Millis(1_500),
            retry_max: Millis(1_000),
            wait_timeout: Millis(500),
            idle_timeout: horizon,
            ..Self::default()
        }
    }
}

impl Default for HolderPolicy {
    fn default() -> Self {
        Self {
            pages: 64,
            // Covers a store outage of one hour, plus a quarter for a rising rate of spend.
            horizon: Millis(75 * 60_000),
            share: Share::from_permille(800),
            min_grant: Share::from_permille(100),
            margin: 3,
            rate_window: Millis(30 * 60_000),
            min_window: Millis(60_000),
            settle_min: Millis(2_000),
            settle_max: Millis(60_000),
            // The store handles several hundred writes per second for all purposes.
            write_rate: 150,
            // A node may use 20 KB/s for all control traffic, and pages are sent as base64.
            byte_rate: 10_240,
            urgent_interval: Millis(10),
            lock_time: Millis(0),
            open_share: Share::from_permille(0),
            pace_share: Share::from_permille(0),
            clock_error: Millis(1_000),
            // Regular writes advance the floor of the row, so that old bill keys can be removed.
            refresh_interval: Millis(600_000),
            refresh_idle: Millis(600_000),
            max_staleness: Millis(0),
            use_cache: false,
            loans_enabled: false,
            borrow_after: Millis(60),
            recall_timeout: Millis(300),
            recall_poll: Millis(50),
            recall_delay: Millis(200),
            wait_timeout: Millis(2_000),
            response_timeout: Millis(5_000),
            retry_min: Millis(200),
            retry_max: Millis(2_000),
            // With a time below the horizon, routers that rarely serve a small budget would have no
            // tokens of it when the store goes down.
            idle_timeout: Millis(75 * 60_000),
        }
    }
}
