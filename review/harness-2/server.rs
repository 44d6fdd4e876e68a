//! A stand-in of a backend server, which runs as a process of its own. It says on standard output what it runs.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Request;
use crate::http::header;
use crate::http::read_request;
use crate::http::respond;

/// How a server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A body in pieces, whose end only the end of the channel shows.
    Unframed,
    /// The same body with its length.
    Framed,
    /// A stream of events, as a model server sends it.
    Model,
    /// The same stream, whose end only the end of the channel shows.
    UnframedModel,
    /// A stream that goes on for longer than a case.
    SlowModel,
    /// The stream of a model server that fails part of the requests which it has begun to run, with a status of its own.
    GreyModel,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::Unframed => "unframed",
            Kind::Framed => "framed",
            Kind::Model => "model",
            Kind::UnframedModel => "unframed-model",
            Kind::SlowModel => "slow-model",
            Kind::GreyModel => "grey-model",
        }
    }

    fn parse(name: &str) -> Option<Kind> {
        let kinds = [
            Kind::Unframed,
            Kind::Framed,
            Kind::Model,
            Kind::UnframedModel,
            Kind::SlowModel,
            Kind::GreyModel,
        ];
        kinds.into_iter().find(|kind| kind.name() == name)
    }
}

/// Pieces or events of an answer.
pub const PIECES: usize = 8;
/// Time between two of them.
pub const PIECE_TIME: Duration = Duration::from_millis(50);

/// Time between two events of a slow model server.
const SLOW_EVENT_TIME: Duration = Duration::from_millis(300);

fn piece(id: &str, number: usize) -> String {
    format!("piece {number} of {PIECES} for {id} {}\n", "x".repeat(60))
}

/// The whole body of the answer to a request of a plain service.
pub fn whole_body(id: &str) -> String {
    (1..=PIECES).map(|number| piece(id, number)).collect()
}

/// The text of an item: the data of all events.
pub fn whole_text(id: &str) -> String {
    let data: Vec<String> = (1..=PIECES).map(|number| event_data(id, number)).collect();
    data.join("\n")
}

fn event_data(id: &str, number: usize) -> String {
    format!("event {number} for {id}")
}

/// Runs the server: `server ADDRESS ID KIND`.
pub fn run(arguments: &[String]) -> Option<()> {
    let address: SocketAddr = arguments.first()?.parse().ok()?;
    let id = arguments.get(1)?.clone();
    let kind = Kind::parse(arguments.get(2)?)?;
    let listener = TcpListener::bind(address).ok()?;
    say("listening");
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        std::thread::spawn(move || serve(stream, &id, kind));
    }
    Some(())
}

fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

fn serve(stream: TcpStream, id: &str, kind: Kind) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let is_kept = answer(&mut writer, &request, id, kind);
        if !matches!(is_kept, Ok(true)) {
            return;
        }
    }
}

/// Whether a grey server fails a request: four of ten, as its identifier says.
fn fails(request_id: &str) -> bool {
    request_id.bytes().map(usize::from).sum::<usize>() % 10 < 4
}

/// Answers a request. Returns whether the channel goes on.
fn answer(
    stream: &mut TcpStream,
    request: &Request,
    id: &str,
    kind: Kind,
) -> std::io::Result<bool> {
    if request.path() == "/health" {
        respond(stream, 200, &[("X-Bambooroute-Instance-Id", id)], b"")?;
        return Ok(true);
    }
    let Some(request_id) = header(&request.headers, "x-bambooroute-request-id") else {
        respond(stream, 400, &[("X-Bambooroute-Not-Executed", "1")], b"")?;
        return Ok(true);
    };
    let expected = header(&request.headers, "x-bambooroute-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        let headers = [
            ("X-Bambooroute-Instance-Id", id),
            ("X-Bambooroute-Request-Id", request_id),
        ];
        respond(stream, 421, &headers, b"")?;
        return Ok(true);
    }
    say(&format!("run {request_id}"));
    if kind == Kind::GreyModel && fails(request_id) {
        std::thread::sleep(PIECE_TIME);
        say(&format!("failed {request_id} with 503 of its own"));
        let stamp = format!("{id}.1");
        let headers = [
            ("X-Bambooroute-Request-Id", request_id),
            ("X-Bambooroute-Server-Stamp", stamp.as_str()),
        ];
        respond(stream, 503, &headers, b"the adapter could not be read")?;
        return Ok(true);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Bambooroute-Request-Id: {request_id}\r\nX-Bambooroute-Server-Stamp: {id}.1\r\n"
    );
    match kind {
        Kind::Unframed | Kind::Framed => {
            let framing = match kind {
                Kind::Framed => format!("Content-Length: {}\r\n\r\n", whole_body(request_id).len()),
                _ => "Connection: close\r\n\r\n".to_owned(),
            };
            stream.write_all(format!("{head}Content-Type: text/plain\r\n{framing}").as_bytes())?;
            for number in 1..=PIECES {
                stream.write_all(piece(request_id, number).as_bytes())?;
                std::thread::sleep(PIECE_TIME);
            }
            say(&format!("done {request_id}"));
            Ok(kind == Kind::Framed)
        }
        Kind::Model | Kind::UnframedModel | Kind::SlowModel | Kind::GreyModel => {
            let is_chunked = kind != Kind::UnframedModel;
            let (events, pause) = match kind {
                Kind::SlowModel => (1000, SLOW_EVENT_TIME),
                _ => (PIECES, PIECE_TIME),
            };
            let framing = match is_chunked {
                true => "Transfer-Encoding: chunked",
                false => "Connection: close",
            };
            stream.write_all(
                format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n").as_bytes(),
            )?;
            let last =
                header(&request.headers, "last-event-id").and_then(|id| id.trim().parse().ok());
            let last: usize = last.unwrap_or(0);
            for number in last + 1..=events {
                let event = format!("id: {number}\ndata: {}\n\n", event_data(request_id, number));
                match is_chunked {
                    true => {
                        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?
                    }
                    false => stream.write_all(event.as_bytes())?,
                }
                std::thread::sleep(pause);
            }
            if is_chunked {
                stream.write_all(b"0\r\n\r\n")?;
            }
            say(&format!("done {request_id}"));
            Ok(is_chunked)
        }
    }
}
