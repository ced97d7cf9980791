//! The platform's store: keys with revisions, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::free_address;
use crate::http;
use crate::http::Request;
use crate::json;
use crate::json::Json;
use crate::json::quote;

#[derive(Clone)]
struct Item {
    /// Base64 text, as it was written.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change { key: key.to_owned(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.changes.push(Change { key: key.to_owned(), revision, item: None });
        }
    }

    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Address for the system's machines.
    pub address: SocketAddr,
    /// Address for the operator and the servers.
    pub operator: SocketAddr,
}

const HISTORY: usize = 100_000;

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let system = TcpListener::bind(free_address()?)?;
        let operator = TcpListener::bind(free_address()?)?;
        let store = Store {
            state: Arc::default(),
            address: system.local_addr()?,
            operator: operator.local_addr()?,
        };
        store.state.0.lock().unwrap().revision = 1;
        for (listener, trusted) in [(system, false), (operator, true)] {
            let store = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = store.clone();
                    thread::spawn(move || store.serve(stream, trusted));
                }
            });
        }
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                if expiring.state.0.lock().unwrap().expire_leases() {
                    expiring.state.1.notify_all();
                }
            }
        });
        Ok(store)
    }

    /// Writes a value for the operator.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &json::base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, stream: TcpStream, trusted: bool) {
        let Ok(mut out) = stream.try_clone() else { return };
        let _ = out.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.handle(&request, trusted);
            let headers = "Content-Type: application/json\r\n";
            if http::respond(&mut out, status, headers, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request, trusted: bool) -> (&'static str, String) {
        let body = json::parse(std::str::from_utf8(&request.body).unwrap_or_default());
        let body = body.unwrap_or(Json::Null);
        let (lock, changed) = &*self.state;
        match (request.method.as_str(), request.path()) {
            ("GET", "/kv-key") => {
                let state = lock.lock().unwrap();
                let key = request.query("key").unwrap_or_default();
                let at = state.revision;
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        ("200 OK", format!("{},\"at\":{at}}}", text.trim_end_matches('}')))
                    }
                    None => ("404 Not Found", format!("{{\"at\":{at}}}")),
                }
            }
            ("GET", "/kv-range") => {
                let state = lock.lock().unwrap();
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let found = found.filter(|(key, _)| after.is_empty() || **key > after);
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                let (items, at) = (items.join(","), state.revision);
                ("200 OK", format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
            }
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => {
                let mut state = lock.lock().unwrap();
                let response = transact(&mut state, &body, trusted);
                changed.notify_all();
                response
            }
            ("POST", "/kv-lease") => {
                let mut state = lock.lock().unwrap();
                let ttl = body.get("ttl_ms").number().unwrap_or(1_000).max(1_000);
                state.last_lease += 1;
                let id = state.last_lease;
                let time = Duration::from_millis(ttl);
                state.leases.insert(id, (time, Instant::now() + time));
                ("200 OK", format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            (_, path) => {
                let mut state = lock.lock().unwrap();
                let id = |prefix| path.strip_prefix(prefix)?.parse::<u64>().ok();
                if let Some(id) = id("/kv-keep/") {
                    return match state.leases.get_mut(&id) {
                        Some((time, end)) => {
                            *end = Instant::now() + *time;
                            ("200 OK", "{}".to_owned())
                        }
                        None => ("404 Not Found", "{}".to_owned()),
                    };
                }
                if let Some(id) = id("/kv-lease-end/") {
                    state.end_lease(id);
                    changed.notify_all();
                    return ("200 OK", "{}".to_owned());
                }
                ("404 Not Found", "{}".to_owned())
            }
        }
    }

    fn watch(&self, request: &Request) -> (&'static str, String) {
        let (lock, changed) = &*self.state;
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text: String| text.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut state = lock.lock().unwrap();
        loop {
            let start = state.changes.len().saturating_sub(HISTORY);
            let found = state.changes[start..].iter();
            let found = found.filter(|c| c.revision > after && c.key.starts_with(&prefix));
            let events: Vec<String> = found
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => {
                        let (key, revision) = (quote(&change.key), change.revision);
                        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    let (key, value) = (quote(key), quote(value));
    format!(
        "{{\"key\":{key},\"value\":{value},\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

fn transact(state: &mut State, body: &Json, trusted: bool) -> (&'static str, String) {
    let is_reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
    let (writes, remove) = (body.get("writes").list(), body.get("remove").list());
    let mut keys =
        writes.iter().map(|row| row.get("key").text()).chain(remove.iter().map(Json::text));
    if !trusted && keys.any(is_reserved) {
        return ("403 Forbidden", "{}".to_owned());
    }
    let expected = body.get("expected_revision").list();
    let current = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    let holds = |row: &Json| Some(current(row.get("key").text())) == row.get("revision").number();
    if !expected.iter().all(holds) {
        let items = expected.iter().filter_map(|row| {
            let key = row.get("key").text();
            Some(item_json(key, state.items.get(key)?))
        });
        let items: Vec<String> = items.collect();
        return ("412 Precondition Failed", format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let lease = |row: &Json| row.get("lease").number().unwrap_or(0);
    if writes.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
        return ("404 Not Found", "{}".to_owned());
    }
    state.revision += 1;
    for row in writes {
        state.put(row.get("key").text(), row.get("value").text(), lease(row));
    }
    for key in remove {
        state.remove(key.text());
    }
    ("200 OK", format!("{{\"revision\":{}}}", state.revision))
}
