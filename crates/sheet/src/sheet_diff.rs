//! What a sheet would change.

use std::collections::BTreeMap;
use std::fmt;

use cuminbarrow_model::team::TeamSpec;
use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

/// What a sheet would change of teams and guarantees.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SheetDiff {
    /// New ones.
    pub added: Vec<SmolStr>,
    /// Ones with other content.
    pub changed: Vec<SmolStr>,
    /// Ones that it would remove.
    pub removed: Vec<SmolStr>,
}

impl SheetDiff {
    /// Compares the teams in force with the wanted ones.
    pub fn new(in_force: &[TeamSpec], wanted: &[TeamSpec]) -> Self {
        let (before, after) = (lines(in_force), lines(wanted));
        let mut diff = Self::default();
        for (name, content) in &after {
            match before.get(name) {
                None => diff.added.push(format_smolstr!("{name}: {content}")),
                Some(known) if known == content => {}
                Some(known) => {
                    diff.changed.push(format_smolstr!("{name}: {known} -> {content}"));
                }
            }
        }
        let removed = before.iter().filter(|(name, _)| !after.contains_key(*name));
        diff.removed = removed.map(|(name, known)| format_smolstr!("{name}: {known}")).collect();
        diff
    }

    /// Whether nothing would change.
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

fn lines(teams: &[TeamSpec]) -> BTreeMap<SmolStr, SmolStr> {
    let mut lines = BTreeMap::new();
    for team in teams {
        let limit = format_smolstr!("at most {} jobs wait", team.max_pending);
        lines.insert(format_smolstr!("team {}", team.name), limit);
        for guarantee in &team.guarantees {
            let name = format_smolstr!("guarantee {}/{}", team.name, guarantee.name);
            lines.insert(name, format_smolstr!("{} of {}", guarantee.count, guarantee.shape));
        }
    }
    lines
}
