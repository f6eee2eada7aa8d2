//! Links between processes: a bidirectional HTTP/2 stream of length-prefixed messages.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::SendStream;
use http::Request;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use tokio::net::TcpStream;

use crate::byte_counter::ByteCounter;
use crate::byte_counter::CountObserver;
use crate::byte_counter::CountedStream;
pub use crate::link_acceptor::accept_links;
use crate::shared_key::SharedKey;

/// Largest encoded message.
const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;
/// Limit of what decoding one message may read or allocate. A number takes up to 8 times its
/// encoded size. A length prefix above the limit is rejected before anything is allocated for it.
const MAX_DECODED_BYTES: usize = 8 * MAX_MESSAGE_BYTES;
/// Timeout for opening a link.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for sending one message; a link whose peer stops reading fails.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Purpose of a link. It is sent as the request path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// From an agent to its entry.
    Agent,
    /// Between agents that share a gang.
    Gang,
    /// Between entries.
    Peer,
    /// To an entry that relays calls to the log.
    Relay,
}

impl LinkKind {
    fn path(self) -> &'static str {
        match self {
            Self::Agent => "/agent",
            Self::Gang => "/gang",
            Self::Peer => "/peer",
            Self::Relay => "/relay",
        }
    }

    pub(crate) fn from_path(path: &str) -> Option<Self> {
        [Self::Agent, Self::Gang, Self::Peer, Self::Relay]
            .into_iter()
            .find(|kind| kind.path() == path)
    }
}

/// Why a link failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LinkError {
    /// The other side closed the link.
    #[snafu(display("the link was closed"))]
    Closed,
    /// The TCP connection failed.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A received message can't be decoded as the expected type.
    #[snafu(display("a message can't be decoded: {source}"))]
    Decode {
        /// Cause.
        source: bincode::error::DecodeError,
    },
    /// A message can't be encoded.
    #[snafu(display("a message can't be encoded: {source}"))]
    Encode {
        /// Cause.
        source: bincode::error::EncodeError,
    },
    /// The HTTP/2 connection or stream failed.
    #[snafu(display("the link broke: {source}"))]
    Http2 {
        /// Cause.
        source: h2::Error,
    },
    /// A message is larger than `MAX_MESSAGE_BYTES`.
    #[snafu(display("a message of {length} bytes is larger than {MAX_MESSAGE_BYTES}"))]
    Oversized {
        /// Length of the message.
        length: usize,
    },
    /// The peer refused the link.
    #[snafu(display("the link was refused with status {status}"))]
    Refused {
        /// Status of the response.
        status: StatusCode,
    },
    /// The peer did not answer in time, or stopped reading.
    #[snafu(display("the other side of the link does not answer"))]
    TimedOut,
}

/// The sending half of a link, for messages of one type.
pub struct MessageSender<T> {
    stream: SendStream<Bytes>,
    kind: PhantomData<fn(T)>,
}

impl<T> MessageSender<T>
where
    T: Serialize,
{
    fn new(stream: SendStream<Bytes>) -> Self {
        Self { stream, kind: PhantomData }
    }

    /// Sends a message. Waits at most `SEND_TIMEOUT` for flow control.
    ///
    /// # Errors
    /// [`LinkError`] when the link fails or the peer does not read in time.
    pub async fn send(&mut self, message: &T) -> Result<(), LinkError> {
        let body = bincode::serde::encode_to_vec(message, bincode::config::standard())
            .context(EncodeSnafu)?;
        ensure!(body.len() <= MAX_MESSAGE_BYTES, OversizedSnafu { length: body.len() });
        let mut frame = BytesMut::with_capacity(body.len() + 4);
        frame.put_u32(u32::try_from(body.len()).unwrap_or(u32::MAX));
        frame.put_slice(&body);
        let send = self.send_frame(frame.freeze());
        tokio::time::timeout(SEND_TIMEOUT, send).await.map_err(|_| LinkError::TimedOut)?
    }

    async fn send_frame(&mut self, mut frame: Bytes) -> Result<(), LinkError> {
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let capacity = std::future::poll_fn(|context| self.stream.poll_capacity(context)).await;
            let capacity = capacity.context(ClosedSnafu)?.context(Http2Snafu)?;
            let part = frame.split_to(capacity.min(frame.len()));
            self.stream.send_data(part, false).context(Http2Snafu)?;
        }
        Ok(())
    }

    /// Ends this direction of the stream.
    pub fn close(mut self) {
        let _ = self.stream.send_data(Bytes::new(), true);
    }
}

