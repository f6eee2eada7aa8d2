//! One planning round: decides which tasks to place on which workers, and which runs to stop.
//!
//! Steps are considered in the order of [`crate::step_queue`]. Tasks are packed best-fit, so that
//! whole workers and racks stay free for wide steps. A step that runs faster on one rack waits for
//! that rack for a limited time before it is placed elsewhere.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::advice_request::AdviceRequest;
use crate::advice_request::advice_request_for;
use crate::capacity_map::AdviceView;
use crate::capacity_map::CapacityMap;
use crate::capacity_map::StepRequest;
use crate::capacity_map::WorkerCapacity;
use crate::capacity_map::is_complete;
use crate::draining_workers::draining_runs;
use crate::graph_state::GraphState;
use crate::job_id::JobId;
use crate::load_order::DelayedStep;
use crate::loss_limit::max_loss;
use crate::overdue_turns::OverdueTurns;
use crate::planning_options::PlanningOptions;
use crate::probation_exemption::reclaim_terms;
use crate::reclaim::plan_reclaim;
use crate::record::GraphRecord;
use crate::record::MAX_RUNS_PER_RECORD;
use crate::record::TaskPlacement;
use crate::service_capacity::ServiceUsage;
use crate::shape_packing::ShapeMix;
use crate::slow_worker_migration::slow_worker_migrations;
use crate::step_queue::Timeliness;
use crate::step_queue::WaitingStep;
use crate::step_queue::guaranteed_jobs;
use crate::step_queue::waiting_steps;
use crate::step_state::StepState;
use crate::task_key::RunKey;
use crate::urgent_reserve::UrgentReserve;
use crate::victim_table::VictimTable;
use crate::wide_reserve::WideReserve;
use crate::worker::StopCause;
use crate::worker::WorkerKey;

/// Maximum wait for the rack on which a step runs fastest, as a multiple of its estimate. Elsewhere
/// the step takes three times as long, so waiting up to twice the estimate pays off.
const RACK_WAIT_FACTOR: u64 = 2;

/// Inputs of the planner that are not part of the replicated state.
#[derive(Clone, Debug, Default)]
pub struct PlannerInput {
    /// Wall clock, in ms since the Unix epoch.
    pub now_ms: u64,
    /// Accelerators guaranteed to each team for its urgent jobs.
    pub guarantees: BTreeMap<SmolStr, u32>,
    /// Decisions under load that are switched on.
    pub options: PlanningOptions,
}

/// A step that was left waiting, with all or some of its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnplacedStep {
    /// Identity of the job.
    pub job: JobId,
    /// Why the tasks were not placed.
    pub reason: &'static str,
    /// What the decision was based on.
    pub inputs: WaitInputs,
}

/// Inputs of the decision to leave a step waiting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitInputs {
    /// Priority of the job.
    pub priority: u8,
    /// Whether the job can meet its latency objective.
    pub timeliness: Timeliness,
    /// Number of tasks that wait.
    pub tasks: u32,
    /// Accelerators of each task.
    pub accelerators: u32,
    /// Accelerators that the step leaves to urgent work.
    pub reserved: u32,
    /// Service that runs the job.
    pub service: SmolStr,
}

impl WaitInputs {
    fn new(waiting: &WaitingStep<'_>, tasks: u32, reserved: u32) -> Self {
        Self {
            priority: waiting.job.terms.priority,
            timeliness: waiting.timeliness,
            tasks,
            accelerators: waiting.spec.resources.accelerators,
            reserved,
            service: waiting.job.terms.service.clone(),
        }
    }
}

/// Accelerators of a service's usable workers when a round ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceleratorUsage {
    /// Accelerators of the workers.
    pub total: u32,
    /// Accelerators that neither a run nor the round holds.
    pub free: u32,
}

/// Decisions of one round.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Records to append, in the order in which they must be applied.
    pub records: Vec<GraphRecord>,
    /// Steps that were left waiting.
    pub unplaced: Vec<UnplacedStep>,
    /// Accelerators of each service for which a step was left waiting.
    pub accelerators: BTreeMap<SmolStr, AcceleratorUsage>,
    /// Steps that are put behind others because capacity is short.
    pub delayed: Vec<DelayedStep>,
    /// Requests to the services that advise queues.
    pub advice_requests: Vec<AdviceRequest>,
}

/// Plans one round.
pub fn plan_round(state: &GraphState, input: &PlannerInput) -> Plan {
    finished_round(state, input).plan
}

