//! Decides which request bodies a process holds.
//!
//! Load: many clients send large bodies at once, most of which never end. Bytes are reserved before a
//! body is read. Large bodies leave a part of the budget to small ones. When the budget is exhausted,
//! bodies that would not end within their time limit at their recent rate are aborted, the one with
//! the least progress first, so that stalled bodies don't keep others out.

use std::collections::BTreeMap;

use crate::progress_meter::ProgressMeter;
use crate::request_limits::RequestLimits;

/// Age up to which a body is not aborted, in ms: its first bytes may still be on their way.
pub const GRACE_MS: u64 = 500;
/// Scale of the progress by which bodies are compared, in millionths of the reservation a second.
const PROGRESS_SCALE: u64 = 1_000_000;

/// Number of a body in the ledger.
pub type BodyId = u64;

/// The budget has no room, and no body is slow enough to be aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted;

#[derive(Clone, Copy, Debug)]
struct HeldBody {
    bytes: u64,
    meter: ProgressMeter,
    /// Whether the body was read completely. It is then never aborted, since the job may have been
    /// handed on.
    is_complete: bool,
}

/// Bytes reserved for request bodies and for what is derived from them.
#[derive(Clone, Debug)]
pub struct BodyLedger {
    limits: RequestLimits,
    bodies: BTreeMap<BodyId, HeldBody>,
    held: u64,
    held_large: u64,
    next_id: BodyId,
}

impl BodyLedger {
    /// An empty ledger.
    pub fn new(limits: RequestLimits) -> Self {
        Self { limits, bodies: BTreeMap::new(), held: 0, held_large: 0, next_id: 0 }
    }

    /// Bytes reserved now.
    pub fn held_bytes(&self) -> u64 {
        self.held
    }

    /// Reserves bytes for a body that is about to be read. Returns its number and the bodies that are
    /// aborted for it.
    ///
    /// # Errors
    /// [`BudgetExhausted`]; nothing has changed.
    pub fn open(
        &mut self,
        now_ms: u64,
        bytes: u64,
    ) -> Result<(BodyId, Vec<BodyId>), BudgetExhausted> {
        let aborted = self.reclaim_bytes(now_ms, None, bytes)?;
        let id = self.next_id;
        self.next_id += 1;
        self.insert(id, HeldBody { bytes, meter: ProgressMeter::new(now_ms), is_complete: false });
        Ok((id, aborted))
    }

    /// Changes the reservation of a body. Returns the bodies that are aborted for it.
    ///
    /// # Errors
    /// [`BudgetExhausted`], also if the body itself has been aborted; nothing has changed.
    pub fn resize(
        &mut self,
        now_ms: u64,
        id: BodyId,
        bytes: u64,
    ) -> Result<Vec<BodyId>, BudgetExhausted> {
        let body = *self.bodies.get(&id).ok_or(BudgetExhausted)?;
        let aborted = self.reclaim_bytes(now_ms, Some(id), bytes)?;
        self.close(id);
        self.insert(id, HeldBody { bytes, ..body });
        Ok(aborted)
    }

    /// Counts bytes of a body that arrived.
    pub fn record(&mut self, now_ms: u64, id: BodyId, bytes: u64) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.meter.add(now_ms, bytes);
        }
    }

    /// Marks a body as read completely. Returns false if it has been aborted.
    pub fn complete(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        body.is_complete = true;
        true
    }

    /// Releases a body's bytes. Does nothing for one that was aborted.
    pub fn close(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else { return };
        self.held -= body.bytes;
        self.held_large -= self.large_bytes(body.bytes);
    }

    /// Aborts bodies below the minimum rate while more than half of the budget is reserved. Below that
    /// only the time limit applies, so that a slow request is served when load is low.
    pub fn abort_slow(&mut self, now_ms: u64) -> Vec<BodyId> {
        if self.held <= self.limits.body_bytes / 2 {
            return Vec::new();
        }
        let minimum = self.limits.min_body_bytes_per_s;
        let is_slow = |body: &HeldBody| {
            let required = minimum.min(self.required_rate(body.bytes));
            self.is_abortable(now_ms, body) && body.meter.rate(now_ms) < required
        };
        let slow: Vec<BodyId> =
            self.bodies.iter().filter(|(_, body)| is_slow(body)).map(|(id, _)| *id).collect();
        slow.iter().for_each(|id| self.close(*id));
        slow
    }

    fn insert(&mut self, id: BodyId, body: HeldBody) {
        self.held += body.bytes;
        self.held_large += self.large_bytes(body.bytes);
        self.bodies.insert(id, body);
    }

    /// Aborts as few bodies as give room for `bytes`, which replace the reservation of `replaced`.
    fn reclaim_bytes(
        &mut self,
        now_ms: u64,
        replaced: Option<BodyId>,
        bytes: u64,
    ) -> Result<Vec<BodyId>, BudgetExhausted> {
        let before = replaced.and_then(|id| self.bodies.get(&id)).map_or(0, |body| body.bytes);
        let mut held = self.held - before + bytes;
        let mut held_large = self.held_large - self.large_bytes(before) + self.large_bytes(bytes);
        let max_large = self.limits.body_bytes - self.limits.small_part_bytes;
        let is_large = self.large_bytes(bytes) > 0;
        let fits = |held: u64, held_large: u64| {
            held <= self.limits.body_bytes && (!is_large || held_large <= max_large)
        };
        if bytes <= before || fits(held, held_large) {
            return Ok(Vec::new());
        }
        let mut aborted = Vec::new();
        for (id, bytes) in self.least_progressed(now_ms, replaced) {
            // A small body gives no room in the part that large ones may use.
            let large = self.large_bytes(bytes);
            if held <= self.limits.body_bytes && large == 0 {
                continue;
            }
            held -= bytes;
            held_large -= large;
            aborted.push(id);
            if fits(held, held_large) {
                aborted.iter().for_each(|id| self.close(*id));
                return Ok(aborted);
            }
        }
        Err(BudgetExhausted)
    }

    /// Bodies that may be aborted with their sizes, the one with the least progress first.
    fn least_progressed(&self, now_ms: u64, except: Option<BodyId>) -> Vec<(BodyId, u64)> {
        let slow = self.bodies.iter().filter(|(id, body)| {
            except != Some(**id)
                && self.is_abortable(now_ms, body)
                && body.meter.rate(now_ms) < self.required_rate(body.bytes)
        });
        let mut slow: Vec<_> = slow
            .map(|(id, body)| {
                let progress = body.meter.rate(now_ms) * PROGRESS_SCALE / body.bytes.max(1);
                (progress, *id, body.bytes)
            })
            .collect();
        slow.sort_unstable();
        slow.into_iter().map(|(_, id, bytes)| (id, bytes)).collect()
    }

    fn is_abortable(&self, now_ms: u64, body: &HeldBody) -> bool {
        !body.is_complete && body.meter.age_ms(now_ms) >= GRACE_MS
    }

    /// Rate at which a body of this size ends within the time limit, in bytes a second.
    fn required_rate(&self, bytes: u64) -> u64 {
        bytes.saturating_mul(1_000) / self.limits.body_timeout_ms.max(1)
    }

    /// `bytes` if a body of that size is large, otherwise 0.
    fn large_bytes(&self, bytes: u64) -> u64 {
        if bytes > self.limits.small_body_bytes { bytes } else { 0 }
    }
}
