//! Reads a request's body into one contiguous buffer within the budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

use crate::body_budget::BodyBudget;
use crate::body_budget::BodyReservation;

/// First buffer of a body of unknown length, in bytes; it doubles as the body grows.
const FIRST_CHUNKED_BYTES: usize = 4_096;

/// A body was not read. Nothing of the request was handed on.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyRefusal {
    /// The budget is exhausted.
    #[snafu(display("no memory for the body now"))]
    NoMemory,
    /// The body came more slowly than others that needed the memory.
    #[snafu(display("the body came too slowly"))]
    TooSlow,
    /// The body did not end in time.
    #[snafu(display("the body did not come in time"))]
    Timeout,
    /// The body is too large.
    #[snafu(display("the body is too large"))]
    TooLarge,
    /// The connection failed.
    #[snafu(display("the body broke off: {reason}"))]
    Broken {
        /// Cause.
        reason: String,
    },
}

/// A complete body and its reservation; none for an empty body.
pub type ReadBody = (Bytes, Option<BodyReservation>);

/// Reads a body of at most `limit` bytes within `timeout`. Memory is reserved before it is read.
///
/// # Errors
/// [`BodyRefusal`].
pub async fn read_body<B>(
    body: B,
    limit: usize,
    timeout: Duration,
    budget: &Arc<BodyBudget>,
) -> Result<ReadBody, BodyRefusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let limit_bytes = limit as u64;
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > limit_bytes) {
        return Err(BodyRefusal::TooLarge);
    }
    let capacity = declared.unwrap_or(limit_bytes.min(FIRST_CHUNKED_BYTES as u64));
    let reservation = budget.reserve(capacity).map_err(|_| BodyRefusal::NoMemory)?;
    let reading = read_frames(body, limit, capacity, &reservation);
    let bytes = tokio::select! {
        biased;
        () = reservation.aborted() => return Err(BodyRefusal::TooSlow),
        result = tokio::time::timeout(timeout, reading) => {
            result.map_err(|_| BodyRefusal::Timeout)??
        }
    };
    if reservation.complete() { Ok((bytes, Some(reservation))) } else { Err(BodyRefusal::TooSlow) }
}

async fn read_frames<B>(
    mut body: B,
    limit: usize,
    capacity: u64,
    reservation: &BodyReservation,
) -> Result<Bytes, BodyRefusal>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut capacity = usize::try_from(capacity).unwrap_or(limit);
    // The capacity is allocated at once, so that a body of known length is never copied again.
    let mut buffer = BytesMut::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyRefusal::Broken { reason: error.to_string() })?;
        let Ok(data) = frame.into_data() else { continue };
        let length = buffer.len() + data.len();
        if length > limit {
            return Err(BodyRefusal::TooLarge);
        }
        if length > capacity {
            capacity = length.next_power_of_two().min(limit);
            reservation.resize(capacity as u64).map_err(|_| BodyRefusal::NoMemory)?;
            buffer.reserve(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
        reservation.record(data.len() as u64);
    }
    Ok(buffer.freeze())
}
