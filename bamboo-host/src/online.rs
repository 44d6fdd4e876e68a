//! Online requests, and the in-flight counts that routers and server owners exchange.

use bamboo_events::EventKind;
use bamboo_route::Attempt;
use bamboo_route::EndStep;
use bamboo_route::OnlineEnd;
use bamboo_route::OnlineRequest;
use bamboo_route::RouteStep;
use bamboo_types::BackendServerId;
use bamboo_types::Now;
use bamboo_types::RequestId;
use bamboo_wire::PeerMessage;
use bamboo_wire::ServerLoad;

use crate::Answer;
use crate::HostCore;

impl HostCore {
    pub(crate) fn handle_online(&mut self, now: Now, request: OnlineRequest) {
        let id = request.id;
        if !self.is_accepting() {
            self.refuse_not_ready(id);
            return;
        }
        let random = self.random();
        match self.router.route(now, request, random) {
            RouteStep::Send(attempt) => self.dispatch(id, attempt),
            RouteStep::Refuse(refusal) => self.refuse(id, refusal),
        }
    }

    pub(crate) fn handle_online_end(&mut self, now: Now, request: RequestId, end: OnlineEnd) {
        if let Some(server) = self.router.server_of(request) {
            self.unreported_counts.insert(server.to_owned());
        }
        let random = self.random();
        let detail = format!("{end:?}");
        match self.router.attempt_ended(now, request, end.clone(), random) {
            EndStep::Send(attempt) => self.dispatch(request, attempt),
            EndStep::Done => {
                self.record_keyed_end(now, request, &end);
                self.event(EventKind::OnlineEnded, format!("{request:032x}"), detail);
                self.answer(request, Answer::Done);
            }
            EndStep::Refuse(refusal) => {
                self.record_keyed_end(now, request, &end);
                self.refuse(request, refusal);
            }
        }
    }

    pub(crate) fn dispatch(&mut self, request: RequestId, attempt: Attempt) {
        self.unreported_counts.insert(attempt.server.clone());
        let detail = format!("{} attempt {}", attempt.server, attempt.number);
        self.event(EventKind::OnlineSent, format!("{request:032x}"), detail);
        self.answer(request, Answer::Dispatch(attempt));
    }

    /// Reports the in-flight counts that changed in this step to the owners of the servers.
    pub(crate) fn report_counts(&mut self) {
        for server in std::mem::take(&mut self.unreported_counts) {
            let in_flight = self.router.local_in_flight(&server);
            if let Some(owner) = self.servers.owner_of(&server).map(str::to_owned) {
                self.send(&owner, PeerMessage::OnlineCount { server, in_flight });
            }
        }
    }

    pub(crate) fn handle_online_count(
        &mut self,
        now: Now,
        from: &str,
        server: &BackendServerId,
        in_flight: u32,
    ) {
        if self.servers.set_online_count(now, server, from, in_flight) {
            self.advance_server(now, server);
        }
    }

    pub(crate) fn handle_loads(&mut self, now: Now, loads: Vec<ServerLoad>) {
        for load in loads {
            self.router
                .update_load(now, &load.server, load.online_count, load.batch_count);
        }
    }
}
