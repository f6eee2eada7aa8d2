//! Differences between two sheets in teams and guarantees.

use std::collections::BTreeMap;
use std::fmt;

use cuminbarrow_model::team::TeamSpec;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// Differences in teams and guarantees, one line of text for each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SheetDiff {
    /// New teams and guarantees.
    pub added: Vec<SmolStr>,
    /// Teams and guarantees whose content differs, with old and new content.
    pub changed: Vec<SmolStr>,
    /// Teams and guarantees that would be removed.
    pub removed: Vec<SmolStr>,
}

impl SheetDiff {
    /// Compares the current teams with the wanted ones.
    pub fn new(current: &[TeamSpec], wanted: &[TeamSpec]) -> Self {
        let (before, after) = (describe_teams(current), describe_teams(wanted));
        let mut diff = Self::default();
        for (name, content) in &after {
            match before.get(name) {
                None => diff.added.push(format_smolstr!("{name}: {content}")),
                Some(old) if old == content => {}
                Some(old) => {
                    diff.changed.push(format_smolstr!("{name}: {old} -> {content}"));
                }
            }
        }
        let removed = before.iter().filter(|(name, _)| !after.contains_key(*name));
        diff.removed = removed.map(|(name, old)| format_smolstr!("{name}: {old}")).collect();
        diff
    }

    /// Whether teams and guarantees are equal.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.changed.is_empty() && self.removed.is_empty()
    }
}

impl fmt::Display for SheetDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(formatter, "no change of teams and guarantees");
        }
        let parts = [("+", &self.added), ("~", &self.changed), ("-", &self.removed)];
        for (sign, lines) in parts {
            for line in lines {
                writeln!(formatter, "{sign} {line}")?;
            }
        }
        Ok(())
    }
}

/// A description of each team and guarantee, by its name in the diff.
fn describe_teams(teams: &[TeamSpec]) -> BTreeMap<SmolStr, SmolStr> {
    let mut descriptions = BTreeMap::new();
    for team in teams {
        let limit = format_smolstr!("at most {} jobs wait", team.max_pending);
        descriptions.insert(format_smolstr!("team {}", team.name), limit);
        for guarantee in &team.guarantees {
            let name = format_smolstr!("guarantee {}/{}", team.name, guarantee.name);
            descriptions
                .insert(name, format_smolstr!("{} of {}", guarantee.count, guarantee.shape));
        }
    }
    descriptions
}
