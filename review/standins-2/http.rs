//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client.

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

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

pub enum Reply {
    Answer(u16, Vec<u8>),
    /// The connection returns nothing further.
    Silence,
    /// The connection is closed without an answer.
    Close,
}

impl Reply {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self::Answer(status, body.into().into_bytes())
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves connections until the program ends.
pub fn serve(address: SocketAddr, handler: Handler) {
    let listener = TcpListener::bind(address).expect("an address of a stand-in is in use");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all(head.as_bytes()).ok()?;
                writer.write_all(&body).ok()?;
            }
            Reply::Silence => {
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return None;
            }
            Reply::Close => return None,
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers, body) = read_message(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let first = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.map_or(Some(0), |(_, value)| value.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}

/// Sends one request over a new connection; `None` if no complete answer comes in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(head.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}
