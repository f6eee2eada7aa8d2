//! HTTP handlers for jobs: submit, list, show, wait, cancel and answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Extension;
use axum::Json;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use cuminbarrow_ledger::apply::Effect;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_model::job::JobOutcome;
use cuminbarrow_model::job::JobSpec;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_requests::connection_table::ConnectionTable;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::access::CallerIdentity;
use crate::api_error::ApiError;
use crate::api_types::JobView;
use crate::api_types::SubmitBody;
use crate::entry_core::EntryCore;
use crate::entry_core::SharedCore;
use crate::entry_metrics::EntryMetrics;

/// Header with the idempotency key of a submission.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Maximum length of a payload reference, in bytes.
const MAX_PAYLOAD_BYTES: usize = 1_024;
/// Maximum time that one `wait` request blocks, in ms.
const MAX_WAIT_MS: u64 = 30_000;
/// Maximum number of jobs in one list response.
const MAX_LISTED_JOBS: usize = 1_000;

/// Parses a JSON body; the error contains the position of the fault.
pub(crate) fn parse_body<T>(body: &[u8]) -> Result<T, ApiError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| {
        ApiError::not_run(StatusCode::BAD_REQUEST, "malformed_body", error.to_string())
    })
}

pub(crate) async fn submit(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    let idempotency_key = idempotency_key_of(&headers)?;
    let SubmitBody { team, job } = parse_body(&body)?;
    if !identity.may_act_for(&team) {
        return Err(ApiError::forbidden());
    }
    check_spec(&job)?;
    if let Some(view) = earlier_submission(&core, &team, &idempotency_key, &job)? {
        return Ok((StatusCode::OK, Json(view)).into_response());
    }
    if !core.limiter.admit(&team, Instant::now()) {
        EntryMetrics::add(&core.metrics.refusals, 1);
        let detail = format!("team {team:?} submits faster than its limit");
        return Err(ApiError::not_run(StatusCode::TOO_MANY_REQUESTS, "rate_limited", detail));
    }
    EntryMetrics::add(&core.metrics.submissions, 1);
    let effect = core.write(Record::JobSubmitted { team, idempotency_key, spec: job }).await?;
    let Effect::Job { job } = effect else { return Err(ApiError::not_found("the job")) };
    log::info!("submission: job={job} by={:?}", identity.name);
    Ok((StatusCode::CREATED, Json(job_view(&core, job)?)).into_response())
}

fn idempotency_key_of(headers: &HeaderMap) -> Result<SmolStr, ApiError> {
    let refuse = |detail: &str| {
        Err(ApiError::not_run(StatusCode::BAD_REQUEST, "bad_idempotency_key", detail))
    };
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return refuse("the header Idempotency-Key is missing");
    };
    let Ok(key) = value.to_str() else {
        return refuse("the header Idempotency-Key has characters that are not visible ASCII");
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return refuse("the header Idempotency-Key must have 1 to 128 bytes");
    }
    Ok(SmolStr::new(key))
}

pub(crate) fn check_spec(spec: &JobSpec) -> Result<(), ApiError> {
    let refuse = |detail: &str| Err(ApiError::not_run(StatusCode::BAD_REQUEST, "bad_job", detail));
    if spec.payload.len() > MAX_PAYLOAD_BYTES {
        return refuse("payload must have at most 1024 bytes");
    }
    if spec.declared_run_ms == 0 {
        return refuse("declared_run_ms must be at least 1");
    }
    Ok(())
}

/// Returns the job of an earlier submission with the same key and specification, so that a
/// repeated submission needs no log append.
fn earlier_submission(
    core: &EntryCore,
    team: &str,
    idempotency_key: &str,
    spec: &JobSpec,
) -> Result<Option<JobView>, ApiError> {
    let state = core.tail.state();
    let Some(job) = state.team_key(team).and_then(|team| state.job_key(team, idempotency_key))
    else {
        return Ok(None);
    };
    let Some(known) = state.jobs.get(&job) else { return Ok(None) };
    if known.spec != *spec {
        let detail = format!("key {idempotency_key:?} of team {team:?} was used for another job");
        return Err(ApiError::not_run(StatusCode::CONFLICT, "key_reused", detail));
    }
    Ok(Some(JobView::new(&state, job, known)))
}

