//! A part of a prompt crashes each server that begins to write an answer on it.
//!
//! The rules are those that came with letter 7. BUDGET: more than three requests with the part reach
//! servers later than `contact_ms` after the fifth crash. LOST: from twice `contact_ms` after the
//! fifth crash, while such requests still come, sound requests of the route with the same key begin
//! less than half as often at the first attempt as outside unplanned disruption.

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
use crate::site;
use crate::site::CONTACT;
use crate::site::Call;
use crate::site::Route;
use crate::site::Sent;
use crate::site::ServerLine;
use crate::site::Servers;
use crate::site::Tenant;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Crashes after which the time limit begins.
const CRASH_LIMIT: usize = 5;
/// Requests with the part that may reach servers after the time limit.
const LATE_LIMIT: usize = 3;
/// Requests from which shares are compared.
const SHARE_MIN: usize = 20;
/// Time with sound requests only, before the requests with the part come.
const CALM: Duration = Duration::from_secs(8);
/// Time in which requests with the part come.
const TROUBLE: Duration = Duration::from_secs(30);
/// Interval of the sound requests.
const SOUND_EVERY: Duration = Duration::from_millis(50);
/// Number of first parts that the requests share.
const FIRST_PARTS: usize = 20;
const DEADLINE: Duration = Duration::from_millis(8_000);
const EVENTS: usize = 20;
const BAD: &str = "bad";
const SOUND: &str = "sound";

/// How the requests with the part come and how servers answer.
pub struct Plan {
    /// `chunks`, or `none` for answers that end with their connection.
    framing: &'static str,
    bad_part: &'static str,
    /// Number of further parts in each prompt, no two of them alike.
    other_parts: usize,
    prefill_ms: u64,
    /// Number of requests with the part that come at once.
    at_once: usize,
    every: Duration,
}

/// Requests with the part come one by one; answers end with their connection. `CHUNKS=1` plays the
/// same with chunks, for comparison.
pub fn unframed() -> Plan {
    let chunked = std::env::var("CHUNKS").is_ok_and(|text| text == "1");
    Plan {
        framing: if chunked { "chunks" } else { "none" },
        bad_part: "7badc0de",
        other_parts: 0,
        prefill_ms: 60,
        at_once: 1,
        every: Duration::from_millis(700),
    }
}

/// Requests with the part come several at once; answers have chunks.
pub fn bursts() -> Plan {
    Plan {
        framing: "chunks",
        bad_part: "7badc0de",
        other_parts: 0,
        prefill_ms: 200,
        at_once: 10,
        every: Duration::from_secs(6),
    }
}

/// Requests with the part come one by one; each prompt has many parts.
pub fn many_parts() -> Plan {
    Plan {
        framing: "chunks",
        bad_part: "f7adc0de",
        other_parts: 24,
        prefill_ms: 60,
        at_once: 1,
        every: Duration::from_millis(700),
    }
}

