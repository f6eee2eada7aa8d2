//! Applies records about workers: registration, drain, departure and loss.

use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::DataCentreKey;
use cuminbarrow_model::keys::RackKey;
use cuminbarrow_model::keys::ReservationKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_model::topology::Location;
use cuminbarrow_model::worker::WorkerSpec;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ensure;

use crate::apply::BatchReport;
use crate::apply::Effect;
use crate::pack::RackState;
use crate::refusal::Refusal;
use crate::refusal::StaleSessionSnafu;
use crate::refusal::UnknownWorkerSnafu;
use crate::state::State;
use crate::worker_state::WorkerState;
use crate::worker_state::WorkerStatus;

impl State {
    pub(crate) fn worker_joined(
        &mut self,
        spec: &WorkerSpec,
        incarnation: u64,
        session: u32,
        entry: u64,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let Some(key) = self.worker_key(&spec.name) else {
            let worker = self.add_worker(spec, incarnation, session, entry);
            self.place_reservations();
            return Ok(Effect::Worker { worker });
        };
        let known = self.worker(key).context(UnknownWorkerSnafu { worker: key })?;
        let is_same_agent = known.incarnation == incarnation;
        ensure!(!is_same_agent || session >= known.session, StaleSessionSnafu { worker: key });
        let is_replaced = !is_same_agent || known.spec != *spec;
        if is_replaced {
            self.end_attempts_on(key, "its agent restarted", report);
            self.release_reservations_on(key);
        }
        self.move_rack(key, &spec.location);
        let worker = self.worker_mut(key).context(UnknownWorkerSnafu { worker: key })?;
        let is_draining = worker.status == WorkerStatus::Draining;
        worker.spec = spec.clone();
        worker.incarnation = incarnation;
        worker.session = session;
        worker.entry = entry;
        worker.status = if is_draining { WorkerStatus::Draining } else { WorkerStatus::Up };
        self.place_reservations();
        if self.reservations.values().any(|reservation| reservation.members.is_none()) {
            self.repack_reservations();
        }
        Ok(Effect::Worker { worker: key })
    }

    fn add_worker(
        &mut self,
        spec: &WorkerSpec,
        incarnation: u64,
        session: u32,
        entry: u64,
    ) -> WorkerKey {
        let key = WorkerKey(u16::try_from(self.workers.len()).unwrap_or(u16::MAX));
        let rack = self.rack_key(&spec.location);
        self.racks[usize::from(rack.0)].workers.push(key);
        self.worker_keys.insert(spec.name.clone(), key);
        self.workers.push(WorkerState {
            spec: spec.clone(),
            rack,
            incarnation,
            session,
            entry,
            status: WorkerStatus::Up,
            used: Default::default(),
            used_accelerators: Default::default(),
            attempts: Default::default(),
            commitments: Vec::new(),
            failed_jobs: Default::default(),
            quarantined_ms: None,
        });
        key
    }

    /// Moves a worker to the rack of the given location.
    fn move_rack(&mut self, key: WorkerKey, location: &Location) {
        let rack = self.rack_key(location);
        let Some(worker) = self.worker_mut(key) else { return };
        let old = std::mem::replace(&mut worker.rack, rack);
        if old != rack {
            self.racks[usize::from(old.0)].workers.retain(|worker| *worker != key);
            self.racks[usize::from(rack.0)].workers.push(key);
        }
    }

    fn rack_key(&mut self, location: &Location) -> RackKey {
        if let Some(rack) = self.rack_keys.get(location) {
            return *rack;
        }
        let rack = RackKey(u16::try_from(self.racks.len()).unwrap_or(u16::MAX));
        let data_centre = self.data_centre_key(location);
        self.racks.push(RackState { data_centre, workers: Vec::new() });
        self.rack_keys.insert(location.clone(), rack);
        rack
    }

