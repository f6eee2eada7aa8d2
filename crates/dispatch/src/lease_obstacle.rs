//! Why a worker is granted no lease.

/// What keeps a worker from being granted a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseObstacle {
    /// The worker is being removed from the log.
    BeingRemoved,
    /// The worker has announced its shutdown.
    HasLeft,
    /// Another incarnation answers at the worker's address.
    Replaced,
    /// A superseded end keeps later ends from being listed until the lease has lapsed.
    EndsBlocked,
    /// No read of the log is confirmed, or its records are not all applied.
    NoConfirmedRead,
    /// The log has a later registration of the worker, or a suspicion of it, or does not place the run
    /// there any more.
    NotCurrent,
    /// The worker does not answer polls.
    WorkerNotAnswering,
    /// The worker's clock has not been read.
    NoClockSample,
    /// The latest confirmed read is too old.
    ReadTooOld,
}
