//! Checks that a retry budget limits retries to a tenth of the initial calls.

use cuminbarrow_resources::retry_budget::RetryBudget;

/// Number of retries when every call fails and is tried at most three times.
fn count_retries(budget: &RetryBudget, initial_calls: u32) -> u32 {
    let mut retries = 0;
    for _ in 0..initial_calls {
        budget.deposit();
        for _ in 0..2 {
            retries += u32::from(budget.try_withdraw());
        }
    }
    retries
}

#[test]
fn retries_are_limited_to_a_tenth_of_initial_calls() {
    let budget = RetryBudget::default();
    assert_eq!(
        count_retries(&budget, 1_000),
        3 + 100,
        "the initial three, then a tenth of the calls"
    );
}

#[test]
fn deposits_are_capped_at_one_burst() {
    let budget = RetryBudget::default();
    (0..10_000).for_each(|_| budget.deposit());
    let burst = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(burst, 10);
}
