//! Counters and timers in statsd format, sent over UDP.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;

use berylwheel_types::Code;
use berylwheel_types::KindId;
use berylwheel_types::Millis;
use berylwheel_types::Version;
use cadence::Counted;
use cadence::CountedExt;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

/// Prefix of all metric names.
const PREFIX: &str = "berylwheel";

/// The metrics of one router.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates metrics that are sent to `address`, or discarded without one.
    ///
    /// # Errors
    /// Fails if no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> io::Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
                StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self { client: Arc::new(client) })
    }

    pub fn count_refusal(&self, code: Code) {
        let _ = self
            .client
            .incr_with_tags("refused")
            .with_tag("code", &code.number().to_string())
            .try_send();
    }

    /// Records the time from the arrival of a request to the start of its response.
    pub fn record_first_token(&self, kind: &KindId, time: Millis) {
        let _ = self
            .client
            .time_with_tags("first_token_ms", time.0)
            .with_tag("kind", kind.as_str())
            .try_send();
    }

    /// Counts billed tokens.
    pub fn count_billed(&self, kind: &KindId, tokens: u64) {
        let _ = self
            .client
            .count_with_tags("billed_tokens", tokens as i64)
            .with_tag("kind", kind.as_str())
            .try_send();
    }

    /// Counts a response in which a server said that it leaves or wants a pause.
    pub fn count_signal(&self, cause: &str) {
        let _ = self.client.incr_with_tags("server_signals").with_tag("cause", cause).try_send();
    }

    /// Counts a server that became cold.
    pub fn count_cold_server(&self) {
        let _ = self.client.incr("cold_servers");
    }

    /// Counts requests that were sent to cold servers.
    pub fn count_cold_requests(&self, requests: u64) {
        let _ = self.client.count("cold_requests", requests as i64);
    }

    /// Counts a failure domain that was evacuated or restored.
    pub fn count_evacuation(&self, change: &str) {
        let _ =
            self.client.incr_with_tags("domains_evacuated").with_tag("change", change).try_send();
    }

    /// Counts a large change of the measured speed of a server.
    pub fn count_speed_change(&self, trend: &str) {
        let _ = self.client.incr_with_tags("speed_changes").with_tag("trend", trend).try_send();
    }

    /// Counts an attempt without a complete response, by how far the response had come.
    pub fn count_broken_attempt(&self, answer: &str) {
        let _ = self.client.incr_with_tags("broken_attempts").with_tag("answer", answer).try_send();
    }

    /// Records the version of the configuration in force.
    pub fn record_version(&self, version: Version) {
        let _ = self.client.gauge_with_tags("configuration_in_force", version.0).try_send();
    }

    /// Records the newest version of the configuration that was read from the platform's store.
    pub fn record_newest_version(&self, version: Version) {
        let _ = self.client.gauge_with_tags("configuration_newest", version.0).try_send();
    }

    /// Records the time since the configuration was last known to be current.
    pub fn record_config_age(&self, age: Millis) {
        let _ = self.client.gauge_with_tags("configuration_age_ms", age.0).try_send();
    }

    /// Counts values of an accepted configuration that are not served as they are written.
    pub fn count_repairs(&self, repairs: usize) {
        let _ = self.client.count_with_tags("configuration_repairs", repairs as i64).try_send();
    }

    /// Counts versions of the configuration that cannot be decoded.
    pub fn count_unreadable_configuration(&self) {
        let _ = self.client.incr_with_tags("configuration_unreadable").try_send();
    }

    /// Records a total of the work of the control thread since the start.
    pub fn record_work(&self, what: &str, total: u64) {
        let _ = self.client.gauge_with_tags("work", total).with_tag("what", what).try_send();
    }

    /// Records the tokens of ended runs, of the budgets that this router is the home of.
    pub fn record_unusable(&self, tokens: u64) {
        let _ = self.client.gauge_with_tags("unusable_tokens", tokens).try_send();
    }

    /// Counts a restore of the platform's store from an older copy.
    pub fn count_restore(&self) {
        let _ = self.client.incr("store_restores");
    }

    pub fn count_retry(&self, kind: &KindId) {
        let _ = self.client.incr_with_tags("retries").with_tag("kind", kind.as_str()).try_send();
    }
}
