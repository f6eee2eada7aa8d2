//! Lease arithmetic.

use cuminbarrow_taskgraph::lease_terms::ClockSample;
use cuminbarrow_taskgraph::lease_terms::LeaseTerms;
use proptest::prelude::*;

const TERMS: LeaseTerms = LeaseTerms { duration_ms: 6_000 };

#[test]
fn lease_deadline_counts_from_the_confirmed_read() {
    let sample = ClockSample { worker_ms: 1_000_000, at_ms: 50_000 };
    assert_eq!(TERMS.deadline_ms(sample, 50_000), Some(1_000_000 + 5_880));
    assert_eq!(TERMS.deadline_ms(sample, 47_000), Some(1_000_000 + 2_940));
    assert_eq!(TERMS.deadline_ms(sample, 44_000), None);
}

proptest! {
    /// Guards against a lease that is still valid after the wait that follows a suspicion, for any
    /// drift of the worker's clock within its bounds and any delay of the extension.
    #[test]
    fn no_lease_outlives_the_wait_after_a_suspicion(
        confirmed_ms in 0_u64..100_000,
        sample_delay_ms in 0_u64..10_000,
        suspected_delay_ms in 0_u64..5_000,
        rate_permille in 980_u64..=1_020,
    ) {
        let at_ms = confirmed_ms + sample_delay_ms;
        let sample = ClockSample { worker_ms: 7_000, at_ms };
        if let Some(deadline_ms) = TERMS.deadline_ms(sample, confirmed_ms) {
            let lasts_ms = ((deadline_ms - 7_000) * 1_000).div_ceil(rate_permille);
            let ends_ms = at_ms + lasts_ms;
            let suspected_ms = confirmed_ms + suspected_delay_ms;
            prop_assert!(TERMS.has_lapsed(suspected_ms, ends_ms.max(suspected_ms + TERMS.duration_ms)));
            prop_assert!(ends_ms <= suspected_ms + TERMS.duration_ms + 1);
        }
    }
}
