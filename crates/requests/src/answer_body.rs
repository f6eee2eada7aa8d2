//! Bodies of answers, held within the budget until the client has read them.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::body_budget::BodyReservation;
use crate::request_counters::RefusalReason;
use crate::request_counters::RequestCounters;

/// Size of the pieces in which a reserved answer is handed to the HTTP library, in bytes. Answers up to
/// this size fit into its write buffer and need no reservation.
pub(crate) const PIECE_BYTES: usize = 4_096;

/// Memory that is reserved for an answer.
struct HeldAnswer {
    reservation: BodyReservation,
    counters: Arc<RequestCounters>,
}

/// Body of an answer.
pub(crate) struct AnswerBody {
    rest: Bytes,
    held: Option<HeldAnswer>,
}

impl AnswerBody {
    /// A small answer, or one of a server that does not reserve memory for answers.
    pub(crate) fn unreserved(bytes: Bytes) -> Self {
        Self { rest: bytes, held: None }
    }

    /// An answer whose memory is reserved. If it is aborted for others, that is counted.
    pub(crate) fn reserved(
        bytes: &Bytes,
        reservation: BodyReservation,
        counters: Arc<RequestCounters>,
    ) -> Self {
        // Encoders leave up to as much unused capacity as the answer is long.
        let rest = Bytes::copy_from_slice(bytes);
        Self { rest, held: Some(HeldAnswer { reservation, counters }) }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        if body.rest.is_empty() {
            return Poll::Ready(None);
        }
        let Some(held) = &body.held else {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut body.rest)))));
        };
        let piece = body.rest.split_to(body.rest.len().min(PIECE_BYTES));
        held.reservation.record(piece.len() as u64);
        // A copy, so that the last pieces in the write buffer don't keep the whole answer.
        Poll::Ready(Some(Ok(Frame::data(Bytes::copy_from_slice(&piece)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let Some(held) = &self.held else { return };
        if !self.rest.is_empty() && !held.reservation.complete() {
            held.counters.add(RefusalReason::SlowReader);
        }
    }
}
