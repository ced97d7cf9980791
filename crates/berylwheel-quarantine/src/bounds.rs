//! Choices among more evidence than is kept. None goes by the ids of parts or by the order of arrival,
//! so that what one report leaves out is in the next one.

use berylwheel_types::BackendId;
use berylwheel_types::PromptPartId;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;

/// Returns a number that differs between the ends of servers.
pub(crate) fn seed(server: &BackendId, at: Timestamp) -> u64 {
    stable_hash(&[server.as_str()]) ^ at.as_millis()
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Keeps at most `limit` of `parts`, in ascending order and each once. Which ones depends on `seed`.
pub(crate) fn sample_parts(parts: &mut Vec<PromptPartId>, limit: usize, seed: u64) {
    if parts.len() > limit && limit > 0 {
        let rank = |part: &PromptPartId| mix(part.0 ^ seed);
        parts.select_nth_unstable_by_key(limit - 1, rank);
    }
    parts.truncate(limit);
    parts.sort_unstable();
    parts.dedup();
}

/// Returns the place, among `limit`, of the entry number `seen` (counted from 0), or `None` if it is
/// left out. Each of the entries seen so far has the same chance of being kept.
pub(crate) fn reservoir_place(seen: usize, limit: usize, seed: u64) -> Option<usize> {
    if seen < limit {
        return Some(seen);
    }
    let place = (mix(seed ^ seen as u64) % (seen as u64 + 1)) as usize;
    (place < limit).then_some(place)
}
