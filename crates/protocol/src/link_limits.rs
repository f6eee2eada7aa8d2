//! Limits of links that have not proved that they have the shared key.

use cuminbarrow_requests::request_limits::RequestLimitsError;
use serde::Deserialize;

/// Bytes that a link of our own processes sends before the proof, with a reserve: the preface of HTTP/2,
/// settings and one header with the key, which take a few hundred.
const MIN_PROOF_BYTES: u64 = 4_096;

/// Limits of links before the proof, as in the settings of a process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkLimits {
    /// Most connections at once that have not proved possession of the key.
    pub unproved: usize,
    /// Time limit from the connection to the proof, in ms.
    pub proof_timeout_ms: u64,
    /// Most bytes read from a connection before the proof.
    pub proof_bytes: u64,
}

impl Default for LinkLimits {
    /// After a power cut, several hundred agents connect at once to an entry with a small share of a core.
    fn default() -> Self {
        Self { unproved: 512, proof_timeout_ms: 3_000, proof_bytes: 16_384 }
    }
}

impl LinkLimits {
    /// Checks the values.
    ///
    /// # Errors
    /// [`RequestLimitsError`] names the first invalid setting.
    pub fn check(&self) -> Result<(), RequestLimitsError> {
        let limits = [
            ("links.unproved", self.unproved as u64, 1),
            ("links.proof_timeout_ms", self.proof_timeout_ms, 1),
            ("links.proof_bytes", self.proof_bytes, MIN_PROOF_BYTES),
        ];
        for (setting, value, minimum) in limits {
            if value < minimum {
                let reason = format!("must be at least {minimum}");
                return Err(RequestLimitsError { setting, reason });
            }
        }
        Ok(())
    }
}
