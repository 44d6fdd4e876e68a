//! HTTP server of a plain service that records every call it executes.

use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::PoisonError;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use serde::Serialize;

use crate::faults::FaultAction;
use crate::faults::FaultInjector;
use crate::faults::Faults;

/// A call that the service executed.
#[derive(Debug, Clone, Serialize)]
struct Call {
    number: usize,
    request_id: String,
    key: String,
    method: String,
    path: String,
    body: String,
}

struct PlainServer {
    name: String,
    calls: Mutex<Vec<Call>>,
    faults: FaultInjector,
}

/// Serves one instance of a plain service until the process ends.
///
/// # Errors
/// Fails if the listener cannot be used.
pub async fn serve_plain(listener: TcpListener, name: String) -> std::io::Result<()> {
    let server = web::Data::new(PlainServer {
        name,
        calls: Mutex::new(Vec::new()),
        faults: FaultInjector::default(),
    });
    HttpServer::new(move || {
        App::new()
            .app_data(server.clone())
            .route("/admin/faults", web::put().to(set_faults))
            .route("/admin/calls", web::get().to(list_calls))
            .default_service(web::to(handle_call))
    })
    .workers(1)
    .listen(listener)?
    .run()
    .await
}

async fn handle_call(
    server: web::Data<PlainServer>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let action = server.faults.next_action().await;
    if action == FaultAction::Reject {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let call = record_call(&server, &request, &body);
    let request_id = match action {
        FaultAction::MismatchId => "another-request".to_owned(),
        _ => call.request_id.clone(),
    };
    let mut response = HttpResponse::Ok();
    response.insert_header(("x-request-id", request_id));
    let response_body = serde_json::json!({ "service": server.name, "call": call });
    match action {
        FaultAction::DropResponse | FaultAction::Truncate => {
            let text = response_body.to_string();
            let part = web::Bytes::from(text[..text.len() / 2].to_owned());
            let truncated =
                futures_util::stream::iter([Ok(part), Err(std::io::Error::other("cut on demand"))]);
            response.streaming(truncated)
        }
        _ => response.json(response_body),
    }
}

fn record_call(server: &PlainServer, request: &HttpRequest, body: &[u8]) -> Call {
    let header = |name: &str| {
        let value = request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut calls = server.calls.lock().unwrap_or_else(PoisonError::into_inner);
    let call = Call {
        number: calls.len(),
        request_id: header("x-request-id"),
        key: header("idempotency-key"),
        method: request.method().to_string(),
        path: request.uri().to_string(),
        body: String::from_utf8_lossy(body).into_owned(),
    };
    calls.push(call.clone());
    call
}

async fn list_calls(server: web::Data<PlainServer>) -> HttpResponse {
    HttpResponse::Ok().json(&*server.calls.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn set_faults(server: web::Data<PlainServer>, faults: web::Json<Faults>) -> HttpResponse {
    server.faults.set(faults.into_inner());
    HttpResponse::NoContent().finish()
}