/// The receiving half of a link, for messages of one type.
pub struct MessageReceiver<T> {
    stream: RecvStream,
    buffer: BytesMut,
    kind: PhantomData<fn() -> T>,
}

impl<T> MessageReceiver<T>
where
    T: DeserializeOwned,
{
    fn new(stream: RecvStream) -> Self {
        Self { stream, buffer: BytesMut::new(), kind: PhantomData }
    }

    /// Receives the next message. Cancel-safe: dropping the future loses no data.
    ///
    /// # Errors
    /// [`LinkError::Closed`] when the peer has closed the link, another [`LinkError`] when it
    /// fails.
    pub async fn receive(&mut self) -> Result<T, LinkError> {
        loop {
            if let Some(body) = self.next_frame()? {
                let format = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
                let decoded = bincode::serde::decode_from_slice(&body, format);
                return decoded.map(|(message, _)| message).context(DecodeSnafu);
            }
            let data = self.stream.data().await.context(ClosedSnafu)?.context(Http2Snafu)?;
            self.stream.flow_control().release_capacity(data.len()).context(Http2Snafu)?;
            self.buffer.extend_from_slice(&data);
        }
    }

    fn next_frame(&mut self) -> Result<Option<Bytes>, LinkError> {
        let Some(prefix) = self.buffer.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        ensure!(length <= MAX_MESSAGE_BYTES, OversizedSnafu { length });
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}

/// Both directions of a link.
pub struct Link<S, R> {
    /// Sends to the peer.
    pub sender: MessageSender<S>,
    /// Receives from the peer.
    pub receiver: MessageReceiver<R>,
}

/// Opens links to other processes.
#[derive(Clone)]
pub struct LinkDialer {
    key: SharedKey,
    counter: Arc<ByteCounter>,
}

impl LinkDialer {
    /// Creates a dialer that authenticates with `key` and counts the bytes of its links in
    /// `counter`.
    pub fn new(key: SharedKey, counter: Arc<ByteCounter>) -> Self {
        Self { key, counter }
    }

    /// Opens a link to the process at `address`.
    ///
    /// # Errors
    /// [`LinkError`] when the handshake fails or takes longer than `HANDSHAKE_TIMEOUT`.
    pub async fn open<S, R>(
        &self,
        address: SocketAddr,
        kind: LinkKind,
    ) -> Result<Link<S, R>, LinkError>
    where
        S: Serialize,
        R: DeserializeOwned,
    {
        let open = self.handshake(address, kind);
        let (send, receive) = tokio::time::timeout(HANDSHAKE_TIMEOUT, open)
            .await
            .map_err(|_| LinkError::TimedOut)??;
        Ok(Link { sender: MessageSender::new(send), receiver: MessageReceiver::new(receive) })
    }

    async fn handshake(
        &self,
        address: SocketAddr,
        kind: LinkKind,
    ) -> Result<(SendStream<Bytes>, RecvStream), LinkError> {
        let socket = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        socket.set_nodelay(true).context(ConnectSnafu { address })?;
        let socket = CountedStream::new(socket, CountObserver::new(Arc::clone(&self.counter)));
        let (client, connection) = h2::client::handshake(socket).await.context(Http2Snafu)?;
        tokio::spawn(connection);
        let mut client = client.ready().await.context(Http2Snafu)?;
        let request = Request::post(format!("http://{address}{}", kind.path()))
            .header("authorization", self.key.authorization_header())
            .body(())
            .expect("a request with an address, a constant path and a checked key is valid");
        let (response, send) = client.send_request(request, false).context(Http2Snafu)?;
        let response = response.await.context(Http2Snafu)?;
        ensure!(response.status() == StatusCode::OK, RefusedSnafu { status: response.status() });
        Ok((send, response.into_body()))
    }
}

/// A link that another process opened, before its message types are known.
pub struct IncomingLink {
    /// Purpose of the link, which determines its message types.
    pub kind: LinkKind,
    send: SendStream<Bytes>,
    receive: RecvStream,
}

impl IncomingLink {
    pub(crate) fn new(kind: LinkKind, send: SendStream<Bytes>, receive: RecvStream) -> Self {
        Self { kind, send, receive }
    }

    /// Converts it to a link of the given message types.
    pub fn into_link<S, R>(self) -> Link<S, R>
    where
        S: Serialize,
        R: DeserializeOwned,
    {
        Link { sender: MessageSender::new(self.send), receiver: MessageReceiver::new(self.receive) }
    }
}
