//! Fencing numbers and order leases: which router may send orders to a backend server.

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

/// How long order leases last.
#[derive(Debug, Clone, Copy)]
pub struct FencePolicy {
    /// The time of a lease in the store.
    pub lease: Millis,
    /// How long to wait before the store is asked again.
    pub retry: Millis,
}

impl Default for FencePolicy {
    fn default() -> Self {
        Self { lease: Millis(10_000), retry: Millis(1_000) }
    }
}

/// The value at a server's fence key: the highest number given out, and to whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRecord {
    /// The number.
    pub number: FenceNumber,
    /// The router run that it was given to.
    pub owner: Incarnation,
}

/// What became of a [`FenceAction::Write`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceResult {
    /// It took effect.
    Won,
    /// Another router was first.
    Lost,
    /// The answer was lost; it may have taken effect.
    Unknown,
}

/// What the caller of [`Fence::poll`] should do in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FenceAction {
    /// Read the server's fence and lease keys; answer with `read` or `failed`.
    Read(BackendId),
    /// In one transaction, put the record if the revision of the fence key is still `expected`, and
    /// with a lease also the lease key, attached to a new lease of that time, if it is absent.
    /// Answer with `written` and the number in the record.
    Write { server: BackendId, expected: u64, record: FenceRecord, lease: Option<Millis> },
    /// Keep the lease alive; answer with `kept` and the same time.
    KeepAlive { server: BackendId, asked: Timestamp },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    number: FenceNumber,
    /// Orders are sent from then on: an order of the holder before may be under way until then.
    from: Timestamp,
    /// The end of the lease, counted from when it was asked for; `None` for a server that checks.
    until: Option<Timestamp>,
}

#[derive(Debug)]
struct Server {
    fencing: Fencing,
    hold: Option<Hold>,
    /// The write under way, when it was asked for, and whether another run held the server before.
    write: Option<(FenceRecord, Timestamp, bool)>,
    next: Timestamp,
}

/// The fencing numbers and order leases of one router.
///
/// ```
/// use berylwheel_config::{Fence, FencePolicy, FenceResult};
/// use berylwheel_settings::Fencing;
/// use berylwheel_types::{FenceNumber, Timestamp};
/// let (now, server) = (Timestamp::from_millis(0), "engine-1".parse().unwrap());
/// let mut fence = Fence::new("r1@1".parse().unwrap(), FencePolicy::default());
/// fence.want(now, &server, Fencing::Checked);
/// fence.poll(now); // asks for a read
/// fence.read(now, &server, None, None);
/// fence.poll(now); // asks for a write of number 1
/// assert!(fence.may_send(now, &server).is_err());
/// fence.written(now, &server, FenceNumber(1), FenceResult::Won);
/// assert_eq!(fence.may_send(now, &server), Ok(FenceNumber(1)));
/// ```
#[derive(Debug)]
pub struct Fence {
    me: Incarnation,
    policy: FencePolicy,
    servers: FastMap<BackendId, Server>,
    actions: Vec<FenceAction>,
}

impl Fence {
    /// Returns a fence that holds nothing.
    pub fn new(me: Incarnation, policy: FencePolicy) -> Self {
        Self { me, policy, servers: FastMap::default(), actions: Vec::new() }
    }

    /// Starts to acquire the right to send orders to `server`.
    pub fn want(&mut self, now: Timestamp, server: &BackendId, fencing: Fencing) {
        let empty = || Server { fencing, hold: None, write: None, next: now };
        let place = self.servers.entry(server.clone()).or_insert_with(empty);
        if place.fencing != fencing {
            *place = empty();
        }
    }

    /// Gives up the right to send orders to `server`. The lease runs out in the store.
    pub fn give_up(&mut self, server: &BackendId) {
        self.servers.remove(server);
    }

    /// Returns what to do in the store now.
    pub fn poll(&mut self, now: Timestamp) -> Vec<FenceAction> {
        for (id, server) in &mut self.servers {
            if now < server.next {
                continue;
            }
            server.next = now + self.policy.retry;
            match server.hold {
                // A write of which nothing is known after a lease time is settled by reading.
                None if server
                    .write
                    .as_ref()
                    .is_none_or(|write| now.since(write.1) >= self.policy.lease) =>
                {
                    self.actions.push(FenceAction::Read(id.clone()));
                }
                Some(Hold { until: Some(until), .. }) if now >= until => server.hold = None,
                Some(Hold { until: Some(_), .. }) => {
                    server.next = now + Millis(self.policy.lease.0 / 4);
                    self.actions.push(FenceAction::KeepAlive { server: id.clone(), asked: now });
                }
                None | Some(Hold { until: None, .. }) => {}
            }
        }
        self.actions.sort_by(|a, b| server_of(a).cmp(server_of(b)));
        std::mem::take(&mut self.actions)
    }

