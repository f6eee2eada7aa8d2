//! Preview of what would become of a job if it were submitted now.
//!
//! Plans a round without the job and one with it on a copy of the ledger's state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cuminbarrow_ledger::apply::Effect;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::job_state::JobState;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::refusal::Refusal;
use cuminbarrow_ledger::state::State as LedgerState;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::placement_preview::PlacementPreview;
use cuminbarrow_model::placement_preview::PreviewExclusion;
use cuminbarrow_model::placement_preview::PreviewOutcome;
use cuminbarrow_model::placement_preview::PreviewPlacement;
use cuminbarrow_model::placement_preview::PreviewPreemption;
use cuminbarrow_model::resources::Resources;
use cuminbarrow_policy::placement_policy::Decision;
use cuminbarrow_policy::placement_policy::PlacementPolicy;
use cuminbarrow_policy::placement_policy::PlacementReason;
use cuminbarrow_policy::placement_policy::Plan;
use cuminbarrow_policy::placement_policy::WaitReason;
use cuminbarrow_policy::planned_start::expected_start_ms;
use smol_str::SmolStr;
use smol_str::ToSmolStr;

use crate::api_explain::wait_text;
use crate::api_explain::worker_obstacle;
use crate::api_types::SubmitBody;

/// Maximum number of workers named for one rule.
const MAX_EXAMPLES: usize = 5;
/// `Retry-After` of a submission that is refused because a queue is full, in s.
const QUEUE_RETRY_S: u64 = 1;
/// Rule of workers that could not hold a member if they were empty.
const TOO_SMALL: &str = "it is too small even when empty";
/// Writer of the preview's batches. It is never that of an entry that wrote before, which has drawn its
/// number at random.
const PREVIEW_WRITER: u64 = u64::MAX;

/// Previews a job on `state`, which is a copy. The result has no process and no age of the state.
///
/// # Errors
/// [`Refusal`] of the submission, unless it is the outcome of the preview.
pub(crate) fn preview_job<P>(
    mut state: LedgerState,
    create_policy: P,
    body: &SubmitBody,
    now_ms: u64,
) -> Result<PlacementPreview, Refusal>
where
    P: Fn() -> Box<dyn PlacementPolicy>,
{
    let waiting_before = state.pending.len();
    let stopped_anyway = victims(&create_policy().plan(&state, now_ms));
    let record = Record::JobSubmitted {
        team: body.team.clone(),
        // No submission has an empty key.
        idempotency_key: SmolStr::default(),
        spec: body.job.clone(),
    };
    let blank = blank_preview(waiting_before);
    let job = match apply(&mut state, 1, now_ms, vec![record]) {
        Some(Ok(Effect::Job { job })) => job,
        Some(Err(refusal)) => {
            let exclusions = too_small_workers(&state, &body.job.shape.per_member);
            return refused_preview(refusal, PlacementPreview { exclusions, ..blank });
        }
        Some(Ok(_)) | None => return Ok(blank),
    };
    let plan = create_policy().plan(&state, now_ms);
    let Some(known) = state.jobs.get(&job) else { return Ok(blank) };
    let previewed = PreviewedRound { state: &state, job, known, plan: &plan, now_ms };
    Ok(PlacementPreview {
        outcome: previewed.outcome(),
        reason: previewed.reason(),
        placements: previewed.placements(),
        preemptions: previewed.preemptions(&stopped_anyway),
        exclusions: previewed.exclusions(),
        expected_wait_ms: previewed.expected_wait_ms(),
        ..blank
    })
}

fn blank_preview(waiting_before: usize) -> PlacementPreview {
    PlacementPreview {
        instance: SmolStr::default(),
        state_age_ms: None,
        outcome: PreviewOutcome::Waits,
        reason: SmolStr::default(),
        placements: Vec::new(),
        preemptions: Vec::new(),
        exclusions: Vec::new(),
        waiting_before: count_u32(waiting_before),
        expected_wait_ms: None,
        retry_after_s: None,
    }
}

