//! The sheet: declarative configuration of teams, guarantees and jobs.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::job::JobSpec;
use crate::team::TeamSpec;

/// Job that is submitted when the sheet is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetJob {
    /// Team that owns the job.
    pub team: SmolStr,
    /// Idempotency key of the job, made of the row's key and the sheet's service day.
    pub key: SmolStr,
    /// Specification of the job.
    pub spec: JobSpec,
}

/// A complete sheet, which replaces the teams and guarantees of the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Version of the sheet that this one was edited from; 0 for the first sheet.
    pub base: u64,
    /// Teams, in sheet order.
    pub teams: Vec<TeamSpec>,
    /// Jobs to submit when the sheet is applied.
    pub jobs: Vec<SheetJob>,
}
