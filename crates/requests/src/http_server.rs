//! HTTP/1.1 server whose bodies and connections are bounded.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::HeaderValue;
use http::header::RETRY_AFTER;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer_body::AnswerBody;
use crate::answer_body::PIECE_BYTES;
use crate::body_budget::BodyReservation;
use crate::body_ledger::BudgetExhausted;
use crate::body_reader::BodyRefusal;
use crate::body_reader::read_body;
use crate::connection_choice::ConnectionPhase;
use crate::connection_table::ConnectionGuard;
use crate::connection_table::ConnectionTable;
use crate::guarded_stream::GuardedStream;
use crate::guarded_stream::SlotObserver;
use crate::request_counters::RefusalReason;
use crate::request_guard::RequestGuard;

/// Delay after which clients may retry when a request was refused for lack of memory, in s.
const REFUSED_RETRY_SECONDS: HeaderValue = HeaderValue::from_static("1");
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request whose body has been read completely.
pub struct BufferedRequest {
    /// Method, URI and header fields.
    pub parts: Parts,
    /// Complete body.
    pub body: Bytes,
    /// Memory reserved for the request; none if the body is empty.
    pub reservation: Option<BodyReservation>,
    /// Connections of the listener.
    pub table: Arc<ConnectionTable>,
}

/// Answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Largest request body accepted, in bytes.
    fn max_body_bytes(&self) -> usize;

    /// Decides on a request before its body is read: the largest body accepted, in bytes.
    ///
    /// # Errors
    /// The answer to a request whose body is not read.
    fn body_limit(&self, _parts: &Parts) -> Result<usize, Box<Response<Full<Bytes>>>> {
        Ok(self.max_body_bytes())
    }

    /// Whether answers take memory from the budget until the client has read them.
    fn reserves_answers(&self) -> bool {
        false
    }

    /// Builds the answer to a request that is refused.
    fn refusal(&self, status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
        json_reply(status, &serde_json::json!({ "error": reason }))
    }

    /// Answers one request.
    fn handle(
        &self,
        request: BufferedRequest,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Phase of a server's graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Serves normally.
    Serving,
    /// Closes each connection after its next answer. New connections are still served, since the
    /// load balancer takes a while to notice the shutdown.
    Draining,
    /// Closes idle connections; requests in flight are still answered.
    Closing,
}

/// Accepts and serves connections until the server closes. `table` holds the listener's connections.
pub async fn serve<H>(
    listener: TcpListener,
    handler: Arc<H>,
    phase: watch::Receiver<ServerPhase>,
    guard: Arc<RequestGuard>,
    table: Arc<ConnectionTable>,
) where
    H: Handler,
{
    let mut closing = phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Ok(_) = closing.wait_for(|phase| *phase == ServerPhase::Closing) => return,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = table.admit().await;
        let handler = Arc::clone(&handler);
        let guard = Arc::clone(&guard);
        let phase = phase.clone();
        tokio::spawn(async move {
            serve_connection(stream, peer, handler, phase, &guard, &connection).await;
        });
    }
}

async fn serve_connection<H>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    mut phase: watch::Receiver<ServerPhase>,
    guard: &Arc<RequestGuard>,
    entry: &ConnectionGuard,
) where
    H: Handler,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(peer:% = peer; "cannot set TCP_NODELAY: {error}");
    }
    let stream = GuardedStream::new(stream, SlotObserver::new(Arc::clone(&entry.slot)));
    let current_phase = phase.clone();
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        let current_phase = current_phase.clone();
        async move {
            let is_safe = request.method().is_safe();
            let response = answer(&*handler, request, guard, entry).await;
            let mut response = hold_answer(&*handler, response, is_safe, guard, entry).await;
            entry.slot.enter(ConnectionPhase::Idle);
            let is_draining = *current_phase.borrow() >= ServerPhase::Draining;
            if is_draining || entry.table.take_slot_request() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(guard.limits.idle_timeout_ms))
        .max_buf_size(guard.limits.buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        let _ = phase.wait_for(|phase| *phase == ServerPhase::Closing).await;
    };
    let result = tokio::select! {
        result = &mut connection => result,
        () = entry.slot.closing() => return,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = &mut connection => result,
                () = entry.slot.closing() => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!(peer:% = peer; "a connection failed: {error}");
    }
}

