//! Tests of the tokens that stay unusable after processes were killed.

use super::Simulation;

const TOTAL: u64 = 1_000_000;

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
