//! Authentication by bearer tokens, authorization by role, and per-team rate limits.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use cuminbarrow_model::digest::Digest;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use crate::entry_settings::EntrySettingsError;
use crate::entry_settings::TokenRole;
use crate::entry_settings::TokenSettings;

/// Size of a team's burst, as seconds of its rate.
const BURST_S: f64 = 10.0;

/// Identity of a caller, established by its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Name of the token in the settings.
    pub name: SmolStr,
    /// Role that the token grants.
    pub role: TokenRole,
}

impl CallerIdentity {
    /// Whether the caller may read and change a team's jobs.
    pub fn may_act_for(&self, team: &str) -> bool {
        match &self.role {
            TokenRole::Operator => true,
            TokenRole::Team(own) => own == team,
        }
    }

    /// Whether the caller is an operator.
    pub fn is_operator(&self) -> bool {
        self.role == TokenRole::Operator
    }
}

struct KnownToken {
    digest: Digest,
    identity: CallerIdentity,
}

/// Tokens that the entry accepts, stored as digests.
pub struct TokenTable {
    tokens: Vec<KnownToken>,
}

impl TokenTable {
    /// Builds the table from the settings.
    ///
    /// # Errors
    /// [`EntrySettingsError`] when a digest is malformed or a role does not match its team.
    pub fn new(settings: &[TokenSettings]) -> Result<Self, EntrySettingsError> {
        let mut tokens = Vec::with_capacity(settings.len());
        for token in settings {
            let identity = CallerIdentity { name: token.name.clone(), role: token.role()? };
            tokens.push(KnownToken { digest: token.digest()?, identity });
        }
        Ok(Self { tokens })
    }

    /// Identifies the caller by the bearer token in the request headers; `None` if the token is
    /// missing or unknown.
    pub(crate) fn identify_bearer(&self, headers: &HeaderMap) -> Option<CallerIdentity> {
        let header = headers.get(AUTHORIZATION)?.to_str().ok()?;
        self.identify(header.strip_prefix("Bearer ")?)
    }

    /// Identifies the owner of a token. Compares all known tokens, each in constant time, so that
    /// the response time reveals nothing about them.
    pub fn identify(&self, token: &str) -> Option<CallerIdentity> {
        let digest = Digest::of(token.as_bytes());
        let mut found = None;
        for known in &self.tokens {
            if bool::from(known.digest.0.ct_eq(&digest.0)) {
                found = Some(&known.identity);
            }
        }
        found.cloned()
    }
}

struct TokenBucket {
    tokens: f64,
    last_refill: Instant,
}

/// Limits each team's submission rate with a token bucket, so that a burst of one team does not
/// starve the others.
pub struct TeamRateLimiter {
    rate_per_s: f64,
    buckets: Mutex<BTreeMap<SmolStr, TokenBucket>>,
}

impl TeamRateLimiter {
    /// Creates a limiter that allows each team `rate_per_s` submissions per second.
    pub fn new(rate_per_s: u32) -> Self {
        Self { rate_per_s: f64::from(rate_per_s), buckets: Mutex::new(BTreeMap::new()) }
    }

    /// Takes one token from the team's bucket; returns false if the bucket is empty.
    pub fn admit(&self, team: &SmolStr, now: Instant) -> bool {
        let burst = self.rate_per_s * BURST_S;
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets
            .entry(team.clone())
            .or_insert_with(|| TokenBucket { tokens: burst, last_refill: now });
        let elapsed = now.saturating_duration_since(bucket.last_refill).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * self.rate_per_s).min(burst);
        bucket.last_refill = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}
