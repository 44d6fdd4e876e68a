//! HTTP/1.1 over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Headers with their names in lower case.
pub type Headers = Vec<(String, String)>;

/// A request as a stand-in receives it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// A header by its name in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// The largest number of tokens that the request allows for its output, if it names one.
    pub fn output_tokens(&self) -> Option<u64> {
        let (_, most) = self.header("x-bambooroute-token-usage").split_once(',')?;
        most.trim().parse().ok()
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query; empty if there is none.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

/// A response as a caller receives it.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub is_whole: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the first line and the headers of a message; `None` at the end of the channel.
fn read_head<R>(reader: &mut R) -> io::Result<Option<(String, Headers)>>
where
    R: BufRead,
{
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks<R>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()>
where
    R: BufRead,
{
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
    };
    if request.header("transfer-encoding") == "chunked" {
        read_chunks(reader, &mut request.body)?;
    } else {
        let length = request.header("content-length").parse().unwrap_or(0);
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n",
        match status {
            200 => "OK",
            _ => "Status",
        },
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A request as a caller sends it.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Call {
    pub fn new(method: &str, target: &str) -> Self {
        Call {
            method: method.to_owned(),
            target: target.to_owned(),
            ..Call::default()
        }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn body(mut self, body: &[u8]) -> Self {
        self.body = body.to_vec();
        self
    }

    /// The bytes of the request.
    pub fn encode(&self, keeps_channel: bool) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" || !self.body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        if !keeps_channel {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Reads a response. A body that breaks off is returned as one that is not whole.
pub fn read_response(reader: &mut BufReader<TcpStream>, method: &str) -> io::Result<Response> {
    let Some((first, headers)) = read_head(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut response = Response {
        status: status.ok_or_else(|| io::Error::other("no status"))?,
        headers,
        body: Vec::new(),
        is_whole: true,
    };
    if method == "HEAD" || response.status == 204 || response.status == 304 {
        return Ok(response);
    }
    if response.header("transfer-encoding") == "chunked" {
        response.is_whole = read_chunks(reader, &mut response.body).is_ok();
    } else if let Ok(length) = response.header("content-length").parse::<usize>() {
        let mut limited = reader.take(length as u64);
        let read = limited.read_to_end(&mut response.body);
        response.is_whole = read.is_ok() && response.body.len() == length;
    } else {
        response.is_whole = reader.read_to_end(&mut response.body).is_ok();
    }
    Ok(response)
}

/// Sends a call on a new channel and reads the response, both within a time.
pub fn send(address: SocketAddr, call: &Call, timeout: Duration) -> io::Result<Response> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = timeout.saturating_sub(started.elapsed());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.write_all(&call.encode(false))?;
    read_response(&mut BufReader::new(stream), &call.method)
}

/// A channel that a caller keeps for several requests.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader })
    }

    /// Sends a call and reads the response, waiting at most this long for each of its parts.
    pub fn send(&mut self, call: &Call, timeout: Duration) -> io::Result<Response> {
        self.stream.set_read_timeout(Some(timeout))?;
        self.stream.write_all(&call.encode(true))?;
        read_response(&mut self.reader, &call.method)
    }
}
