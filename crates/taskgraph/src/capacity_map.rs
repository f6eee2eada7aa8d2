//! Free room of workers during one round of planning, less what the round has given away.

use smol_str::SmolStr;

use crate::graph_state::GraphState;
use crate::job_spec::StepSpec;
use crate::job_terms::JobTerms;
use crate::resource_amounts::ResourceAmounts;
use crate::step_advice::StepAdvice;
use crate::task_key::StepKey;
use crate::worker::WorkerKey;
use crate::worker::WorkerState;

/// Failed runs in a row after which a worker is left alone for a while. One failure may be the
/// task's own fault.
const QUARANTINE_FAILURES: u32 = 2;
/// Time for which such a worker is left alone, in ms; the next task then tests it.
const QUARANTINE_MS: u64 = 8_000;
/// Largest share of workers that may be left alone at once: one in this many, so that bad jobs
/// can't take the whole fleet out of use.
const QUARANTINE_SHARE: usize = 3;

/// What a step asks of workers.
#[derive(Clone, Copy, Debug)]
pub struct StepRequest<'a> {
    /// The step.
    pub step: StepKey,
    /// What it is made of.
    pub spec: &'a StepSpec,
    /// On which terms its job was accepted.
    pub terms: &'a JobTerms,
    /// Workers on which it failed before.
    pub failed_on: &'a [WorkerKey],
    /// Whether slow workers are left out.
    pub avoids_slow: bool,
    /// Which workers may run it; nothing where all may.
    pub advice: Option<AdviceView<'a>>,
}

/// What is known of the workers that may run an advised step, at some time.
#[derive(Clone, Copy, Debug)]
pub struct AdviceView<'a> {
    /// What is known; nothing before the first answer.
    pub advice: Option<&'a StepAdvice>,
    /// Wall clock, in ms since the Unix epoch.
    pub now_ms: u64,
}

impl AdviceView<'_> {
    /// Whether a task may be placed on a worker now.
    pub fn is_usable(&self, worker: WorkerKey) -> bool {
        self.advice.is_some_and(|advice| advice.is_usable(worker, self.now_ms))
    }

    /// Whether there is nothing to ask about a worker now.
    pub fn is_known(&self, worker: WorkerKey) -> bool {
        let is_forbidden = self.advice.is_some_and(|advice| advice.is_forbidden(worker));
        is_forbidden || self.is_usable(worker)
    }
}

/// Room of one worker.
#[derive(Clone, Debug)]
pub struct WorkerCapacity<'a> {
    /// The worker.
    pub key: WorkerKey,
    /// What the log knows of it.
    pub state: &'a WorkerState,
    /// Room that nothing holds.
    pub free: ResourceAmounts,
    /// Room that runs hold which are being stopped.
    pub coming: ResourceAmounts,
    /// Whether it failed too much lately.
    pub is_quarantined: bool,
    /// Whether it ran slowly of late.
    pub is_slow: bool,
    /// Tasks that the round has placed here, by step.
    placed: Vec<(StepKey, u32)>,
}

impl WorkerCapacity<'_> {
    /// Whether it may run the step at all.
    pub fn is_fit(&self, request: &StepRequest<'_>) -> bool {
        self.state.is_ready()
            && !self.is_quarantined
            && self.state.spec.service == request.terms.service
            && self.state.has_label(request.spec.required_label.as_ref())
            && request.advice.is_none_or(|advice| advice.is_usable(self.key))
            && self.state.spec.resources.covers(&request.spec.held_resources())
    }

    /// How many of the step's tasks fit into `room` here.
    pub fn fit_into(&self, room: ResourceAmounts, request: &StepRequest<'_>) -> u32 {
        let is_shunned = request.avoids_slow && self.is_slow;
        if is_shunned || !self.is_fit(request) || request.failed_on.contains(&self.key) {
            return 0;
        }
        let count = room.times(&request.spec.held_resources());
        let limit = request.spec.max_per_worker;
        if limit == 0 {
            count
        } else {
            count.min(limit.saturating_sub(self.tasks_of(request.step)))
        }
    }

    /// How many of the step's tasks fit into the free room.
    pub fn fit(&self, request: &StepRequest<'_>) -> u32 {
        self.fit_into(self.free, request)
    }

    fn tasks_of(&self, step: StepKey) -> u32 {
        let held = self.state.runs.keys().filter(|run| run.task.step == step).count();
        let placed = self.placed.iter().filter(|(other, _)| *other == step);
        let placed: u32 = placed.map(|(_, count)| count).sum();
        u32::try_from(held).unwrap_or(u32::MAX).saturating_add(placed)
    }
}