    fn data_centre_key(&mut self, location: &Location) -> DataCentreKey {
        let wanted = Location { rack: SmolStr::default(), ..location.clone() };
        let index = match self.data_centres.iter().position(|name| *name == wanted) {
            None => {
                self.data_centres.push(wanted);
                self.data_centres.len() - 1
            }
            Some(index) => index,
        };
        DataCentreKey(u16::try_from(index).unwrap_or(u16::MAX))
    }

    pub(crate) fn worker_drained(
        &mut self,
        key: WorkerKey,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let worker = self.worker_mut(key).context(UnknownWorkerSnafu { worker: key })?;
        if worker.is_up() {
            worker.status = WorkerStatus::Draining;
        }
        self.withdraw_unstarted_on(key, report);
        self.release_reservations_on(key);
        self.place_reservations();
        Ok(Effect::Worker { worker: key })
    }

    /// Withdraws placements that have not started, so that a draining worker starts nothing.
    fn withdraw_unstarted_on(&mut self, key: WorkerKey, report: &mut BatchReport) {
        for attempt in self.attempts_on(key) {
            if self.placement(attempt).is_some_and(|placement| !placement.is_started()) {
                self.return_to_pending(attempt, "its worker is draining", report);
            }
        }
    }

    pub(crate) fn worker_resumed(&mut self, key: WorkerKey) -> Result<Effect, Refusal> {
        let worker = self.worker_mut(key).context(UnknownWorkerSnafu { worker: key })?;
        if worker.status == WorkerStatus::Draining {
            worker.status = WorkerStatus::Up;
        }
        self.place_reservations();
        Ok(Effect::Worker { worker: key })
    }

    pub(crate) fn worker_left(
        &mut self,
        key: WorkerKey,
        incarnation: u64,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let worker = self.worker(key).context(UnknownWorkerSnafu { worker: key })?;
        ensure!(worker.incarnation == incarnation, StaleSessionSnafu { worker: key });
        self.deactivate_worker(key, WorkerStatus::Left, "its worker left", report);
        Ok(Effect::Worker { worker: key })
    }

    pub(crate) fn worker_lost(
        &mut self,
        key: WorkerKey,
        incarnation: u64,
        session: u32,
        report: &mut BatchReport,
    ) -> Result<Effect, Refusal> {
        let worker = self.worker(key).context(UnknownWorkerSnafu { worker: key })?;
        let is_current = worker.incarnation == incarnation && worker.session == session;
        ensure!(is_current, StaleSessionSnafu { worker: key });
        if worker.is_registered() {
            self.deactivate_worker(key, WorkerStatus::Lost, "its worker was lost", report);
        }
        Ok(Effect::Worker { worker: key })
    }

    fn deactivate_worker(
        &mut self,
        key: WorkerKey,
        status: WorkerStatus,
        reason: &str,
        report: &mut BatchReport,
    ) {
        if let Some(worker) = self.worker_mut(key) {
            worker.status = status;
        }
        self.end_attempts_on(key, reason, report);
        self.release_reservations_on(key);
        self.place_reservations();
    }

    fn end_attempts_on(&mut self, key: WorkerKey, reason: &str, report: &mut BatchReport) {
        for attempt in self.attempts_on(key) {
            self.attempt_interrupted(attempt, reason, report);
        }
    }

    fn attempts_on(&self, key: WorkerKey) -> Vec<AttemptKey> {
        self.worker(key).map(|worker| worker.attempts.keys().copied().collect()).unwrap_or_default()
    }

    pub(crate) fn release_reservations_on(&mut self, key: WorkerKey) {
        let affected: Vec<ReservationKey> = self
            .reservations
            .iter()
            .filter(|(_, reservation)| {
                let members = reservation.members.iter().flatten();
                members.into_iter().any(|member| member.worker == key)
            })
            .map(|(key, _)| *key)
            .collect();
        for reservation in affected {
            self.release_reservation(reservation);
        }
    }
}
