//! What each team used, borrowed, lent and took back, counted when an attempt ends.

use cuminbarrow_model::attempt::Member;
use cuminbarrow_model::keys::TeamKey;
use serde::Deserialize;
use serde::Serialize;

use crate::job_state::Placement;
use crate::state::State;

/// A team's use of accelerators since it was first named.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAccount {
    /// Accelerator-ms that its jobs held.
    pub used_ms: u64,
    /// Accelerator-ms that its jobs held on other teams' reservations.
    pub borrowed_ms: u64,
    /// Accelerator-ms that other teams' jobs held on its reservations.
    pub lent_ms: u64,
    /// Times that one of its reservations was reclaimed for its own job.
    pub reclaims: u32,
    /// Running attempts of its jobs that were stopped for another job.
    pub preempted: u32,
    /// Jobs that completed.
    pub completed: u32,
    /// Completed jobs that were late.
    pub late: u32,
    /// Jobs that ended otherwise.
    pub not_completed: u32,
}

impl State {
    /// Counts what an attempt held, until now.
    pub(crate) fn account_attempt(&mut self, team: TeamKey, placement: &Placement) {
        let held_ms = self.clock_ms.saturating_sub(placement.placed_ms);
        let held: u32 =
            placement.members.iter().map(|member| u32::from(member.accelerators.count())).sum();
        let mut borrowed = 0;
        for (owner, count) in self.lenders(team, &placement.members) {
            borrowed += count;
            if let Some(usage) = self.usage_mut(owner) {
                usage.lent_ms += u64::from(count) * held_ms;
            }
        }
        if let Some(usage) = self.usage_mut(team) {
            usage.used_ms += u64::from(held) * held_ms;
            usage.borrowed_ms += u64::from(borrowed) * held_ms;
        }
    }

    /// Other teams whose reservations the members overlap, and by how many accelerators.
    pub fn lenders(&self, team: TeamKey, members: &[Member]) -> Vec<(TeamKey, u32)> {
        let mut lenders = Vec::new();
        for member in members {
            let Some(worker) = self.worker(member.worker) else { continue };
            for hold in worker.commitments.iter().filter(|hold| hold.team != team) {
                let count = hold.reserved_accelerators.intersection(member.accelerators).count();
                let count = u32::from(count);
                if count > 0 {
                    lenders.push((hold.team, count));
                }
            }
        }
        lenders
    }

    pub(crate) fn usage_mut(&mut self, team: TeamKey) -> Option<&mut UsageAccount> {
        self.teams.get_mut(usize::from(team.0)).map(|team| &mut team.usage)
    }
}
