//! State machine of the planner role. An entry claims the role in the log when nobody holds it or
//! its holder has been silent for the planner timeout.

use statig::prelude::*;

/// Who holds the role, according to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleEvent {
    /// Another instance holds the role and is active, or this instance is not current with the log.
    HeldElsewhere,
    /// This instance holds the role.
    HeldHere,
    /// Nobody holds the role or its holder is silent, and this instance is current with the log.
    Vacant,
}

/// What the planner loop does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleAction {
    /// Claim the next epoch.
    Claim,
    /// Perform the planner's duties: plan, renew the role, check liveness, write snapshots.
    Plan,
}

/// Actions that result from an event.
pub(crate) type RoleActions = Vec<RoleAction>;

/// State machine of the planner role. It has no data besides its current state.
#[derive(Debug, Default)]
pub(crate) struct PlannerRole;

#[state_machine(initial = "State::following()", state(derive(Clone, Copy, Debug, PartialEq, Eq)))]
impl PlannerRole {
    /// Another instance holds the role, or this instance can't claim it yet.
    #[state]
    fn following(context: &mut RoleActions, event: &RoleEvent) -> Outcome<State> {
        match event {
            RoleEvent::HeldElsewhere => Handled,
            RoleEvent::HeldHere => {
                context.push(RoleAction::Plan);
                Transition(State::planning())
            }
            RoleEvent::Vacant => {
                context.push(RoleAction::Claim);
                Transition(State::claiming())
            }
        }
    }

    /// A claim was written; the next event shows whether it succeeded.
    #[state]
    fn claiming(context: &mut RoleActions, event: &RoleEvent) -> Outcome<State> {
        match event {
            RoleEvent::HeldElsewhere => Transition(State::following()),
            RoleEvent::HeldHere => {
                context.push(RoleAction::Plan);
                Transition(State::planning())
            }
            RoleEvent::Vacant => {
                context.push(RoleAction::Claim);
                Handled
            }
        }
    }

    /// This instance holds the role.
    #[state]
    fn planning(context: &mut RoleActions, event: &RoleEvent) -> Outcome<State> {
        match event {
            RoleEvent::HeldElsewhere | RoleEvent::Vacant => Transition(State::following()),
            RoleEvent::HeldHere => {
                context.push(RoleAction::Plan);
                Handled
            }
        }
    }
}
