//! Identity of a job, chosen by its caller.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Length of the text form, in hexadecimal digits.
const DIGITS: usize = 16;

/// Identity of a job. The text form is 16 lower-case hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobId(pub u64);

/// The text is not a job identity.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a job id has 16 lower-case hexadecimal digits"))]
pub struct JobIdError;

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return Err(JobIdError);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| JobIdError)
    }
}
