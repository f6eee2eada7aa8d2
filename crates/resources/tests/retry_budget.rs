//! Retries stay within a tenth of the first tries.

use cuminbarrow_resources::retry_budget::RetryBudget;

/// Retries taken when every try fails and is tried three times at most.
fn retries(budget: &RetryBudget, first_tries: u32) -> u32 {
    let mut retries = 0;
    for _ in 0..first_tries {
        budget.deposit();
        for _ in 0..2 {
            retries += u32::from(budget.try_withdraw());
        }
    }
    retries
}

#[test]
fn retries_stay_within_a_tenth() {
    let budget = RetryBudget::default();
    assert_eq!(retries(&budget, 1_000), 3 + 100, "three at the start, then a tenth");
}

#[test]
fn calm_earns_one_burst_at_most() {
    let budget = RetryBudget::default();
    (0..10_000).for_each(|_| budget.deposit());
    let burst = (0..1_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(burst, 10);
}
