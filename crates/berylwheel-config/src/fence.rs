//! Fencing numbers and order leases that restrict orders to a backend server to one router at a
//! time.

use berylwheel_settings::Fencing;
use berylwheel_types::BackendId;
use berylwheel_types::Code;
use berylwheel_types::FastMap;
use berylwheel_types::FenceNumber;
use berylwheel_types::Incarnation;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;

/// Duration of order leases and retry delays.
#[derive(Debug, Clone, Copy)]
pub struct FencePolicy {
    /// Time to live of a lease in the store.
    pub lease_time: Millis,
    /// Delay before a store request is retried.
    pub retry_delay: Millis,
}

impl Default for FencePolicy {
    fn default() -> Self {
        Self { lease_time: Millis(10_000), retry_delay: Millis(1_000) }
    }
}

/// The value of a server's fence key: the highest fencing number issued so far and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// The fencing number.
    pub number: FenceNumber,
    /// The router run that the number was issued to.
    pub owner: Incarnation,
}

/// The result of a [`FenceAction::Write`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceResult {
    /// The write was committed.
    Committed,
    /// The write was not committed, for example because another router was first.
    NotCommitted,
    /// The response was lost, so the write may or may not have been committed.
    Unknown,
}

/// A store request that the caller of [`Fence::poll`] has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceAction {
    /// Read the server's fence and lease keys and report with `handle_read` or
    /// `handle_read_failure`.
    Read(BackendId),
    /// Put the record in one transaction, provided that the revision of the fence key is still
    /// `prior_revision`. With `lease`, also put the lease key, attached to a new lease of that
    /// duration, provided that the key is absent. Report with `handle_write` and the number in the
    /// record.
    Write { server: BackendId, prior_revision: u64, record: FenceRecord, lease: Option<Millis> },
    /// Extend the lease and report with `handle_keep_alive` and the same `requested_at` time.
    KeepAlive { server: BackendId, requested_at: Timestamp },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ownership {
    number: FenceNumber,
    /// Earliest time to send an order; one from the previous holder may be in flight until then.
    usable_from: Timestamp,
    /// Expiry of the lease, counted from the time of the request; `None` for a server that checks
    /// fencing numbers itself.
    expires_at: Option<Timestamp>,
}

#[derive(Debug)]
struct Server {
    fencing: Fencing,
    ownership: Option<Ownership>,
    /// The pending write, the time of its request, and whether the previous record belongs to
    /// another run.
    pending_write: Option<(FenceRecord, Timestamp, bool)>,
    next_attempt: Timestamp,
}

/// The fencing numbers and order leases held by one router.
///
/// ```
/// use berylwheel_config::{Fence, FencePolicy, FenceResult};
/// use berylwheel_settings::Fencing;
/// use berylwheel_types::{FenceNumber, Timestamp};
/// let (now, server) = (Timestamp::from_millis(0), "engine-1".parse().unwrap());
/// let mut fence = Fence::new("r1@1".parse().unwrap(), FencePolicy::default());
/// fence.acquire(now, &server, Fencing::Checked);
/// fence.poll(now); // requests a read
/// fence.handle_read(now, &server, None, None);
/// fence.poll(now); // requests a write of number 1
/// assert!(fence.authorize(now, &server).is_err());
/// fence.handle_write(now, &server, FenceNumber(1), FenceResult::Committed);
/// assert_eq!(fence.authorize(now, &server), Ok(FenceNumber(1)));
/// ```
#[derive(Debug)]
pub struct Fence {
    own_run: Incarnation,
    policy: FencePolicy,
    servers: FastMap<BackendId, Server>,
    actions: Vec<FenceAction>,
}

impl Fence {
    /// Returns a fence that holds no fencing numbers.
    pub fn new(own_run: Incarnation, policy: FencePolicy) -> Self {
        Self { own_run, policy, servers: FastMap::default(), actions: Vec::new() }
    }

    /// Starts to acquire the right to send orders to `server`, unless it is already held or
    /// requested.
    pub fn acquire(&mut self, now: Timestamp, server: &BackendId, fencing: Fencing) {
        let new_server =
            || Server { fencing, ownership: None, pending_write: None, next_attempt: now };
        let entry = self.servers.entry(server.clone()).or_insert_with(new_server);
        if entry.fencing != fencing {
            *entry = new_server();
        }
    }

    /// Releases the right to send orders to `server`. The lease expires in the store.
    pub fn release(&mut self, server: &BackendId) {
        self.servers.remove(server);
    }

    /// Returns the store requests that are due.
    pub fn poll(&mut self, now: Timestamp) -> Vec<FenceAction> {
        for (id, server) in &mut self.servers {
            if now < server.next_attempt {
                continue;
            }
            server.next_attempt = now + self.policy.retry_delay;
            match server.ownership {
                // A write that has no result after one lease time is resolved by reading the keys.
                None if server
                    .pending_write
                    .as_ref()
                    .is_none_or(|write| now.since(write.1) >= self.policy.lease_time) =>
                {
                    self.actions.push(FenceAction::Read(id.clone()));
                }
                Some(Ownership { expires_at: Some(expiry), .. }) if now >= expiry => {
                    server.ownership = None;
                }
                Some(Ownership { expires_at: Some(_), .. }) => {
                    server.next_attempt = now + Millis(self.policy.lease_time.0 / 4);
                    self.actions
                        .push(FenceAction::KeepAlive { server: id.clone(), requested_at: now });
                }
                None | Some(Ownership { expires_at: None, .. }) => {}
            }
        }
        self.actions.sort_by(|a, b| target_server(a).cmp(target_server(b)));
        std::mem::take(&mut self.actions)
    }

