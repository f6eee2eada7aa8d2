//! Who plans: a claim in the log, made when the holder is silent.

use statig::prelude::*;

/// What the log says about the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleEvent {
    /// Another instance holds the role and is heard from, or the log does not answer.
    HeldElsewhere,
    /// This instance holds the role.
    HeldHere,
    /// Nobody holds the role, or its holder is silent; this instance is up to date.
    Vacant,
}

/// What is to be done about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleAction {
    /// Claim the next epoch.
    Claim,
    /// Plan a round.
    Plan,
}

/// Orders that an event gives rise to.
pub(crate) type RoleActions = Vec<RoleAction>;

/// The machine; everything it remembers is its state.
#[derive(Debug, Default)]
pub(crate) struct PlannerRole;

#[state_machine(initial = "State::following()", state(derive(Clone, Copy, Debug, PartialEq, Eq)))]
impl PlannerRole {
    /// Another instance plans.
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

    /// A claim was written; the next event tells whether it won.
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

    /// This instance plans.
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
