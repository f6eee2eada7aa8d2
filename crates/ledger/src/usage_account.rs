//! Accounts of the accelerator time that each team used, borrowed and lent, and of its reclaims;
//! accelerator time is added when an attempt ends.

use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::TeamKey;
use serde::Deserialize;
use serde::Serialize;

use crate::job_state::Placement;
use crate::state::State;

/// Usage of a team since a sheet first named it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAccount {
    /// Accelerator-ms that its jobs held.
    pub used_ms: u64,
    /// Accelerator-ms that its jobs held on other teams' reservations.
    pub borrowed_ms: u64,
    /// Accelerator-ms that other teams' jobs held on its reservations.
    pub lent_ms: u64,
    /// Number of times that one of its reservations was reclaimed for its own job.
    pub reclaims: u32,
    /// Number of attempts of its jobs that were preempted for another job.
    pub preempted: u32,
    /// Number of completed jobs.
    pub completed: u32,
    /// Number of completed jobs that ended after their deadline.
    pub late: u32,
    /// Number of jobs that ended without completing.
    pub not_completed: u32,
}

impl State {
    /// Adds the accelerator time of an ending attempt to the accounts of its team and of the teams
    /// whose reservations it overlapped.
    pub(crate) fn account_attempt(&mut self, team: TeamKey, placement: &Placement) {
        let duration_ms = self.clock_ms.saturating_sub(placement.placed_ms);
        let allocated: u32 =
            placement.members.iter().map(|member| u32::from(member.accelerators.count())).sum();
        let mut borrowed = 0;
        for (owner, count) in self.lenders(team, &placement.members) {
            borrowed += count;
            if let Some(usage) = self.usage_mut(owner) {
                usage.lent_ms += u64::from(count) * duration_ms;
            }
        }
        if let Some(usage) = self.usage_mut(team) {
            usage.used_ms += u64::from(allocated) * duration_ms;
            usage.borrowed_ms += u64::from(borrowed) * duration_ms;
        }
    }

    /// Other teams whose reservations the members overlap, with the number of accelerators for each
    /// overlap.
    pub fn lenders(&self, team: TeamKey, members: &[Member]) -> Vec<(TeamKey, u32)> {
        let mut lenders = Vec::new();
        for member in members {
            let Some(worker) = self.worker(member.worker) else { continue };
            for commitment in worker.commitments.iter().filter(|commitment| commitment.team != team)
            {
                let count =
                    commitment.reserved_accelerators.intersection(member.accelerators).count();
                let count = u32::from(count);
                if count > 0 {
                    lenders.push((commitment.team, count));
                }
            }
        }
        lenders
    }

    pub(crate) fn usage_mut(&mut self, team: TeamKey) -> Option<&mut UsageAccount> {
        self.teams.get_mut(usize::from(team.0)).map(|team| &mut team.usage)
    }
}