    /// Handles the result of a read: the fence record with its revision, and the holder of the
    /// lease.
    pub fn handle_read(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        record: Option<(FenceRecord, u64)>,
        holder: Option<&Incarnation>,
    ) {
        let Some(server) = self.servers.get_mut(id).filter(|server| server.ownership.is_none())
        else {
            return;
        };
        let leased = server.fencing == Fencing::Ignored;
        let mut earlier = None;
        if let Some((written, requested_at, other_owner)) = server.pending_write.take() {
            let committed = record.as_ref().is_some_and(|(found, _)| *found == written);
            if committed {
                server.ownership = Some(ownership(
                    &written,
                    requested_at,
                    now,
                    other_owner,
                    leased,
                    self.policy.lease_time,
                ));
                return;
            }
            earlier = Some((written, requested_at));
        }
        if leased && holder.is_some_and(|holder| *holder != self.own_run) {
            return;
        }
        if leased && holder.is_some() {
            // The lease belongs to an earlier write of this run whose record has been replaced. It
            // is left to expire.
            return;
        }
        let (number, prior_revision) =
            record.as_ref().map_or((FenceNumber(0), 0), |(r, revision)| (r.number, *revision));
        let other_owner = record.is_some_and(|(record, _)| record.owner != self.own_run);
        let record = FenceRecord { number: number.next(), owner: self.own_run.clone() };
        // An earlier write of the same record may still be committed, with its older lease.
        let requested_at =
            earlier.filter(|(written, _)| *written == record).map_or(now, |(_, time)| time);
        server.pending_write = Some((record.clone(), requested_at, other_owner));
        let lease = leased.then_some(self.policy.lease_time);
        self.actions.push(FenceAction::Write { server: id.clone(), prior_revision, record, lease });
    }

    /// Handles a failed read, which is retried.
    pub fn handle_read_failure(&mut self, now: Timestamp, id: &BackendId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.next_attempt = now + self.policy.retry_delay;
        }
    }

    /// Handles the result of the write of `number`.
    pub fn handle_write(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        number: FenceNumber,
        result: FenceResult,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        // A late response to an earlier write does not apply to the pending one.
        let current = server.pending_write.as_ref().filter(|(record, ..)| record.number == number);
        match (result, current) {
            (FenceResult::Committed, Some((record, requested_at, other_owner))) => {
                let leased = server.fencing == Fencing::Ignored;
                server.ownership = Some(ownership(
                    record,
                    *requested_at,
                    now,
                    *other_owner,
                    leased,
                    self.policy.lease_time,
                ));
                server.pending_write = None;
                server.next_attempt = now;
            }
            (FenceResult::Unknown, Some(_)) => {
                self.actions.push(FenceAction::Read(id.clone()));
                server.next_attempt = now + self.policy.retry_delay;
            }
            (FenceResult::NotCommitted, Some(_)) => {
                server.pending_write = None;
                server.next_attempt = now + self.policy.retry_delay;
            }
            (FenceResult::Committed | FenceResult::NotCommitted | FenceResult::Unknown, None) => {}
        }
    }

    /// Handles the response to the keep-alive requested at `requested_at`. `alive` tells whether
    /// the lease still exists.
    pub fn handle_keep_alive(&mut self, id: &BackendId, requested_at: Timestamp, alive: bool) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if !alive {
            server.ownership = None;
        }
        if let Some(ownership) = &mut server.ownership {
            ownership.expires_at = ownership
                .expires_at
                .map(|expiry| expiry.max(requested_at + self.policy.lease_time));
        }
    }

    /// Handles the refusal of an order by the server because of an outdated fencing number.
    pub fn handle_refusal(&mut self, now: Timestamp, id: &BackendId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.ownership = None;
            server.next_attempt = now;
        }
    }

    /// Returns the fencing number for an order that is sent now.
    ///
    /// # Errors
    ///
    /// Returns [`Code::StaleOrder`] if this router may not send orders to `server` now.
    pub fn authorize(&self, now: Timestamp, server: &BackendId) -> Result<FenceNumber, Refusal> {
        let refuse = |detail: &str| {
            Refusal::not_run(Code::StaleOrder, format!("orders to {server}: {detail}"))
        };
        let ownership = self.servers.get(server).and_then(|server| server.ownership);
        let ownership = ownership.ok_or_else(|| refuse("this router holds no fencing number"))?;
        if now < ownership.usable_from {
            return Err(refuse("an order of the previous holder may still be in flight"));
        }
        let half = Millis(self.policy.lease_time.0 / 2);
        if ownership.expires_at.is_some_and(|expiry| now + half > expiry) {
            return Err(refuse("less than half of the order lease remains"));
        }
        Ok(ownership.number)
    }

    /// Returns the time from which no order may be sent to `server`: the end of the lease, or `None`
    /// if the server checks fencing numbers itself.
    pub fn lease_end(&self, server: &BackendId) -> Option<Timestamp> {
        self.servers.get(server)?.ownership?.expires_at
    }

    /// Returns the timeout of an order. It is shorter than the half lease that remains at least
    /// when an order is sent.
    pub const fn order_timeout(&self) -> Millis {
        Millis(self.policy.lease_time.0 * 2 / 5)
    }
}

fn ownership(
    record: &FenceRecord,
    requested_at: Timestamp,
    now: Timestamp,
    other_owner: bool,
    leased: bool,
    lease_time: Millis,
) -> Ownership {
    let wait = if other_owner && leased { lease_time } else { Millis(0) };
    Ownership {
        number: record.number,
        usable_from: now + wait,
        expires_at: leased.then_some(requested_at + lease_time),
    }
}

const fn target_server(action: &FenceAction) -> &BackendId {
    match action {
        FenceAction::Read(server) => server,
        FenceAction::Write { server, .. } | FenceAction::KeepAlive { server, .. } => server,
    }
}
