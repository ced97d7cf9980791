//! Scheduling policy.

use berylwheel_types::Decimal;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Share;
use berylwheel_types::Tokens;

/// Policy of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankPolicy {
    /// Guaranteed minimum share of the router's capacity.
    pub min_share: Share,
    /// Target time to first token. Half of the urgent rank's target is the wait that triggers
    /// preemption.
    pub latency_target: Millis,
}

/// Policy of a [`Scheduler`](crate::Scheduler).
///
/// ```
/// use berylwheel_schedule::SchedulePolicy;
/// use berylwheel_types::{Rank, Share};
/// let policy = SchedulePolicy::default();
/// assert_eq!(policy.rank(Rank::Urgent).min_share, Share::from_permille(500));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulePolicy {
    /// Policy of each rank, by [`Rank::index`]. Minimum shares that add up to more than 100 % are
    /// scaled down to 100 %.
    pub ranks: [RankPolicy; 3],
    /// Default maximum number of queued and running requests per workspace and kind.
    /// [`Scheduler::set_workspace_limit`](crate::Scheduler::set_workspace_limit) overrides it.
    pub workspace_limit: usize,
    /// Retries added to the budget per started request.
    pub retry_share: Decimal,
    /// Maximum number of retries that a kind can accumulate.
    pub retry_burst: Decimal,
    /// Whether urgent requests preempt batch requests that have not produced a token. Must be off
    /// if requests cannot be sent twice.
    pub preemption: bool,
    /// Time window in which use above the minimum share counts against a rank.
    pub share_window: Millis,
    /// Maximum penalty, in tokens, that service by other routers adds to a workspace in the queue
    /// of this router. The limit keeps an incorrect heartbeat from starving a workspace.
    pub peer_penalty: Tokens,
}

impl SchedulePolicy {
    /// Returns the policy of `rank`.
    pub const fn rank(&self, rank: Rank) -> RankPolicy {
        self.ranks[rank.index()]
    }
}

impl Default for SchedulePolicy {
    fn default() -> Self {
        let rank = |permille, target| RankPolicy {
            min_share: Share::from_permille(permille),
            latency_target: Millis(target),
        };
        Self {
            ranks: [rank(500, 800), rank(300, 4_000), rank(100, 30_000)],
            workspace_limit: 256,
            retry_share: Decimal::from_value(0.1),
            retry_burst: Decimal::from_value(10.0),
            preemption: true,
            share_window: Millis(1_000),
            peer_penalty: Tokens(20_000),
        }
    }
}
