//! Simulates one workload under one policy in virtual time, on the real replicated state.

use std::collections::BTreeMap;
use std::time::Instant;

use cuminbarrow_ledger::apply::BatchReport;
use cuminbarrow_ledger::apply::Effect;
use cuminbarrow_ledger::batch::Batch;
use cuminbarrow_ledger::job_state::StopCause;
use cuminbarrow_ledger::record::Record;
use cuminbarrow_ledger::state::State;
use cuminbarrow_model::attempt::AttemptEnd;
use cuminbarrow_model::job::Answer;
use cuminbarrow_model::keys::AttemptKey;
use cuminbarrow_model::keys::JobKey;
use cuminbarrow_model::keys::WorkerKey;
use cuminbarrow_policy::placement_policy::PlacementPolicy;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::deployment::Deployment;
use crate::deployment::HOUR_MS;
use crate::event_queue::Event;
use crate::event_queue::EventQueue;
use crate::job_times::JobTimes;
use crate::policy_report::PolicyReport;
use crate::policy_report::percentile;
use crate::run_metrics::PendingReclaim;
use crate::run_metrics::RunMetrics;
use crate::workload::Workload;

/// Delay from placement to start: two appends to the log, and the gang's ready messages.
const START_DELAY_MS: u64 = 300;
/// Delay from the request to stop to the end of a gang that writes a checkpoint.
const CHECKPOINT_STOP_DELAY_MS: u64 = 2_000;
/// Delay from the request to stop to the end of a gang that writes no checkpoint.
const STOP_DELAY_MS: u64 = 300;
/// Delay from the start of a task that fails to the record of its failure.
const FAILURE_DELAY_MS: u64 = 2_000;
/// Delay from the loss of a worker to the record of the loss, and from its return to its join.
const LOSS_DETECTION_DELAY_MS: u64 = 15_000;
/// Interval of the planner's periodic rounds while jobs wait.
const PLANNING_INTERVAL_MS: u64 = 5_000;
/// Most planning rounds at one point in time.
const MAX_PLANNING_ROUNDS: usize = 40;
/// Period after the arrivals in which jobs may still end.
const MAX_DRAIN_MS: u64 = 48 * HOUR_MS;

/// Simulation of one workload under one policy.
pub(crate) struct PolicyRun<'a> {
    deployment: &'a Deployment,
    seed: u64,
    policy: Box<dyn PlacementPolicy>,
    load: Workload,
    state: State,
    queue: EventQueue,
    now_ms: u64,
    sequence: u64,
    /// Index in the workload, by job.
    load_index_of: BTreeMap<JobKey, usize>,
    /// Job, by index in the workload.
    job_of: BTreeMap<usize, JobKey>,
    metrics: RunMetrics,
    /// Whether the state changed since the last planning round.
    is_changed: bool,
}

impl<'a> PolicyRun<'a> {
    pub(crate) fn new(
        deployment: &'a Deployment,
        seed: u64,
        policy: Box<dyn PlacementPolicy>,
    ) -> Self {
        let load = Workload::new(deployment, seed);
        let mut queue = EventQueue::default();
        for (index, job) in load.jobs.iter().enumerate() {
            queue.push(job.at_ms, Event::Arrival(index));
            if let Some(cancel_ms) = job.cancel_ms {
                queue.push(cancel_ms, Event::Cancel(index));
            }
        }
        for (index, fault) in load.worker_faults.iter().enumerate() {
            if !fault.fails_starts {
                queue.push(fault.from_ms + LOSS_DETECTION_DELAY_MS, Event::Loss(index));
                queue.push(fault.until_ms + LOSS_DETECTION_DELAY_MS, Event::Recovery(index));
            }
        }
        Self {
            deployment,
            seed,
            policy,
            load,
            state: State::default(),
            queue,
            now_ms: 0,
            sequence: 0,
            load_index_of: BTreeMap::new(),
            job_of: BTreeMap::new(),
            metrics: RunMetrics::default(),
            is_changed: true,
        }
    }

    pub(crate) fn run(mut self) -> PolicyReport {
        self.set_up();
        let end_ms = self.deployment.horizon_ms + MAX_DRAIN_MS;
        while let Some(next_ms) = self.queue.next_ms().filter(|next_ms| *next_ms <= end_ms) {
            self.accumulate_usage(next_ms);
            self.now_ms = next_ms;
            while self.queue.next_ms() == Some(next_ms) {
                if let Some((_, event)) = self.queue.pop() {
                    self.handle(event);
                }
            }
            self.plan();
        }
        self.report()
    }

