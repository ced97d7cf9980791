//! Claims of idempotency keys at their home router, so that two attempts do not run at a time.

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

/// Time for which a key is remembered, which is also the window for retries.
const CLAIM_WINDOW: Millis = Millis(600_000);
/// Keys that are remembered. Beyond it a new key is not claimed: its request may then run twice at a
/// time, and is still billed once.
const CLAIM_LIMIT: usize = 200_000;
/// Attempts under one key. A later one could only be a caller that gives up its answers on purpose,
/// since a key is billed once however often it runs.
const ATTEMPT_LIMIT: u32 = 3;
/// Time after which a caller asks again about a running request.
const RUNNING_RETRY: Millis = Millis(1_000);

/// What the home router of a key says about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The attempt may run.
    First,
    /// Another attempt runs.
    Running,
    /// An earlier attempt delivered its answer.
    Finished,
    /// The key was used for a different request.
    Reused,
}

impl ClaimAnswer {
    /// Returns the refusal that follows, if the attempt may not run.
    pub fn refusal(self) -> Option<Refusal> {
        match self {
            Self::First => None,
            Self::Running => Some(
                Refusal::not_run(Code::RequestRunning, "another attempt with this key runs")
                    .retry_after(RUNNING_RETRY),
            ),
            Self::Finished => Some(Refusal {
                ran: berylwheel_types::ExecutionState::Done,
                ..Refusal::not_run(Code::RequestDone, "the answer was delivered")
            }),
            Self::Reused => {
                Some(Refusal::not_run(Code::KeyReused, "the body differs from the first request's"))
            }
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
    at: Timestamp,
}

/// The claims of the keys whose home this router is.
#[derive(Debug, Default)]
pub struct Claims {
    claims: FastMap<BillKey, Claim>,
}

impl Claims {
    /// Decides on an attempt at the request with `key`, made at `owner`.
    ///
    /// `is_ended` tells whether a router process has ended, so that its attempts no longer run.
    pub fn claim(
        &mut self,
        now: Timestamp,
        key: BillKey,
        attempt: &RequestId,
        owner: &Incarnation,
        digest: u64,
        is_ended: impl Fn(&Incarnation) -> bool,
    ) -> ClaimAnswer {
        let Some(claim) = self.claims.get_mut(&key) else {
            if self.claims.len() >= CLAIM_LIMIT {
                return ClaimAnswer::First;
            }
            let claim = Claim {
                attempt: attempt.clone(),
                owner: owner.clone(),
                digest,
                attempts: 1,
                running: true,
                delivered: false,
                at: now,
            };
            self.claims.insert(key, claim);
            return ClaimAnswer::First;
        };
        if claim.digest != digest {
            return ClaimAnswer::Reused;
        }
        if claim.attempt == *attempt {
            return ClaimAnswer::First;
        }
        if claim.delivered || claim.attempts >= ATTEMPT_LIMIT {
            return ClaimAnswer::Finished;
        }
        let expired = now.since(claim.at) >= CLAIM_WINDOW;
        if claim.running && !expired && !is_ended(&claim.owner) {
            return ClaimAnswer::Running;
        }
        claim.attempt = attempt.clone();
        claim.owner = owner.clone();
        claim.attempts += 1;
        claim.running = true;
        claim.at = now;
        ClaimAnswer::First
    }

    /// Takes in that an attempt has ended.
    pub fn end(&mut self, now: Timestamp, key: BillKey, attempt: &RequestId, delivered: bool) {
        if let Some(claim) = self.claims.get_mut(&key)
            && claim.attempt == *attempt
        {
            claim.running = false;
            claim.delivered |= delivered;
            claim.at = now;
        }
    }

    /// Forgets keys that were not asked for within the window.
    pub fn prune(&mut self, now: Timestamp) {
        self.claims.retain(|_, claim| now.since(claim.at) < CLAIM_WINDOW);
    }

    /// Returns how many keys are remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

/// Returns the home of a key among the live routers, by rendezvous hash.
///
/// ```
/// use berylwheel_router::home_of;
/// use berylwheel_types::{BillKey, RouterId};
/// let routers: Vec<RouterId> = ["a", "b"].iter().map(|r| r.parse().unwrap()).collect();
/// let key = BillKey::new(&"w".parse().unwrap(), "k");
/// assert_eq!(home_of(key, &routers), home_of(key, &routers));
/// ```
pub fn home_of(key: BillKey, routers: &[RouterId]) -> Option<&RouterId> {
    let key = key.to_string();
    routers.iter().max_by_key(|router| stable_hash(&[&key, router.as_str()]))
}
