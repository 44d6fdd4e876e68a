//! Stand-in of a backend server, by PROTOCOL.md: a model server on paths of streams and items, an application server on
//! others. What it sends follows from the identifier of the request, so that callers can check it.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;

/// A request that a server received.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub method: String,
    pub target: String,
    pub last_event: Option<u64>,
    /// Whether the server began to work on it.
    pub has_run: bool,
    /// Whether it sent the whole answer.
    pub is_done: bool,
}

/// How a server works.
#[derive(Debug, Clone)]
pub struct Work {
    /// Requests that it runs at once.
    pub slots: usize,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events, and before the first one.
    pub event_time: Duration,
    /// Time that an answer that is no stream takes.
    pub answer_time: Duration,
    /// Request to which the first answer of each server is wrong bytes; empty if there is none.
    pub garbled_id: String,
}

/// Events of a garbled answer, and bytes of each: together less than a mebibyte.
const GARBLED_EVENTS: u64 = 110;
const GARBLED_EVENT_BYTES: usize = 8 << 10;

struct Shared {
    work: Mutex<Work>,
    runs: Mutex<Vec<Run>>,
    active: Mutex<usize>,
    freed: Condvar,
}

/// A server that serves until the process ends.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    is_model: bool,
    shared: Arc<Shared>,
}

/// Data of an event of the stream of a request.
pub fn event_data(id: &str, event: u64) -> String {
    format!("{id}-e{event}")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Starts a server on a free port of a loopback address.
    pub fn start(id: &str, ip: IpAddr, is_model: bool, work: Work) -> io::Result<Server> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Server {
            id: id.to_owned(),
            address: listener.local_addr()?,
            is_model,
            shared: Arc::new(Shared {
                work: Mutex::new(work),
                runs: Mutex::default(),
                active: Mutex::default(),
                freed: Condvar::new(),
            }),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                // The caller may close the channel at any byte.
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address,
            lock(&self.shared.work).slots
        )
    }

    /// The requests that it received.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            self.answer(&mut writer, &request)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
        let id = request.header("x-bambooroute-request-id").to_owned();
        if request.method == "GET" && request.path() == "/report" {
            return http::respond(stream, 404, &[], b"");
        }
        let expected = request.header("x-bambooroute-expect-instance");
        let is_other = !expected.is_empty() && expected != self.id;
        let last_event = request.header("last-event-id").parse().ok();
        let mut work = lock(&self.shared.work).clone();
        if let Some(most) = request.output_tokens() {
            work.events = work.events.min(most);
        }
        let index = {
            let mut runs = lock(&self.shared.runs);
            runs.push(Run {
                at: Instant::now(),
                id: id.clone(),
                method: request.method.clone(),
                target: request.target.clone(),
                last_event,
                has_run: false,
                is_done: false,
            });
            runs.len() - 1
        };
        if is_other {
            let own = [("X-Bambooroute-Instance-Id", self.id.as_str())];
            return http::respond(stream, 421, &own, b"");
        }
        {
            let mut active = lock(&self.shared.active);
            while *active >= work.slots {
                let waited = self.shared.freed.wait(active);
                active = waited.unwrap_or_else(PoisonError::into_inner);
            }
            *active += 1;
        }
        lock(&self.shared.runs)[index].has_run = true;
        let is_garbled = !id.is_empty() && id == work.garbled_id && last_event.is_none();
        let sent = match self.is_model {
            true if is_garbled => send_garbled(stream, &id),
            true => send_stream(stream, &id, last_event.unwrap_or(0), &work),
            false => send_answer(stream, &id, &work),
        };
        *lock(&self.shared.active) -= 1;
        self.shared.freed.notify_one();
        lock(&self.shared.runs)[index].is_done = sent.is_ok();
        sent
    }
}

fn send_answer(stream: &mut TcpStream, id: &str, work: &Work) -> io::Result<()> {
    thread::sleep(work.answer_time);
    let headers = [
        ("X-Bambooroute-Request-Id", id),
        ("X-Bambooroute-Server-Stamp", "3e1b.07.5a2"),
        ("Keep-Alive", "timeout=5"),
    ];
    http::respond(stream, 200, &headers, format!("answer {id}").as_bytes())
}

/// Sends a stream of events, whole and with identifiers, whose data are bytes that are no text.
fn send_garbled(stream: &mut TcpStream, id: &str) -> io::Result<()> {
    stream.write_all(stream_head(id).as_bytes())?;
    for event in 1..=GARBLED_EVENTS {
        let mut bytes = format!("id: {event}\ndata: ").into_bytes();
        bytes.resize(bytes.len() + GARBLED_EVENT_BYTES, 0xff);
        bytes.extend_from_slice(b"\n\n");
        stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes())?;
        stream.write_all(&bytes)?;
        stream.write_all(b"\r\n")?;
    }
    stream.write_all(b"0\r\n\r\n")
}

fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Bambooroute-Request-Id: {id}\r\n\
         X-Bambooroute-Server-Stamp: 3e1b.07.5a2\r\nX-Bambooroute-Weight-Versions: 1\r\n\
         Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn send_stream(stream: &mut TcpStream, id: &str, last_event: u64, work: &Work) -> io::Result<()> {
    stream.write_all(stream_head(id).as_bytes())?;
    for event in last_event + 1..=work.events {
        thread::sleep(work.event_time);
        let text = format!("id: {event}\ndata: {}\n\n", event_data(id, event));
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