    /// Registers the workers, claims the planner role and applies the sheet.
    fn set_up(&mut self) {
        let joins =
            self.deployment.workers.iter().enumerate().map(|(index, spec)| Record::WorkerJoined {
                spec: spec.clone(),
                incarnation: index as u64,
                session: 1,
                entry: 1,
            });
        let mut records: Vec<Record> = joins.collect();
        records.push(Record::PlannerClaimed { epoch: 1, instance: 1 });
        records.push(Record::SheetApplied {
            author: SmolStr::new("load"),
            sheet: self.deployment.sheet(),
            max_removed_permille: 0,
        });
        let report = self.apply(records);
        for result in &report.results {
            assert!(
                result.is_ok(),
                "the state refused a record of the deployment's setup: {result:?}"
            );
        }
        self.queue.push(0, Event::PlanningCheck);
    }

    /// Applies records as one batch and schedules the stops they lead to.
    fn apply(&mut self, records: Vec<Record>) -> BatchReport {
        self.sequence += 1;
        let batch = Batch { writer: 1, sequence: self.sequence, at_ms: self.now_ms, records };
        let report = self.state.apply(self.sequence - 1, &batch);
        if self.sequence.is_multiple_of(self.deployment.check_interval_batches) {
            self.metrics.violations += self.state.invariant_violations().len() as u64;
        }
        self.is_changed = true;
        self.metrics.drop_voided_reclaims(&self.state);
        for change in &report.attempt_changes {
            self.schedule_stop(change.attempt);
        }
        report
    }

    /// Schedules the end of a gang that was asked to stop. A job that is not repeatable stops only
    /// if it is cancelled.
    fn schedule_stop(&mut self, attempt: AttemptKey) {
        let Some(job) = self.state.jobs.get(&attempt.job) else { return };
        let Some(placement) = job.placement_of(attempt).filter(|p| p.stop.is_some()) else {
            return;
        };
        if placement.stop == Some(StopCause::Cancelled) || job.spec.repeatable {
            let delay =
                if job.spec.checkpointable { CHECKPOINT_STOP_DELAY_MS } else { STOP_DELAY_MS };
            self.queue.push(self.now_ms + delay, Event::Stopped(attempt));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.submit(index),
            Event::Cancel(index) => {
                if let Some(&job) = self.job_of.get(&index) {
                    self.apply(vec![Record::JobCancelled { job }]);
                }
            }
            Event::End(attempt) => self.end_by_itself(attempt),
            Event::PlanningCheck => {
                if !self.state.pending.is_empty() || self.now_ms < self.deployment.horizon_ms {
                    self.queue.push(self.now_ms + PLANNING_INTERVAL_MS, Event::PlanningCheck);
                }
                self.is_changed |= !self.state.pending.is_empty();
            }
            Event::Loss(index) => self.lose_worker(index),
            Event::Recovery(index) => self.rejoin_worker(index),
            Event::Start(attempt) => self.start_gang(attempt),
            Event::Stopped(attempt) => self.end_stopped(attempt),
        }
    }

    fn submit(&mut self, index: usize) {
        let job = &self.load.jobs[index];
        let record = Record::JobSubmitted {
            team: job.team.clone(),
            idempotency_key: format_smolstr!("job-{index}"),
            spec: job.spec.clone(),
        };
        if let Ok(Effect::Job { job }) = self.apply(vec![record]).results[0] {
            self.load_index_of.insert(job, index);
            self.job_of.insert(index, job);
        }
    }

    fn lead_incarnation(&self, attempt: AttemptKey) -> Option<u64> {
        let lead = self.state.placement(attempt)?.lead();
        Some(self.state.worker(lead)?.incarnation)
    }

    /// Records the start of a gang, closes its job's reclaim and schedules its end.
    fn start_gang(&mut self, attempt: AttemptKey) {
        let Some(lead_incarnation) = self.lead_incarnation(attempt) else { return };
        let report = self.apply(vec![Record::JobStarted { attempt, lead_incarnation }]);
        if report.results[0].is_err() {
            return;
        }
        self.metrics.starts.entry(attempt.job).or_insert(self.now_ms);
        if let Some(reclaim) = self.metrics.reclaims.remove(&attempt.job) {
            self.metrics.reclaim_s.push((self.now_ms - reclaim.since_ms) as f64 / 1_000.0);
        }
        self.check_runs_once(attempt);
        let delay_ms = self.time_to_end_ms(attempt);
        self.queue.push(self.now_ms + delay_ms, Event::End(attempt));
    }

    /// Counts a violation if a job that is not repeatable starts a second time.
    fn check_runs_once(&mut self, attempt: AttemptKey) {
        let is_repeatable =
            self.state.jobs.get(&attempt.job).is_some_and(|job| job.spec.repeatable);
        let is_second = self.metrics.runs.iter().any(|run| run.job == attempt.job);
        if is_second && !is_repeatable {
            self.metrics.violations += 1;
        }
        self.metrics.runs.insert(attempt);
    }

