//! The part of the relay that the control thread does: messages, and the members of the domain.

use berylwheel_peer::FeedNews;
use berylwheel_peer::Message;
use berylwheel_types::FailureDomain;
use berylwheel_types::FastMap;
use berylwheel_types::Incarnation;
use berylwheel_types::RouterId;
use berylwheel_types::Timestamp;
use serde_json::Value;
use serde_json::json;

use crate::control::core::Control;

impl Control {
    /// Sends the news of the store that are due, if this router is a watcher.
    pub(crate) fn drive_relay(&mut self, now: Timestamp) {
        let answered_at = self.effects.guard.answered_at();
        let news = self.effects.relay.lock().poll(now, answered_at);
        let Some(news) = news else { return };
        let message = Message::StoreNews {
            origin: self.incarnation.clone(),
            sequence: news.sequence,
            feeds: news.feeds,
        };
        for router in &news.to {
            self.fleet.send(router, message.clone());
        }
    }

    /// Handles the news of a watcher, and passes them on.
    pub(crate) fn handle_store_news(
        &mut self,
        now: Timestamp,
        origin: Incarnation,
        sequence: u64,
        feeds: Vec<FeedNews>,
    ) {
        let to = self.effects.relay.lock().handle_news(now, &origin, sequence, &feeds);
        self.effects.relay.wake();
        let message = Message::StoreNews { origin, sequence, feeds };
        for router in &to {
            self.fleet.send(router, message.clone());
        }
    }

    /// Tells the relay which routers of this router's domain are live. Goes through all routers, so
    /// it is called only after a change of them.
    pub(crate) fn update_relay_members(&mut self, now: Timestamp) {
        let own = &self.incarnation.router;
        let domain = &self.fleet.own_entry.domain;
        let listed = self.fleet.listed_routers.iter();
        let listed: FastMap<&RouterId, &FailureDomain> =
            listed.map(|entry| (&entry.incarnation.router, &entry.domain)).collect();
        self.fleet.visits.add(listed.len());
        let is_near = |router: &RouterId| {
            let known = listed.get(router).copied().or_else(|| self.fleet.domains.get(router));
            router == own || known == Some(domain)
        };
        let live = self.fleet.members.live();
        let members: Vec<RouterId> = live.into_iter().filter(is_near).collect();
        self.effects.relay.lock().set_members(now, members);
        self.effects.relay.wake();
    }

    /// Returns the state of the relay for operators.
    pub(crate) fn relay_dump(&self) -> Value {
        let relay = self.effects.relay.lock();
        let roles: FastMap<&str, _> = relay.roles().collect();
        json!({
            "active": relay.is_active(),
            "members": relay.members().len(),
            "roles": roles,
            "counts": relay.counts(),
        })
    }

    /// Sends the totals of the relay as metrics.
    pub(crate) fn report_relay(&self) {
        let relay = self.effects.relay.lock();
        let counts = relay.counts();
        let metrics = &self.effects.metrics;
        metrics.record_work("relayed_changes", counts.relayed);
        metrics.record_work("relay_messages", counts.published + counts.passed_on);
        for (cause, total) in &counts.fallbacks {
            metrics.record_work(&format!("relay_fallbacks_{}", cause.name()), *total);
        }
    }
}
