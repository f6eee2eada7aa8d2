//! Command line of the load tool.

use std::str::FromStr;

use bpaf::Bpaf;

/// Simulated deployment to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeploymentName {
    Archive,
    Dobrescu,
    Target,
}

impl DeploymentName {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Archive => "archive",
            Self::Dobrescu => "dobrescu",
            Self::Target => "target",
        }
    }
}

impl FromStr for DeploymentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "archive" => Ok(Self::Archive),
            "dobrescu" => Ok(Self::Dobrescu),
            "target" => Ok(Self::Target),
            _ => Err("archive, dobrescu or target is expected".to_owned()),
        }
    }
}

/// Measure the scheduler's decisions
///
/// Example: cuminbarrow-load policy --deployment archive --seed 1
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum LoadCommand {
    /// Compare the policies on one seeded load
    #[bpaf(command)]
    Policy {
        /// archive, dobrescu or target
        #[bpaf(argument("NAME"))]
        deployment: DeploymentName,
        /// Seed of the load
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Print one JSON object a line
        #[bpaf(switch)]
        json: bool,
    },
}