    /// Time from now until the gang completes or fails.
    fn time_to_end_ms(&self, attempt: AttemptKey) -> u64 {
        let Some(load) = self.load_index_of.get(&attempt.job).map(|index| &self.load.jobs[*index])
        else {
            return 0;
        };
        if self.failing_worker(attempt).is_some() || is_failing_attempt(load, attempt) {
            return FAILURE_DELAY_MS;
        }
        let progress = self.state.jobs[&attempt.job].progress_permille.min(1_000);
        load.run_ms * u64::from(1_000 - progress) / 1_000
    }

    /// Worker of the gang that currently fails every start, if any.
    fn failing_worker(&self, attempt: AttemptKey) -> Option<WorkerKey> {
        let placement = self.state.placement(attempt)?;
        let is_failing = |worker: &WorkerKey| {
            self.load.worker_faults.iter().any(|fault| {
                fault.fails_starts
                    && fault.worker == usize::from(worker.0)
                    && (fault.from_ms..fault.until_ms).contains(&self.now_ms)
            })
        };
        placement.members.iter().map(|member| member.worker).find(is_failing)
    }

    /// Records that a gang completed or failed.
    fn end_by_itself(&mut self, attempt: AttemptKey) {
        let Some(lead_incarnation) = self.lead_incarnation(attempt) else { return };
        let Some(&index) = self.load_index_of.get(&attempt.job) else { return };
        let started_ms = self.state.placement(attempt).and_then(|p| p.started_ms).unwrap_or(0);
        let is_quick = self.now_ms - started_ms <= FAILURE_DELAY_MS;
        let failing = self.failing_worker(attempt).filter(|_| is_quick);
        let lead = self.state.placement(attempt).map(|p| p.lead()).unwrap_or_default();
        let end = match failing {
            Some(worker) => AttemptEnd::Failed { worker, reason: SmolStr::new("bad worker") },
            None if is_failing_attempt(&self.load.jobs[index], attempt) => {
                AttemptEnd::Failed { worker: lead, reason: SmolStr::new("bad job") }
            }
            None => AttemptEnd::Completed { answer: Answer::new(Vec::new()) },
        };
        self.apply(vec![Record::JobEnded { attempt, lead_incarnation, end }]);
    }

    /// Records that a gang stopped, with its progress, and counts lost work.
    fn end_stopped(&mut self, attempt: AttemptKey) {
        let Some(lead_incarnation) = self.lead_incarnation(attempt) else { return };
        let Some(job) = self.state.jobs.get(&attempt.job) else { return };
        let Some(placement) = job.placement_of(attempt) else { return };
        let Some(&index) = self.load_index_of.get(&attempt.job) else { return };
        let started_ms = placement.started_ms.unwrap_or(self.now_ms);
        let ran_ms = self.now_ms - started_ms;
        let total_ms = self.load.jobs[index].run_ms.max(1);
        let done =
            job.progress_permille + u16::try_from(ran_ms * 1_000 / total_ms).unwrap_or(1_000);
        let progress_permille = done.min(999);
        let size = u64::from(job.spec.shape.accelerators());
        if !job.spec.checkpointable {
            self.metrics.lost_accelerator_ms += ran_ms * size;
        }
        let end = AttemptEnd::Stopped { progress_permille };
        self.apply(vec![Record::JobEnded { attempt, lead_incarnation, end }]);
    }

    fn lose_worker(&mut self, index: usize) {
        let worker = WorkerKey(u16::try_from(self.load.worker_faults[index].worker).unwrap_or(0));
        let Some(known) = self.state.worker(worker) else { return };
        let (incarnation, session) = (known.incarnation, known.session);
        self.apply(vec![Record::WorkerLost { worker, incarnation, session }]);
    }

    /// Records that a worker joined again, with a new incarnation.
    fn rejoin_worker(&mut self, index: usize) {
        let worker = WorkerKey(u16::try_from(self.load.worker_faults[index].worker).unwrap_or(0));
        let Some(known) = self.state.worker(worker) else { return };
        let record = Record::WorkerJoined {
            spec: known.spec.clone(),
            incarnation: known.incarnation + 1_000,
            session: 1,
            entry: 1,
        };
        self.apply(vec![record]);
    }

    /// Runs planning rounds until a round decides nothing or the state no longer changes.
    fn plan(&mut self) {
        for _ in 0..MAX_PLANNING_ROUNDS {
            if !self.is_changed {
                return;
            }
            self.is_changed = false;
            let started = Instant::now();
            let plan = self.policy.plan(&self.state, self.now_ms);
            let spent_us = started.elapsed().as_secs_f64() * 1e6;
            self.metrics.round_max_us = self.metrics.round_max_us.max(spent_us);
            if plan.decisions.is_empty() {
                self.metrics.idle_planning_us += spent_us;
                self.metrics.idle_rounds += 1;
                return;
            }
            self.metrics.planning_us += spent_us;
            self.metrics.decisions += plan.decisions.len() as u64;
            let records: Vec<Record> =
                plan.decisions.into_iter().map(|decision| decision.into_record(1)).collect();
            let report = self.apply(records.clone());
            for (record, result) in records.iter().zip(&report.results) {
                if result.is_ok() {
                    self.handle_decision(record);
                }
            }
        }
    }

