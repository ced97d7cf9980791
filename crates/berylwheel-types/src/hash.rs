//! Hash maps with a fast hasher, and a hash function that is stable across processes.

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

/// Hash map with a fast, non-cryptographic hasher.
///
/// ```
/// use berylwheel_types::FastMap;
/// let mut m: FastMap<&str, u32> = FastMap::default();
/// m.insert("a", 1);
/// assert_eq!(m["a"], 1);
/// ```
pub type FastMap<K, V> = FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hasher.
pub type FastSet<T> = FxHashSet<T>;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a 64-bit hash of `parts` that is stable across processes and versions.
///
/// Rendezvous hashing and the placement of ledger pages depend on it, so every router must compute
/// the same value. Each part is followed by a separator byte, so that `["ab", "c"]` and
/// `["a", "bc"]` have different hashes.
///
/// ```
/// use berylwheel_types::stable_hash;
/// assert_eq!(stable_hash(&["a", "b"]), stable_hash(&["a", "b"]));
/// assert_ne!(stable_hash(&["ab", "c"]), stable_hash(&["a", "bc"]));
/// ```
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut h = FNV_OFFSET;
    for part in parts {
        for byte in part.as_bytes().iter().chain(&[0xff]) {
            h = (h ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    // FNV-1a mixes the high bits poorly for short inputs; the SplitMix64 finalizer corrects that.
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
