//! Accepts links from other processes.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use cuminbarrow_requests::observed_stream::ObservedStream;
use cuminbarrow_requests::observed_stream::StreamObserver;
use h2::RecvStream;
use h2::server::Connection;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http::StatusCode;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use crate::byte_counter::CountObserver;
use crate::link::Http2Snafu;
use crate::link::IncomingLink;
use crate::link::LinkError;
use crate::link::LinkKind;
use crate::link_guard::LinkGuard;
use crate::link_guard::LinkRefusal;
use crate::shared_key::SharedKey;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest header of a link, in bytes. Ours have a few hundred.
const MAX_HEADER_BYTES: u32 = 8_192;
/// Streams of a connection at once. Ours have one.
const MAX_STREAMS: u32 = 4;

/// Bytes that a connection may still send; unlimited after the proof.
struct ProofBytes(AtomicU64);

impl ProofBytes {
    /// Takes bytes that arrived. Returns false if there were not as many left.
    fn take(&self, bytes: u64) -> bool {
        let take = |rest: u64| if rest == u64::MAX { Some(rest) } else { rest.checked_sub(bytes) };
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    fn lift(&self) {
        self.0.store(u64::MAX, Ordering::Relaxed);
    }
}

/// Counts bytes, and fails reads beyond the bytes allowed before the proof.
struct ProofObserver {
    count: CountObserver,
    allowed: Arc<ProofBytes>,
    guard: Arc<LinkGuard>,
}

impl StreamObserver for ProofObserver {
    fn received(&mut self, bytes: usize) -> io::Result<()> {
        self.count.received(bytes)?;
        if self.allowed.take(bytes as u64) {
            return Ok(());
        }
        self.guard.refuse(LinkRefusal::Bytes);
        Err(io::Error::other("too many bytes before the proof of the key"))
    }

    fn written(&mut self, result: &Poll<io::Result<usize>>) {
        self.count.written(result);
    }
}

type LinkStream = ObservedStream<ProofObserver>;
type LinkConnection = Connection<LinkStream, Bytes>;

/// A connection whose peer has the key, and its first link.
struct ProvedConnection {
    connection: LinkConnection,
    link: IncomingLink,
    _permit: OwnedSemaphorePermit,
}

/// Accepts connections until dropped. Serves each on its own task and passes its links to `handle`.
/// Until a connection has proved possession of the key, its number, time and bytes are limited by
/// `guard`.
pub async fn accept_links<H>(
    listener: TcpListener,
    key: SharedKey,
    guard: Arc<LinkGuard>,
    handle: H,
) where
    H: Fn(IncomingLink) + Clone + Send + Sync + 'static,
{
    loop {
        let socket = match listener.accept().await {
            Err(error) => {
                log::warn!("a link can't be accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            Ok((socket, _)) => socket,
        };
        let unproved = guard.unproved.admit().await;
        let (key, guard, handle) = (key.clone(), Arc::clone(&guard), handle.clone());
        tokio::spawn(async move {
            let proved = tokio::select! {
                proved = prove_in_time(socket, &key, &guard) => proved,
                () = unproved.slot.closing() => return,
            };
            drop(unproved);
            let result = match proved {
                Err(error) => Err(error),
                Ok(None) => Ok(()),
                Ok(Some(proved)) => serve_links(proved, &key, handle).await,
            };
            if let Err(error) = result {
                log::debug!("an incoming link failed: {error}");
            }
        });
    }
}

async fn prove_in_time(
    socket: TcpStream,
    key: &SharedKey,
    guard: &Arc<LinkGuard>,
) -> Result<Option<ProvedConnection>, LinkError> {
    let timeout = Duration::from_millis(guard.limits.proof_timeout_ms);
    let proved = tokio::time::timeout(timeout, prove(socket, key, guard)).await;
    proved.unwrap_or_else(|_| {
        guard.refuse(LinkRefusal::Timeout);
        Err(LinkError::TimedOut)
    })
}

/// Serves a connection until its first request with the key; `None` if it ends before. It is ended after
/// a request without the key.
async fn prove(
    socket: TcpStream,
    key: &SharedKey,
    guard: &Arc<LinkGuard>,
) -> Result<Option<ProvedConnection>, LinkError> {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let allowed = Arc::new(ProofBytes(AtomicU64::new(guard.limits.proof_bytes)));
    let observer = ProofObserver {
        count: CountObserver::new(Arc::clone(&guard.bytes)),
        allowed: Arc::clone(&allowed),
        guard: Arc::clone(guard),
    };
    let handshake = h2::server::Builder::new()
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(LinkStream::new(socket, observer));
    let mut connection: LinkConnection = handshake.await.context(Http2Snafu)?;
    while let Some(request) = connection.accept().await {
        let (request, respond) = request.context(Http2Snafu)?;
        let Some(kind) = requested_kind(&request, key) else {
            guard.refuse(LinkRefusal::Key);
            refuse(&request, key, respond)?;
            connection.graceful_shutdown();
            continue;
        };
        let Ok(permit) = Arc::clone(&guard.links).try_acquire_owned() else {
            guard.refuse(LinkRefusal::Links);
            respond_with(StatusCode::SERVICE_UNAVAILABLE, respond)?;
            connection.graceful_shutdown();
            continue;
        };
        allowed.lift();
        let link = open(request, kind, respond)?;
        return Ok(Some(ProvedConnection { connection, link, _permit: permit }));
    }
    Ok(None)
}

/// Serves a connection whose peer has the key, until it ends.
async fn serve_links<H>(
    proved: ProvedConnection,
    key: &SharedKey,
    handle: H,
) -> Result<(), LinkError>
where
    H: Fn(IncomingLink),
{
    let ProvedConnection { mut connection, link, _permit } = proved;
    handle(link);
    while let Some(request) = connection.accept().await {
        let (request, respond) = request.context(Http2Snafu)?;
        match requested_kind(&request, key) {
            None => refuse(&request, key, respond)?,
            Some(kind) => handle(open(request, kind, respond)?),
        }
    }
    Ok(())
}

/// Kind of a requested link; `None` without the key or a known path.
fn requested_kind(request: &Request<RecvStream>, key: &SharedKey) -> Option<LinkKind> {
    let kind = LinkKind::from_path(request.uri().path())?;
    is_trusted(request, key).then_some(kind)
}

fn is_trusted(request: &Request<RecvStream>, key: &SharedKey) -> bool {
    let header = request.headers().get("authorization");
    header.is_some_and(|header| key.matches(header.as_bytes()))
}

fn open(
    request: Request<RecvStream>,
    kind: LinkKind,
    mut respond: SendResponse<Bytes>,
) -> Result<IncomingLink, LinkError> {
    let send = respond.send_response(Response::new(()), false).context(Http2Snafu)?;
    Ok(IncomingLink::new(kind, send, request.into_body()))
}

fn refuse(
    request: &Request<RecvStream>,
    key: &SharedKey,
    respond: SendResponse<Bytes>,
) -> Result<(), LinkError> {
    let is_key_missing = !is_trusted(request, key);
    let status = if is_key_missing { StatusCode::UNAUTHORIZED } else { StatusCode::NOT_FOUND };
    respond_with(status, respond)
}

fn respond_with(status: StatusCode, mut respond: SendResponse<Bytes>) -> Result<(), LinkError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    respond.send_response(response, true).context(Http2Snafu)?;
    Ok(())
}
