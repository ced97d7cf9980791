//! Return of the tokens that earlier runs of the same router held and cannot have spent.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;

use super::core::Holder;
use super::pages::PageState;
use crate::LedgerPage;
use crate::PageId;
use crate::Writer;
use crate::page_of;

/// Time after the start for which the first read of all pages waits until the clock agrees with
/// those of the peers. Heartbeats tell within a second, and most pages are then read only once.
const CLOCK_WAIT: Millis = Millis(1_000);

/// Tracks which pages have to be read for tokens of earlier runs.
#[derive(Debug, Default)]
pub(crate) struct EarlierRuns {
    /// Whether all pages have to be read.
    all_pages: bool,
    /// Pages with tokens of earlier runs that can be returned only once the clock agrees with those
    /// of the peers.
    awaiting_clock: BTreeSet<PageId>,
}

impl Holder {
    /// Sets the peer address at which the router listens since `started`, and whether its clock
    /// agrees with those of most of its peers.
    ///
    /// Times on pages are compared with the router's clock only while it agrees.
    ///
    /// ```
    /// use berylwheel_budget::{Holder, HolderPolicy};
    /// use berylwheel_types::{Millis, Timestamp};
    /// let now = Timestamp::from_millis(1_000);
    /// let policy = HolderPolicy::without_usage_records(Millis(10_000));
    /// let mut holder = Holder::new("r1@1".parse().unwrap(), policy);
    /// holder.set_address(now, now, "10.0.0.1:7000".parse().unwrap(), true);
    /// assert!(holder.poll(now).is_empty());
    /// ```
    pub fn set_address(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        address: SocketAddr,
        clock_agrees: bool,
    ) {
        self.started = started;
        self.address = Some(address);
        self.clock_agrees = clock_agrees;
        if clock_agrees {
            self.read_for_earlier_runs(now, self.earlier.awaiting_clock.clone());
        }
        self.check_earlier_runs(now);
    }

    /// Records that an earlier run of this router may still hold tokens, on any page.
    pub fn note_earlier_run(&mut self) {
        self.earlier.all_pages = true;
    }

    /// Returns when all pages have to be read for tokens of earlier runs, if at all.
    pub(super) fn earlier_check_due(&self) -> Option<Timestamp> {
        let due = self.earlier.all_pages && self.address.is_some() && !self.totals.1.is_empty();
        let wait = if self.clock_agrees { Millis(0) } else { CLOCK_WAIT };
        due.then(|| self.started + wait)
    }

    /// Schedules the first read of all pages if it is due.
    pub(super) fn check_earlier_runs(&mut self, now: Timestamp) {
        if self.earlier_check_due().is_none_or(|due| now < due) {
            return;
        }
        self.earlier.all_pages = false;
        let budgets = self.totals.1.keys().map(|budget| page_of(budget, self.policy.pages));
        let pages = budgets.collect();
        self.read_for_earlier_runs(now, pages);
    }

    fn read_for_earlier_runs(&mut self, now: Timestamp, pages: BTreeSet<PageId>) {
        for id in pages {
            let page = self.pages.entry(id).or_insert_with(|| PageState::new(now));
            page.totals_stale = true;
            self.reschedule(now, id);
        }
    }

    /// Moves tokens that earlier runs of this router cannot have spent back to the balances, and
    /// returns whether there were any.
    ///
    /// The limit of a write does not bind later ones that a restored store has lost, so only runs
    /// whose last write is of the current era count.
    ///
    /// An earlier run that listened at the same address had ended when this run started. Until
    /// then, the spend limit of its last write applied. How far that limit had risen is known only
    /// while the clock agrees with those of the peers; a limit that does not rise needs no clock.
    pub(super) fn return_earlier_grants(&mut self, id: PageId, content: &mut LedgerPage) -> bool {
        let Some(address) = self.address.filter(|_| self.policy.lock_time > Millis(0)) else {
            return false;
        };
        let ended = |(run, writer): (&Incarnation, &Writer)| {
            let own = run.router == self.own_id.router
                && *run != self.own_id
                && writer.era == self.current_era();
            let known = self.clock_agrees && writer.at <= self.started;
            let age = Millis(self.started.since(writer.at).0 + self.policy.clock_error.0);
            (own && writer.address == Some(address)).then(|| (run.clone(), known.then_some(age)))
        };
        let ended: Vec<_> = content.writers.iter().filter_map(ended).collect();
        let mut any = false;
        let mut needs_clock = false;
        for (run, age) in ended {
            let returned = content.return_locked(&run, age, self.policy.lock_time);
            needs_clock |= age.is_none() && content.needs_clock(&run);
            if returned > Tokens::ZERO {
                let kept: Tokens = content.accounts.values().map(|a| a.held_by(&run)).sum();
                log::info!(
                    run:% = run, tokens = returned.0, kept = kept.0, age:? = age.map(|age| age.0);
                    "tokens of an earlier run returned"
                );
                any = true;
            }
        }
        match needs_clock && !self.clock_agrees {
            true => self.earlier.awaiting_clock.insert(id),
            false => self.earlier.awaiting_clock.remove(&id),
        };
        any
    }
}
