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

impl Default for HolderPolicy {
    fn default() -> Self {
        Self {
            pages: 64,
            // An hour without the store is to be served, plus a quarter for a rate that rises.
            horizon: Millis(75 * 60_000),
            share: Share::from_permille(800),
            least: Share::from_permille(100),
            settle_every: Millis(2_000),
            settle_limit: Millis(60_000),
            // The store takes several hundred writes a second for all purposes.
            write_rate: 150,
            // A node may use 20 KB/s for control in all, and pages travel as base64.
            byte_rate: 10_240,
            urgent_gap: Millis(10),
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
