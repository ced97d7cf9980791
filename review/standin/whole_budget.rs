//! One tenant sends many times its usual on a route whose answers are no streams.
//!
//! BUDGET: a tenant gets more than its `prepaid`. Only the input tokens of answered requests are
//! counted here, so the tenant has got at least as much.

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
use crate::site::Call;
use crate::site::Route;
use crate::site::Sent;
use crate::site::Servers;
use crate::site::Tenant;

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const INPUT_TOKENS: u64 = 1_460;
const MAX_OUTPUT_TOKENS: u64 = 140;
/// Requests that the tenant sends in a second, usually.
const RATE: f64 = 2.0;
/// How many times its usual it sends, as far as the site goes (`hot_tenant`), when and for how long.
const TIMES: f64 = 7.5;
const HOT_AT: f64 = 8.0;
const HOT_FOR: f64 = 6.5;
const LENGTH: f64 = 26.0;
/// What the tenant has paid for, as a multiple of its usual (`prepaid_x` of the site).
const PREPAID_TIMES: f64 = 1.3;
const DEADLINE: Duration = Duration::from_millis(8_000);

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    match try_play(folder, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn try_play(folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let usual = RATE * LENGTH * (INPUT_TOKENS + MAX_OUTPUT_TOKENS) as f64;
    let prepaid = (usual * PREPAID_TIMES) as u64;
    // `STREAMS=1` plays the same on a streaming route, for comparison.
    let streams = std::env::var("STREAMS").is_ok_and(|text| text == "1");
    let route = Route {
        name: "r-2yhvz3p",
        prefix: site::CHAT,
        kind: if streams { "streaming" } else { "safe" },
        service: site::MODELS,
        timeout_ms: 8_000,
        prompts: true,
        attempts: 1,
    };
    let tenant = Tenant { name: "hule930", keys: &[KEY], prepaid };
    let servers = Servers {
        service: site::MODELS,
        count: 12,
        framing: if streams { "chunks" } else { "length" },
        bad_part: "",
        prefill_ms: 60,
        gap_ms: 10,
        events: 20,
    };
    let fleet = match site::start(&site::configuration(7, &[route], &[tenant]), &[servers])? {
        Ok(fleet) => fleet,
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    let fronts: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.front).collect();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (start, mut next, mut number, mut threads) = (Instant::now(), 0.0, 0, Vec::new());
    while next < LENGTH {
        thread::sleep(Duration::from_secs_f64(next).saturating_sub(start.elapsed()));
        number += 1;
        let (sent, front) = (sent.clone(), fronts[number % fronts.len()]);
        threads.push(thread::spawn(move || {
            let id = format!("prompt{number:05}");
            let prefix =
                format!("{:08x}:350,{:08x}:1110", 0x5c1e_0000 + number % 20, 0x4000_0000 + number);
            let counts = format!("{INPUT_TOKENS},{MAX_OUTPUT_TOKENS}");
            let call = Call {
                id: &id,
                path: "/lovo630/2f",
                key: KEY,
                deadline: DEADLINE,
                prompt: Some((&prefix, &counts)),
                body: b"prompt",
            };
            let one = site::send(front, &call, "prompt");
            sent.lock().unwrap().push(one);
        }));
        let hot = trouble && (HOT_AT..HOT_AT + HOT_FOR).contains(&next);
        next += 1.0 / (RATE * if hot { TIMES } else { 1.0 });
    }
    for thread in threads {
        let _ = thread.join();
    }
    let lines = site::server_lines(&fleet);
    drop(fleet);
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|one: &Sent| one.at);
    record.events(&sent, &lines?);
    let count =
        |status| sent.iter().filter(|one| one.status == status && one.complete).count() as u64;
    let got = count(200) * INPUT_TOKENS;
    record.result(&format!(
        "{} requests, {} answered 200, {} answered 402; prepaid {prepaid} tokens, got {got} input tokens \
         at least",
        sent.len(),
        count(200),
        count(402)
    ));
    if count(200) < 20 {
        return Ok(Verdict::NotRun("hardly any request was served".to_owned()));
    }
    if got > prepaid {
        record.result("rule BUDGET is broken");
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}
