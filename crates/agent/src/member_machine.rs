//! Life of one attempt's tasks on this worker.

use statig::prelude::*;

/// What happens to the tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberEvent {
    /// The log no longer has the attempt, or the lead gave it up.
    Abandoned,
    /// The lead says go.
    Go,
    /// The lease lapsed.
    LeaseLapsed,
    /// The log asks for a stop.
    StopWanted,
    /// The last task ended.
    TasksEnded,
}

/// What the machine asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemberOrder {
    /// Start all tasks.
    Start,
    /// Stop all tasks, after a checkpoint where asked.
    Stop {
        /// Whether to checkpoint.
        checkpoint: bool,
    },
}

/// Orders that an event gives rise to.
pub(crate) type MemberOrders = Vec<MemberOrder>;

/// The machine; everything it remembers is its state.
#[derive(Debug, Default)]
pub(crate) struct MemberMachine;

#[state_machine(initial = "State::holding()", state(derive(Clone, Copy, Debug, PartialEq, Eq)))]
impl MemberMachine {
    /// Holds its place; no task runs.
    #[state]
    fn holding(context: &mut MemberOrders, event: &MemberEvent) -> Outcome<State> {
        match event {
            MemberEvent::Abandoned | MemberEvent::StopWanted => Transition(State::over()),
            MemberEvent::Go => {
                context.push(MemberOrder::Start);
                Transition(State::running())
            }
            MemberEvent::LeaseLapsed | MemberEvent::TasksEnded => Handled,
        }
    }

    /// Tasks run under the gang's lease.
    #[state]
    fn running(context: &mut MemberOrders, event: &MemberEvent) -> Outcome<State> {
        match event {
            MemberEvent::Abandoned | MemberEvent::LeaseLapsed => {
                context.push(MemberOrder::Stop { checkpoint: false });
                Transition(State::stopping())
            }
            MemberEvent::Go => Handled,
            MemberEvent::StopWanted => {
                context.push(MemberOrder::Stop { checkpoint: true });
                Transition(State::stopping())
            }
            MemberEvent::TasksEnded => Transition(State::over()),
        }
    }

    /// Tasks were told to stop and may still run.
    #[state]
    fn stopping(context: &mut MemberOrders, event: &MemberEvent) -> Outcome<State> {
        match event {
            MemberEvent::Abandoned | MemberEvent::LeaseLapsed => {
                context.push(MemberOrder::Stop { checkpoint: false });
                Handled
            }
            MemberEvent::Go | MemberEvent::StopWanted => Handled,
            MemberEvent::TasksEnded => Transition(State::over()),
        }
    }

    /// No task runs any more, and none will be started.
    #[state]
    fn over() -> Outcome<State> {
        Handled
    }
}
