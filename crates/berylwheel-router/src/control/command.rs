//! Messages from the traffic threads to the control thread, and the replies.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use berylwheel_route::ExpectedTime;
use berylwheel_route::Outcome;
use berylwheel_route::RouteQuery;
use berylwheel_route::Server;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::ByteSize;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::PromptPartId;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

/// Number of an admission in this process, which tells requests with the same id apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionNumber(u64);

impl AdmissionNumber {
    /// Returns a number that was not returned before.
    pub fn next() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        Self(LAST.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// Asks the control thread to reserve tokens for a request and to choose a backend server.
#[derive(Debug, Clone)]
pub struct AdmitRequest {
    /// Id of this attempt.
    pub request: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The budget that the request is billed to.
    pub budget: BudgetId,
    /// The kind of work.
    pub kind: KindId,
    /// Priority of the request.
    pub rank: Rank,
    /// Identifies the request across retries, if the caller sent an idempotency key.
    pub bill_key: Option<BillKey>,
    /// Digest of the request's content, which detects that a key is reused for another request.
    pub digest: u64,
    /// Whether the key must be claimed first, so that two attempts do not run at the same time.
    pub needs_claim: bool,
    /// Upper bound of the tokens that the request may use.
    pub amount: Tokens,
    /// Bytes of memory that the request occupies while it is queued.
    pub size: ByteSize,
    /// Time by which the response must have started.
    pub deadline: Timestamp,
    /// Requirements on the backend server.
    pub query: RouteQuery,
    /// Parts of its prompt that other requests can share, each once and in ascending order.
    pub parts: Vec<PromptPartId>,
}

/// The backend server chosen for an admitted request.
#[derive(Debug)]
pub struct Placement {
    /// The backend server.
    pub server: Server,
    /// Receives a message when the request should be cancelled before its answer begins: to be
    /// queued again, because parts of its prompt were quarantined, or because the router exits.
    pub preempt: Receiver<()>,
    /// The time that the server is expected to take; `None` if that is unknown.
    pub expected: Option<ExpectedTime>,
    /// Tag under which the engine records the usage, if the request uses tokens.
    pub usage_tag: Option<String>,
}

/// The reply to [`Command::Admit`], [`Command::Retry`] and [`Command::Requeue`].
pub type PlacementResult = Result<Placement, Refusal>;

/// How a request ended, as far as its bill is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Usage {
    /// No server ran the request.
    NotRun,
    /// A server may have run the request, but its caller got no result: an error, an answer that
    /// was lost before any of it was delivered, or nothing, because it had left. The caller pays for
    /// a result only, so that it can send the request again.
    NoResult,
    /// The caller got a result, or part of one, that used this much.
    Known(Tokens),
    /// The caller got a result, and nothing tells how much it used.
    Unknown,
}

impl Usage {
    /// Returns the tokens to bill for a request that has reserved `reserved`, which is the most
    /// that it may use.
    pub fn billed(self, reserved: Tokens) -> Tokens {
        match self {
            Self::NotRun | Self::NoResult => Tokens::ZERO,
            Self::Known(used) => used.min(reserved),
            Self::Unknown => reserved,
        }
    }
}

/// The result of a request that has ended.
#[derive(Debug, Clone)]
pub struct Finish {
    /// Id of the attempt.
    pub request: RequestId,
    /// The admission that ends. Another request with the same id is not affected.
    pub admission: AdmissionNumber,
    /// What is billed.
    pub usage: Usage,
    /// How the request ended at the backend server. Ignored if the request was not started.
    pub outcome: Outcome,
    /// Whether the whole response was sent to the caller.
    pub delivered: bool,
    /// Whether the server certainly answered the request to its end.
    pub answered: bool,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Asks for admission of a request.
    Admit(Box<AdmitRequest>, AdmissionNumber, Sender<PlacementResult>),
    /// The first token has been sent to the caller, so the request can no longer be preempted.
    FirstToken(RequestId),
    /// The backend server failed before anything was sent to the caller; asks for another server. The
    /// flag tells whether the server may have run the request.
    Retry(RequestId, Outcome, bool, Sender<PlacementResult>),
    /// The backend server is silent; asks for another server, and stays at this one without one.
    Relocate(RequestId, Outcome, Sender<PlacementResult>),
    /// The request was preempted at the engine by more urgent work; asks to be queued again.
    Requeue(RequestId, Sender<PlacementResult>),
    /// Asks for the time until a server may accept the request, if all of them have asked for a
    /// pause.
    PauseDelay(RequestId, Sender<Option<Millis>>),
    /// The request has ended.
    Finish(Finish),
}
