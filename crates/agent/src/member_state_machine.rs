//! Lifecycle of one attempt's tasks on this worker.

use statig::prelude::*;

/// An event of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberEvent {
    /// The attempt is no longer assigned to this worker, the lead abandoned it, a task failed, or a
    /// stop took too long: the tasks must stop without a checkpoint.
    Abandoned,
    /// The lead starts the gang.
    Start,
    /// The lease lapsed.
    LeaseLapsed,
    /// The log requests a stop.
    StopRequested,
    /// The last task ended.
    TasksEnded,
}

/// A command to the worker that follows from an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberCommand {
    /// Start all tasks.
    Start,
    /// Stop all tasks.
    Stop {
        /// Whether to checkpoint first.
        checkpoint: bool,
    },
}

/// Commands that follow from one event.
pub(crate) type MemberCommands = Vec<MemberCommand>;

/// The state machine. It has no data beyond its state.
#[derive(Debug, Default)]
pub(crate) struct MemberStateMachine;

#[state_machine(initial = "State::holding()", state(derive(Clone, Copy, Debug, PartialEq, Eq)))]
impl MemberStateMachine {
    /// The attempt is assigned to this worker; no task has been started.
    #[state]
    fn holding(context: &mut MemberCommands, event: &MemberEvent) -> Outcome<State> {
        match event {
            MemberEvent::Abandoned | MemberEvent::StopRequested => Transition(State::ended()),
            MemberEvent::Start => {
                context.push(MemberCommand::Start);
                Transition(State::running())
            }
            MemberEvent::LeaseLapsed | MemberEvent::TasksEnded => Handled,
        }
    }

    /// The tasks run under the gang's lease.
    #[state]
    fn running(context: &mut MemberCommands, event: &MemberEvent) -> Outcome<State> {
        match event {
            MemberEvent::Abandoned | MemberEvent::LeaseLapsed => {
                context.push(MemberCommand::Stop { checkpoint: false });
                Transition(State::stopping())
            }
            MemberEvent::Start => Handled,
            MemberEvent::StopRequested => {
                context.push(MemberCommand::Stop { checkpoint: true });
                Transition(State::stopping())
            }
            MemberEvent::TasksEnded => Transition(State::ended()),
        }
    }

    /// The worker has been asked to stop the tasks, which may still run.
    #[state]
    fn stopping(context: &mut MemberCommands, event: &MemberEvent) -> Outcome<State> {
        match event {
            MemberEvent::Abandoned | MemberEvent::LeaseLapsed => {
                context.push(MemberCommand::Stop { checkpoint: false });
                Handled
            }
            MemberEvent::Start | MemberEvent::StopRequested => Handled,
            MemberEvent::TasksEnded => Transition(State::ended()),
        }
    }

    /// No task runs, and none will be started.
    #[state]
    fn ended() -> Outcome<State> {
        Handled
    }
}
