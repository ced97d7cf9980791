//! Claims of idempotency keys at their home router, which keep two attempts from running at the
//! same time.

use berylwheel_config::Members;
use berylwheel_types::BillKey;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use berylwheel_types::stable_hash;

/// Time for which a claim is kept after its last change, and so the window for retries.
const CLAIM_WINDOW: Millis = Millis(600_000);
/// Maximum number of claims. Beyond it a new key is not recorded: two attempts with it may then run
/// at the same time, but are still billed once.
const CLAIM_LIMIT: usize = 200_000;
/// Maximum number of attempts per key. A key is billed once however often it runs, so a caller
/// could otherwise abort its responses on purpose and run more attempts for free.
const ATTEMPT_LIMIT: u32 = 3;
/// Number of slots into which keys are divided; all keys of a slot have the same home.
const SLOT_COUNT: u64 = 4_096;
/// Delay before a caller retries a key whose request is still running.
const RUNNING_RETRY_DELAY: Millis = Millis(1_000);

/// Decision of the home router of a key about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The attempt may run.
    First,
    /// Another attempt is running.
    Running,
    /// An earlier attempt delivered its response, or the key has no attempts left.
    Finished,
    /// The key was already used for a different request.
    Reused,
}

impl ClaimResponse {
    /// Returns the refusal for the caller, or `None` if the attempt may run.
    pub fn refusal(self) -> Option<Refusal> {
        match self {
            Self::First => None,
            Self::Running => Some(
                Refusal::not_run(Code::RequestRunning, "another attempt with this key is running")
                    .retry_after(RUNNING_RETRY_DELAY),
            ),
            Self::Finished => Some(Refusal {
                ran: berylwheel_types::ExecutionState::Done,
                ..Refusal::not_run(
                    Code::RequestDone,
                    "an earlier attempt with this key delivered its answer",
                )
            }),
            Self::Reused => Some(Refusal::not_run(
                Code::KeyReused,
                "the body differs from the first request with this key",
            )),
        }
    }
}

#[derive(Debug)]
struct Claim {
    attempt: RequestId,
    owner: Incarnation,
    digest: u64,
    attempts: u32,
    running: bool,
    delivered: bool,
    updated_at: Timestamp,
}

/// The claims of the keys for which this router is the home.
#[derive(Debug, Default)]
pub struct Claims {
    claims: FastMap<BillKey, Claim>,
}

impl Claims {
    /// Decides whether an attempt with `key` at the router process `owner` may run.
    ///
    /// `is_ended` returns whether a router process has ended, which ends its attempts too.
    pub fn claim(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        owner: &Incarnation,
        digest: u64,
        is_ended: impl Fn(&Incarnation) -> bool,
    ) -> ClaimResponse {
        let Some(claim) = self.claims.get_mut(&key) else {
            if self.claims.len() >= CLAIM_LIMIT {
                return ClaimResponse::First;
            }
            let claim = Claim {
                attempt: attempt.clone(),
                owner: owner.clone(),
                digest,
                attempts: 1,
                running: true,
                delivered: false,
                updated_at: now,
            };
            self.claims.insert(key, claim);
            return ClaimResponse::First;
        };
        if claim.digest != digest {
            return ClaimResponse::Reused;
        }
        if claim.attempt == *attempt {
            return ClaimResponse::First;
        }
        if claim.delivered || claim.attempts >= ATTEMPT_LIMIT {
            return ClaimResponse::Finished;
        }
        let expired = now.since(claim.updated_at) >= CLAIM_WINDOW;
        if claim.running && !expired && !is_ended(&claim.owner) {
            return ClaimResponse::Running;
        }
        claim.attempt = attempt.clone();
        claim.owner = owner.clone();
        claim.attempts += 1;
        claim.running = true;
        claim.updated_at = now;
        ClaimResponse::First
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, now: Timestamp, key: BillKey, attempt: &RequestId, delivered: bool) {
        if let Some(claim) = self.claims.get_mut(&key)
            && claim.attempt == *attempt
        {
            claim.running = false;
            claim.delivered |= delivered;
            claim.updated_at = now;
        }
    }

    /// Removes claims that have not changed within the window.
    pub fn prune(&mut self, now: Timestamp) {
        self.claims.retain(|_, claim| now.since(claim.updated_at) < CLAIM_WINDOW);
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

/// Returns the home router of a key among the live routers, by rendezvous hashing of its slot.
///
/// ```
/// use berylwheel_router::home_router;
/// use berylwheel_types::{BillKey, RouterId};
/// let routers: Vec<RouterId> = ["a", "b"].iter().map(|r| r.parse().unwrap()).collect();
/// let key = BillKey::new(&"w".parse().unwrap(), "k");
/// assert_eq!(home_router(key, &routers), home_router(key, &routers));
/// ```
pub fn home_router(key: BillKey, routers: &[RouterId]) -> Option<&RouterId> {
    slot_home(slot_of(key), routers)
}

fn slot_of(key: BillKey) -> u64 {
    stable_hash(&["claim", &key.to_string()]) % SLOT_COUNT
}

fn slot_home(slot: u64, routers: &[RouterId]) -> Option<&RouterId> {
    let slot = slot.to_string();
    routers.iter().max_by_key(|router| stable_hash(&["claim", &slot, router.as_str()]))
}

/// The home routers of the slots that were asked for since the live routers last changed. A claim
/// then costs a look at all routers only once a slot and change.
///
/// ```
/// use berylwheel_config::{MemberPolicy, Members};
/// use berylwheel_router::{ClaimHomes, home_router};
/// use berylwheel_types::BillKey;
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let mut members = Members::new("r1@1".parse().unwrap(), address, MemberPolicy::default());
/// members.set_peers(["r2".parse().unwrap(), "r3".parse().unwrap()]);
/// let key = BillKey::new(&"w".parse().unwrap(), "k");
/// let mut homes = ClaimHomes::default();
/// assert_eq!(homes.home_of(key, &members).as_ref(), home_router(key, &members.live()));
/// ```
#[derive(Debug, Default)]
pub struct ClaimHomes {
    /// The state of [`Members::live_changes`] for which `homes` holds.
    changes: Option<u64>,
    homes: FastMap<u64, RouterId>,
}

impl ClaimHomes {
    /// Returns the home router of a key, or `None` if no router is live.
    pub fn home_of(&mut self, key: BillKey, members: &Members) -> Option<RouterId> {
        if self.changes != Some(members.live_changes()) {
            self.changes = Some(members.live_changes());
            self.homes.clear();
        }
        let slot = slot_of(key);
        if let Some(home) = self.homes.get(&slot) {
            return Some(home.clone());
        }
        let home = slot_home(slot, &members.live())?.clone();
        self.homes.insert(slot, home.clone());
        Some(home)
    }
}
