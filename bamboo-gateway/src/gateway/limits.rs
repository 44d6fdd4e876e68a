//! Limits that servers name for the requests they get from all hosts together.

use std::time::Duration;

use bamboo_slots::LimitChange;
use bamboo_slots::parse_limit;
use http::HeaderMap;

use crate::gateway::Gateway;

impl Gateway {
    /// Records what the head of a server's response says of its limit. `sent_at` is when the request was sent.
    pub(crate) fn observe_limit(&self, server: &str, headers: &HeaderMap, sent_at: Duration) {
        let values = headers.get_all(&self.dialect.headers.request_limit);
        let texts = values.iter().filter_map(|value| value.to_str().ok());
        // Of several values the lowest one counts; values that are no number say nothing.
        let limit = texts.filter_map(parse_limit).min();
        if limit.is_none() && headers.contains_key(&self.dialect.headers.request_limit) {
            log::warn!(event = "limit_unreadable", server; "a server names a limit that is no number");
            return;
        }
        let now = self.clock.now();
        let mut limits = self.limits.borrow_mut();
        if limits.observe(server, limit, sent_at, now) == LimitChange::Changed {
            log::info!(
                event = "server_limit", server, limit_per_1000_s = limit;
                "a server names a limit for its requests, or names none any more"
            );
        }
    }
}