/// Preview of a job whose submission would be refused.
fn refused_preview(refusal: Refusal, blank: PlacementPreview) -> Result<PlacementPreview, Refusal> {
    let (outcome, retry_after_s) = match &refusal {
        Refusal::ShapeImpossible { .. } => (PreviewOutcome::Impossible, None),
        Refusal::QueueFull { .. } | Refusal::TeamQueueFull { .. } => {
            (PreviewOutcome::Rejected, Some(QUEUE_RETRY_S))
        }
        _ => return Err(refusal),
    };
    Ok(PlacementPreview { outcome, reason: refusal.to_smolstr(), retry_after_s, ..blank })
}

fn too_small_workers(state: &LedgerState, per_member: &Resources) -> Vec<PreviewExclusion> {
    let workers = state.workers().map(|(_, worker)| &worker.spec);
    let small = workers.filter(|spec| !spec.capacity.covers(per_member));
    let names: Vec<SmolStr> = small.map(|spec| spec.name.clone()).collect();
    let is_any = !names.is_empty();
    is_any.then(|| exclusion_of((TOO_SMALL.into(), names))).into_iter().collect()
}

/// Applies records to the copy. Returns the result of the last one.
fn apply(
    state: &mut LedgerState,
    sequence: u64,
    at_ms: u64,
    records: Vec<Record>,
) -> Option<Result<Effect, Refusal>> {
    let batch = Batch { writer: PREVIEW_WRITER, sequence, at_ms, records };
    state.apply(state.offset, &batch).results.pop()
}

/// Attempts that a round preempts.
fn victims(plan: &Plan) -> BTreeSet<AttemptKey> {
    let victims = plan.decisions.iter().filter_map(|decision| match decision {
        Decision::Preempt { victims, .. } => Some(victims),
        Decision::Place { .. } => None,
    });
    victims.flatten().copied().collect()
}

/// The round that was planned with the job.
struct PreviewedRound<'a> {
    state: &'a LedgerState,
    job: JobKey,
    known: &'a JobState,
    plan: &'a Plan,
    now_ms: u64,
}