/// Room of all workers.
#[derive(Clone, Debug)]
pub struct CapacityMap<'a> {
    /// Workers, in the order of their keys.
    pub rooms: Vec<WorkerCapacity<'a>>,
}

impl<'a> CapacityMap<'a> {
    /// Room as the state has it.
    pub fn new(state: &'a GraphState, now_ms: u64) -> Self {
        let mut rooms: Vec<WorkerCapacity<'a>> =
            state.workers.iter().map(|(key, worker)| room_of(*key, worker)).collect();
        let mut budget = rooms.len() / QUARANTINE_SHARE;
        for room in &mut rooms {
            room.is_slow = state.is_slow(room.key, now_ms);
            let is_bad = room.state.consecutive_failures >= QUARANTINE_FAILURES
                && now_ms < room.state.last_failure_ms + QUARANTINE_MS;
            if is_bad && budget > 0 {
                room.is_quarantined = true;
                budget -= 1;
            }
        }
        Self { rooms }
    }

    /// Racks of the workers that stand in one, each once.
    pub fn racks(&self) -> Vec<&'a SmolStr> {
        let mut racks: Vec<&'a SmolStr> = self
            .rooms
            .iter()
            .map(|room| &room.state.spec.rack)
            .filter(|rack| !rack.is_empty())
            .collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Places for up to `count` tasks of a step on the workers that are wanted, with the tasks that
    /// each takes. Fills the workers that have the least room left, slow ones last.
    pub fn fill<F>(&self, request: &StepRequest<'_>, count: u32, is_wanted: F) -> Vec<(usize, u32)>
    where
        F: Fn(&WorkerCapacity<'_>) -> bool,
    {
        let mut fits: Vec<(bool, u32, u32, usize, u32)> = self
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, room)| is_wanted(room))
            .map(|(place, room)| {
                let ResourceAmounts { accelerators, cpu_millis, .. } = room.free;
                (room.is_slow, accelerators, cpu_millis, place, room.fit(request))
            })
            .filter(|(.., fit)| *fit > 0)
            .collect();
        fits.sort_unstable();
        let mut left = count;
        let mut places = Vec::new();
        for (.., place, fit) in fits {
            let taken = fit.min(left);
            if taken > 0 {
                places.push((place, taken));
                left -= taken;
            }
        }
        places
    }

    /// Places on the rack that holds all tasks and is left with the least room.
    pub fn tightest_rack(
        &self,
        request: &StepRequest<'_>,
        count: u32,
    ) -> Option<Vec<(usize, u32)>> {
        let racks = self.racks().into_iter().filter_map(|rack| {
            let on_rack = |room: &WorkerCapacity<'_>| room.state.spec.rack == *rack;
            let places = self.fill(request, count, on_rack);
            let rooms = self.rooms.iter().filter(|room| on_rack(room));
            let free: u32 = rooms.map(|room| room.free.accelerators).sum();
            is_whole(&places, count).then_some((free, places))
        });
        racks.min_by_key(|(free, _)| *free).map(|(_, places)| places)
    }

    /// Whether any worker ran slowly of late.
    pub fn has_slow(&self) -> bool {
        self.rooms.iter().any(|room| room.is_slow)
    }

    /// Gives room of a worker to tasks of a step.
    pub fn take(&mut self, place: usize, request: &StepRequest<'_>, count: u32) {
        let Some(room) = self.rooms.get_mut(place) else { return };
        let taken = request.spec.held_resources().scaled(count);
        let rest = taken.minus(&room.free);
        room.free = room.free.minus(&taken);
        room.coming = room.coming.minus(&rest);
        room.placed.push((request.step, count));
    }

    /// Counts a run's room as coming free, since the round has it stopped.
    pub fn release(&mut self, worker: WorkerKey, room: &ResourceAmounts) {
        if let Some(entry) = self.rooms.iter_mut().find(|entry| entry.key == worker) {
            entry.coming = entry.coming.plus(room);
        }
    }
}

fn room_of(key: WorkerKey, worker: &WorkerState) -> WorkerCapacity<'_> {
    let stopping = worker.runs.values().filter(|run| run.stop_cause.is_some());
    let coming = stopping.fold(ResourceAmounts::default(), |sum, run| sum.plus(&run.resources));
    WorkerCapacity {
        key,
        state: worker,
        free: worker.free(),
        coming,
        is_quarantined: false,
        is_slow: false,
        placed: Vec::new(),
    }
}

/// Whether places hold all of `count` tasks.
pub(crate) fn is_whole(places: &[(usize, u32)], count: u32) -> bool {
    places.iter().map(|(_, count)| count).sum::<u32>() == count
}
