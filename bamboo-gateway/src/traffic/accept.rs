//! HTTP listeners for callers, readiness checks and metrics.

use std::cell::RefCell;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gateway::Gateway;
use crate::gateway::OpenRequest;
use crate::gateway::Phase;
use crate::net;
use crate::net::ConnectionUse;
use crate::request_log::LineClass;
use crate::resource_limits::CONNECTION_BYTES;
use crate::response_body::ResponseBody;
use crate::traffic::connections::Admission;
use crate::traffic::connections::ConnectionPermit;
use crate::traffic::connections::Connections;
use crate::traffic::connections::InUseBody;
use crate::traffic::response::text_response;
use crate::traffic::serve::serve_request;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Margin added to the configured idle timeout, so that a request that arrives just before the timeout is not cut off.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// Minimum size of the read buffer that the HTTP library accepts, in bytes.
const READ_BUFFER_MIN_BYTES: usize = 8192;
/// Time for the head of a readiness check or of a request for metrics, also on an idle connection.
const ENDPOINT_HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the response to a connection that there is no room for. It fits into the buffer of a new connection.
const REJECT_TIMEOUT: Duration = Duration::from_millis(10);

/// Serves callers until the closing phase of a shutdown. A request accepted after that could not be completed.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let connections = Rc::clone(&gateway.caller_connections);
    let accepting = accept_each(&gateway, connections, listener, |stream, permit| {
        let gateway = Rc::clone(&gateway);
        async move { serve_connection(gateway, stream, permit).await }
    });
    tokio::select! {
        () = accepting => {}
        () = gateway.wait_for_phase(Phase::Closing) => {}
    }
}

/// Serves readiness checks.
pub(crate) async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let endpoint = Rc::clone(&gateway);
    serve_endpoint(endpoint, listener, move || match gateway.is_ready() {
        true => text_response(StatusCode::OK, "ready\n"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    })
    .await;
}

/// Serves the metrics.
pub(crate) async fn serve_metrics(gateway: Rc<Gateway>, listener: TcpListener) {
    let endpoint = Rc::clone(&gateway);
    serve_endpoint(endpoint, listener, move || {
        let (calls, failures) = gateway.store_counts();
        let metrics = &gateway.metrics;
        metrics.store_calls.set(calls as i64);
        metrics.store_failures.set(failures as i64);
        let buffered_bytes = gateway.caller_buffers.used_bytes();
        metrics.caller_buffer_bytes.set(buffered_bytes as i64);
        let memory = &gateway.jobs.memory;
        metrics.job_index_bytes.set(memory.index_bytes() as i64);
        metrics
            .job_contents_bytes
            .set(memory.contents_bytes() as i64);
        let connections = gateway.caller_connections.len();
        metrics.caller_connections.set(connections as i64);
        let connections = gateway.host_connections.len();
        metrics.host_connections.set(connections as i64);
        let dropped = bamboo_diagnostics::dropped_lines();
        metrics.log_lines_dropped.set(dropped as i64);
        metrics
            .partitions
            .set(gateway.jobs.owned_partitions().len() as i64);
        Response::new(ResponseBody::full(metrics.encode()))
    })
    .await;
}

async fn accept_each<F, Fut>(
    gateway: &Gateway,
    connections: Rc<Connections>,
    listener: TcpListener,
    serve: F,
) where
    F: Fn(TcpStream, Rc<ConnectionPermit>) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = net::set_options(&stream, ConnectionUse::Callers) {
                    log::debug!("connection closed before it was served: {error}");
                    continue;
                }
                let evict_body = || gateway.caller_bodies.evict_slowest(None);
                match connections.admit(evict_body).await {
                    Admission::Free(permit) => {
                        drop(actix_rt::spawn(serve(stream, Rc::new(permit))))
                    }
                    Admission::Replaces(permit) => {
                        gateway.turn_away("connection_replaced");
                        actix_rt::spawn(serve(stream, Rc::new(permit)));
                    }
                    Admission::Full => {
                        gateway.turn_away("connections_full");
                        reject_connection(stream).await;
                    }
                }
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "cannot accept a connection: {error}");
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Responds with status 503 to a connection that there is no room for, and closes it.
async fn reject_connection(mut stream: TcpStream) {
    const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    let sent = tokio::time::timeout(REJECT_TIMEOUT, stream.write_all(UNAVAILABLE_RESPONSE));
    if let Ok(Err(error)) = sent.await {
        log::debug!("caller disconnected before it received status 503: {error}");
    }
}

