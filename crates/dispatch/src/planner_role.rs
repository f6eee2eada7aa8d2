//! Decides when an entry claims the planner role, and when the planner releases it.
//!
//! Load patterns that it answers: a planner that is cut off from the log while other entries are not,
//! whose decisions then all take a detour; entries of unequal size, where planning on a small one makes
//! urgent jobs wait; and an outage of the log, in which nobody can plan and the role stays where it
//! is.

use std::time::Duration;

/// Time without a batch from the planner in the log after which another entry claims the role.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time for which the planner's own path to the log must be broken before it releases the role. A path
/// that loses a single answer works again within milliseconds.
const RELEASE_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum age of the planner's last confirmed read at which it releases the role: other entries then
/// reach the log. The entry that reads the log directly confirms its end every 550 ms or sooner.
const MAX_RELEASE_READ_AGE: Duration = Duration::from_millis(800);
/// Additional time that an entry whose own path to the log is broken leaves the role to others.
const BROKEN_PATH_CLAIM_DELAY: Duration = Duration::from_millis(2_000);
/// Additional time that a small entry leaves the role to larger ones; a claim takes less.
const SMALL_ENTRY_CLAIM_DELAY: Duration = Duration::from_millis(200);
/// Share of a core below which an entry is small.
const SMALL_PROCESSOR_SHARE: f64 = 0.25;

/// What an entry can do about the planner role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleDecision {
    /// Claim the role.
    Claim,
    /// Plan.
    Plan,
    /// Release the role, which this entry holds.
    Release,
    /// Leave the role to others.
    Wait,
}

/// Size of an entry, as far as it decides who plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntrySize {
    /// Planning must not slow down this entry's callers.
    Small,
    /// Planning has little effect on this entry.
    Regular,
}

impl EntrySize {
    /// Size of an entry with this share of a core.
    pub fn of_processor_share(share: f64) -> Self {
        if share < SMALL_PROCESSOR_SHARE { Self::Small } else { Self::Regular }
    }
}

/// What an entry knows when it decides about the planner role.
#[derive(Clone, Copy, Debug)]
pub struct RoleView {
    /// Whether this entry holds the role.
    pub is_own: bool,
    /// How long the role has been free, or held by a process that is gone; `None` while a known
    /// process holds it.
    pub free_for: Option<Duration>,
    /// How long the planner has written nothing while the log was read.
    pub silence: Duration,
    /// Age of the last confirmed read.
    pub read_age: Duration,
    /// How long this entry's own path to the log has been broken; `None` while it works.
    pub path_broken_for: Option<Duration>,
    /// Whether the log knows other entries.
    pub has_other_entries: bool,
    /// Size of this entry.
    pub size: EntrySize,
}

impl RoleView {
    /// Decides what this entry does about the role.
    pub fn decide(&self) -> RoleDecision {
        if self.is_own {
            return if self.must_release() { RoleDecision::Release } else { RoleDecision::Plan };
        }
        let overdue = match self.free_for {
            Some(free_for) => Some(free_for),
            None => self.silence.checked_sub(TAKEOVER_TIMEOUT),
        };
        if overdue.is_some_and(|overdue| overdue >= self.claim_delay()) {
            RoleDecision::Claim
        } else {
            RoleDecision::Wait
        }
    }

    fn must_release(&self) -> bool {
        let is_broken = self.path_broken_for.is_some_and(|broken_for| broken_for >= RELEASE_DELAY);
        is_broken && self.has_other_entries && self.read_age <= MAX_RELEASE_READ_AGE
    }

    fn claim_delay(&self) -> Duration {
        if self.path_broken_for.is_some() {
            BROKEN_PATH_CLAIM_DELAY
        } else if self.size == EntrySize::Small {
            SMALL_ENTRY_CLAIM_DELAY
        } else {
            Duration::ZERO
        }
    }
}
