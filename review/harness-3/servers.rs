//! Sound model servers, by the sections "Requests", "Servers" and "Batch jobs" of PROTOCOL.md: event streams that can be resumed,
//! a number of slots and a short queue, and an entry in the store that is written every `heartbeat_ms`.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::store::Store;

/// How the servers of a scenario work.
#[derive(Clone)]
pub struct Work {
    pub slots: usize,
    pub queue: usize,
    pub events: u64,
    pub event_bytes: usize,
    pub event_interval: Duration,
}

/// One run of an item.
#[derive(Clone)]
pub struct Run {
    pub ended: Option<Instant>,
    pub is_whole: bool,
}

/// What the servers have seen.
#[derive(Default)]
pub struct Seen {
    pub runs: HashMap<String, Vec<Run>>,
    pub active: usize,
    pub last_finished: Option<Instant>,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

/// The data of an event of an item, which any server of the version makes alike.
pub fn event_data(item: &str, event: u64, bytes: usize) -> String {
    let mut data = format!("{item}-{event}-");
    while data.len() < bytes {
        data.push(char::from(
            b'a' + ((event as usize + data.len()) % 26) as u8,
        ));
    }
    data
}

/// The whole output of an item, as its result has to hold it.
pub fn whole_text(item: &str, work: &Work) -> String {
    let events = (1..=work.events).map(|event| event_data(item, event, work.event_bytes));
    events.collect::<Vec<_>>().join("\n")
}

struct Slots {
    used: Mutex<(usize, usize)>,
    freed: Condvar,
}

pub fn start(
    ip: &str,
    count: usize,
    service: &str,
    zone: &str,
    work: &Work,
    store: &Store,
    seen: &Arc<Mutex<Seen>>,
) -> Vec<Server> {
    let servers: Vec<Server> = (0..count)
        .map(|index| {
            let listener = TcpListener::bind((ip, 0)).expect("an address for a server");
            let server = Server {
                id: format!("i-{index:04x}"),
                address: listener.local_addr().expect("the address of a server"),
            };
            let slots = Arc::new(Slots {
                used: Mutex::new((0, 0)),
                freed: Condvar::new(),
            });
            let (id, work, seen) = (server.id.clone(), work.clone(), Arc::clone(seen));
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (id, work, seen, slots) = (
                        id.clone(),
                        work.clone(),
                        Arc::clone(&seen),
                        Arc::clone(&slots),
                    );
                    let serve = move || serve(stream, &id, &work, &slots, &seen);
                    let _ = std::thread::Builder::new()
                        .stack_size(256 << 10)
                        .spawn(serve);
                }
            });
            server
        })
        .collect();
    let entries: Vec<(String, SocketAddr)> = servers
        .iter()
        .map(|server| (server.id.clone(), server.address))
        .collect();
    let (store, service, zone, slots) = (
        store.clone(),
        service.to_owned(),
        zone.to_owned(),
        work.slots,
    );
    let write = move |seq: u64| {
        for (id, address) in &entries {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
                 \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"seq\":{seq}}}"
            );
            store.put("keyed.servers", id, &entry);
        }
    };
    write(1);
    std::thread::spawn(move || {
        for seq in 2.. {
            std::thread::sleep(Duration::from_millis(1200));
            write(seq);
        }
    });
    servers
}

/// Servers of an application service that has nothing at any path: a sound one answers 404 then.
pub fn start_plain(ip: &str, count: usize, service: &str, zone: &str, store: &Store) {
    for index in 0..count {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a server");
        let address = listener.local_addr().expect("the address of a server");
        let id = format!("i-app{index}");
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}"
        );
        store.put("keyed.servers", &id, &entry);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let id = id.clone();
                std::thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = http::read(&mut reader, false) {
                        let name = request
                            .header("x-bambooroute-request-id")
                            .unwrap_or_default();
                        let stamp = "X-Bambooroute-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1";
                        let expected = request.header("x-bambooroute-expect-instance");
                        let status = match expected.is_some_and(|expected| expected != id) {
                            true => "421 Misdirected Request",
                            false => "404 Not Found",
                        };
                        let headers = format!(
                            "X-Bambooroute-Request-Id: {name}\r\n{stamp}\r\nX-Bambooroute-Instance-Id: {id}\r\n"
                        );
                        if http::respond(&mut writer, status, &headers, b"no such page\n").is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
    }
}