async fn serve_endpoint<F>(gateway: Rc<Gateway>, listener: TcpListener, respond: F)
where
    F: Fn() -> Response<ResponseBody> + 'static,
{
    let respond = Rc::new(respond);
    let connections = Connections::new(gateway.limits.endpoint_connections, gateway.clock);
    accept_each(&gateway, connections, listener, |stream, permit| {
        let respond = Rc::clone(&respond);
        async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let response = respond();
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(ENDPOINT_HEAD_TIMEOUT)
                .max_buf_size(READ_BUFFER_MIN_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            let served = tokio::select! {
                served = connection => served,
                () = permit.closed_for_another() => return,
            };
            if let Err(error) = served {
                log::debug!("connection of a readiness or metrics client failed: {error}");
            }
        }
    })
    .await;
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, permit: Rc<ConnectionPermit>) {
    let caller_address = match stream.peer_addr() {
        Ok(address) => address.ip(),
        Err(error) => {
            log::debug!("connection of a caller closed before it was served: {error}");
            return;
        }
    };
    let limits = gateway
        .config()
        .map(|config| config.limits.clone())
        .unwrap_or_default();
    let idle_max = limits.idle_timeout + IDLE_TIMEOUT_MARGIN;
    let read_buffer_bytes = limits.header_max_bytes.max(READ_BUFFER_MIN_BYTES);
    let Some(_buffers) = gateway
        .caller_bodies
        .reserve(CONNECTION_BYTES + read_buffer_bytes)
    else {
        gateway.turn_away("buffers_full");
        reject_connection(stream).await;
        return;
    };
    let is_readable = tokio::select! {
        biased;
        () = permit.closed_for_another() => false,
        () = gateway.wait_for_phase(Phase::Closing) => false,
        readable = tokio::time::timeout(idle_max, stream.readable()) => matches!(readable, Ok(Ok(()))),
    };
    if !is_readable {
        log::debug!("connection of a caller closed before its first request");
        return;
    }
    let service_gateway = Rc::clone(&gateway);
    // Counts from the first request on. In the closing phase, the connection ends once its response has been sent.
    let open = Rc::new(RefCell::new(None));
    let service_open = Rc::clone(&open);
    let last_request = Rc::new(RefCell::new(None));
    let service_last_request = Rc::clone(&last_request);
    let service_permit = Rc::clone(&permit);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Rc::clone(&service_gateway);
        service_open
            .borrow_mut()
            .get_or_insert_with(|| OpenRequest::begin(&gateway));
        let id = request.headers().get(&gateway.dialect.headers.request_id);
        service_last_request.replace(id.cloned());
        let in_use = service_permit.begin_use();
        async move {
            let response = serve_request(gateway, caller_address, request).await;
            Ok::<_, Infallible>(response.map(|body| InUseBody::new(body, in_use)))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_max)
        .max_buf_size(read_buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    // Headers of later requests on the connection are bounded by the idle timeout.
    let first_headers_late = async {
        tokio::time::sleep(limits.header_timeout).await;
        if open.borrow().is_some() {
            std::future::pending::<()>().await;
        }
    };
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = permit.closed_for_another() => return,
        () = first_headers_late => {
            reject_late_headers(connection.into_parts().io.into_inner()).await;
            return;
        }
        () = gateway.wait_for_phase(Phase::Closing) => {
            Pin::new(&mut connection).graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log_failed_connection(&gateway, last_request.borrow().as_ref(), &error);
    }
}

/// Logs why the connection of a caller failed. Tells a caller that left from a connection that this host gave up.
fn log_failed_connection(gateway: &Gateway, request: Option<&HeaderValue>, error: &hyper::Error) {
    // The header timeout ends idle connections.
    if error.is_timeout() || !gateway.may_log(LineClass::CallerLeft) {
        return;
    }
    let cause = error.source().map(ToString::to_string);
    log::info!(
        event = "caller_connection_failed", request = request.and_then(|id| id.to_str().ok()), cause = cause.as_deref();
        "connection of a caller failed: {error}"
    );
}

/// Responds with status 408 to a request whose headers did not arrive in time, and closes the connection.
async fn reject_late_headers(mut stream: TcpStream) {
    const REQUEST_TIMEOUT_RESPONSE: &[u8] =
        b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    log::info!(event = "head_late"; "headers of a request did not arrive in time");
    let sent = match stream.write_all(REQUEST_TIMEOUT_RESPONSE).await {
        Ok(()) => stream.shutdown().await,
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        log::debug!("caller disconnected before it received status 408: {error}");
    }
}