/// Plans one round and returns it with the capacity that it leaves.
pub(crate) fn finished_round<'a>(state: &'a GraphState, input: &PlannerInput) -> PlanningRound<'a> {
    let epoch = state.planner.epoch;
    let guaranteed = guaranteed_jobs(state, &input.guarantees);
    let mut map = CapacityMap::new(state, input.now_ms);
    if input.options.speed_profiles {
        map.use_speed_profiles(state);
    }
    map.use_doubts(state, input.options, input.now_ms);
    if input.options.shape_packing {
        map.use_shapes(ShapeMix::new(state, input.now_ms));
    }
    let mut round = PlanningRound {
        plan: Plan::default(),
        map,
        victims: VictimTable::new(state, &guaranteed, input.options, input.now_ms),
        unfit_steps: BTreeSet::new(),
        turns: OverdueTurns::new(state, input.now_ms),
        uses_history: input.options.preemption_history,
        wide_reserve: input.options.wide_reserve.then(|| WideReserve::new(input.now_ms)),
        epoch,
        now_ms: input.now_ms,
    };
    round.stop_runs(StopCause::Draining, &draining_runs(state, input.now_ms));
    let (queue, delayed) = waiting_steps(state, &guaranteed, input);
    round.plan.delayed = delayed;
    for waiting in queue {
        round.place_step(state, &waiting);
    }
    round.stop_on_slow_workers(state);
    round.count_accelerators();
    round
}

/// A planning round, and what it has decided so far.
pub(crate) struct PlanningRound<'a> {
    pub(crate) plan: Plan,
    pub(crate) map: CapacityMap<'a>,
    pub(crate) victims: VictimTable,
    /// Steps that no worker can run, in any occurrence.
    unfit_steps: BTreeSet<(JobId, u16)>,
    /// Background jobs that leave no capacity to urgent work.
    turns: OverdueTurns,
    /// Whether earlier preemptions count.
    uses_history: bool,
    /// Choice of the workers to reserve for wide tasks, if that is switched on.
    wide_reserve: Option<WideReserve>,
    epoch: u64,
    pub(crate) now_ms: u64,
}