fn job_view(core: &EntryCore, job: JobKey) -> Result<JobView, ApiError> {
    let state = core.tail.state();
    let known = state.jobs.get(&job).ok_or_else(|| ApiError::not_found("the job"))?;
    Ok(JobView::new(&state, job, known))
}

/// Looks up a job by team and idempotency key, if the caller may act for the team.
pub(crate) fn find_job(
    core: &EntryCore,
    identity: &CallerIdentity,
    team: &str,
    idempotency_key: &str,
) -> Result<JobKey, ApiError> {
    if !identity.may_act_for(team) {
        return Err(ApiError::forbidden());
    }
    let state = core.tail.state();
    let job = state.team_key(team).and_then(|team| state.job_key(team, idempotency_key));
    job.ok_or_else(|| ApiError::not_found("the job"))
}

#[derive(Deserialize)]
pub(crate) struct ListQuery {
    team: Option<SmolStr>,
}

pub(crate) async fn list(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Query(query): Query<ListQuery>,
) -> Json<Vec<JobView>> {
    let state = core.tail.state();
    let views = state
        .jobs
        .iter()
        .rev()
        .filter(|(_, job)| {
            let team = state.team_name(job.team);
            let is_wanted = query.team.as_ref().is_none_or(|wanted| *wanted == team);
            is_wanted && identity.may_act_for(&team)
        })
        .take(MAX_LISTED_JOBS)
        .map(|(key, job)| JobView::new(&state, *key, job))
        .collect();
    Json(views)
}

pub(crate) async fn show(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Path((team, idempotency_key)): Path<(SmolStr, SmolStr)>,
) -> Result<Json<JobView>, ApiError> {
    let job = find_job(&core, &identity, &team, &idempotency_key)?;
    Ok(Json(job_view(&core, job)?))
}

#[derive(Deserialize)]
pub(crate) struct WaitQuery {
    timeout_ms: Option<u64>,
}

/// Returns the job's view once the job has ended, the timeout has expired, the entry closes or its
/// listener is full. If
/// the job in the view has not ended, the caller repeats the request.
pub(crate) async fn wait(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Path((team, idempotency_key)): Path<(SmolStr, SmolStr)>,
    Query(query): Query<WaitQuery>,
    Extension(table): Extension<Arc<ConnectionTable>>,
) -> Result<Json<JobView>, ApiError> {
    let job = find_job(&core, &identity, &team, &idempotency_key)?;
    let mut waiter = core.job_waiters.subscribe(job);
    let view = job_view(&core, job)?;
    if view.is_ended() {
        return Ok(Json(view));
    }
    let timeout = Duration::from_millis(query.timeout_ms.unwrap_or(MAX_WAIT_MS).min(MAX_WAIT_MS));
    tokio::select! {
        () = waiter.ended() => {}
        () = core.closed() => {}
        () = table.slot_wanted() => {}
        () = tokio::time::sleep(timeout) => {}
    }
    Ok(Json(job_view(&core, job)?))
}

pub(crate) async fn cancel(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Path((team, idempotency_key)): Path<(SmolStr, SmolStr)>,
) -> Result<Json<JobView>, ApiError> {
    let job = find_job(&core, &identity, &team, &idempotency_key)?;
    core.write(Record::JobCancelled { job }).await?;
    log::info!("cancellation: job={job} by={:?}", identity.name);
    Ok(Json(job_view(&core, job)?))
}

pub(crate) async fn answer(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Path((team, idempotency_key)): Path<(SmolStr, SmolStr)>,
) -> Result<Response, ApiError> {
    let job = find_job(&core, &identity, &team, &idempotency_key)?;
    let state = core.tail.state();
    let outcome = state.jobs.get(&job).and_then(|job| job.outcome().cloned());
    drop(state);
    match outcome {
        Some(JobOutcome::Completed { answer }) if answer.matches_digest() => {
            let digest = [("answer-sha256", answer.digest.to_string())];
            Ok((digest, answer.body).into_response())
        }
        Some(JobOutcome::Completed { .. }) => Err(ApiError::not_run(
            StatusCode::GONE,
            "answer_dropped",
            "the job completed, its answer is not kept any more",
        )),
        None | Some(_) => Err(ApiError::not_found("an answer of the job")),
    }
}