    /// Takes the content of the fence key with its revision, and the holder of the lease key.
    pub fn read(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        record: Option<(FenceRecord, u64)>,
        holder: Option<&Incarnation>,
    ) {
        let Some(server) = self.servers.get_mut(id).filter(|server| server.hold.is_none()) else {
            return;
        };
        let leased = server.fencing == Fencing::Ignored;
        let mut earlier = None;
        if let Some((wanted, asked, other)) = server.write.take() {
            let won = record.as_ref().is_some_and(|(found, _)| *found == wanted);
            if won {
                server.hold = Some(hold(&wanted, asked, now, other, leased, self.policy.lease));
                return;
            }
            earlier = Some((wanted, asked));
        }
        if leased && holder.is_some_and(|holder| *holder != self.me) {
            return;
        }
        if leased && holder.is_some() {
            // The lease of an earlier write of this run, whose record was overtaken: it runs out.
            return;
        }
        let (number, expected) =
            record.as_ref().map_or((FenceNumber(0), 0), |(r, v)| (r.number, *v));
        let other = record.is_some_and(|(record, _)| record.owner != self.me);
        let record = FenceRecord { number: number.next(), owner: self.me.clone() };
        // An earlier write of the same record may still take effect, with its older lease.
        let asked = earlier.filter(|(wanted, _)| *wanted == record).map_or(now, |(_, asked)| asked);
        server.write = Some((record.clone(), asked, other));
        let lease = leased.then_some(self.policy.lease);
        self.actions.push(FenceAction::Write { server: id.clone(), expected, record, lease });
    }

    /// Takes note that the store did not answer a read; it is asked again.
    pub fn failed(&mut self, now: Timestamp, id: &BackendId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.next = now + self.policy.retry;
        }
    }

    /// Takes the result of the write of `number`.
    pub fn written(
        &mut self,
        now: Timestamp,
        id: &BackendId,
        number: FenceNumber,
        result: FenceResult,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        // A late answer to an earlier write says nothing of the present one.
        let current = server.write.as_ref().filter(|(record, ..)| record.number == number);
        match (result, current) {
            (FenceResult::Won, Some((record, asked, other))) => {
                let leased = server.fencing == Fencing::Ignored;
                server.hold = Some(hold(record, *asked, now, *other, leased, self.policy.lease));
                server.write = None;
                server.next = now;
            }
            (FenceResult::Unknown, Some(_)) => {
                self.actions.push(FenceAction::Read(id.clone()));
                server.next = now + self.policy.retry;
            }
            (FenceResult::Lost, Some(_)) => {
                server.write = None;
                server.next = now + self.policy.retry;
            }
            (FenceResult::Won | FenceResult::Lost | FenceResult::Unknown, None) => {}
        }
    }

    /// Takes the answer to the keep-alive that was asked for at `asked`: whether the lease exists.
    pub fn kept(&mut self, id: &BackendId, asked: Timestamp, alive: bool) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if !alive {
            server.hold = None;
        }
        if let Some(hold) = &mut server.hold {
            hold.until = hold.until.map(|until| until.max(asked + self.policy.lease));
        }
    }

    /// Takes note that `server` refused an order with an old number.
    pub fn refused(&mut self, now: Timestamp, id: &BackendId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.hold = None;
            server.next = now;
        }
    }

    /// Returns the number to send an order with.
    ///
    /// # Errors
    ///
    /// Returns [`Code::StaleOrder`] if this router may not send orders to `server` now.
    pub fn may_send(&self, now: Timestamp, server: &BackendId) -> Result<FenceNumber, Refusal> {
        let refuse = |detail: &str| {
            Refusal::not_run(Code::StaleOrder, format!("orders to {server}: {detail}"))
        };
        let hold = self.servers.get(server).and_then(|server| server.hold);
        let hold = hold.ok_or_else(|| refuse("no fencing number held"))?;
        if now < hold.from {
            return Err(refuse("an order of the holder before may be under way"));
        }
        let half = Millis(self.policy.lease.0 / 2);
        if hold.until.is_some_and(|until| now + half > until) {
            return Err(refuse("less than half of the order lease is left"));
        }
        Ok(hold.number)
    }

    /// Returns the timeout of an order: below the half of the lease that is left when it is sent.
    pub const fn order_timeout(&self) -> Millis {
        Millis(self.policy.lease.0 * 2 / 5)
    }
}

fn hold(
    record: &FenceRecord,
    asked: Timestamp,
    now: Timestamp,
    other: bool,
    leased: bool,
    lease: Millis,
) -> Hold {
    let wait = if other && leased { lease } else { Millis(0) };
    Hold { number: record.number, from: now + wait, until: leased.then_some(asked + lease) }
}

const fn server_of(action: &FenceAction) -> &BackendId {
    match action {
        FenceAction::Read(server) => server,
        FenceAction::Write { server, .. } | FenceAction::KeepAlive { server, .. } => server,
    }
}
