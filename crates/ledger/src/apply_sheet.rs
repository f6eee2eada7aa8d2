//! Applies a sheet: as a whole, or not at all.

use std::collections::BTreeSet;

use cuminbarrow_model::digest::Digest;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::TeamKey;
use cuminbarrow_model::sheet::Sheet;
use cuminbarrow_model::team::Guarantee;
use cuminbarrow_model::team::TeamSpec;
use smol_str::SmolStr;
use smol_str::ToSmolStr;
use smol_str::format_smolstr;
use snafu::ensure;

use crate::apply::Effect;
use crate::codec;
use crate::refusal::Refusal;
use crate::refusal::SheetInfeasibleSnafu;
use crate::refusal::SheetInvalidSnafu;
use crate::refusal::SheetRemovesTooMuchSnafu;
use crate::refusal::SheetStaleSnafu;
use crate::reservation::Reservation;
use crate::state::AuditEntry;
use crate::state::SheetState;
use crate::state::State;
use crate::state::TeamState;
use crate::worker_state::WorkerStatus;

/// Maximum number of sheet changes that are retained for the audit log.
const MAX_AUDIT_ENTRIES: usize = 10_000;

impl State {
    pub(crate) fn sheet_applied(
        &mut self,
        author: &SmolStr,
        sheet: &Sheet,
        max_removed_permille: u16,
    ) -> Result<Effect, Refusal> {
        let content_digest = sheet_digest(sheet);
        if self.sheet.content_digest == Some(content_digest) {
            return Ok(Effect::Sheet { version: self.sheet.version });
        }
        let (base, current) = (sheet.base, self.sheet.version);
        let current_author = self.sheet.author.clone();
        ensure!(base == current, SheetStaleSnafu { base, current, author: current_author });
        check_names(sheet)?;
        self.check_removals(sheet, max_removed_permille)?;
        self.check_feasible(sheet)?;
        let mut next = self.clone();
        next.activate_sheet(author, sheet, content_digest);
        next.submit_jobs(sheet)?;
        *self = next;
        Ok(Effect::Sheet { version: self.sheet.version })
    }

    fn check_removals(&self, sheet: &Sheet, limit_permille: u16) -> Result<(), Refusal> {
        let current = guarantee_names(self.teams.iter().filter(|t| t.is_active).map(|t| &t.spec));
        let wanted = guarantee_names(sheet.teams.iter());
        let (total, removed) = (current.len(), current.difference(&wanted).count());
        let is_within = removed * 1_000 <= total * usize::from(limit_permille);
        ensure!(is_within, SheetRemovesTooMuchSnafu { removed, total, limit_permille });
        Ok(())
    }

    /// Checks that all guarantees fit on the registered workers if no jobs ran. Draining and lost
    /// workers count as if they were up; quarantined ones are left out.
    fn check_feasible(&self, sheet: &Sheet) -> Result<(), Refusal> {
        let mut trial =
            Self { workers: self.workers.clone(), racks: self.racks.clone(), ..Self::default() };
        for worker in &mut trial.workers {
            worker.commitments.clear();
            if worker.is_registered() {
                worker.status = WorkerStatus::Up;
            }
        }
        trial.replace_teams(&sheet.teams);
        trial.replace_reservations();
        let promised: u32 = trial.reservations.values().map(|r| r.shape.accelerators()).sum();
        let unplaced = trial.reservations.values().find(|r| r.members.is_none());
        match unplaced {
            None => Ok(()),
            Some(reservation) => SheetInfeasibleSnafu {
                team: trial.team_name(reservation.team),
                guarantee: reservation.guarantee.clone(),
                promised,
                available: self.registered_accelerators(),
            }
            .fail(),
        }
    }

    fn activate_sheet(&mut self, author: &SmolStr, sheet: &Sheet, content_digest: Digest) {
        self.replace_teams(&sheet.teams);
        self.replace_reservations();
        let version = self.sheet.version + 1;
        let at_ms = self.clock_ms;
        self.sheet = SheetState {
            version,
            author: author.clone(),
            at_ms,
            content_digest: Some(content_digest),
        };
        let entry = AuditEntry { version, base: sheet.base, author: author.clone(), at_ms };
        self.audit.push_back(entry);
        if self.audit.len() > MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
    }

