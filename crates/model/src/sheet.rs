//! The sheet: the operators' standing instruction, as applied.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::job::JobSpec;
use crate::team::TeamSpec;

/// A job row of the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetJob {
    /// Team that owns the job.
    pub team: SmolStr,
    /// Idempotency key of the job: the row's key and the sheet's service day.
    pub key: SmolStr,
    /// What to run.
    pub spec: JobSpec,
}

/// A whole sheet: teams, their guarantees, and the standing jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Version that this sheet was based on; 0 for the first.
    pub base: u64,
    /// Teams, in sheet order.
    pub teams: Vec<TeamSpec>,
    /// Standing jobs.
    pub jobs: Vec<SheetJob>,
}
