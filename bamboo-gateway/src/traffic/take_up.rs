//! Streams that callers take up again after a broken connection, possibly at another host.

use bamboo_fleet::Route;
use bamboo_types::StreamOrigin;
use http::HeaderMap;
use http::HeaderName;

use crate::gateway::Gateway;
use crate::gateway::OriginAnswer;
use crate::traffic::request::CallerRequest;

/// What to do with a request on a resumable route.
pub(crate) enum TakeUp {
    /// Begin a new stream, at any server.
    NewStream,
    /// Go on with a stream, at servers of the version that began it.
    GoesOn {
        /// Identifier of the request that began the stream; empty if the caller names none.
        stream: String,
        /// Service and version to go on at.
        origin: StreamOrigin,
    },
    /// Reject the request: it is not known where the stream began.
    OriginUnknown,
}

/// Decides whether a request begins a stream or goes on with one, and at which version.
pub(crate) async fn find_take_up(gateway: &Gateway, request: &CallerRequest) -> TakeUp {
    let names = &gateway.dialect.headers;
    if !request.headers.contains_key(&names.last_event_id) {
        return TakeUp::NewStream;
    }
    let stream = header_text(&request.headers, &names.resumes);
    let services: Vec<String> = targets(&request.route).cloned().collect();
    let origin = match gateway.find_stream(&stream, services).await {
        OriginAnswer::Known(origin) => StreamOrigin {
            service: service_to_resume(&request.route, &origin.service, &request.service),
            version: origin.version,
        },
        // Whichever server began the stream, it was of the only version there is.
        OriginAnswer::Unknown(Some(version)) => StreamOrigin {
            service: request.service.clone(),
            version,
        },
        OriginAnswer::Unknown(None) => return TakeUp::OriginUnknown,
    };
    TakeUp::GoesOn { stream, origin }
}

fn targets(route: &Route) -> impl Iterator<Item = &String> {
    route.targets.iter().map(|target| &target.service)
}

/// The service that began a stream, unless the route no longer leads to it.
fn service_to_resume(route: &Route, began: &str, picked: &str) -> String {
    match targets(route).any(|service| service == began) {
        true => began.to_owned(),
        false => picked.to_owned(),
    }
}

/// A header as text; empty if it is missing or not text.
fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.unwrap_or_default().trim().to_owned()
}