async fn answer<H>(
    handler: &H,
    request: Request<Incoming>,
    guard: &RequestGuard,
    entry: &ConnectionGuard,
) -> Response<Full<Bytes>>
where
    H: Handler,
{
    let (parts, body) = request.into_parts();
    let timeout = Duration::from_millis(guard.limits.body_timeout_ms);
    // A larger body than the budget ever has room for is refused for good.
    let largest = usize::try_from(guard.limits.largest_body_bytes()).unwrap_or(usize::MAX);
    let limit = if body.is_end_stream() { Ok(0) } else { handler.body_limit(&parts) };
    let limit = match limit {
        Ok(limit) => limit.min(largest),
        Err(mut response) => {
            close_after(&mut response);
            return *response;
        }
    };
    match read_body(body, limit, timeout, &guard.bodies).await {
        Ok((body, reservation)) => {
            entry.slot.enter(ConnectionPhase::Handling);
            let table = Arc::clone(&entry.table);
            handler.handle(BufferedRequest { parts, body, reservation, table }).await
        }
        Err(refusal) => refuse(handler, &refusal, guard),
    }
}

/// Reserves memory for an answer that is not small. Without memory, a request without effects is refused.
/// After another one the connection is closed, since a refusal would say that it had no effect.
async fn hold_answer<H>(
    handler: &H,
    response: Response<Full<Bytes>>,
    is_safe: bool,
    guard: &RequestGuard,
    entry: &ConnectionGuard,
) -> Response<AnswerBody>
where
    H: Handler,
{
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    let bytes = body.to_bytes();
    if bytes.len() <= PIECE_BYTES || !handler.reserves_answers() {
        return Response::from_parts(parts, AnswerBody::unreserved(bytes));
    }
    let abort = Arc::clone(&entry.slot.closing);
    let body = match guard.bodies.reserve_until(bytes.len() as u64, abort) {
        Ok(reservation) => AnswerBody::reserved(&bytes, reservation, Arc::clone(&guard.counters)),
        Err(BudgetExhausted) if is_safe => {
            let (parts, body) = refuse(handler, &BodyRefusal::NoMemory, guard).into_parts();
            let Ok(body) = body.collect().await;
            return Response::from_parts(parts, AnswerBody::unreserved(body.to_bytes()));
        }
        Err(BudgetExhausted) => {
            guard.counters.add(RefusalReason::NoMemory);
            entry.slot.close();
            return std::future::pending().await;
        }
    };
    Response::from_parts(parts, body)
}

/// Answers a request whose body was not read. The connection ends with the answer.
fn refuse<H>(handler: &H, refusal: &BodyRefusal, guard: &RequestGuard) -> Response<Full<Bytes>>
where
    H: Handler,
{
    let (status, reason) = match refusal {
        BodyRefusal::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, Some(RefusalReason::NoMemory)),
        BodyRefusal::TooSlow => (StatusCode::REQUEST_TIMEOUT, Some(RefusalReason::SlowBody)),
        BodyRefusal::Timeout => (StatusCode::REQUEST_TIMEOUT, Some(RefusalReason::BodyTimeout)),
        BodyRefusal::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, Some(RefusalReason::TooLarge)),
        BodyRefusal::Broken { .. } => (StatusCode::BAD_REQUEST, None),
    };
    if let Some(reason) = reason {
        guard.counters.add(reason);
    }
    let mut response = handler.refusal(status, &refusal.to_string());
    close_after(&mut response);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, REFUSED_RETRY_SECONDS);
    }
    response
}

/// Makes a connection end with an answer, since the rest of its request is not read.
fn close_after<B>(response: &mut Response<B>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Builds an answer with a JSON body.
pub fn json_reply(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
