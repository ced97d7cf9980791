//! Tests of a time limit that is extended by each event of a stream.

use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use berylwheel_http::IdleLimit;
use berylwheel_http::IdleSchedule;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: Timestamp = Timestamp::from_millis(1_000);

/// Guards against a timer that is set for each event. Each setting makes the thread wait for I/O once
/// more than needed.
#[test]
fn frequent_events_set_the_timer_rarely() {
    let (events, gap, limit) = (1_000, Millis(10), Millis(800));
    let (mut schedule, mut now, mut timer_at, mut settings) =
        (IdleSchedule::default(), START, None, 0);
    for _ in 0..events {
        if timer_at.is_some_and(|at| now >= at) {
            schedule.timer_fired();
            timer_at = None;
        }
        schedule.extend(now + limit);
        if let Some(delay) = schedule.timer_delay(now) {
            settings += 1;
            timer_at = Some(now + delay);
        }
        assert!(!schedule.is_past(now));
        now += gap;
    }
    // The stream takes 10 s, and a timer covers the 800 ms of the limit.
    assert!(settings <= 14, "{settings} settings of the timer for {events} events");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Guards against a timer that fires after the limit has ended, also where the limit shrinks.
    #[test]
    fn timer_fires_by_the_end_of_the_limit(
        steps in prop::collection::vec((0_u64..500, 1_u64..1_000), 1..50),
    ) {
        let (mut schedule, mut now, mut timer_at) = (IdleSchedule::default(), START, None);
        for (pause, limit) in steps {
            now += Millis(pause);
            if timer_at.is_some_and(|at| now >= at) {
                schedule.timer_fired();
                timer_at = None;
            }
            let deadline = now + Millis(limit);
            schedule.extend(deadline);
            if let Some(delay) = schedule.timer_delay(now) {
                timer_at = Some(now + delay);
            }
            let fires_at = timer_at.expect("the timer is set");
            prop_assert!(fires_at <= deadline);
            prop_assert!(schedule.is_past(deadline));
            prop_assert!(!schedule.is_past(now));
        }
    }
}

/// Guards against a slow series of events that is cut, and a stalled one that is not.
#[test]
fn each_event_has_the_whole_limit() {
    let mut limit = IdleLimit::new(Clock::real());
    block_on(async {
        for _ in 0..6 {
            let event = Timer::after(Duration::from_millis(100));
            assert!(limit.run(Millis(250), event).await.is_some());
        }
        assert_eq!(limit.run(Millis(250), futures_lite::future::pending::<()>()).await, None);
    });
}
