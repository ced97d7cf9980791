//! Messages from the traffic threads to the control thread.

use async_channel::Receiver;
use async_channel::Sender;
use berylwheel_route::Outcome;
use berylwheel_route::RouteQuery;
use berylwheel_route::Server;
use berylwheel_types::BillKey;
use berylwheel_types::BudgetId;
use berylwheel_types::ByteSize;
use berylwheel_types::KindId;
use berylwheel_types::Rank;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::WorkspaceId;

/// A request that asks to be started.
#[derive(Debug, Clone)]
pub struct Admit {
    /// Id of this attempt.
    pub request: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The kind of work.
    pub kind: KindId,
    /// Its rank.
    pub rank: Rank,
    /// Identifies the request over retries, if the caller sent an idempotency key.
    pub key: Option<BillKey>,
    /// Digest of the request's content.
    pub digest: u64,
    /// Whether the claim of the key is asked for, so that two attempts do not run at a time.
    pub claim: bool,
    /// Upper bound of what the request may use.
    pub amount: Tokens,
    /// Bytes held while it waits.
    pub size: ByteSize,
    /// When the answer must have started.
    pub deadline: Timestamp,
    /// What the backend server must offer.
    pub ask: RouteQuery,
}

/// Where an admitted request runs.
#[derive(Debug)]
pub struct Start {
    /// The backend server.
    pub server: Server,
    /// Receives a message when the request should be cancelled and queued again.
    pub preempt: Receiver<()>,
    /// Label under which the engine records the usage, if the request uses tokens.
    pub tag: Option<String>,
}

/// The answer to [`Command::Admit`], [`Command::Retry`] and [`Command::Requeue`].
pub type StartResult = Result<Start, Refusal>;

/// How a request ended.
#[derive(Debug, Clone)]
pub struct Finish {
    /// Id of the attempt.
    pub request: RequestId,
    /// Tokens to bill, at most the reservation.
    pub used: Tokens,
    /// How the backend server did, if the request was started.
    pub outcome: Outcome,
    /// Whether the caller was sent the whole answer.
    pub delivered: bool,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Asks for a start.
    Admit(Box<Admit>, Sender<StartResult>),
    /// The first token has reached the caller: the request is no longer preempted.
    FirstToken(RequestId),
    /// The backend server failed before the caller was sent anything; asks for another.
    Retry(RequestId, Outcome, Sender<StartResult>),
    /// The request was cancelled at the engine for more urgent work, and waits again.
    Requeue(RequestId, Sender<StartResult>),
    /// The request has ended.
    Finish(Finish),
}
