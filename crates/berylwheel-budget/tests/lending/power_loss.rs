//! Tests of the tokens that stay unusable after processes were killed.

use std::net::SocketAddr;

use berylwheel_budget::UnusableCause;
use berylwheel_types::Incarnation;

use super::Simulation;
use super::budget;

const TOTAL: u64 = 1_000_000;

impl Simulation {
    /// Sets whether the clocks of all holders agree with those of their peers.
    pub fn set_clocks_agree(&mut self, agree: bool) {
        self.clocks_agree = agree;
        for slot in 0..self.holders.len() {
            let now = self.clock_of(&self.holders[slot].0);
            let address = SocketAddr::from(([10, 0, 0, slot as u8], 7_000));
            let agrees = self.agrees(&self.holders[slot].0);
            self.holders[slot].1.set_address(now, self.started[slot], address, agrees);
        }
    }

    /// Kills all holders at once and restarts them `downtime` milliseconds later.
    pub fn kill_all_and_restart(&mut self, downtime: u64) {
        self.lossy = true;
        self.killed_at = Some(self.now);
        let count = self.holders.len();
        self.used += self.running.values().map(|pending| pending.amount).sum::<u64>();
        self.running.clear();
        self.waiting.clear();
        self.messages.clear();
        self.holders.clear();
        self.started.clear();
        self.now += downtime;
        for slot in 0..count {
            let started = self.start(slot, count);
            self.holders.push(started);
            self.started.push(self.clock_of(&self.holders[slot].0));
            self.known_eras[slot] = self.era;
        }
        self.update_lenders();
    }

    /// Returns the tokens that processes hold which have ended.
    pub fn stranded(&self) -> u64 {
        let Some(account) = self.page.account(&budget()) else { return 0 };
        let live = |run: &Incarnation| self.holders.iter().any(|(holder_id, _)| holder_id == run);
        let ended = account.rows.iter().filter(|(run, _)| !live(run));
        ended.map(|(_, row)| row.outstanding().0).sum()
    }

    /// Returns the tokens of ended runs that the homes of the budget report, by cause.
    pub fn reported(&self, cause: UnusableCause) -> u64 {
        let reported = self.holders.iter().flat_map(|(_, holder)| holder.unusable());
        reported.filter(|grant| grant.cause == cause).map(|grant| grant.tokens.0).sum()
    }
}

/// Serves requests of 500 tokens at each of `slots` in turn, one every 100 ms.
fn spend(sim: &mut Simulation, slots: usize, requests: usize) {
    for request in 0..requests {
        sim.request(request % slots, 500);
        sim.advance(100);
        sim.finish_all(500);
    }
}

/// Guards against tokens that are lost with each kill where no peers can confirm the clock, as with
/// one or two routers left: each run took a third of the budget, and none was returned.
#[test]
fn kills_without_peers_strand_only_open_tokens() {
    for routers in [1, 2] {
        let mut sim = Simulation::new(routers, TOTAL);
        sim.set_clocks_agree(false);
        sim.advance(4_000);
        for kill in 1..=4 {
            spend(&mut sim, routers, 30);
            sim.kill_all_and_restart(800);
            sim.advance(2_500);
            let (stranded, limit) = (sim.stranded(), kill * TOTAL / 10);
            assert!(stranded <= limit, "{routers} routers, kill {kill}: {stranded} tokens");
        }
        spend(&mut sim, routers, 30);
        assert_eq!(sim.refused(), [], "{routers} routers");
    }
}

/// Guards against tokens that are lost when routers are killed again before their heartbeats have
/// confirmed their clocks.
#[test]
fn kills_before_clocks_are_confirmed_strand_only_open_tokens() {
    let mut sim = Simulation::new(9, TOTAL);
    sim.advance(3_000);
    spend(&mut sim, 9, 30);
    for kill in 1..=4 {
        sim.clocks_agree = false;
        sim.kill_all_and_restart(800);
        spend(&mut sim, 9, 12);
        sim.kill_all_and_restart(800);
        sim.advance(1_000);
        sim.set_clocks_agree(true);
        sim.advance(2_000);
        let (stranded, limit) = (sim.stranded(), kill * TOTAL / 5);
        assert!(stranded <= limit, "kill {kill}: {stranded} tokens");
        spend(&mut sim, 9, 12);
    }
}

/// Guards against tokens that are never returned because the clock was confirmed when the pages were
/// to be read, and no longer when they had been read.
#[test]
fn a_clock_that_agrees_later_returns_what_was_passed_over() {
    let mut sim = Simulation::new(9, TOTAL);
    sim.advance(3_000);
    spend(&mut sim, 9, 30);
    sim.store_up = false;
    sim.kill_all_and_restart(800);
    sim.set_clocks_agree(false);
    sim.store_up = true;
    sim.advance(2_500);
    sim.set_clocks_agree(true);
    sim.advance(1_000);
    let stranded = sim.stranded();
    assert!(stranded <= TOTAL / 10, "{stranded} tokens are not returned");
}

/// Guards against operators who cannot see what is unusable: the home of a budget must report all
/// that ended runs hold, and whether a later run can still return it.
#[test]
fn homes_report_what_is_unusable() {
    let mut sim = Simulation::new(9, TOTAL);
    sim.advance(3_000);
    spend(&mut sim, 9, 30);
    sim.clocks_agree = false;
    sim.kill_all_and_restart(1_500);
    spend(&mut sim, 9, 5);
    let reported =
        sim.reported(UnusableCause::MayBeSpent) + sim.reported(UnusableCause::NotReturned);
    assert!(reported > 0);
    assert_eq!(reported, sim.stranded());
    sim.set_clocks_agree(true);
    sim.advance(2_000);
    assert_eq!(sim.reported(UnusableCause::MayBeSpent), sim.stranded());
}

/// Guards against an open part of ten seconds' spend, which three kills of the last two routers made
/// unusable of a budget that lasts for a minute: later requests were all refused (review, case 1).
#[test]
fn a_budget_in_heavy_use_outlasts_kills_without_peers() {
    let mut sim = Simulation::new(2, 144_213);
    sim.set_clocks_agree(false);
    sim.advance(4_000);
    let spend = |sim: &mut Simulation, requests: usize| {
        for request in 0..requests {
            sim.request(request % 2, 1_600);
            sim.advance(750);
            sim.finish_all(1_600);
        }
    };
    spend(&mut sim, 18);
    for _ in 0..3 {
        spend(&mut sim, 7);
        sim.kill_all_and_restart(800);
    }
    spend(&mut sim, 25);
    assert_eq!(sim.refused(), []);
}
