//! Settings of the scheduler.

use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Share;
use berylwheel_types::Tokens;

/// Settings of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankPolicy {
    /// Guaranteed minimum share of the router's capacity.
    pub floor: Share,
    /// Longest time to the first token that the rank aims for.
    pub target: Millis,
}

/// Settings of a [`Scheduler`](crate::Scheduler).
///
/// ```
/// use berylwheel_schedule::SchedulePolicy;
/// use berylwheel_types::{Rank, Share};
/// let policy = SchedulePolicy::default();
/// assert_eq!(policy.rank(Rank::Urgent).floor, Share::from_permille(500));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulePolicy {
    /// Minimum share and target by [`Rank::index`]. Shares that add up to more than the whole are
    /// scaled down to it.
    pub ranks: [RankPolicy; 3],
    /// Most requests that one workspace may have queued or running in one kind, unless
    /// [`Scheduler::set_workspace`](crate::Scheduler::set_workspace) gives another limit.
    pub workspace_limit: usize,
    /// Retries granted per started request.
    pub retry_share: Share,
    /// Most retries a kind can save up while it needs none.
    pub retry_burst: u32,
    /// Whether batch work that has not begun to answer gives way to urgent work. Work that may not be
    /// sent twice cannot.
    pub preemption: bool,
    /// How long capacity that a rank borrowed above its minimum counts against its minimum.
    pub share_window: Millis,
    /// Furthest that service at other routers can set a workspace back in this router's queue.
    /// The bound keeps a wrong heartbeat from starving a workspace.
    pub peer_lead: Tokens,
}

impl SchedulePolicy {
    /// Returns the settings of `rank`.
    pub const fn rank(&self, rank: Rank) -> RankPolicy {
        self.ranks[rank.index()]
    }
}

impl Default for SchedulePolicy {
    fn default() -> Self {
        let rank = |permille, target| RankPolicy {
            floor: Share::from_permille(permille),
            target: Millis(target),
        };
        Self {
            ranks: [rank(500, 800), rank(300, 4_000), rank(100, 30_000)],
            workspace_limit: 256,
            retry_share: Share::from_permille(100),
            retry_burst: 10,
            preemption: true,
            share_window: Millis(1_000),
            peer_lead: Tokens(20_000),
        }
    }
}
