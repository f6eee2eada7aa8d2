//! `GET /v1/jobs/{team}/{key}/explain`: why a job waits, or where it is placed, and its past
//! attempts. `POST /v1/jobs/explain`: the same of a job that has not been submitted.

use std::time::Instant;

use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::state::State as LedgerState;
use cuminbarrow_ledger::worker_state::WorkerState;
use cuminbarrow_ledger::worker_state::WorkerStatus;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::placement_preview::PlacementPreview;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_policy::placement_policy::WaitReason;
use cuminbarrow_telemetry::wall_clock::wall_ms;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use smol_str::format_smolstr;

use crate::access::CallerIdentity;
use crate::api_error::ApiError;
use crate::api_jobs::check_spec;
use crate::api_jobs::find_job;
use crate::api_jobs::parse_body;
use crate::api_types::CandidateView;
use crate::api_types::ExplainView;
use crate::api_types::JobView;
use crate::api_types::PastAttemptView;
use crate::api_types::SubmitBody;
use crate::entry_core::SharedCore;
use crate::job_preview::preview_job;
use crate::planner_loop::create_policy;

/// Maximum number of workers listed as candidates.
const MAX_CANDIDATES: usize = 64;

pub(crate) async fn explain(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Path((team, idempotency_key)): Path<(SmolStr, SmolStr)>,
) -> Result<Json<ExplainView>, ApiError> {
    let key = find_job(&core, &identity, &team, &idempotency_key)?;
    let state = core.tail.state();
    let job = state.jobs.get(&key).ok_or_else(|| ApiError::not_found("the job"))?;
    let queue_position = state.pending.iter().position(|pending| *pending == key);
    let explanation = match queue_position {
        None => "it does not wait".to_owned(),
        Some(_) => {
            let plan = create_policy(&core.settings).plan(&state, wall_ms());
            let waiting_job = plan.waiting.iter().find(|waiting_job| waiting_job.job == key);
            waiting_job.map_or_else(
                || "the next round looks at it or places it".to_owned(),
                |waiting_job| wait_text(&state, waiting_job.reason, plan.starving_job),
            )
        }
    };
    let reservation = job.placement().and_then(|placement| placement.reservation);
    let reservation = reservation.and_then(|key| state.reservations.get(&key));
    let candidates = if job.is_pending() { candidates(&state, job) } else { Vec::new() };
    Ok(Json(ExplainView {
        job: JobView::new(&state, key, job),
        queue_position: queue_position.map(|position| position + 1),
        explanation,
        shape: job.spec.shape.to_smolstr(),
        reservation: reservation.map(|used| used.guarantee.clone()),
        failed_workers: job.failed_workers.iter().map(|key| worker_name(&state, *key)).collect(),
        past: past_attempts(&state, job),
        candidates,
    }))
}

/// Previews a job with the body and the permissions of its submission. Nothing is written.
pub(crate) async fn explain_unsent(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    body: Bytes,
) -> Result<Json<PlacementPreview>, ApiError> {
    let body: SubmitBody = parse_body(&body)?;
    if !identity.may_act_for(&body.team) {
        return Err(ApiError::forbidden());
    }
    check_spec(&body.job)?;
    let Some(permit) = core.preview_gate.enter(Instant::now()) else {
        let detail = "previews are made one at a time, and at most one a second";
        return Err(ApiError::not_run(StatusCode::TOO_MANY_REQUESTS, "preview_limited", detail));
    };
    // The permit is held until the preview ends, also if its caller has gone.
    let preview = tokio::task::spawn_blocking(move || {
        let state = core.tail.state().clone();
        let now_ms = wall_ms();
        // The planner writes at least every few seconds, so the newest record tells the state's age.
        let state_age_ms = (state.offset > 0).then(|| now_ms.saturating_sub(state.clock_ms));
        let preview = preview_job(state, || create_policy(&core.settings), &body, now_ms);
        drop(permit);
        let instance = core.instance.to_smolstr();
        preview.map(|preview| PlacementPreview { instance, state_age_ms, ..preview })
    });
    let preview = preview.await.map_err(|error| {
        log::error!("a preview failed: {error}");
        let detail = "the preview failed";
        ApiError::not_run(StatusCode::INTERNAL_SERVER_ERROR, "preview_failed", detail)
    })?;
    Ok(Json(preview?))
}

