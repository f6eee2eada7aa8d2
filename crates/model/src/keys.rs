//! Small typed keys into the replicated state.
//!
//! The keys are handed out by the state in log order and never reused, so that every replica,
//! restored from a snapshot or not, gives the same key to the same thing.

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
    /// Key of a guaranteed shape's reservation.
    ReservationKey,
    u16
);

/// Key of one attempt to run a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The job.
    pub job: JobKey,
    /// Attempt number, from 1.
    pub attempt: u16,
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.job, self.attempt)
    }
}
