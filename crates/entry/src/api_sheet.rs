//! HTTP handlers for the sheet: show the active one, apply or preview another, and list the audit
//! trail of applied sheets.

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use cuminbarrow_ledger::apply::Effect;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::sheet_preview::SheetPreview;
use cuminbarrow_ledger::sheet_preview::UNLIMITED_REMOVALS_PERMILLE;
use cuminbarrow_ledger::state::AuditEntry;

use crate::access::CallerIdentity;
use crate::api_error::ApiError;
use crate::api_jobs::parse_body;
use crate::api_operators::require_operator;
use crate::api_types::SheetBody;
use crate::api_types::SheetView;
use crate::entry_core::EntryCore;
use crate::entry_core::SharedCore;

pub(crate) async fn apply_sheet(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    body: Bytes,
) -> Result<Json<SheetView>, ApiError> {
    require_operator(&identity)?;
    let SheetBody { sheet, allow_removals } = parse_body(&body)?;
    let max_removed_permille = removal_limit(&core, allow_removals);
    let author = identity.name.clone();
    let record = Record::SheetApplied { author, sheet, max_removed_permille };
    let effect = core.write(record).await?;
    let Effect::Sheet { version } = effect else {
        return Err(ApiError::not_found("the sheet's version"));
    };
    log::info!("sheet: version={version} by={:?}", identity.name);
    Ok(Json(SheetView::new(&core.tail.state())))
}

pub(crate) async fn sheet(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
) -> Result<Json<SheetView>, ApiError> {
    require_operator(&identity)?;
    Ok(Json(SheetView::new(&core.tail.state())))
}

pub(crate) async fn audit(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
) -> Result<Json<Vec<AuditEntry>>, ApiError> {
    require_operator(&identity)?;
    Ok(Json(core.tail.state().audit.iter().cloned().collect()))
}

/// Computes the effects of a sheet without applying it.
pub(crate) async fn preview_sheet(
    State(core): State<SharedCore>,
    identity: CallerIdentity,
    body: Bytes,
) -> Result<Json<SheetPreview>, ApiError> {
    require_operator(&identity)?;
    let SheetBody { sheet, allow_removals } = parse_body(&body)?;
    let limit_permille = removal_limit(&core, allow_removals);
    let state = core.tail.state().clone();
    Ok(Json(state.preview_sheet(&sheet, limit_permille)))
}

/// Share of teams and guarantees that the sheet may remove, in thousandths.
fn removal_limit(core: &EntryCore, allow_removals: bool) -> u16 {
    if allow_removals { UNLIMITED_REMOVALS_PERMILLE } else { core.settings.max_removed_permille }
}