fn serve(stream: TcpStream, id: &str, work: &Work, slots: &Slots, seen: &Mutex<Seen>) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader, false) {
        if answer(&request, &mut writer, id, work, slots, seen).is_err() {
            return;
        }
    }
}

fn answer(
    request: &Message,
    writer: &mut TcpStream,
    id: &str,
    work: &Work,
    slots: &Slots,
    seen: &Mutex<Seen>,
) -> std::io::Result<()> {
    let instance = format!("X-Bambooroute-Instance-Id: {id}\r\n");
    if request.path() == "/health" {
        return http::respond(writer, "200 OK", &instance, b"");
    }
    if request.path() == "/report" {
        let busy = slots.used.lock().expect("slots").0;
        let report = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":1,\
             \"queue_depth\":0,\"active_count\":{busy},\"kv_used\":0,\"kv_total\":147261,\"handles\":0}}"
        );
        return http::respond(
            writer,
            "200 OK",
            "Content-Type: application/json\r\n",
            report.as_bytes(),
        );
    }
    let Some(name) = request.header("x-bambooroute-request-id") else {
        return http::respond(
            writer,
            "400 Bad Request",
            "X-Bambooroute-Not-Executed: 1\r\n",
            b"",
        );
    };
    let echo = format!("X-Bambooroute-Request-Id: {name}\r\n");
    if request
        .header("x-bambooroute-expect-instance")
        .is_some_and(|expected| expected != id)
    {
        return http::respond(
            writer,
            "421 Misdirected Request",
            &format!("{echo}{instance}"),
            b"",
        );
    }
    {
        let mut used = slots.used.lock().expect("slots");
        if used.0 >= work.slots && used.1 >= work.queue {
            let headers = format!("{echo}X-Bambooroute-Not-Executed: 1\r\n");
            return http::respond(writer, "503 Service Unavailable", &headers, b"");
        }
        used.1 += 1;
        while used.0 >= work.slots {
            used = slots.freed.wait(used).expect("slots");
        }
        used.1 -= 1;
        used.0 += 1;
    }
    let from = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .map_or(1, |last: u64| last + 1);
    let index = {
        let mut seen = seen.lock().expect("what was seen");
        seen.active += 1;
        let runs = seen.runs.entry(name.to_owned()).or_default();
        runs.push(Run {
            ended: None,
            is_whole: false,
        });
        runs.len() - 1
    };
    let ended = run(name, &echo, from, writer, work);
    {
        let mut used = slots.used.lock().expect("slots");
        used.0 -= 1;
        slots.freed.notify_one();
    }
    let mut seen = seen.lock().expect("what was seen");
    let now = Instant::now();
    seen.active -= 1;
    if ended.is_ok() {
        seen.last_finished = Some(now);
    }
    if let Some(run) = seen.runs.get_mut(name).and_then(|runs| runs.get_mut(index)) {
        run.ended = Some(now);
        run.is_whole = ended.is_ok();
    }
    ended
}

/// Sends the events, and stops when the channel is closed.
fn run(
    name: &str,
    echo: &str,
    from: u64,
    writer: &mut TcpStream,
    work: &Work,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}X-Bambooroute-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Bambooroute-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let begin = Instant::now();
    writer.write_all(head.as_bytes())?;
    for event in from..=work.events {
        let due = begin + work.event_interval * (event - from + 1) as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let text = format!(
            "id: {event}\ndata: {}\n\n",
            event_data(name, event, work.event_bytes)
        );
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        if event % 8 == 0 && is_closed(writer) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
    }
    writer.write_all(b"0\r\n\r\n")
}

fn is_closed(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0; 1];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0))
}
