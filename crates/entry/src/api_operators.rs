//! HTTP handlers for operators: teams, workers, draining, status and the log progress of each
//! entry.

use axum::Json;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::EntryState;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_protocol::message::PeerRequest;
use cuminbarrow_protocol::message::PeerResponse;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::access::CallerIdentity;
use crate::api_error::ApiError;
use crate::api_types::InstanceView;
use crate::api_types::ReservationView;
use crate::api_types::StatusView;
use crate::api_types::TeamView;
use crate::api_types::WorkerView;
use crate::entry_core::EntryCore;
use crate::entry_core::SharedCore;
use crate::peer_server;

pub(crate) fn require_operator(identity: &CallerIdentity) -> Result<(), ApiError> {
    if identity.is_operator() { Ok(()) } else { Err(ApiError::forbidden()) }
}

pub(crate) async fn teams(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
) -> Json<Vec<TeamView>> {
    let state = core.tail.state();
    let views = state.teams.iter().enumerate().filter_map(|(index, team)| {
        let key = TeamKey(u16::try_from(index).ok()?);
        let reservations =
            state.reservations.values().filter(|reservation| reservation.team == key);
        Some(TeamView {
            name: team.spec.name.clone(),
            is_active: team.is_active,
            pending: team.pending,
            reservations: reservations
                .map(|reservation| ReservationView {
                    guarantee: reservation.guarantee.clone(),
                    shape: reservation.shape,
                    is_held: reservation.members.is_some(),
                    is_used: reservation.holder.is_some(),
                })
                .collect(),
        })
    });
    Json(views.filter(|view| identity.may_act_for(&view.name)).collect())
}

pub(crate) async fn workers(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
) -> Result<Json<Vec<WorkerView>>, ApiError> {
    require_operator(&identity)?;
    let state = core.tail.state();
    let views = state.workers().map(|(_, worker)| WorkerView {
        name: worker.spec.name.clone(),
        region: worker.spec.location.region.clone(),
        data_centre: worker.spec.location.data_centre.clone(),
        rack: worker.spec.location.rack.clone(),
        status: worker.status,
        is_quarantined: worker.quarantined_ms.is_some(),
        capacity: worker.spec.capacity,
        used: worker.used,
    });
    Ok(Json(views.collect()))
}

fn worker_key(core: &EntryCore, name: &str) -> Result<WorkerKey, ApiError> {
    core.tail.state().worker_key(name).ok_or_else(|| ApiError::not_found("the worker"))
}

pub(crate) async fn drain(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Path(name): Path<SmolStr>,
) -> Result<StatusCode, ApiError> {
    write_worker_record(&core, &identity, &name, |worker| Record::WorkerDrained { worker }).await
}

pub(crate) async fn resume(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    Path(name): Path<SmolStr>,
) -> Result<StatusCode, ApiError> {
    write_worker_record(&core, &identity, &name, |worker| Record::WorkerResumed { worker }).await
}

/// Writes the record of an operator's action on a worker, such as a drain, and logs who asked.
async fn write_worker_record<R>(
    core: &EntryCore,
    identity: &CallerIdentity,
    name: &str,
    record: R,
) -> Result<StatusCode, ApiError>
where
    R: FnOnce(WorkerKey) -> Record,
{
    require_operator(identity)?;
    let record = record(worker_key(core, name)?);
    log::info!("operator: {record:?} by={:?}", identity.name);
    core.write(record).await?;
    Ok(StatusCode::NO_CONTENT)
}

pub(crate) async fn status(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
) -> Result<Json<StatusView>, ApiError> {
    require_operator(&identity)?;
    let state = core.tail.state();
    let unheld_reservations =
        state.reservations.values().filter(|reservation| reservation.members.is_none());
    Ok(Json(StatusView {
        instance: core.instance,
        offset: state.offset,
        is_current: core.tail.is_current(),
        sheet_version: state.sheet.version,
        planner_epoch: state.planner.epoch,
        planner: state.planner.instance,
        entries: state.entries.len(),
        workers_up: state.workers.iter().filter(|worker| worker.is_up()).count(),
        workers: state.workers.len(),
        pending: state.pending.len(),
        placed: state.placed.len(),
        unheld_guarantees: unheld_reservations
            .map(|unheld| format_smolstr!("{}/{}", state.team_name(unheld.team), unheld.guarantee))
            .collect(),
    }))
}

/// Lists the log progress of all registered entries, queried concurrently.
pub(crate) async fn instances(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
) -> Result<Json<Vec<InstanceView>>, ApiError> {
    require_operator(&identity)?;
    let entries = core.tail.state().entries.clone();
    let mut requests = Vec::new();
    for (instance, entry) in entries {
        let core = core.clone();
        let request = tokio::spawn(async move { fetch_progress(&core, instance, &entry).await });
        requests.push(request);
    }
    let mut views = Vec::new();
    for view in requests {
        if let Ok(view) = view.await {
            views.push(view);
        }
    }
    let max_offset = views.iter().filter_map(|view| view.offset).max().unwrap_or(0);
    for view in &mut views {
        view.behind = view.offset.map(|offset| max_offset - offset);
    }
    Ok(Json(views))
}

/// Queries one entry for its log progress; the offset stays empty if it does not respond.
async fn fetch_progress(core: &EntryCore, instance: u64, entry: &EntryState) -> InstanceView {
    let progress = if instance == core.instance {
        Some(core.progress())
    } else {
        let request =
            peer_server::call_peer(&core.dialer, entry.address, PeerRequest::FetchProgress);
        match request.await {
            Ok(PeerResponse::Progress { progress }) => Some(progress),
            Ok(_) | Err(_) => None,
        }
    };
    InstanceView {
        instance,
        region: entry.region.clone(),
        address: entry.address,
        is_current: progress.is_some_and(|progress| progress.is_current),
        offset: progress.map(|progress| progress.offset),
        behind: None,
        sheet_version: progress.map(|progress| progress.sheet_version),
    }
}
