//! Stand-in for the platform's list of VMs.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_executor::Executor;
use berylwheel_types::Clock;
use berylwheel_types::Millis;
use berylwheel_types::Timestamp;
use http_types::Method;
use http_types::Request;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::Handle;
use crate::http;
use crate::server;
use crate::server::MaybeResponse;

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    pub name: String,
    /// IP address and port of the service on the VM.
    pub address: String,
    /// The failure domain of the VM.
    pub domain: String,
    /// `live`, `leaving` or `gone`.
    pub state: String,
}

/// Options of the VM list stand-in.
#[derive(Debug, Clone)]
pub struct InstancesOptions {
    /// Delay before a change of the list becomes visible.
    pub lag: Millis,
    /// The clock that measures the lag.
    pub clock: Clock,
    /// The initial list.
    pub instances: Vec<Instance>,
}

impl Default for InstancesOptions {
    fn default() -> Self {
        Self { lag: Millis(0), clock: Clock::real(), instances: Vec::new() }
    }
}

struct InstanceList {
    lag: Millis,
    clock: Clock,
    /// Lists with the time at which each becomes visible, oldest first.
    lists: Mutex<VecDeque<(Timestamp, Vec<Instance>)>>,
}

/// Starts a VM list server: `GET /v1/instances` returns the list, `POST /v1/instances` replaces it.
///
/// ```
/// use std::sync::Arc;
/// use async_executor::Executor;
/// use berylwheel_standin::{InstancesOptions, start_instances};
/// let executor = Arc::new(Executor::new());
/// let any_port = "127.0.0.1:0".parse().unwrap();
/// let (address, handle) = start_instances(any_port, &executor, InstancesOptions::default()).unwrap();
/// assert_ne!(address.port(), 0);
/// ```
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start_instances(
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
    options: InstancesOptions,
) -> io::Result<(SocketAddr, Handle)> {
    let lists = VecDeque::from([(options.clock.now(), options.instances)]);
    let service = InstanceList { lag: options.lag, clock: options.clock, lists: Mutex::new(lists) };
    let service = Arc::new(service);
    server::start(address, executor, move |request| handle(service.clone(), request))
}

async fn handle(service: Arc<InstanceList>, mut request: Request) -> MaybeResponse {
    match (request.method(), request.url().path()) {
        (Method::Get, "/v1/instances") => {
            Some(http::json_response(200, &service.visible_instances()))
        }
        (Method::Post, "/v1/instances") => {
            let result = http::json_body(&mut request).await.map(|list| {
                service.replace(list);
                http::json_response(200, &json!({}))
            });
            http::respond(result)
        }
        _ => Some(http::error_response(404, "no such endpoint")),
    }
}

impl InstanceList {
    fn visible_instances(&self) -> Vec<Instance> {
        let now = self.clock.now();
        let mut lists = self.lists.lock().expect("the lock is not poisoned");
        while lists.get(1).is_some_and(|(visible_from, _)| *visible_from <= now) {
            lists.pop_front();
        }
        lists.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn replace(&self, list: Vec<Instance>) {
        let visible_from = self.clock.now() + self.lag;
        self.lists.lock().expect("the lock is not poisoned").push_back((visible_from, list));
    }
}
