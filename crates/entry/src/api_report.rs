//! `GET /v1/report`: accelerator use by team and free capacity over time.

use axum::Json;
use axum::extract::State;
use cuminbarrow_ledger::state::State as LedgerState;
use cuminbarrow_model::keys::TeamKey;

use crate::access::CallerIdentity;
use crate::api_error::ApiError;
use crate::api_operators::require_operator;
use crate::api_types::ReportView;
use crate::api_types::TeamReport;
use crate::entry_core::SharedCore;

/// Milliseconds per hour.
const MS_PER_HOUR: f64 = 3_600_000.0;

pub(crate) async fn report(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
) -> Result<Json<ReportView>, ApiError> {
    require_operator(&identity)?;
    let state = core.tail.state();
    let keys = (0..state.teams.len()).filter_map(|index| u16::try_from(index).ok().map(TeamKey));
    Ok(Json(ReportView {
        at_ms: state.clock_ms,
        teams: keys.filter_map(|key| team_report(&state, key)).collect(),
        samples: state.capacity_samples.iter().copied().collect(),
    }))
}

/// Builds the report of a team; `None` if the team is not in the active sheet.
fn team_report(state: &LedgerState, key: TeamKey) -> Option<TeamReport> {
    let team = state.team(key).filter(|team| team.is_active)?;
    let reservations = state.reservations.values().filter(|reservation| reservation.team == key);
    let (mut holding, mut running_ms) = (0, 0);
    for job in state.placed.iter().filter_map(|job| state.jobs.get(job)) {
        if let Some(placement) = job.placement().filter(|_| job.team == key) {
            let count = job.spec.shape.accelerators();
            let held_ms = state.clock_ms.saturating_sub(placement.placed_ms);
            holding += count;
            running_ms += u64::from(count) * held_ms;
        }
    }
    let usage = team.usage;
    Some(TeamReport {
        team: team.spec.name.clone(),
        promised: reservations.map(|reservation| reservation.shape.accelerators()).sum(),
        holding,
        used_hours: hours(usage.used_ms + running_ms),
        borrowed_hours: hours(usage.borrowed_ms),
        lent_hours: hours(usage.lent_ms),
        reclaims: usage.reclaims,
        preempted: usage.preempted,
        completed: usage.completed,
        late: usage.late,
        not_completed: usage.not_completed,
    })
}

fn hours(ms: u64) -> f64 {
    ms as f64 / MS_PER_HOUR
}
