//! The platform's metadata store: items, watches, leases and conditional writes, as PROTOCOL.md
//! describes them, and the drill in which it comes back from an older copy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::read_request;
use crate::http::write_response;
use crate::json::Json;
use crate::json::base64;
use crate::wire::wire;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Interval between the copies that a drill can return to.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the oldest copy that is kept.
const COPY_AGE: Duration = Duration::from_secs(12);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    json: String,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Clone)]
struct Content {
    items: BTreeMap<String, Item>,
    revision: u64,
    events: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
}

struct State {
    content: Content,
    copies: Vec<(Instant, Content)>,
    next_lease: u64,
    era: u64,
    /// While it is set, connections are closed without an answer.
    is_away: bool,
    /// The number of times that it was away, so that waiting watches end.
    outages: u64,
    /// What the operator and the servers wrote last.
    outside: BTreeMap<String, String>,
    pub calls: u64,
    notes: Vec<String>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Content {
    fn item_json(&self, key: &str) -> String {
        let item = &self.items[key];
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            item.value, item.revision, item.created, item.lease
        )
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        let json = self.item_json(key);
        self.events.push(Event { key: key.to_owned(), revision, json });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let json = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.events.push(Event { key: key.to_owned(), revision, json });
        }
    }

    fn expire_leases(&mut self, now: Instant) -> bool {
        let ended: BTreeSet<u64> =
            self.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        self.leases.retain(|id, _| !ended.contains(id));
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| ended.contains(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.remove(key);
        }
        !keys.is_empty()
    }
}

