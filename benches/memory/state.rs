//! Configuration, routes and queues of a given size.

use std::fmt::Write;
use std::net::Ipv4Addr;

use berylwheel_config::AccessTable;
use berylwheel_config::Change;
use berylwheel_config::ChangeAction;
use berylwheel_config::ConfigState;
use berylwheel_config::Proposal;
use berylwheel_config::SyncPolicy;
use berylwheel_config::propose;
use berylwheel_config::split;
use berylwheel_route::LoadBalancer;
use berylwheel_route::LoadReport;
use berylwheel_route::Outcome;
use berylwheel_route::RoutePolicy;
use berylwheel_route::RouteQuery;
use berylwheel_route::Server;
use berylwheel_schedule::KindLimits;
use berylwheel_schedule::SchedulePolicy;
use berylwheel_schedule::Scheduler;
use berylwheel_schedule::WorkItem;
use berylwheel_settings::Settings;
use berylwheel_types::ByteSize;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;

use crate::processor_nanos;

/// Numbers of models and routers at the target size.
const MODELS: usize = 13;
const ROUTERS: usize = 340;
/// Number of workspaces that send requests.
const WORKSPACES: usize = 1_000;
/// Number of requests over which the time of a decision is averaged.
const DECISIONS: usize = 20_000;
const START_TIME: Timestamp = Timestamp::from_millis(1_000);

fn parse_settings(workspaces: usize) -> Settings {
    let mut text = "[kind chat]\nservice = engine\nmodels = m1\n".to_owned();
    for i in 0..workspaces {
        let _ = write!(
            text,
            "[workspace w{i}]\nin_flight = 100\nkey.a = {:064x}\nkey.b = {:064x}\n",
            2 * i,
            2 * i + 1
        );
    }
    Settings::parse("bench", &text).expect("settings")
}

/// Returns a router's state for a configuration with `workspaces` workspaces of two keys each.
pub fn config_state(workspaces: usize) -> (ConfigState, AccessTable) {
    let change = Change {
        id: "first".parse().expect("a change id"),
        base: Version(0),
        author: "bench".to_owned(),
        action: ChangeAction::Replace(parse_settings(workspaces)),
    };
    let Ok(Proposal::Write(transaction)) = propose(None, &change, START_TIME) else {
        panic!("the change was refused");
    };
    let id = "r0".parse().expect("a router");
    let domain = "d0".parse().expect("a domain");
    let mut state = ConfigState::new(id, domain, SyncPolicy::default());
    state.handle_parts(START_TIME, transaction.root.clone(), transaction.parts.clone());
    let access = AccessTable::new(state.settings().expect("settings in force"));
    (state, access)
}

/// Returns the size in bytes of the largest part of a configuration with `workspaces` workspaces.
pub fn largest_part_bytes(workspaces: usize) -> usize {
    split(&parse_settings(workspaces)).iter().map(|part| part.text.len()).max().unwrap_or(0)
}

/// Returns a load balancer for `count` servers, each with one model and a load report.
pub fn load_balancer(count: usize) -> LoadBalancer {
    let server = |number: usize| Server {
        id: format!("engine-{number}").parse().expect("a server"),
        address: (Ipv4Addr::LOCALHOST, 9_000).into(),
        kinds: vec!["chat".parse().expect("a kind")],
        models: vec![format!("m{}", number % MODELS).parse().expect("a model")],
        concurrency: 64,
        domain: format!("d{}", number % 8).parse().expect("a domain"),
    };
    let mut routes = LoadBalancer::new("r0".parse().expect("a router"), RoutePolicy::default(), 1);
    routes.set_routers(ROUTERS);
    let servers: Vec<Server> = (0..count).map(server).collect();
    let ids: Vec<_> = servers.iter().map(|server| server.id.clone()).collect();
    routes.set_servers(START_TIME, servers);
    for id in &ids {
        let report = LoadReport { at: START_TIME, in_flight: 8, ..LoadReport::default() };
        routes.apply_report(START_TIME, id, report);
    }
    routes
}

fn chat_kind() -> KindId {
    "chat".parse().expect("a kind")
}

fn work_item(number: usize, now: Timestamp) -> WorkItem {
    WorkItem {
        request: format!("r1-1a23f7d73b42ea8-{number}").parse().expect("a request"),
        workspace: format!("workspace-{}", number % WORKSPACES).parse().expect("a workspace"),
        kind: chat_kind(),
        model: Some("m1".parse().expect("a model")),
        rank: Rank::ALL[number % Rank::ALL.len()],
        cost: Tokens(800),
        size: ByteSize(2_000),
        deadline: now + Millis(600_000),
    }
}

/// Returns a scheduler with `count` queued requests.
pub fn scheduler(count: usize) -> Scheduler {
    let mut scheduler =
        Scheduler::new(SchedulePolicy { workspace_limit: usize::MAX, ..Default::default() });
    let limits = KindLimits {
        queue_length: usize::MAX,
        queue_bytes: ByteSize(u64::MAX),
        concurrency: usize::MAX,
    };
    scheduler.set_kind_limits(chat_kind(), limits);
    for number in 0..count {
        scheduler.submit(START_TIME, work_item(number, START_TIME)).expect("room in the queue");
    }
    scheduler
}

/// Returns the mean processor time of all scheduling and routing decisions for one request, with
/// `queued` other requests in the queue: submission, start, choice among the servers of the target
/// size, first token, and end.
pub fn decision_seconds(queued: usize) -> f64 {
    let mut scheduler = scheduler(queued);
    let mut routes = load_balancer(930);
    let query = RouteQuery {
        kind: chat_kind(),
        model: Some("m1".parse().expect("a model")),
        prefix: 7,
        exclude: Vec::new(),
        prompt_tokens: Tokens(1_000),
    };
    let mut now = START_TIME;
    let items: Vec<WorkItem> = (0..DECISIONS)
        .map(|number| work_item(queued + number, START_TIME + Millis(20_000)))
        .collect();
    let start = processor_nanos();
    for item in items {
        now += Millis(1);
        scheduler.submit(now, item).expect("room in the queue");
        let started = scheduler.start_next(now, &mut |_| routes.can_start(now, &query));
        let started = started.expect("a request to start");
        let server = routes.pick(now, &query).expect("a server");
        routes.request_started(now, &server.id);
        scheduler.record_first_token(now, &started.request);
        scheduler.finish(now, &started.request, Tokens(600));
        routes.request_ended(now, &server.id, Outcome::Ok);
    }
    (processor_nanos() - start) as f64 / 1e9 / DECISIONS as f64
}
