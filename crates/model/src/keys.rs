//! Typed integer keys of objects in the replicated state.
//!
//! Keys are assigned in log order and never reused, so that every replica assigns the same key to
//! the same object, whether or not it was restored from a snapshot.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! typed_key {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

typed_key!(
    /// Key of an accepted job.
    JobKey,
    u32
);
typed_key!(
    /// Key of a team.
    TeamKey,
    u16
);
typed_key!(
    /// Key of a worker.
    WorkerKey,
    u16
);
typed_key!(
    /// Key of a rack.
    RackKey,
    u16
);
typed_key!(
    /// Key of a data centre.
    DataCentreKey,
    u16
);
typed_key!(
    /// Key of the reservation that backs one guaranteed shape.
    ReservationKey,
    u16
);

/// Key of one attempt to run a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// Job that the attempt belongs to.
    pub job: JobKey,
    /// Number of the attempt, counted from 1.
    pub attempt: u16,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.job, self.attempt)
    }
}