impl PlanningRound<'_> {
    /// Stops runs on slow workers that finish sooner elsewhere, using capacity that no waiting step
    /// needs.
    fn stop_on_slow_workers(&mut self, state: &GraphState) {
        let runs = slow_worker_migrations(state, &mut self.map, self.now_ms);
        self.stop_runs(StopCause::Slow, &runs);
    }

    /// Adds the records that stop runs to the plan.
    fn stop_runs(&mut self, cause: StopCause, runs: &[RunKey]) {
        for runs in runs.chunks(MAX_RUNS_PER_RECORD) {
            let (epoch, runs) = (self.epoch, runs.to_vec());
            self.plan.records.push(GraphRecord::RunsStopped { epoch, cause, runs });
        }
    }

    /// Counts the accelerators of the services for which steps wait.
    fn count_accelerators(&mut self) {
        for step in &self.plan.unplaced {
            let service = &step.inputs.service;
            if !self.plan.accelerators.contains_key(service) {
                let usage = ServiceUsage::of_usable(&self.map, service);
                let (total, free) = (usage.total.accelerators, usage.free().accelerators);
                self.plan.accelerators.insert(service.clone(), AcceleratorUsage { total, free });
            }
        }
    }

    /// Leaves tasks of a step waiting.
    fn leave_waiting(
        &mut self,
        waiting: &WaitingStep<'_>,
        reason: &'static str,
        tasks: u32,
        reserved: u32,
    ) {
        let inputs = WaitInputs::new(waiting, tasks, reserved);
        self.plan.unplaced.push(UnplacedStep { job: waiting.key.job, reason, inputs });
    }

    fn place_step(&mut self, state: &GraphState, waiting: &WaitingStep<'_>) {
        let step = (waiting.key.job, waiting.key.step);
        if self.unfit_steps.contains(&step) {
            return;
        }
        let failed_workers = self.failed_workers(waiting);
        let request = StepRequest {
            step: waiting.key,
            spec: waiting.spec,
            terms: &waiting.job.terms,
            failed_workers: &failed_workers,
            avoids_slow_workers: false,
            uses_probation: false,
            is_first: self.map.is_unplaced(waiting.key.job),
            advice: waiting
                .job
                .terms
                .is_advised
                .then(|| AdviceView { advice: state.advice_for(waiting.key), now_ms: self.now_ms }),
        };
        let is_feasible = self.map.workers.iter().any(|worker| worker.is_feasible(&request));
        // Whether advice excludes a worker depends on the occurrence.
        if !is_feasible && request.advice.is_none() {
            self.unfit_steps.insert(step);
            let reason = self.map.unfit_reason(&request);
            self.leave_waiting(waiting, reason, waiting.count, 0);
            return;
        }
        let uses_probation = self.uses_probation(waiting, &request);
        let request = StepRequest { uses_probation, ..request };
        // A worker on probation is worth waiting for, rather than to use one on which the step has failed.
        let any_fitting = StepRequest { uses_probation: true, ..request };
        let request = if self.fits_when_empty(&any_fitting) {
            request
        } else {
            StepRequest { failed_workers: &[], ..request }
        };
        let count = waiting.round_count();
        let allowance = self.urgent_reserve(state).allowance(waiting, count);
        if allowance.placeable_count == 0 {
            let fits = waiting.is_enough(&self.find_allocation(waiting, &request, count), count);
            let reason = allowance.held_back.filter(|_| fits).unwrap_or("no room");
            self.leave_waiting(waiting, reason, count, allowance.reserved);
            self.reserve_workers(state, waiting, &request, count);
            return;
        }
        let count = allowance.placeable_count;
        if waiting.spec.gang
            && self.map.has_slow_workers()
            && self.place_avoiding_slow_workers(waiting, &request, count)
        {
            return;
        }
        let allocation = self.find_allocation(waiting, &request, count);
        let found: u32 = allocation.iter().map(|(_, count)| count).sum();
        let is_enough = waiting.is_enough(&allocation, count);
        if is_enough {
            self.commit_placement(waiting, &request, &allocation);
        }
        let unplaced_count = if is_enough { count - found } else { count };
        if unplaced_count == 0 {
            return;
        }
        if let Some(request_for_advice) = advice_request_for(&self.map, waiting, &request) {
            self.plan.advice_requests.push(request_for_advice);
            self.leave_waiting(waiting, "advice is asked for", unplaced_count, allowance.reserved);
            return;
        }
        let limit = max_loss(waiting, unplaced_count, self.now_ms);
        let is_reclaiming =
            limit.is_some_and(|limit| self.reclaim(waiting, &request, unplaced_count, limit));
        if !is_reclaiming {
            let reason = if is_feasible {
                self.map.full_reason(&request)
            } else {
                self.map.unfit_reason(&request)
            };
            self.leave_waiting(waiting, reason, unplaced_count, allowance.reserved);
            self.reserve_workers(state, waiting, &request, unplaced_count);
        }
    }

    /// Places a gang on workers that are not slow, because a gang is only as fast as its slowest
    /// member. If the gang may preempt other runs, it does so rather than use free capacity of a
    /// slow worker. Returns whether the gang needs nothing else in this round.
    fn place_avoiding_slow_workers(
        &mut self,
        waiting: &WaitingStep<'_>,
        request: &StepRequest<'_>,
        count: u32,
    ) -> bool {
        let request = StepRequest { avoids_slow_workers: true, ..*request };
        let allocation = self.find_allocation(waiting, &request, count);
        if is_complete(&allocation, count) {
            self.commit_placement(waiting, &request, &allocation);
            return true;
        }
        let limit = max_loss(waiting, count, self.now_ms);
        limit.is_some_and(|limit| self.reclaim(waiting, &request, count, limit))
    }

    /// Capacity that the step must leave to urgent work.
    fn urgent_reserve<'a>(&'a self, state: &'a GraphState) -> UrgentReserve<'a> {
        UrgentReserve {
            state,
            map: &self.map,
            turns: &self.turns,
            uses_history: self.uses_history,
            now_ms: self.now_ms,
        }
    }

    /// Reserves workers for tasks that were not placed and need a whole one each.
    fn reserve_workers(
        &mut self,
        state: &GraphState,
        waiting: &WaitingStep<'_>,
        request: &StepRequest<'_>,
        count: u32,
    ) {
        let waits_for_rack = self.waits_for_rack(waiting);
        let Some(reserve) = &mut self.wide_reserve else { return };
        let chosen = reserve.choose(state, &self.map, waiting, request, waits_for_rack, count);
        self.map.reserve(&chosen, waiting.job.terms.priority);
    }

    /// Workers on which the step failed; none if that would exclude more than half of the ready
    /// workers.
    fn failed_workers(&self, waiting: &WaitingStep<'_>) -> Vec<WorkerKey> {
        let failed_workers = waiting.state().map(StepState::failed_workers).unwrap_or_default();
        let ready = self.map.workers.iter().filter(|worker| worker.is_ready()).count();
        if failed_workers.len() * 2 > ready {
            Vec::new()
        } else {
            failed_workers.into_iter().collect()
        }
    }

    /// Whether the workers that the request allows could hold one task, or the whole gang, if they
    /// were empty.
    pub(crate) fn fits_when_empty(&self, request: &StepRequest<'_>) -> bool {
        let workers = self.map.workers.iter().filter(|worker| worker.is_ready());
        let fits = workers.map(|worker| worker.empty_fit_count(request));
        let needed = if request.spec.gang { request.spec.count } else { 1 };
        fits.fold(0_u32, u32::saturating_add) >= needed
    }

    /// Chooses an allocation, as worker indices in the capacity map with their numbers of tasks.
    pub(crate) fn find_allocation(
        &self,
        waiting: &WaitingStep<'_>,
        request: &StepRequest<'_>,
        count: u32,
    ) -> Vec<(usize, u32)> {
        let spec = waiting.spec;
        if let Some(rack) = &spec.preferred_rack {
            let on_rack = |worker: &WorkerCapacity<'_>| worker.state.spec.rack == *rack;
            let allocation = self.map.pack(request, count, on_rack);
            let is_open = |worker: &WorkerCapacity<'_>| on_rack(worker) && !worker.is_evacuated;
            let is_known = self.map.workers.iter().any(is_open);
            if !allocation.is_empty() || (is_known && self.waits_for_rack(waiting)) {
                return if is_complete(&allocation, count) || !spec.gang {
                    allocation
                } else {
                    Vec::new()
                };
            }
        } else if spec.same_rack {
            if let Some(allocation) = self.map.tightest_rack(request, count) {
                return allocation;
            }
            if self.waits_for_rack(waiting) && self.fits_on_one_rack_when_empty(request, count) {
                return Vec::new();
            }
        }
        self.map.pack(request, count, |_| true)
    }

    /// Whether some rack could hold all tasks if it were empty.
    fn fits_on_one_rack_when_empty(&self, request: &StepRequest<'_>, count: u32) -> bool {
        self.map.racks().into_iter().any(|rack| {
            let workers = self.map.workers.iter().filter(|worker| worker.state.spec.rack == *rack);
            let fits = workers.map(|worker| worker.empty_fit_count(request));
            fits.fold(0_u32, u32::saturating_add) >= count
        })
    }

    fn waits_for_rack(&self, waiting: &WaitingStep<'_>) -> bool {
        let estimate_ms = u64::from(waiting.spec.estimate_ms);
        self.now_ms < waiting.waiting_since_ms + RACK_WAIT_FACTOR * estimate_ms
    }

    /// Adds the placement to the plan and allocates its capacity.
    fn commit_placement(
        &mut self,
        waiting: &WaitingStep<'_>,
        request: &StepRequest<'_>,
        allocation: &[(usize, u32)],
    ) {
        let mut tasks = Vec::new();
        let mut indices = waiting.tasks();
        let gang_run = waiting.state().map_or(0, StepState::last_gang_run) + 1;
        for (worker_index, count) in allocation {
            let Some(worker) = self.map.workers.get(*worker_index).map(|worker| worker.key) else {
                continue;
            };
            for index in indices.by_ref().take(*count as usize) {
                let last_run = waiting.state().map_or(0, |state| state.last_run_of(index));
                let next_run = last_run + 1;
                let run = if waiting.spec.gang { gang_run } else { next_run };
                tasks.push(TaskPlacement { index, run, worker });
            }
            self.map.allocate(*worker_index, request, *count);
        }
        let record = GraphRecord::RunsPlaced { epoch: self.epoch, step: waiting.key, tasks };
        self.plan.records.push(record);
    }

    /// Preempts other runs for the step if that destroys no more work than `limit`, and allocates
    /// the capacity to the step. Returns whether it did.
    fn reclaim(
        &mut self,
        waiting: &WaitingStep<'_>,
        request: &StepRequest<'_>,
        count: u32,
        limit: u64,
    ) -> bool {
        let terms = reclaim_terms(waiting, limit);
        let found = plan_reclaim(&self.map, &self.victims, terms, request, count);
        let Some(found) = found else { return false };
        for run in found.victims.iter().chain(&found.awaited) {
            let group = self.victims.group(*run);
            if let Some((_, worker, resources)) = group.iter().find(|(member, _, _)| member == run)
            {
                self.map.mark_releasing(*worker, resources);
            }
        }
        for (worker_index, count) in &found.allocation {
            self.map.allocate(*worker_index, request, *count);
        }
        let awaited: Vec<RunKey> = found.awaited.into_iter().collect();
        self.victims.remove(&awaited);
        let runs: Vec<RunKey> = found.victims.into_iter().collect();
        let waits_for_ends = runs.is_empty() && !awaited.is_empty();
        if !runs.is_empty() {
            self.victims.remove(&runs);
            self.stop_runs(StopCause::Reclaimed, &runs);
        }
        let reason =
            if waits_for_ends { "room is about to be released" } else { "room is being reclaimed" };
        self.leave_waiting(waiting, reason, count, 0);
        true
    }
}
