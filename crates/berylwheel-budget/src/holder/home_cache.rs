//! The homes of budgets as far as they were asked for.

use berylwheel_types::BudgetId;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::stable_hash;

/// Maximum number of budgets with a known home. Beyond it all are looked up again.
const BUDGET_LIMIT: usize = 65_536;

/// Keeps the home of each budget that was asked for, so that only a change of the holders costs a
/// look at others than the home.
#[derive(Debug, Default)]
pub(super) struct HomeCache {
    homes: FastMap<BudgetId, (u64, Incarnation)>,
}

impl HomeCache {
    pub fn get(&self, budget: &BudgetId) -> Option<&Incarnation> {
        self.homes.get(budget).map(|(_, home)| home)
    }

    pub fn insert(&mut self, budget: &BudgetId, home: &Incarnation) {
        if self.homes.len() >= BUDGET_LIMIT {
            self.homes.clear();
        }
        self.homes.insert(budget.clone(), (home_score(budget, home), home.clone()));
    }

    /// Applies a change of the live holders, both sorted. Returns the number of holders examined.
    pub fn update(&mut self, before: &[Incarnation], after: &[Incarnation]) -> usize {
        let is_in = |holder: &Incarnation, list: &[Incarnation]| list.binary_search(holder).is_ok();
        let removed: Vec<&Incarnation> = before.iter().filter(|h| !is_in(h, after)).collect();
        let added: Vec<&Incarnation> = after.iter().filter(|h| !is_in(h, before)).collect();
        let examined = before.len() + after.len() + self.homes.len() * added.len();
        self.homes.retain(|_, (_, home)| !removed.contains(&&*home));
        for (budget, known) in &mut self.homes {
            for holder in &added {
                let score = home_score(budget, holder);
                if score > known.0 {
                    *known = (score, (*holder).clone());
                }
            }
        }
        examined
    }

    pub fn clear(&mut self) {
        self.homes.clear();
    }
}

/// Returns the rank of a holder among the candidates for the home of a budget; the highest wins.
pub(super) fn home_score(budget: &BudgetId, holder: &Incarnation) -> u64 {
    stable_hash(&["home", budget.as_str(), holder.router.as_str()])
}
