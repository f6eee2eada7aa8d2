//! Limits that contradict each other or the process's memory are refused, and the error names the one.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use cuminbarrow_requests::request_limits::RequestLimits;

const LARGEST_BODY: u64 = 4 * 1024 * 1024;

fn error_of(settings: &str, memory_mb: u64) -> String {
    let limits: RequestLimits = serde_norway::from_str(settings).unwrap();
    limits.check(memory_mb, LARGEST_BODY).unwrap_err().setting.to_owned()
}

/// Guards against defaults that do not fit the smallest process of a deployment.
#[test]
fn defaults_fit_the_smallest_process() {
    assert_eq!(RequestLimits::default().check(128, LARGEST_BODY), Ok(()));
}

/// Guards against a process that does not start since the defaults need more memory than it has.
#[test]
fn limits_that_are_not_set_fit_smaller_processes() {
    for memory_mb in [48, 64, 96, 124, 128, 160, 512] {
        let limits = RequestLimits::fitting(memory_mb);
        assert_eq!(limits.check(memory_mb, LARGEST_BODY), Ok(()), "{memory_mb} MB");
    }
    assert_eq!(RequestLimits::fitting(128), RequestLimits::default());
}

#[test]
fn contradictions_are_refused_by_name() {
    assert_eq!(error_of("{}", 64), "memory_mb");
    assert_eq!(error_of("body_bytes: 8000000", 128), "requests.body_bytes");
    assert_eq!(error_of("small_body_bytes: 5000000", 128), "requests.small_body_bytes");
    assert_eq!(error_of("buffer_bytes: 16383", 128), "requests.buffer_bytes");
    assert_eq!(error_of("connections: 0", 128), "requests.connections");
    assert_eq!(error_of("body_bytes: 18446744073709551615", 128), "memory_mb");
}
