//! HTTP/1.1 by hand, blocking: what the stand-ins and the clients need of it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response as it was read.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| unescape(value))
    }

    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a request, or a response if `is_response`. `None` at the end of the channel, or if the message is cut.
pub fn read(stream: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    let length: Option<usize> = message
        .header("content-length")
        .and_then(|value| value.parse().ok());
    if is_chunked {
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
    } else if is_response && !matches!(message.status(), 204 | 304) {
        stream.read_to_end(&mut message.body).ok()?;
    }
    Some(message)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new channel and reads the response. `None` if there is none in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read(&mut BufReader::new(stream), true)
}