/// Describes why the job waits. If capacity is kept free for a larger job that has waited too long,
/// the text names that job.
pub(crate) fn wait_text(
    state: &LedgerState,
    reason: WaitReason,
    starving_job: Option<JobKey>,
) -> String {
    let larger = starving_job.and_then(|key| state.jobs.get(&key));
    match (reason, larger) {
        (WaitReason::BehindLargeJob, Some(larger)) => {
            let team = state.team_name(larger.team);
            format!("{reason}: {team}/{} of {}", larger.idempotency_key, larger.spec.shape)
        }
        _ => reason.to_string(),
    }
}

fn worker_name(state: &LedgerState, key: WorkerKey) -> SmolStr {
    state.worker(key).map(|worker| worker.spec.name.clone()).unwrap_or_default()
}

fn past_attempts(state: &LedgerState, job: &JobState) -> Vec<PastAttemptView> {
    let views = job.past_attempts.iter().map(|past| PastAttemptView {
        attempt: past.attempt,
        lead: worker_name(state, past.lead),
        was_started: past.was_started,
        reason: past.reason.clone(),
        at_ms: past.at_ms,
    });
    views.collect()
}

/// Lists up to `MAX_CANDIDATES` workers by name, each with the reason why it can't run a member of
/// the job, or the text that it can.
fn candidates(state: &LedgerState, job: &JobState) -> Vec<CandidateView> {
    let views = state.workers().map(|(key, worker)| CandidateView {
        worker: worker.spec.name.clone(),
        reason: worker_obstacle(state, job, key, worker)
            .unwrap_or(SmolStr::new_static("has room for a member")),
    });
    let mut views: Vec<CandidateView> = views.collect();
    views.sort_by(|left, right| left.worker.cmp(&right.worker));
    views.truncate(MAX_CANDIDATES);
    views
}

/// Lists the resources of which too little is free, with the free and the required amounts.
fn shortage(free: &Resources, per_member: &Resources) -> SmolStr {
    let resources = [
        ("cores", free.cores, per_member.cores),
        ("GiB", free.memory_gib, per_member.memory_gib),
        ("accelerators", free.accelerators.into(), per_member.accelerators.into()),
        ("slots", free.slots.into(), per_member.slots.into()),
        ("connections", free.connections.into(), per_member.connections.into()),
    ];
    let lacking = resources.iter().filter(|(_, free, wanted)| free < wanted);
    let parts: Vec<String> =
        lacking.map(|(name, free, wanted)| format!("{free} of {wanted} {name} free")).collect();
    SmolStr::new(parts.join(", "))
}

/// Describes why the worker can't run one member of the job now; `None` if it can.
pub(crate) fn worker_obstacle(
    state: &LedgerState,
    job: &JobState,
    key: WorkerKey,
    worker: &WorkerState,
) -> Option<SmolStr> {
    match worker.status {
        WorkerStatus::Draining => return Some(SmolStr::new_static("it is draining")),
        WorkerStatus::Left => return Some(SmolStr::new_static("it has left")),
        WorkerStatus::Lost => return Some(SmolStr::new_static("it is lost")),
        WorkerStatus::Up => {}
    }
    if worker.quarantined_ms.is_some() {
        return Some(SmolStr::new_static("it is in quarantine"));
    }
    if job.failed_workers.contains(&key) {
        return Some(SmolStr::new_static("the job failed there"));
    }
    let per_member = &job.spec.shape.per_member;
    let free = worker.free_resources();
    if !free.amounts.covers(per_member) {
        return Some(shortage(&free.amounts, per_member));
    }
    if free.accelerators.contiguous_block(per_member.accelerators).is_none() {
        let count = free.accelerators.count();
        return Some(format_smolstr!(
            "{count} accelerators free, not {} adjacent",
            per_member.accelerators
        ));
    }
    let is_non_preemptible = !job.is_preemptible();
    let non_preemptible_free = worker.free_for_non_preemptible(job.team);
    let fits_non_preemptible = non_preemptible_free.amounts.covers(per_member)
        && non_preemptible_free.accelerators.contiguous_block(per_member.accelerators).is_some();
    if is_non_preemptible && !fits_non_preemptible {
        let owners = worker.commitments.iter().filter(|commitment| commitment.team != job.team);
        let owners: Vec<SmolStr> =
            owners.map(|commitment| state.team_name(commitment.team)).collect();
        return Some(format_smolstr!("its room is promised to {}", owners.join(", ")));
    }
    None
}
