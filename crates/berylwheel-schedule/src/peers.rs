//! Cumulative totals of tokens served by this router and by its peers.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use berylwheel_types::FastMap;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

use crate::ServedTokens;
use crate::estimate::DecayedSum;

/// Maximum number of entries in a heartbeat.
const MAX_HEARTBEAT_ENTRIES: usize = 16;

/// Number of totals at which those without recent service are discarded. A discarded workspace
/// starts again from zero, which other routers treat like a router restart.
const MAX_TOTALS: usize = 4_096;

/// Time constant of the ranking by recent service.
const RANKING_WINDOW: Millis = Millis(10_000);

/// Tokens served by this router.
#[derive(Debug, Default)]
pub(crate) struct OwnTotals {
    totals: BTreeMap<(WorkspaceId, Rank), (Tokens, Option<DecayedSum>)>,
    rank_totals: [Tokens; 3],
    updated_at: Timestamp,
}

impl OwnTotals {
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        workspace: WorkspaceId,
        rank: Rank,
        tokens: Tokens,
    ) {
        self.updated_at = self.updated_at.max(now);
        self.rank_totals[rank.index()] += tokens;
        if self.totals.len() >= MAX_TOTALS {
            let recent = |r: &DecayedSum| r.value(now, RANKING_WINDOW) >= 1.0;
            self.totals.retain(|_, (_, sum)| sum.as_ref().is_some_and(recent));
        }
        let (total, recent) = self.totals.entry((workspace, rank)).or_default();
        *total += tokens;
        recent.get_or_insert_with(DecayedSum::new).add(now, RANKING_WINDOW, tokens.0 as f64);
    }

    /// Returns the totals of the workspaces and ranks with the most tokens served recently.
    pub(crate) fn top_recent(&self) -> Vec<ServedTokens> {
        let mut all: Vec<_> = self
            .totals
            .iter()
            .map(|((workspace, rank), (total, recent))| {
                let recent = recent.map_or(0.0, |r| r.value(self.updated_at, RANKING_WINDOW));
                (recent as u64, workspace, *rank, *total)
            })
            .collect();
        all.sort_by_key(|(recent, ..)| Reverse(*recent));
        all.truncate(MAX_HEARTBEAT_ENTRIES);
        all.into_iter()
            .map(|(_, workspace, rank, tokens)| ServedTokens {
                workspace: workspace.clone(),
                rank,
                tokens,
            })
            .collect()
    }

    pub(crate) const fn rank_total(&self, rank: Rank) -> Tokens {
        self.rank_totals[rank.index()]
    }
}

/// Totals from the last heartbeat of each peer router.
#[derive(Debug, Default)]
pub(crate) struct PeerTotals {
    reports: FastMap<RouterId, Vec<ServedTokens>>,
}

impl PeerTotals {
    /// Stores the totals of `from` and returns the increase since its previous heartbeat. Entries
    /// that were not in the previous heartbeat are skipped.
    pub(crate) fn update(&mut self, from: &RouterId, served: &[ServedTokens]) -> Vec<ServedTokens> {
        let previous = self.reports.insert(from.clone(), served.to_vec()).unwrap_or_default();
        served
            .iter()
            .filter_map(|new| {
                let old = previous
                    .iter()
                    .find(|old| old.workspace == new.workspace && old.rank == new.rank)?;
                // A smaller total means that the peer has restarted its count from zero.
                let increase =
                    if new.tokens < old.tokens { new.tokens } else { new.tokens - old.tokens };
                Some(ServedTokens { tokens: increase, ..new.clone() })
            })
            .collect()
    }
}
