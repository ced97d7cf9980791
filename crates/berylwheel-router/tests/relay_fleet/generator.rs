//! Generated changes and faults.

use berylwheel_router::RelayPolicy;

use super::Fleet;

/// Pseudorandom numbers (SplitMix64).
#[derive(Debug, Clone)]
pub struct Generator(u64);

impl Generator {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % limit
    }

    /// Returns the times of changes, alone and in bursts.
    pub fn changes(&mut self, until: u64) -> Vec<u64> {
        let mut at = 5_000;
        let mut times = Vec::new();
        while at < until {
            times.push(at);
            at += if self.below(3) == 0 { 30 + self.below(700) } else { 500 + self.below(4_000) };
        }
        times
    }

    /// Returns faults that prefer the watchers: a fault of all three at about the same time, and
    /// others of any router.
    pub fn faults(&mut self, size: usize, until: u64) -> Vec<Fault> {
        let mut faults = vec![Fault::Loss { percent: self.below(15) }];
        let mut at = 9_000;
        while at < until {
            let all_three = self.below(3) == 0;
            let kind = self.below(5);
            for place in 0..if all_three { 3 } else { 1 + self.below(3) as usize } {
                let router = match all_three || self.below(2) == 0 {
                    true => Self::watcher(size, place),
                    false => self.below(size as u64) as usize,
                };
                let from = at + self.below(300);
                let until = from + 500 + self.below(9_000);
                faults.push(match kind {
                    0 => Fault::Kill { router, at: from, until },
                    1 => Fault::Freeze { router, at: from, until },
                    2 => Fault::CutFromStore { router, at: from, until },
                    3 => Fault::CutFromPeers { router, at: from, until },
                    _ => Fault::WrongView { router, missing: self.below(size as u64) as usize },
                });
            }
            at += 3_000 + self.below(9_000);
        }
        faults
    }

    fn watcher(size: usize, place: usize) -> usize {
        let fleet = Fleet::new(size, RelayPolicy::default(), 1);
        let watchers: Vec<usize> = fleet.routers().filter(|r| fleet.is_watcher(*r)).collect();
        watchers[place % watchers.len()]
    }
}

#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The process ends, and starts again at `until`.
    Kill {
        router: usize,
        at: u64,
        until: u64,
    },
    Freeze {
        router: usize,
        at: u64,
        until: u64,
    },
    CutFromStore {
        router: usize,
        at: u64,
        until: u64,
    },
    CutFromPeers {
        router: usize,
        at: u64,
        until: u64,
    },
    /// The router never counts another one as live.
    WrongView {
        router: usize,
        missing: usize,
    },
    /// Share of all messages that are lost.
    Loss {
        percent: u64,
    },
}
