//! Tests of the comparison of clocks.

use berylwheel_config::PeerClocks;
use berylwheel_types::Millis;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;

const START: Timestamp = Timestamp::from_millis(1_000_000);

fn router(number: usize) -> RouterId {
    format!("r{number}").parse().expect("a router")
}

/// Records a heartbeat of each router, whose clock is `ahead` ms ahead of the local one and whose
/// heartbeats take `delay` ms.
fn record(clocks: &mut PeerClocks, now: Timestamp, routers: usize, ahead: i64, delay: i64) {
    let clock = now.as_millis() as i64 + ahead - delay;
    for number in 0..routers {
        clocks.record(now, &router(number), Timestamp::from_millis(clock as u64));
    }
}

/// Guards against routers that are taken to have wrong clocks since they are short of CPU time: all
/// heartbeats are late after a start of all, and no tokens of earlier runs were returned.
#[test]
fn late_heartbeats_do_not_withdraw_an_agreement() {
    let mut clocks = PeerClocks::default();
    record(&mut clocks, START, 3, 100, 20);
    assert!(clocks.is_synchronized(START));
    for second in 1..=4 {
        let now = START + Millis(second * 1_000);
        record(&mut clocks, now, 3, 100, 900);
        assert!(clocks.is_synchronized(now), "second {second}");
    }
}

/// Guards against a wrong clock that seems to agree because heartbeats are late.
#[test]
fn late_heartbeats_do_not_hide_a_clock_that_is_behind() {
    let mut clocks = PeerClocks::default();
    record(&mut clocks, START, 3, 2_000, 20);
    assert!(!clocks.is_synchronized(START));
    let now = START + Millis(1_000);
    record(&mut clocks, now, 3, 2_000, 2_000);
    assert!(!clocks.is_synchronized(now));
}

/// Guards against a restarted peer that is judged by the clock of its previous run for good.
#[test]
fn readings_expire() {
    let mut clocks = PeerClocks::default();
    record(&mut clocks, START, 3, 0, 20);
    for second in 1..=6 {
        let now = START + Millis(second * 1_000);
        record(&mut clocks, now, 3, -30_000, 20);
    }
    assert!(!clocks.is_synchronized(START + Millis(6_000)));
    record(&mut clocks, START + Millis(6_500), 3, 0, 20);
    assert!(clocks.is_synchronized(START + Millis(6_500)));
    assert!(!clocks.is_synchronized(START + Millis(12_000)));
}