impl Store {
    pub fn start(listener: TcpListener) -> Store {
        let content = Content {
            items: BTreeMap::new(),
            revision: 100,
            events: Vec::new(),
            leases: BTreeMap::new(),
        };
        let state = State {
            content,
            copies: Vec::new(),
            next_lease: 77_000,
            era: 1,
            is_away: false,
            outages: 0,
            outside: BTreeMap::new(),
            calls: 0,
            notes: Vec::new(),
        };
        let address = listener.local_addr().unwrap();
        let store = Store { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        let timing = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(COPY_INTERVAL);
                timing.tick();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        // Leases pause while the store is away.
        if state.is_away {
            return;
        }
        if state.content.expire_leases(now) {
            self.shared.1.notify_all();
        }
        let content = state.content.clone();
        state.copies.push((now, content));
        state.copies.retain(|(at, _)| now.duration_since(*at) <= COPY_AGE);
    }

    /// Writes an item of the operator or of a server.
    pub fn put_outside(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.outside.insert(key.to_owned(), value.to_owned());
        if state.is_away {
            return;
        }
        state.content.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// The drill: the store is away for `away` and comes back from a copy of `age` before. What the
    /// operator and the servers wrote since then is written again.
    pub fn restore(&self, age: Duration, away: Duration) {
        let began = Instant::now();
        let copy = {
            let mut state = self.lock();
            state.is_away = true;
            state.outages += 1;
            self.shared.1.notify_all();
            let copies = &state.copies;
            let found = copies.iter().rev().find(|(at, _)| began.duration_since(*at) >= age);
            found.or(copies.first()).unwrap().clone()
        };
        thread::sleep(away);
        let mut state = self.lock();
        let (at, mut content) = copy;
        let now = Instant::now();
        for lease in content.leases.values_mut() {
            lease.until = now + lease.until.saturating_duration_since(at).min(lease.ttl);
        }
        let (before, after) = (state.content.revision, content.revision);
        let outside: Vec<(String, String)> = state
            .outside
            .iter()
            .map(|(key, value)| (key.clone(), base64(value.as_bytes())))
            .filter(|(key, value)| content.items.get(key).is_none_or(|i| i.value != *value))
            .collect();
        let gone: Vec<String> = content
            .items
            .keys()
            .filter(|key| is_outside(key))
            .filter(|key| !state.outside.contains_key(*key))
            .cloned()
            .collect();
        let again = outside.len();
        for (key, value) in outside {
            content.put(&key, value, 0);
        }
        for key in gone {
            content.remove(&key);
        }
        state.content = content;
        state.copies.clear();
        state.era += 1;
        state.is_away = false;
        let note = format!(
            "store: away for {} ms; back from a copy {} ms old; revision {before} -> {after}; {again} entries of operator and servers written again; Store-Era {}",
            now.duration_since(began).as_millis(),
            began.duration_since(at).as_millis(),
            state.era
        );
        state.notes.push(note);
        self.shared.1.notify_all();
    }

    pub fn notes(&self) -> Vec<String> {
        self.lock().notes.clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let outages = {
                let state = self.lock();
                if state.is_away {
                    return Ok(());
                }
                state.outages
            };
            thread::sleep(ANSWER_TIME);
            let Some((status, body)) = self.answer(&request, outages) else { return Ok(()) };
            let era = {
                let state = self.lock();
                if state.outages != outages {
                    // A connection on which an answer is lost returns nothing further.
                    return Ok(());
                }
                state.era.to_string()
            };
            let headers = [("Content-Type", "application/json"), (wire("era"), era.as_str())];
            write_response(&mut writer, status, &headers, &body)?;
        }
        Ok(())
    }

    /// Returns the answer to a call; `None` if the store has been away meanwhile.
    fn answer(&self, request: &Request, outages: u64) -> Option<(u16, String)> {
        let mut state = self.lock();
        if state.outages != outages {
            return None;
        }
        state.calls += 1;
        let path = request.path().to_owned();
        match path.as_str() {
            path if path == wire("key") => {
                let key = request.query("key").unwrap_or_default();
                let at = state.content.revision;
                if !state.content.items.contains_key(&key) {
                    return Some((404, format!("{{\"at\":{at}}}")));
                }
                let item = state.content.item_json(&key);
                Some((200, format!("{},\"at\":{at}}}", item.trim_end_matches('}'))))
            }
            path if path == wire("range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let content = &state.content;
                let keys = content.items.keys().filter(|key| key.starts_with(&prefix));
                let keys: Vec<&String> = keys.filter(|key| **key > after).collect();
                let items: Vec<String> =
                    keys.iter().take(500).map(|key| content.item_json(key)).collect();
                let (more, at) = (keys.len() > 500, content.revision);
                let items = items.join(",");
                Some((200, format!("{{\"items\":[{items}],\"has_more\":{more},\"at\":{at}}}")))
            }
            path if path == wire("watch") => self.watch(state, request, outages),
            path if path == wire("transaction") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
                let answer = transact(&mut state.content, &body);
                self.shared.1.notify_all();
                Some(answer)
            }
            path if path == wire("lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
                let ttl = body.get("ttl_ms").and_then(Json::number).unwrap_or(1_000);
                let ttl = ttl.clamp(1_000, 600_000);
                state.next_lease += 1;
                let id = state.next_lease;
                let span = Duration::from_millis(ttl);
                state.content.leases.insert(id, Lease { ttl: span, until: Instant::now() + span });
                Some((200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}")))
            }
            path if path.starts_with(wire("keep")) => {
                let id: u64 = path[wire("keep").len()..].parse().ok()?;
                match state.content.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        Some((200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis())))
                    }
                    None => Some((404, "{}".to_owned())),
                }
            }
            path if path.starts_with(wire("lease_end")) => {
                let id: u64 = path[wire("lease_end").len()..].parse().ok()?;
                if let Some(lease) = state.content.leases.get_mut(&id) {
                    lease.until = Instant::now();
                }
                state.content.expire_leases(Instant::now());
                self.shared.1.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((400, "{}".to_owned())),
        }
    }

    fn watch(
        &self,
        mut state: MutexGuard<'_, State>,
        request: &Request,
        outages: u64,
    ) -> Option<(u16, String)> {
        let prefix = request.query("prefix").unwrap_or_default();
        let after: u64 = request.query("after")?.parse().ok()?;
        let wait: u64 = request.query("wait_ms")?.parse().ok()?;
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        loop {
            if state.outages != outages {
                return None;
            }
            let content = &state.content;
            if after > content.revision {
                // A revision that the store does not have.
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(|event| event.json.clone())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, at) = (events.join(","), content.revision);
                return Some((200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

/// Returns whether a key is written by the operator or the servers only.
fn is_outside(key: &str) -> bool {
    key.starts_with(wire("operator")) || key.starts_with(wire("servers"))
}

fn transact(content: &mut Content, body: &Json) -> (u16, String) {
    let expected = body.get(wire("conditions")).map(Json::list).unwrap_or_default();
    let key_of = |row: &Json| row.get("key").and_then(Json::text).unwrap_or_default().to_owned();
    let holds = |row: &Json| {
        let found = content.items.get(&key_of(row)).map_or(0, |item| item.revision);
        row.get("revision").and_then(Json::number) == Some(found)
    };
    if !expected.iter().all(holds) {
        let items: Vec<String> = expected
            .iter()
            .map(key_of)
            .filter(|key| content.items.contains_key(key))
            .map(|key| content.item_json(&key))
            .collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let writes = body.get("writes").map(Json::list).unwrap_or_default();
    let lease_of = |write: &Json| write.get("lease").and_then(Json::number).unwrap_or(0);
    if writes.iter().map(lease_of).any(|id| id != 0 && !content.leases.contains_key(&id)) {
        return (404, "{}".to_owned());
    }
    let removed = body.get("remove").map(Json::list).unwrap_or_default();
    let keys =
        writes.iter().map(key_of).chain(removed.iter().filter_map(Json::text).map(str::to_owned));
    if keys.into_iter().any(|key| is_outside(&key)) {
        return (403, "{}".to_owned());
    }
    for write in writes {
        let value = write.get("value").and_then(Json::text).unwrap_or_default();
        content.put(&key_of(write), value.to_owned(), lease_of(write));
    }
    for key in removed {
        content.remove(key.text().unwrap_or_default());
    }
    (200, format!("{{\"revision\":{}}}", content.revision))
}
