//! Settings of the holder.

use berylwheel_types::Millis;
use berylwheel_types::Share;

/// How a holder sizes grants and how long it waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderPolicy {
    /// Number of ledger pages.
    pub pages: u32,
    /// Time for which a grant should last at the present rate of spend.
    pub horizon: Millis,
    /// Share of the unspent budget that all holders together may take.
    pub share: Share,
    /// Part of a holder's share that it takes even before its rate of spend is known. Without it a
    /// holder that has seen few requests runs dry at once when the store goes down.
    pub least: Share,
    /// Largest recent reservations that a grant holds beyond the expected spend.
    pub margin: u64,
    /// Time over which the rate of spend is averaged. Small budgets see a request every few minutes,
    /// and a shorter time gives them an estimate that is often near zero.
    pub rate_window: Millis,
    /// The least time that a new estimate of the rate divides by.
    pub rate_start: Millis,
    /// Least time between settlements of a page without urgent need.
    pub settle_every: Millis,
    /// Longest time between settlements when the fleet's allowance of writes stretches it.
    pub settle_limit: Millis,
    /// Writes a second that the settlements of all routers together may use.
    pub write_rate: u32,
    /// Bytes of pages a second that the settlements of this router may read and write.
    pub byte_rate: u32,
    /// Least time between two reads of a page for urgent need.
    pub urgent_gap: Millis,
    /// Time after a write for which a holder spends no more than the open tokens of its row; zero if
    /// it may spend all at any time.
    pub lock: Millis,
    /// The part of the unspent budget that is open besides the spend of a second.
    pub open: Share,
    /// The least part of the unspent budget that is opened a second when that time is over.
    pub pace: Share,
    /// How far the clocks of two holders that agree with their peers can differ.
    pub clock_error: Millis,
    /// A page with grants is written at least this often.
    pub refresh: Millis,
    /// The same for a page whose grants have not been used since the last write.
    pub refresh_quiet: Millis,
    /// Age of what is known of a page up to which requests are refused on its word.
    pub fresh: Millis,
    /// Whether a page is written from what the last write left, without a read before it.
    pub cached: bool,
    /// Whether holders lend to each other. Where engines keep usage records, a dead holder's row is
    /// billed from them, and they do not tell for whom it had lent.
    pub borrow: bool,
    /// Time that a request waits for the store before other holders are asked for a loan.
    pub borrow_after: Millis,
    /// Time that other holders have to answer a recall.
    pub recall_wait: Millis,
    /// Time between reads of a page while a recall is out.
    pub recall_read: Millis,
    /// Least time between the end of a recall without success and the next recall.
    pub recall_gap: Millis,
    /// Longest time that a request waits for a grant.
    pub wait_limit: Millis,
    /// Time after which an unanswered read or write is treated as failed.
    pub answer_limit: Millis,
    /// First pause after a failed read; it doubles up to `retry_limit`.
    pub retry_first: Millis,
    /// Longest pause after a failed read.
    pub retry_limit: Millis,
    /// Time without requests after which a grant is returned.
    pub idle_after: Millis,
}

impl HolderPolicy {
    /// Returns the policy for holdings that should last for `horizon` without the store, where
    /// engines keep no usage records: what a router has not settled when it is killed is lost to the
    /// budget, so the holdings are as short as outages allow.
    ///
    /// ```
    /// use berylwheel_budget::HolderPolicy;
    /// use berylwheel_types::Millis;
    /// assert_eq!(HolderPolicy::unrecorded(Millis(10_000)).horizon, Millis(10_000));
    /// ```
    pub fn unrecorded(horizon: Millis) -> Self {
        Self {
            pages: 64,
            horizon,
            share: Share::from_permille(850),
            least: Share::from_permille(400),
            margin: 1,
            rate_window: Millis(horizon.0 * 2),
            rate_start: Millis(horizon.0 / 5),
            settle_every: Millis(1_000),
            settle_limit: Millis(4_000),
            byte_rate: 128 << 10,
            urgent_gap: Millis(50),
            // A process is back within some 2.5 s of the last write before it was killed: one second
            // between writes, and the restart.
            lock: Millis(3_600),
            open: Share::from_permille(40),
            pace: Share::from_permille(40),
            refresh: Millis(1_000),
            refresh_quiet: Millis(3_000),
            fresh: Millis(1_000),
            cached: true,
            borrow: true,
            recall_wait: Millis(200),
            recall_read: Millis(100),
            answer_limit: Millis(1_500),
            retry_limit: Millis(1_000),
            wait_limit: Millis(500),
            idle_after: horizon,
            ..Self::default()
        }
    }
}

impl Default for HolderPolicy {
    fn default() -> Self {
        Self {
            pages: 64,
            // An hour without the store is to be served, plus a quarter for a rate that rises.
            horizon: Millis(75 * 60_000),
            share: Share::from_permille(800),
            least: Share::from_permille(100),
            margin: 3,
            rate_window: Millis(30 * 60_000),
            rate_start: Millis(60_000),
            settle_every: Millis(2_000),
            settle_limit: Millis(60_000),
            // The store takes several hundred writes a second for all purposes.
            write_rate: 150,
            // A node may use 20 KB/s for control in all, and pages travel as base64.
            byte_rate: 10_240,
            urgent_gap: Millis(10),
            lock: Millis(0),
            open: Share::from_permille(0),
            pace: Share::from_permille(0),
            clock_error: Millis(1_000),
            // So that old bill keys can be dropped.
            refresh: Millis(600_000),
            refresh_quiet: Millis(600_000),
            fresh: Millis(0),
            cached: false,
            borrow: false,
            borrow_after: Millis(60),
            recall_wait: Millis(300),
            recall_read: Millis(50),
            recall_gap: Millis(200),
            wait_limit: Millis(2_000),
            answer_limit: Millis(5_000),
            retry_first: Millis(200),
            retry_limit: Millis(2_000),
            // Shorter than the horizon would leave routers that see a small budget seldom without
            // tokens when the store goes down.
            idle_after: Millis(75 * 60_000),
        }
    }
}
