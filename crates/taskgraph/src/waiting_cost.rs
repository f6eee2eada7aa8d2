//! Order of waiting work within one priority, by what its waiting costs callers.
//!
//! Answers a load that exceeds the capacity of a service: a job of 200 tasks that is late in any case
//! in front of ten small ones, or a burst of which only a part can be on time. The largest set of
//! jobs that can be on time goes first, by objective (the rule of Moore and Hodgson). What is left
//! is late, and its results lose worth from now on, so the work that buys the most worth goes first
//! (the rule of Smith). One job at a time that has waited long enough to lose half of its worth
//! precedes the set, within the part of the service that it needs to be of use, so that a stream of
//! small jobs does not starve it.

use std::collections::BinaryHeap;

use crate::capacity_forecast::CapacityForecast;
use crate::capacity_forecast::WHOLE_CAPACITY;

/// Largest part of a service that aged work may hold in front of work that can be on time, in percent.
/// An aged result has half of its worth left, so more than this would cost callers more than it gives.
const MAX_AGED_PERCENT: u64 = 50;

/// One result that a caller waits for: an occurrence of a job. Within a priority, results are worth
/// the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingWork {
    /// Time by which the result is on time, in ms since the Unix epoch.
    pub objective_at_ms: u64,
    /// Time by which the result loses its last worth, in ms since the Unix epoch.
    pub useless_at_ms: u64,
    /// Work that is not placed yet, in capacity times ms.
    pub work: u128,
    /// Shortest time from the next placement to the result, with the whole service, in ms.
    pub path_ms: u64,
    /// Capacity that must be free at once for the next placement.
    pub first_size: u64,
    /// Whether a task was placed before, so that delaying the job may waste work.
    pub is_begun: bool,
    /// Whether the job's team has more than its share of the service.
    pub is_above_share: bool,
}

impl WaitingWork {
    /// Time that the whole service needs for the work, in ms.
    pub fn whole_service_ms(&self) -> u64 {
        u64::try_from(self.work / u128::from(WHOLE_CAPACITY)).unwrap_or(u64::MAX)
    }

    /// Whether a late result would lose half of its worth if it is not placed now, and needs more capacity
    /// than late work holds.
    fn is_aged(&self, late_capacity: u64, now_ms: u64) -> bool {
        let work_ms = self.whole_service_ms().saturating_mul(100) / MAX_AGED_PERCENT;
        let end_ms = now_ms.saturating_add(work_ms.max(self.path_ms));
        let half_worth_at_ms = u64::midpoint(self.objective_at_ms, self.useless_at_ms);
        let left_ms = self.useless_at_ms.saturating_sub(now_ms).max(1);
        now_ms > self.objective_at_ms
            && (half_worth_at_ms..=self.useless_at_ms).contains(&end_ms)
            && u128::from(late_capacity) < self.work.div_ceil(u128::from(left_ms))
    }
}

/// Place of a result among those of its priority; the first variant is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CostClass {
    /// It has waited long, and aged work holds less capacity than it needs.
    Aged,
    /// It is among those that can be on time together.
    OnTime,
    /// It is late, or has to be for others to be on time, and is still useful.
    Late,
    /// It can't be useful any more, even if it is placed now.
    Useless,
}

/// Decision on one result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingCost {
    /// Place among the results of the same priority.
    pub class: CostClass,
    /// Order within the class, lowest first.
    pub key: u128,
    /// When the result is expected if it is placed first, in ms since the Unix epoch.
    pub earliest_ms: u64,
}

/// Decides on the results of one priority. `work_ahead` is the work of more urgent results, in capacity
/// times ms, and `late_capacity` what runs of this priority hold that were placed after their objective.
pub fn waiting_costs(
    forecast: &CapacityForecast,
    work_ahead: u128,
    late_capacity: u64,
    works: &[WaitingWork],
    now_ms: u64,
) -> Vec<WaitingCost> {
    let mut costs: Vec<WaitingCost> =
        works.iter().map(|work| cost_alone(forecast, work_ahead, work, now_ms)).collect();
    let mut by_objective: Vec<usize> = (0..works.len()).collect();
    by_objective.sort_by_key(|index| works.get(*index).map(|work| work.objective_at_ms));
    // Largest work first, and before that what is above its team's share or not yet begun.
    let mut kept: BinaryHeap<(bool, u128, bool, usize)> = BinaryHeap::new();
    let mut sum = work_ahead;
    for index in by_objective {
        let (Some(work), Some(cost)) = (works.get(index), costs.get(index)) else { continue };
        if cost.class != CostClass::OnTime {
            continue;
        }
        sum += work.work;
        kept.push((work.is_above_share, work.work, !work.is_begun, index));
        while now_ms.saturating_add(forecast.time_for(sum)) > work.objective_at_ms {
            let Some((_, dropped_work, _, dropped)) = kept.pop() else { break };
            sum -= dropped_work;
            if let (Some(cost), Some(work)) = (costs.get_mut(dropped), works.get(dropped)) {
                *cost = late_cost(work, cost.earliest_ms);
            }
        }
    }
    let late = works.iter().zip(&mut costs).filter(|(_, cost)| cost.class == CostClass::Late);
    let aged = late.filter(|(work, _)| work.is_aged(late_capacity, now_ms));
    if let Some((_, cost)) = aged.min_by_key(|(work, _)| work.useless_at_ms) {
        cost.class = CostClass::Aged;
    }
    costs
}

/// Decision on a result as if no other of its priority waited.
fn cost_alone(
    forecast: &CapacityForecast,
    work_ahead: u128,
    work: &WaitingWork,
    now_ms: u64,
) -> WaitingCost {
    let path_ms = forecast.time_until_free(work.first_size).saturating_add(work.path_ms);
    let earliest_ms = forecast.time_for(work_ahead + work.work).max(path_ms);
    let earliest_ms = now_ms.saturating_add(earliest_ms);
    if earliest_ms <= work.objective_at_ms {
        let key = u128::from(work.objective_at_ms);
        WaitingCost { class: CostClass::OnTime, key, earliest_ms }
    } else {
        late_cost(work, earliest_ms)
    }
}

/// Decision on a result that is not among those that can be on time.
fn late_cost(work: &WaitingWork, earliest_ms: u64) -> WaitingCost {
    if earliest_ms > work.useless_at_ms {
        let key = u128::from(work.objective_at_ms);
        return WaitingCost { class: CostClass::Useless, key, earliest_ms };
    }
    // The worth falls evenly until the result is useless, so it falls fastest where that is soon.
    let decline_ms = work.useless_at_ms.saturating_sub(work.objective_at_ms);
    let key = work.work.saturating_mul(u128::from(decline_ms));
    WaitingCost { class: CostClass::Late, key, earliest_ms }
}
