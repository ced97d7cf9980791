//! The operator raises the time-out of a route, and takes a key away a few seconds later.
//!
//! CONFIG: a request sent later than `configuration_ms` after the acknowledgement of a version is
//! handled as only an older version allows: it runs with a key that was taken away, or is refused
//! although its key or route is there.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Record;
use crate::now_ms;
use crate::site;
use crate::site::CONFIGURATION;
use crate::site::Call;
use crate::site::Route;
use crate::site::Sent;
use crate::site::Servers;
use crate::site::Tenant;

const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
const ADDED_KEY: &str = "q7m2xw4kd9ruz5tbh3pe";
const LOOKUP: &str = "/cufi504/";
/// The time-out of the streaming route before the change.
const TIMEOUT_MS: u64 = 8_000;
/// The time-out that the operator sets: ten minutes, or a second more in the play without the
/// disruption.
const LONG_TIMEOUT_MS: u64 = 600_000;
const USUAL_TIMEOUT_MS: u64 = 9_000;
/// When the time-out changes, when the key is taken away and when the play ends.
const CHANGE: Duration = Duration::from_secs(5);
const REVOKE: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(22);
/// Interval between two requests.
const EVERY: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// `revocation_ms` of the site.
const REVOCATION: u64 = 5_000;
const KEPT: &str = "kept";
const REVOKED: &str = "revoked";
const ADDED: &str = "added";

fn configuration(version: u64, timeout_ms: u64, keys: &[&str]) -> String {
    let chat = Route {
        name: "r-2yhvz3p",
        prefix: site::CHAT,
        kind: "streaming",
        service: site::MODELS,
        timeout_ms,
        prompts: true,
        attempts: 1,
    };
    let lookup = Route {
        name: "r-fi6y7z5",
        prefix: LOOKUP,
        kind: "safe",
        service: site::BOOKINGS,
        timeout_ms: 1_000,
        prompts: false,
        attempts: 2,
    };
    let tenant = Tenant { name: "hule930", keys, prepaid: 1_000_000_000 };
    site::configuration(version, &[chat, lookup], &[tenant])
}

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    match try_play(folder, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn try_play(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let servers = Servers {
        service: site::BOOKINGS,
        count: 3,
        framing: "length",
        bad_part: "",
        prefill_ms: 20,
        gap_ms: 0,
        events: 0,
    };
    let first = configuration(7, TIMEOUT_MS, &[KEPT_KEY, REVOKED_KEY]);
    let fleet = match site::start(&first, &[servers])? {
        Ok(fleet) => fleet,
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    let fronts: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.front).collect();
    let timeout_ms = if trouble { LONG_TIMEOUT_MS } else { USUAL_TIMEOUT_MS };
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (start, mut number, mut threads) = (Instant::now(), 0, Vec::new());
    let (mut changed, mut revoked) = (false, None);
    while start.elapsed() < END {
        if !changed && start.elapsed() >= CHANGE {
            changed = true;
            let keys = [KEPT_KEY, REVOKED_KEY];
            fleet.store.put("op/config", &configuration(9, timeout_ms, &keys));
            record.line(
                now_ms(),
                &format!("operator: version 9 acknowledged, time-out {timeout_ms} ms"),
            );
        }
        if revoked.is_none() && start.elapsed() >= REVOKE {
            let keys = [KEPT_KEY, ADDED_KEY];
            fleet.store.put("op/config", &configuration(10, timeout_ms, &keys));
            revoked = Some(now_ms());
            record
                .line(now_ms(), "operator: version 10 acknowledged, one key taken away, one added");
        }
        number += 1;
        let (sent, front) = (sent.clone(), fronts[number % fronts.len()]);
        let (kind, key) = [(KEPT, KEPT_KEY), (REVOKED, REVOKED_KEY), (ADDED, ADDED_KEY)]
            [number / fronts.len() % 3];
        threads.push(thread::spawn(move || {
            let id = format!("{kind}{number:05}");
            let call = Call {
                id: &id,
                path: "/cufi504/fi50/2f",
                key,
                deadline: DEADLINE,
                prompt: None,
                body: b"lookup",
            };
            let one = site::send(front, &call, kind);
            sent.lock().unwrap().push(one);
        }));
        thread::sleep(EVERY);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let lines = site::server_lines(&fleet);
    drop(fleet);
    let (lines, mut sent) = (lines?, std::mem::take(&mut *sent.lock().unwrap()));
    sent.sort_by_key(|one: &Sent| one.at);
    record.events(&sent, &lines);
    let ran: BTreeSet<&str> =
        lines.iter().filter(|line| line.event == "reach").map(|line| line.id.as_str()).collect();
    let acknowledged = revoked.unwrap_or_default();
    let late = |kind: &str| {
        let of_kind = sent.iter().filter(|one| one.kind == kind);
        of_kind.filter(|one| one.at > acknowledged + CONFIGURATION).collect::<Vec<&Sent>>()
    };
    let count_ran =
        |sent: &[&Sent]| sent.iter().filter(|one| ran.contains(one.id.as_str())).count();
    let after_limit = |one: &&&Sent| one.at > acknowledged + REVOCATION;
    let (kept, late_revoked, added) = (late(KEPT), late(REVOKED), late(ADDED));
    let refused = added.iter().filter(|one| matches!(one.status, 401 | 403 | 404)).count();
    let ran_revoked = count_ran(&late_revoked);
    record.result(&format!(
        "later than {CONFIGURATION} ms after version 10: {} of {} requests with the kept key ran; {ran_revoked} \
         of {} with the key that was taken away ran; {refused} of {} with the added key were refused 401, 403 \
         or 404",
        count_ran(&kept),
        kept.len(),
        late_revoked.len(),
        added.len()
    ));
    let longer: Vec<&Sent> = late_revoked.iter().filter(after_limit).copied().collect();
    record.result(&format!(
        "later than {REVOCATION} ms after it: {} of {} requests with the key that was taken away ran",
        count_ran(&longer),
        longer.len()
    ));
    if count_ran(&kept) * 10 < kept.len() * 9 {
        return Ok(Verdict::NotRun("requests with the kept key failed".to_owned()));
    }
    if ran_revoked > 0 || refused > 0 {
        record.result("rule CONFIG is broken");
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}
