//! Previews the effects of a sheet by applying it to a copy of the state.

use std::collections::BTreeSet;

use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::sheet::Sheet;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::ToSmolStr;

use crate::reservation::Reservation;
use crate::state::State;

/// Removal limit, in thousandths, with which a sheet may remove all teams and guarantees.
pub const UNLIMITED_REMOVALS_PERMILLE: u16 = 1_000;

/// Effects that a sheet would have if it were applied now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetPreview {
    /// Version of the current sheet.
    pub in_force: u64,
    /// Reason for which it would be refused; the other fields tell what it would change otherwise.
    pub refusal: Option<SmolStr>,
    /// Jobs that would be accepted, as `team/key`.
    pub jobs_added: Vec<SmolStr>,
    /// Jobs accepted before with the same content, as `team/key`; they continue unchanged.
    pub jobs_known: Vec<SmolStr>,
    /// Reservations whose workers would change.
    pub reservations_moved: Vec<ReservationMove>,
    /// Placed jobs, as `team/key`, on capacity that would newly be reserved for another team: they
    /// continue, and may be preempted for it.
    pub jobs_on_new_promises: Vec<SmolStr>,
}

/// Workers of a reservation before and after the sheet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationMove {
    /// Name of the team.
    pub team: SmolStr,
    /// Name of the guarantee.
    pub guarantee: SmolStr,
    /// Current workers; empty if it is new or not placed.
    pub before: Vec<SmolStr>,
    /// Workers after the sheet; empty if it would be removed or not be placed.
    pub after: Vec<SmolStr>,
}

impl State {
    /// Computes the effects of applying the sheet now; `max_removed_permille` is that of
    /// [`SheetApplied`](crate::record::Record::SheetApplied).
    pub fn preview_sheet(&self, sheet: &Sheet, max_removed_permille: u16) -> SheetPreview {
        let author = SmolStr::default();
        let mut next = self.clone();
        let refusal = next.sheet_applied(&author, sheet, max_removed_permille).err();
        let mut preview = SheetPreview {
            in_force: self.sheet.version,
            refusal: refusal.as_ref().map(ToSmolStr::to_smolstr),
            ..SheetPreview::default()
        };
        if refusal.is_some() {
            let current = Sheet { base: self.sheet.version, ..sheet.clone() };
            if next.sheet_applied(&author, &current, UNLIMITED_REMOVALS_PERMILLE).is_err() {
                return preview;
            }
        }
        for job in &sheet.jobs {
            let line = smol_str::format_smolstr!("{}/{}", job.team, job.key);
            let team = self.team_key(&job.team);
            let is_known = team.and_then(|team| self.job_key(team, &job.key)).is_some();
            let list = if is_known { &mut preview.jobs_known } else { &mut preview.jobs_added };
            list.push(line);
        }
        preview.reservations_moved = self.moved_reservations(&next);
        preview.jobs_on_new_promises = self.jobs_on_new_promises(&next);
        preview
    }

    fn moved_reservations(&self, next: &Self) -> Vec<ReservationMove> {
        let keys: BTreeSet<_> = self.reservations.keys().chain(next.reservations.keys()).collect();
        let mut moves = Vec::new();
        for key in keys {
            let (before, after) = (self.reservations.get(key), next.reservations.get(key));
            let Some(either) = after.or(before) else { continue };
            let workers_of = |reservation: Option<&Reservation>| self.worker_list(reservation);
            let (from, to) = (workers_of(before), workers_of(after));
            if from != to || before.is_some() != after.is_some() {
                moves.push(ReservationMove {
                    team: next.team_name(either.team),
                    guarantee: either.guarantee.clone(),
                    before: from,
                    after: to,
                });
            }
        }
        moves
    }

    fn worker_list(&self, reservation: Option<&Reservation>) -> Vec<SmolStr> {
        let members: &[Member] =
            reservation.and_then(|reservation| reservation.members.as_deref()).unwrap_or_default();
        let names: BTreeSet<SmolStr> = members
            .iter()
            .filter_map(|member| Some(self.worker(member.worker)?.spec.name.clone()))
            .collect();
        names.into_iter().collect()
    }

    fn jobs_on_new_promises(&self, next: &Self) -> Vec<SmolStr> {
        let borrowed = |state: &Self, key: &JobKey| -> BTreeSet<TeamKey> {
            let Some(job) = self.jobs.get(key) else { return BTreeSet::new() };
            let members = job.placement().map(|placement| placement.members.as_slice());
            let lenders = state.lenders(job.team, members.unwrap_or_default());
            lenders.into_iter().map(|(team, _)| team).collect()
        };
        let affected =
            self.placed.iter().filter(|key| !borrowed(next, key).is_subset(&borrowed(self, key)));
        affected
            .filter_map(|key| {
                let job = self.jobs.get(key)?;
                Some(smol_str::format_smolstr!(
                    "{}/{}",
                    self.team_name(job.team),
                    job.idempotency_key
                ))
            })
            .collect()
    }
}
