//! Clients that all send the same and keep their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

/// Limit of the time in which a client sends. A process that does not read keeps a client waiting.
const SEND_TIMEOUT: Duration = Duration::from_secs(4);
/// Receive buffer of clients that read no answers, in bytes.
const SLOW_RECEIVE_BYTES: u32 = 4_096;

/// What each client of a flood sends.
#[derive(Clone)]
pub(crate) struct FloodRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl FloodRequest {
    /// A body of `length` bytes, of which the last `missing` are not sent.
    pub(crate) fn with_length(method: &str, path: &str, length: usize, missing: usize) -> Self {
        let head = request_head(method, path, &format!("content-length: {length}"));
        Self { head, body: vec![b' '; length - missing] }
    }

    /// A chunked body of `count` chunks of `chunk` bytes each, without its end.
    pub(crate) fn in_chunks(method: &str, path: &str, chunk: usize, count: usize) -> Self {
        let mut piece = format!("{chunk:x}\r\n").into_bytes();
        piece.extend(vec![b' '; chunk]);
        piece.extend(b"\r\n");
        let head = request_head(method, path, "transfer-encoding: chunked");
        Self { head, body: piece.repeat(count) }
    }

    /// Header fields of `length` bytes that do not end.
    pub(crate) fn endless_head(path: &str, length: usize) -> Self {
        let head = format!("GET {path} HTTP/1.1\r\nhost: queues.example\r\nx: ");
        Self { head, body: vec![b'x'; length] }
    }

    /// Nothing: a connection that stays idle.
    pub(crate) fn nothing() -> Self {
        Self { head: String::new(), body: Vec::new() }
    }

    /// `count` requests without a body, one after another.
    pub(crate) fn pipelined(path: &str, count: usize) -> Self {
        Self::pipelined_with_field(path, "accept: */*", count)
    }

    /// The same with another header field.
    pub(crate) fn pipelined_with_field(path: &str, field: &str, count: usize) -> Self {
        let request = request_head("GET", path, field);
        Self { head: String::new(), body: request.repeat(count).into_bytes() }
    }

    /// The same with the operator's token of the product.
    pub(crate) fn of_operator(self) -> Self {
        let replace = |text: &str| text.replace("Bearer caller", "Bearer operator");
        // Bodies that are no heads are left as they are.
        let body = match String::from_utf8(self.body) {
            Ok(text) => replace(&text).into_bytes(),
            Err(error) => error.into_bytes(),
        };
        Self { head: replace(&self.head), body }
    }
}

/// Head of a request of a team's caller, on the users' platform and at the product.
pub(crate) fn request_head(method: &str, path: &str, field: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: queues.example\r\nkey: key-1\r\n\
         authorization: Bearer caller\r\nidempotency-key: flood\r\n{field}\r\n\r\n"
    )
}

/// Clients that keep their connections open until they are dropped.
pub(crate) struct FloodClients {
    _runtime: Runtime,
    _streams: Vec<TcpStream>,
}

impl FloodClients {
    /// Lets `clients` connect and send at once, and returns when each has sent or given up. None reads
    /// an answer.
    pub(crate) fn send(address: SocketAddr, clients: usize, request: &FloodRequest) -> Self {
        let runtime = Runtime::new().unwrap();
        let streams = runtime.block_on(async {
            let mut sending = JoinSet::new();
            let request = Arc::new(request.clone());
            for _ in 0..clients {
                let request = Arc::clone(&request);
                sending.spawn(async move { send_one(address, &request).await });
            }
            sending.join_all().await.into_iter().flatten().collect()
        });
        Self { _runtime: runtime, _streams: streams }
    }
}

async fn send_one(address: SocketAddr, request: &FloodRequest) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(SLOW_RECEIVE_BYTES).ok()?;
    let connect = tokio::time::timeout(SEND_TIMEOUT, socket.connect(address));
    let mut stream = connect.await.ok()?.ok()?;
    let _ = tokio::time::timeout(SEND_TIMEOUT, async {
        stream.write_all(request.head.as_bytes()).await?;
        stream.write_all(&request.body).await
    })
    .await;
    Some(stream)
}