    fn submit_jobs(&mut self, sheet: &Sheet) -> Result<(), Refusal> {
        for job in &sheet.jobs {
            self.job_submitted(&job.team, &job.key, &job.spec).map_err(|refusal| {
                let reason = format_smolstr!("job {:?} of {:?}: {refusal}", job.key, job.team);
                Refusal::SheetInvalid { reason }
            })?;
        }
        Ok(())
    }

    fn replace_teams(&mut self, teams: &[TeamSpec]) {
        for team in &mut self.teams {
            team.is_active = false;
            team.spec.guarantees.clear();
        }
        for spec in teams {
            match self.teams.iter_mut().find(|team| team.spec.name == spec.name) {
                None => self.teams.push(TeamState {
                    spec: spec.clone(),
                    is_active: true,
                    pending: 0,
                    estimates: Default::default(),
                    usage: Default::default(),
                }),
                Some(team) => {
                    team.spec = spec.clone();
                    team.is_active = true;
                }
            }
        }
    }

    /// Keeps the reservations that the sheet still asks for, removes the others and places new
    /// ones.
    fn replace_reservations(&mut self) {
        let mut wanted = self.wanted_reservations();
        let keys: Vec<ReservationKey> = self.reservations.keys().copied().collect();
        for key in keys {
            let reservation = &self.reservations[&key];
            let same = wanted.iter().position(|(team, guarantee)| {
                *team == reservation.team
                    && guarantee.name == reservation.guarantee
                    && guarantee.shape == reservation.shape
            });
            match same {
                None => {
                    self.release_reservation(key);
                    self.reservations.remove(&key);
                }
                Some(index) => {
                    wanted.swap_remove(index);
                }
            }
        }
        wanted.sort_by(|left, right| (left.0, &left.1.name).cmp(&(right.0, &right.1.name)));
        for (team, guarantee) in wanted {
            self.add_reservation(team, &guarantee);
        }
        self.place_reservations();
        self.repack_reservations();
    }

    fn wanted_reservations(&self) -> Vec<(TeamKey, Guarantee)> {
        let mut wanted = Vec::new();
        for (index, team) in self.teams.iter().enumerate() {
            let key = TeamKey(u16::try_from(index).unwrap_or(u16::MAX));
            for guarantee in &team.spec.guarantees {
                wanted.extend((0..guarantee.count).map(|_| (key, guarantee.clone())));
            }
        }
        wanted
    }

    fn add_reservation(&mut self, team: TeamKey, guarantee: &Guarantee) {
        self.last_reservation += 1;
        self.reservations.insert(
            ReservationKey(self.last_reservation),
            Reservation {
                team,
                guarantee: guarantee.name.clone(),
                shape: guarantee.shape,
                members: None,
                holder: None,
                reclaim_for: None,
            },
        );
    }
}

/// Digest of the content of a sheet, regardless of the version that it is based on.
pub fn sheet_digest(sheet: &Sheet) -> Digest {
    let content = Sheet { base: 0, ..sheet.clone() };
    Digest::of(&codec::encode(&content).unwrap_or_default())
}

/// Names of the teams, and of their guarantees with the name of the team.
fn guarantee_names<'a, T>(teams: T) -> BTreeSet<(SmolStr, Option<SmolStr>)>
where
    T: Iterator<Item = &'a TeamSpec>,
{
    let mut names = BTreeSet::new();
    for team in teams {
        names.insert((team.name.clone(), None));
        let guarantees = team.guarantees.iter();
        names.extend(guarantees.map(|g| (team.name.clone(), Some(g.name.clone()))));
    }
    names
}

fn check_names(sheet: &Sheet) -> Result<(), Refusal> {
    let mut teams = BTreeSet::new();
    for team in &sheet.teams {
        let reason = format_smolstr!("team {:?} is named twice", team.name);
        ensure!(teams.insert(team.name.clone()), SheetInvalidSnafu { reason });
        let mut guarantees = BTreeSet::new();
        for guarantee in &team.guarantees {
            let reason =
                format_smolstr!("guarantee {:?} of {:?} is named twice", guarantee.name, team.name);
            ensure!(guarantees.insert(guarantee.name.clone()), SheetInvalidSnafu { reason });
        }
    }
    let mut jobs = BTreeSet::new();
    for job in &sheet.jobs {
        let reason = format_smolstr!("job {:?} of {:?} is named twice", job.key, job.team);
        let key = (job.team.to_smolstr(), job.key.clone());
        ensure!(jobs.insert(key), SheetInvalidSnafu { reason });
    }
    Ok(())
}
