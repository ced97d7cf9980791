//! One of three machines is lost for good. Then the processes of the other two are killed at the same
//! moment, three times; the last time is the final fault.
//!
//! RECOVER: of the requests sent later than `recovery_s` after the machines are back, less than a
//! quarter is served, though a quarter or more was before the final fault.

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
use crate::site::Call;
use crate::site::Route;
use crate::site::Sent;
use crate::site::Servers;
use crate::site::Tenant;

const KEYS: [&str; 3] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "q7m2xw4kd9ruz5tbh3pe"];
const TENANTS: [&str; 3] = ["hule930", "muko214", "rafa58c"];
const INPUT_TOKENS: u64 = 1_460;
const MAX_OUTPUT_TOKENS: u64 = 140;
/// Interval between two requests, of the tenants in turn.
const EVERY: Duration = Duration::from_millis(250);
/// When a machine is lost, and when the processes of the others are killed.
const LOSS: Duration = Duration::from_secs(8);
const KILLS: [Duration; 3] =
    [Duration::from_secs(14), Duration::from_secs(20), Duration::from_secs(26)];
/// Time until the platform starts the killed processes again.
const DOWN: Duration = Duration::from_millis(800);
const END: Duration = Duration::from_secs(52);
/// `recovery_s` of the site.
const RECOVERY: u64 = 12_000;
/// What a tenant has paid for, as a multiple of what it sends in the whole play (`prepaid_x`).
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
    let route = Route {
        name: "r-2yhvz3p",
        prefix: site::CHAT,
        kind: "streaming",
        service: site::MODELS,
        timeout_ms: 8_000,
        prompts: true,
        attempts: 1,
    };
    let requests = END.as_secs_f64() / EVERY.as_secs_f64() / TENANTS.len() as f64;
    let usual = requests * (INPUT_TOKENS + MAX_OUTPUT_TOKENS) as f64;
    let prepaid = (usual * PREPAID_TIMES) as u64;
    let keys = KEYS.map(|key| [key]);
    let tenants: Vec<Tenant<'_>> =
        TENANTS.iter().zip(&keys).map(|(name, keys)| Tenant { name, keys, prepaid }).collect();
    let servers = Servers {
        service: site::MODELS,
        count: 12,
        framing: "chunks",
        bad_part: "",
        prefill_ms: 60,
        gap_ms: 10,
        events: 20,
    };
    let configuration = site::configuration(7, &[route], &tenants);
    let mut fleet = match site::start(&configuration, &[servers])? {
        Ok(fleet) => fleet,
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let (start, mut number, mut threads) = (Instant::now(), 0, Vec::new());
    let (mut alive, mut kills, mut back_at) = (vec![0, 1, 2], KILLS.iter(), None);
    let (mut next_kill, mut next_request) = (kills.next(), Duration::ZERO);
    let (mut final_fault, mut final_back) = (u64::MAX, u64::MAX);
    let is_ready = |fleet: &crate::fleet::Fleet, alive: &[usize]| -> Vec<SocketAddr> {
        let routers = alive.iter().map(|machine| &fleet.routers[*machine]);
        routers.filter(|router| router.is_ready()).map(|router| router.front).collect()
    };
    let (mut ready, mut next_look) = (is_ready(&fleet, &alive), Duration::from_secs(1));
    while start.elapsed() < END {
        thread::sleep(Duration::from_millis(5));
        let now = start.elapsed();
        if trouble && alive.len() == 3 && now >= LOSS {
            fleet.routers[2].kill();
            alive.pop();
            record.line(now_ms(), &format!("fault: {} is lost for good", fleet.routers[2].name));
        }
        if trouble && next_kill.is_some_and(|at| now >= *at) {
            for machine in &alive {
                fleet.routers[*machine].kill();
            }
            record.line(now_ms(), "fault: the processes of the other machines are killed");
            (next_kill, back_at, final_fault) = (kills.next(), Some(now + DOWN), now_ms());
        }
        if back_at.is_some_and(|at| now >= at) {
            for machine in &alive {
                fleet.routers[*machine].restart()?;
            }
            record.line(now_ms(), "platform: the processes start again");
            (back_at, final_back) = (None, now_ms());
        }
        if now >= next_look {
            next_look += Duration::from_secs(1);
            ready = is_ready(&fleet, &alive);
        }
        if now < next_request {
            continue;
        }
        next_request += EVERY;
        number += 1;
        // Where no machine is ready, the platform uses all of them.
        let all: Vec<SocketAddr> =
            alive.iter().map(|machine| fleet.routers[*machine].front).collect();
        let fronts = if ready.is_empty() { &all } else { &ready };
        let (sent, front) = (sent.clone(), fronts[number / KEYS.len() % fronts.len()]);
        threads.push(thread::spawn(move || {
            let id = format!("prompt{number:05}");
            let prefix =
                format!("{:08x}:350,{:08x}:1110", 0x5c1e_0000 + number % 20, 0x4000_0000 + number);
            let counts = format!("{INPUT_TOKENS},{MAX_OUTPUT_TOKENS}");
            let call = Call {
                id: &id,
                path: "/lovo630/2f",
                key: KEYS[number % KEYS.len()],
                deadline: DEADLINE,
                prompt: Some((&prefix, &counts)),
                body: b"prompt",
            };
            let one = site::send(front, &call, TENANTS[number % KEYS.len()]);
            sent.lock().unwrap().push(one);
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let lines = site::server_lines(&fleet);
    drop(fleet);
    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|one: &Sent| one.at);
    record.events(&sent, &lines?);
    if !trouble {
        // The same moments, without a fault.
        let first = sent.first().map_or(0, |one| one.at);
        let last_kill = KILLS[KILLS.len() - 1];
        final_fault = first + last_kill.as_millis() as u64;
        final_back = final_fault + DOWN.as_millis() as u64;
    }
    let share = |from: u64, to: u64| {
        let of: Vec<&Sent> = sent.iter().filter(|one| from <= one.at && one.at < to).collect();
        let served = of.iter().filter(|one| one.status == 200 && one.complete).count();
        (served, of.len())
    };
    let (before, before_all) = share(0, final_fault);
    let (after, after_all) = share(final_back + RECOVERY, u64::MAX);
    let got = sent.iter().filter(|one| one.complete && one.status == 200).count() as u64;
    let got = got * (INPUT_TOKENS + MAX_OUTPUT_TOKENS);
    record.result(&format!(
        "before the final fault {before} of {before_all} requests were served; later than {RECOVERY} ms \
         after the machines were back {after} of {after_all}"
    ));
    record.result(&format!(
        "the tenants have paid for {} tokens and got {got}",
        prepaid * TENANTS.len() as u64
    ));
    if before * 4 < before_all || after_all < 20 {
        return Ok(Verdict::NotRun("hardly any request was served before".to_owned()));
    }
    if after * 4 < after_all {
        record.result("rule RECOVER is broken");
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}