impl PreviewedRound<'_> {
    fn placement_reason(&self) -> Option<PlacementReason> {
        self.plan.decisions.iter().find_map(|decision| match decision {
            Decision::Place { attempt, reason, .. } if attempt.job == self.job => Some(*reason),
            _ => None,
        })
    }

    fn wait_reason(&self) -> Option<WaitReason> {
        let waiting = self.plan.waiting.iter().find(|waiting| waiting.job == self.job);
        waiting.map(|waiting| waiting.reason)
    }

    fn outcome(&self) -> PreviewOutcome {
        let starts = self.placement_reason().is_some();
        if starts { PreviewOutcome::Starts } else { PreviewOutcome::Waits }
    }

    fn reason(&self) -> SmolStr {
        match (self.placement_reason(), self.wait_reason()) {
            (Some(PlacementReason::Backfill), _) => {
                SmolStr::new_static("it fits beside a larger job that waits longer")
            }
            (Some(PlacementReason::OwnReservation), _) => {
                SmolStr::new_static("it fits into a reservation of its team")
            }
            (Some(PlacementReason::Lent), _) => {
                SmolStr::new_static("it fits into an idle reservation of another team")
            }
            (Some(PlacementReason::Unreserved), _) => {
                SmolStr::new_static("it fits beside all reservations")
            }
            (None, Some(reason)) => {
                wait_text(self.state, reason, self.plan.starving_job).to_smolstr()
            }
            (None, None) => SmolStr::new_static("a later round looks at it"),
        }
    }

    fn placements(&self) -> Vec<PreviewPlacement> {
        let mut counts: BTreeMap<SmolStr, u32> = BTreeMap::new();
        for decision in &self.plan.decisions {
            let Decision::Place { attempt, members, .. } = decision else { continue };
            for member in members.iter().filter(|_| attempt.job == self.job) {
                let worker = self.state.worker(member.worker);
                let name = worker.map(|worker| worker.spec.name.clone()).unwrap_or_default();
                *counts.entry(name).or_default() += 1;
            }
        }
        let placements = counts.into_iter();
        placements.map(|(worker, tasks)| PreviewPlacement { worker, tasks }).collect()
    }

    fn preemptions(&self, stopped_anyway: &BTreeSet<AttemptKey>) -> Vec<PreviewPreemption> {
        let stopped = victims(self.plan);
        let preemptions = stopped.difference(stopped_anyway).map(|attempt| {
            let placement = self.state.jobs.get(&attempt.job).and_then(JobState::placement);
            let tasks = count_u32(placement.map_or(0, |placement| placement.members.len()));
            PreviewPreemption { job: attempt.job.to_smolstr(), tasks }
        });
        preemptions.collect()
    }

    /// Workers that can't take a member, by rule. Those that only other decisions of the round fill are
    /// told apart by applying these.
    fn exclusions(&self) -> Vec<PreviewExclusion> {
        let own: BTreeSet<SmolStr> =
            self.placements().into_iter().map(|placement| placement.worker).collect();
        let after = self.state_after_others();
        let per_member = &self.known.spec.shape.per_member;
        let is_kept = self.wait_reason() == Some(WaitReason::BehindLargeJob);
        let mut by_rule: BTreeMap<SmolStr, Vec<SmolStr>> = BTreeMap::new();
        for (key, worker) in self.state.workers() {
            if own.contains(&worker.spec.name) {
                continue;
            }
            let too_small = !worker.spec.capacity.covers(per_member);
            let rule = worker_obstacle(self.state, self.known, key, worker).map(|rule| {
                let is_ready = worker.takes_reservations();
                if too_small && is_ready { TOO_SMALL.into() } else { rule }
            });
            let is_taken = || {
                let later = after.as_ref().and_then(|after| Some((after, after.worker(key)?)));
                later.is_some_and(|(after, later)| {
                    worker_obstacle(after, self.known, key, later).is_some()
                })
            };
            let rule = rule.or_else(|| {
                (is_kept || is_taken()).then_some("its room is reserved for other jobs".into())
            });
            if let Some(rule) = rule {
                by_rule.entry(rule).or_default().push(worker.spec.name.clone());
            }
        }
        by_rule.into_iter().map(exclusion_of).collect()
    }

    /// The state after the round's placements of other jobs; `None` if there are none.
    fn state_after_others(&self) -> Option<LedgerState> {
        let others = self.plan.decisions.iter().filter(
            |decision| matches!(decision, Decision::Place { attempt, .. } if attempt.job != self.job),
        );
        let epoch = self.state.planner.epoch;
        let records: Vec<Record> =
            others.map(|decision| decision.clone().into_record(epoch)).collect();
        if records.is_empty() {
            return None;
        }
        let mut after = self.state.clone();
        apply(&mut after, 2, self.now_ms, records);
        Some(after)
    }

    fn expected_wait_ms(&self) -> Option<u64> {
        if self.outcome() == PreviewOutcome::Starts {
            return Some(0);
        }
        if self.wait_reason() == Some(WaitReason::Reclaiming) {
            // Until the work has stopped, which no forecast tells.
            return None;
        }
        let start_ms = expected_start_ms(self.state, self.job, self.now_ms)?;
        Some(start_ms.saturating_sub(self.now_ms))
    }
}

fn exclusion_of((reason, mut names): (SmolStr, Vec<SmolStr>)) -> PreviewExclusion {
    let workers = count_u32(names.len());
    names.sort();
    names.truncate(MAX_EXAMPLES);
    PreviewExclusion { reason, workers, examples: names }
}

fn count_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
