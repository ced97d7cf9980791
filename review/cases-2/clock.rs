//! Seconds since the case began.

use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

pub fn since_start() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}
