//! HTTP/1.1 as far as the stand-ins need it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode(value))
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line<R: BufRead>(reader: &mut R) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn read_headers<R: BufRead>(reader: &mut R) -> Option<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// A body that ended as its framing says, or what came of it.
fn read_body<R: BufRead>(
    reader: &mut R,
    headers: &Headers,
    ends_with_channel: bool,
) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let is_chunked = header(headers, "transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let Some(line) = read_line(reader) else {
                return (body, false);
            };
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return (body, false);
            };
            let mut chunk = vec![0; size];
            if !read_into(reader, &mut chunk, &mut body) || read_line(reader).is_none() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
        }
    }
    if let Some(length) = header(headers, "content-length").and_then(|value| value.parse().ok()) {
        let mut whole = vec![0; length];
        let is_whole = read_into(reader, &mut whole, &mut body);
        return (body, is_whole);
    }
    if !ends_with_channel {
        return (body, true);
    }
    let is_whole = reader.read_to_end(&mut body).is_ok();
    (body, is_whole)
}

fn read_into<R: BufRead>(reader: &mut R, buffer: &mut [u8], body: &mut Vec<u8>) -> bool {
    let mut filled = 0;
    while filled < buffer.len() {
        match reader.read(&mut buffer[filled..]) {
            Ok(0) | Err(_) => break,
            Ok(count) => filled += count,
        }
    }
    body.extend_from_slice(&buffer[..filled]);
    filled == buffer.len()
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let (body, is_whole) = read_body(reader, &headers, false);
    is_whole.then_some(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

/// Sends a request over a new channel and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Response> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let failed = |text: &str| std::io::Error::other(text.to_owned());
    let mut reader = BufReader::new(stream);
    loop {
        let line = read_line(&mut reader).ok_or_else(|| failed("no response"))?;
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status: u16 = status.ok_or_else(|| failed("not a response"))?;
        let headers = read_headers(&mut reader).ok_or_else(|| failed("the head is cut short"))?;
        if status < 200 {
            continue;
        }
        let (body, is_whole) = read_body(&mut reader, &headers, true);
        if Instant::now() > deadline {
            return Err(failed("time is up"));
        }
        return Ok(Response {
            status,
            body,
            is_whole,
        });
    }
}
