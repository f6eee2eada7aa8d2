//! What a sheet would do: the fold applied to a copy.

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

/// Share of teams and guarantees that a sheet may remove when it may remove all, in thousandths.
pub const UNLIMITED_REMOVALS_PERMILLE: u16 = 1_000;

/// What a sheet would do if it were applied now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetPreview {
    /// Version in force.
    pub in_force: u64,
    /// Why it would be refused; what follows tells what it would do otherwise.
    pub refusal: Option<SmolStr>,
    /// Jobs that would be accepted, as `team/key`.
    pub jobs_added: Vec<SmolStr>,
    /// Jobs accepted before with the same content, as `team/key`; they go on as they are.
    pub jobs_known: Vec<SmolStr>,
    /// Guaranteed shapes that would get another place.
    pub reservations_moved: Vec<ReservationMove>,
    /// Running jobs, as `team/key`, on room that would be newly promised to another team: they
    /// go on, and may be stopped for it.
    pub jobs_on_new_promises: Vec<SmolStr>,
}

/// A guaranteed shape's place before and after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationMove {
    /// Team.
    pub team: SmolStr,
    /// Name of the guarantee.
    pub guarantee: SmolStr,
    /// Workers that hold it now; none when it is new or held nowhere.
    pub before: Vec<SmolStr>,
    /// Workers that would hold it; none when it would end or be held nowhere.
    pub after: Vec<SmolStr>,
}

impl State {
    /// What the sheet would do if it were applied now; `max_removed_permille` as in the record.
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
            let place = |held: Option<&Reservation>| self.worker_list(held);
            let (from, to) = (place(before), place(after));
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

    fn worker_list(&self, held: Option<&Reservation>) -> Vec<SmolStr> {
        let members: &[Member] = held.and_then(|held| held.members.as_deref()).unwrap_or_default();
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