    /// Schedules the start of a placed gang; counts preemptions and opens reclaims.
    fn handle_decision(&mut self, record: &Record) {
        match record {
            Record::JobPlaced { attempt, .. } => {
                self.queue.push(self.now_ms + START_DELAY_MS, Event::Start(*attempt));
            }
            Record::JobsPreempted { job, victims, reservation, .. } => {
                self.metrics.preemptions += victims.len();
                if let Some(reservation) = *reservation {
                    let reclaim = PendingReclaim { since_ms: self.now_ms, reservation };
                    self.metrics.reclaims.entry(*job).or_insert(reclaim);
                }
            }
            _ => {}
        }
    }

    /// Adds the accelerator usage from now until the next event, as far as jobs still arrive.
    fn accumulate_usage(&mut self, next_ms: u64) {
        let until_ms = next_ms.min(self.deployment.horizon_ms);
        let duration_ms = until_ms.saturating_sub(self.now_ms);
        if duration_ms == 0 {
            return;
        }
        let up = self.state.workers.iter().filter(|worker| worker.is_up());
        let (mut free, mut used) = (0_u64, 0_u64);
        for worker in up {
            used += u64::from(worker.used.accelerators);
            free += u64::from(worker.spec.capacity.accelerators - worker.used.accelerators);
        }
        self.metrics.used_accelerator_ms += used * duration_ms;
        if free > 0 && self.is_fragmented(free) {
            self.metrics.fragmented_accelerator_ms += free * duration_ms;
        }
    }

    /// Whether some waiting job needs no more accelerators than are free. The policy has just
    /// planned, so such a job waits because its shape does not fit, not for lack of accelerators.
    fn is_fragmented(&self, free: u64) -> bool {
        let waiting = self.state.pending.iter().filter_map(|key| self.state.jobs.get(key));
        waiting
            .filter(|job| job.not_before_ms <= self.now_ms)
            .map(|job| u64::from(job.spec.shape.accelerators()))
            .any(|count| count > 0 && count <= free)
    }

    fn report(mut self) -> PolicyReport {
        let mut times = JobTimes::default();
        for (key, job) in &self.state.jobs {
            let Some(load) = self.load_index_of.get(key).map(|index| &self.load.jobs[*index])
            else {
                continue;
            };
            if !load.always_fails && load.cancel_ms.is_none() {
                let started_ms = self.metrics.starts.get(key).copied();
                times.record(job, load, started_ms, self.now_ms);
            }
        }
        let total = u64::from(self.state.registered_accelerators()) * self.deployment.horizon_ms;
        let hour = HOUR_MS as f64;
        let metrics = &mut self.metrics;
        PolicyReport {
            policy: self.policy.name(),
            deployment: self.deployment.name.name(),
            seed: self.seed,
            completion_p50_ratio: percentile(&mut times.ratios, 0.50),
            completion_p95_ratio: percentile(&mut times.ratios, 0.95),
            completion_p99_ratio: percentile(&mut times.ratios, 0.99),
            late_share: times.late as f64 / times.with_deadline.max(1) as f64,
            fragmentation: metrics.fragmented_accelerator_ms as f64 / hour,
            reclaim_p50_s: percentile(&mut metrics.reclaim_s, 0.50),
            reclaim_p99_s: percentile(&mut metrics.reclaim_s, 0.99),
            large_gang_wait_max_s: times.large_max_s,
            urgent_start_p99_s: percentile(&mut times.urgent_s, 0.99),
            work_lost_accelerator_hours: metrics.lost_accelerator_ms as f64 / hour,
            promises_broken: metrics.violations,
            decision_cpu_us: metrics.planning_us / metrics.decisions.max(1) as f64,
            completed: times.completed,
            preemptions: metrics.preemptions,
            reclaims_voided: metrics.reclaims_voided,
            utilization: metrics.used_accelerator_ms as f64 / total.max(1) as f64,
            idle_round_cpu_us: metrics.idle_planning_us / metrics.idle_rounds.max(1) as f64,
            round_cpu_max_us: metrics.round_max_us,
        }
    }
}

/// Whether an attempt fails on its own, even on healthy workers.
fn is_failing_attempt(load: &crate::workload::LoadJob, attempt: AttemptKey) -> bool {
    load.always_fails || attempt.attempt <= load.failing_attempts
}
