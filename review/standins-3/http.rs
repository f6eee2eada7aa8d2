//! HTTP/1.1 for stand-ins: a server with a thread a connection, and single calls.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as a stand-in receives it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// What a stand-in does with a request.
pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection ends without an answer.
    Reset,
}

impl Reply {
    pub fn json(status: u16, body: impl ToString) -> Self {
        Reply::Answer(status, body.to_string().into_bytes())
    }
}

/// Serves on a free loopback port, or on `address`.
pub fn serve<H>(address: Option<SocketAddr>, handler: H) -> SocketAddr
where
    H: Fn(&Request) -> Reply + Send + Sync + 'static,
{
    let address = address.unwrap_or_else(|| "127.0.0.1:0".parse().unwrap());
    let listener = TcpListener::bind(address).expect("a free port");
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection<H>(stream: TcpStream, handler: &H) -> Option<()>
where
    H: Fn(&Request) -> Reply,
{
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        match handler(&request) {
            Reply::Reset => return None,
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                writer.write_all(&bytes).ok()?;
            }
        }
    }
}

fn read_request<R>(reader: &mut R) -> Option<Request>
where
    R: BufRead,
{
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    words.next()?;
    let target = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), unescape(value))).collect();
    Some(Request { path: path.to_owned(), query, headers, body })
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        rest = after;
        if *byte == b'%' && rest.len() >= 2 {
            let digits = std::str::from_utf8(&rest[..2]).unwrap_or("00");
            bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
            rest = &rest[2..];
        } else {
            bytes.push(*byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_headers<R>(reader: &mut R) -> Option<BTreeMap<String, String>>
where
    R: BufRead,
{
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Sends one request on a connection of its own. `None` if no complete answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("content-type: application/json\r\nconnection: close\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    // An answer may come before the whole body is sent.
    let _ = stream.write_all(&bytes);
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, body))
}
