//! Applies records about entries and the planner role.

use std::net::SocketAddr;

use smol_str::SmolStr;
use snafu::ensure;

use crate::apply::Effect;
use crate::refusal::Refusal;
use crate::refusal::StaleEpochSnafu;
use crate::refusal::UnknownEntrySnafu;
use crate::state::EntryState;
use crate::state::PlannerState;
use crate::state::State;

impl State {
    /// Fences off planners other than the one that holds the current epoch.
    pub(crate) fn check_epoch(&self, epoch: u64) -> Result<(), Refusal> {
        let current = self.planner.epoch;
        let is_held = self.planner.instance.is_some();
        ensure!(epoch == current && is_held, StaleEpochSnafu { epoch, current });
        Ok(())
    }

    pub(crate) fn planner_claimed(&mut self, epoch: u64, instance: u64) -> Result<Effect, Refusal> {
        let current = self.planner.epoch;
        ensure!(epoch == current + 1, StaleEpochSnafu { epoch, current });
        self.planner = PlannerState { epoch, instance: Some(instance) };
        Ok(Effect::Done)
    }

    pub(crate) fn planner_released(&mut self, epoch: u64) -> Result<Effect, Refusal> {
        self.check_epoch(epoch)?;
        self.planner.instance = None;
        Ok(Effect::Done)
    }

    pub(crate) fn entry_joined(
        &mut self,
        instance: u64,
        region: &SmolStr,
        address: SocketAddr,
    ) -> Result<Effect, Refusal> {
        self.entries.retain(|_, entry| entry.address != address);
        self.entries.insert(instance, EntryState { region: region.clone(), address });
        Ok(Effect::Done)
    }

    pub(crate) fn entry_left(&mut self, instance: u64) -> Result<Effect, Refusal> {
        let entry = self.entries.remove(&instance);
        ensure!(entry.is_some(), UnknownEntrySnafu { instance });
        if self.planner.instance == Some(instance) {
            self.planner.instance = None;
        }
        Ok(Effect::Done)
    }
}
