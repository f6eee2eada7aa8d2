//! Shares of the teams in a service that is full.
//!
//! Answers one team's flood beside quiet teams: within one priority and timeliness, teams below their
//! share precede teams above it. Shares are in proportion to guaranteed accelerators, and what a
//! team does not need of its share is divided among the others, so a team alone may use all.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::capacity_forecast::WHOLE_CAPACITY;

/// Capacity of a service that one team uses and asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamDemand {
    /// Capacity that its runs hold.
    pub used: u64,
    /// Capacity that its waiting tasks need.
    pub waiting: u64,
}

/// Share and use of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamShare {
    /// Capacity that the team may use before others are preferred.
    pub share: u64,
    /// Capacity that the team uses, with what precedes in the order.
    pub used: u64,
}

impl TeamShare {
    /// Whether teams below their share precede a step of this one. A step that is wider than the share
    /// begins while the team uses nothing. To go by the use alone would let each wide step of a
    /// flood take the capacity that the others are left with.
    pub fn is_above(&self, size: u64) -> bool {
        self.used > 0 && self.used.saturating_add(size) > self.share
    }
}

/// Shares of all teams that use a service or wait for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamShares {
    teams: BTreeMap<SmolStr, TeamShare>,
}

impl TeamShares {
    /// Shares of these teams by their guaranteed accelerators. Without any, shares are equal; a team
    /// without a guarantee beside others counts like the one with the smallest.
    pub fn new(
        demands: &BTreeMap<SmolStr, TeamDemand>,
        guarantees: &BTreeMap<SmolStr, u32>,
    ) -> Self {
        let guarantee = |team| guarantees.get(team).copied().filter(|guarantee| *guarantee > 0);
        let smallest = demands.keys().filter_map(guarantee).min().unwrap_or(1);
        let weight = |team| u64::from(guarantee(team).unwrap_or(smallest));
        let mut by_demand: Vec<(&SmolStr, u64, TeamDemand)> =
            demands.iter().map(|(team, demand)| (team, weight(team), *demand)).collect();
        // Teams that need the smallest part of their share come first and leave the rest to the others.
        by_demand.sort_by_key(|(team, weight, demand)| (demand.total() / *weight, *team));
        let mut capacity = WHOLE_CAPACITY;
        let mut weights: u64 = by_demand.iter().map(|(_, weight, _)| weight).sum();
        let mut teams = BTreeMap::new();
        for (team, weight, demand) in by_demand {
            let part = u128::from(capacity) * u128::from(weight) / u128::from(weights.max(1));
            let share = u64::try_from(part).unwrap_or(u64::MAX).min(demand.total());
            capacity -= share;
            weights -= weight;
            teams.insert(team.clone(), TeamShare { share, used: demand.used });
        }
        Self { teams }
    }

    /// Counts the capacity of a waiting step as used, and returns the team's share and use before it.
    pub fn take(&mut self, team: &SmolStr, size: u64) -> TeamShare {
        let Some(known) = self.teams.get_mut(team) else { return TeamShare::default() };
        let before = *known;
        known.used = known.used.saturating_add(size);
        before
    }
}

impl TeamDemand {
    fn total(&self) -> u64 {
        self.used.saturating_add(self.waiting)
    }
}