/// Plays the case and judges it.
pub fn play(folder: &Path, plan: &Plan, trouble: bool) -> Verdict {
    match try_play(folder, plan, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn try_play(folder: &Path, plan: &Plan, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let route = Route {
        name: "r-2yhvz3p",
        prefix: site::CHAT,
        kind: "streaming",
        service: site::MODELS,
        timeout_ms: 8_000,
        prompts: true,
        attempts: 1,
    };
    let tenant = Tenant { name: "hule930", keys: &[KEY], prepaid: 1_000_000_000 };
    let servers = Servers {
        service: site::MODELS,
        count: 12,
        framing: plan.framing,
        bad_part: if trouble { plan.bad_part } else { "" },
        prefill_ms: plan.prefill_ms,
        gap_ms: 30,
        events: EVENTS,
    };
    let mut fleet = match site::start(&site::configuration(7, &[route], &[tenant]), &[servers])? {
        Ok(fleet) => fleet,
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    let fronts: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.front).collect();
    let sent = send_all(plan, &fronts);
    let running = fleet.routers.iter_mut().filter_map(|router| router.is_running().then_some(()));
    record.result(&format!("{} of {} machines run at the end", running.count(), fronts.len()));
    let servers = site::server_lines(&fleet);
    drop(fleet);
    Ok(judge(&record, &sent, &servers?, trouble))
}

/// Sends the requests of both kinds, each on a connection of its own, and returns them.
fn send_all(plan: &Plan, fronts: &[SocketAddr]) -> Vec<Sent> {
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    let start = Instant::now();
    let (mut sound_number, mut bad_number) = (0usize, 0usize);
    let (mut next_sound, mut next_bad) = (start, start + CALM);
    let end = start + CALM + TROUBLE;
    loop {
        let now = next_sound.min(next_bad);
        if now >= end {
            break;
        }
        thread::sleep(now.saturating_duration_since(Instant::now()));
        let mut requests = Vec::new();
        if next_sound <= now {
            next_sound += SOUND_EVERY;
            sound_number += 1;
            requests.push((sound_number, false));
        }
        if next_bad <= now {
            next_bad += plan.every;
            for _ in 0..plan.at_once {
                bad_number += 1;
                requests.push((bad_number, true));
            }
        }
        for (number, bad) in requests {
            let (sent, front) = (sent.clone(), fronts[number % fronts.len()]);
            let prefix = plan.prefix(number, bad);
            threads.push(thread::spawn(move || {
                let one = send_one(front, number, bad, prefix);
                sent.lock().unwrap().push(one);
            }));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|one| one.at);
    sent
}

impl Plan {
    /// Returns the parts of a prompt. Sound ones share their first part with others.
    fn prefix(&self, number: usize, bad: bool) -> String {
        let first = 0x5c1e_0000 + (number * 7) % FIRST_PARTS;
        // The last part belongs to the request itself, so no two are alike.
        let own = 0x4000_0000 + number * 2 + usize::from(bad);
        let other = |part: usize| format!("{:08x}:20", 0x1000_0000 + own * 64 % 0x3000_0000 + part);
        let mut parts = vec![format!("{first:08x}:350")];
        if bad {
            parts.push(format!("{}:410", self.bad_part));
        }
        parts.extend((0..self.other_parts).map(other));
        parts.push(format!("{own:08x}:1110"));
        parts.join(",")
    }
}

fn send_one(front: SocketAddr, number: usize, bad: bool, prefix: String) -> Sent {
    let kind = if bad { BAD } else { SOUND };
    let id = format!("{kind}{number:05}");
    let body = format!("prompt of {id}");
    let call = Call {
        id: &id,
        path: "/lovo630/2f",
        key: KEY,
        deadline: DEADLINE,
        prompt: Some((&prefix, "1870,140")),
        body: body.as_bytes(),
    };
    site::send(front, &call, kind)
}

/// Returns a share in percent.
fn percent(part: usize, whole: usize) -> usize {
    if whole == 0 { 0 } else { part * 100 / whole }
}

fn judge(record: &Record, sent: &[Sent], servers: &[ServerLine], trouble: bool) -> Verdict {
    record.events(sent, servers);
    let of_bad = sent.iter().filter(|one| one.kind == BAD).map(|one| one.id.as_str());
    let of_bad: BTreeSet<&str> = of_bad.collect();
    let times = |event: &str| {
        let lines = servers.iter().filter(|line| line.event == event);
        let times = lines.filter(|line| of_bad.contains(line.id.as_str())).map(|line| line.at);
        times.collect::<Vec<u64>>()
    };
    let (mut crashes, reached) = (times("crash"), times("reach"));
    crashes.sort_unstable();
    let bad_count = of_bad.len();
    record.result(&format!(
        "{} requests, {bad_count} of them with the part; {} reached servers; {} crashes",
        sent.len(),
        reached.len(),
        crashes.len()
    ));
    let begun = |from: u64, to: u64| {
        let of = sent.iter().filter(|one| one.kind == SOUND && from <= one.at && one.at < to);
        let of: Vec<&Sent> = of.collect();
        let begun = of.iter().filter(|one| one.events > 0).count();
        let whole = of.iter().filter(|one| one.complete && one.events == EVENTS).count();
        (begun, whole, of.len())
    };
    let Some(first) = sent.first() else { return Verdict::NotRun("nothing was sent".to_owned()) };
    let trouble_at = first.at + CALM.as_millis() as u64;
    let (calm_begun, calm_whole, calm) = begun(0, trouble_at);
    record.result(&format!(
        "sound requests before: {calm_begun} of {calm} begun, {calm_whole} whole"
    ));
    if calm < SHARE_MIN || percent(calm_begun, calm) < 90 {
        return Verdict::NotRun("sound requests failed before the disruption".to_owned());
    }
    let Some(fifth) = crashes.get(CRASH_LIMIT - 1).copied() else {
        record.result("fewer than five crashes");
        let (later_begun, later_whole, later) = begun(trouble_at, u64::MAX);
        record.result(&format!(
            "sound requests after: {later_begun} of {later} begun, {later_whole} whole"
        ));
        return match trouble {
            true => Verdict::NotRun("fewer than five crashes".to_owned()),
            false => Verdict::Held,
        };
    };
    let late = reached.iter().filter(|at| **at > fifth + CONTACT).count();
    record.result(&format!(
        "fifth crash at {} ms; requests with the part that reached servers later than {CONTACT} ms after \
         it: {late} (at most {LATE_LIMIT})",
        fifth.saturating_sub(record.started)
    ));
    let last_bad = sent.iter().filter(|one| one.kind == BAD).map(|one| one.at).max().unwrap_or(0);
    let (late_begun, late_whole, late_sound) = begun(fifth + 2 * CONTACT, last_bad);
    record.result(&format!(
        "sound requests from {} ms after it: {late_begun} of {late_sound} begun, {late_whole} whole",
        2 * CONTACT
    ));
    let (share, calm_share) = (percent(late_begun, late_sound), percent(calm_begun, calm));
    let lost = late_sound >= SHARE_MIN && share * 2 < calm_share;
    if lost {
        record.result("rule LOST is broken");
    }
    if late > LATE_LIMIT {
        record.result("rule BUDGET is broken");
    }
    if lost || late > LATE_LIMIT { Verdict::Broken } else { Verdict::Held }
}
