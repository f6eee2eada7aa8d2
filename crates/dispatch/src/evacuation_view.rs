//! What an entry has read of the operator's evacuation requests, and what it records of them.
//!
//! The requests are keys of a topic: an entry lists the keys, then follows the topic record by record.
//! Entries read at different times. A view is newer than what is recorded if it includes a record of the
//! topic beyond the recorded position, or if it was confirmed by a read that was sent after the recorded
//! set was known here. The second case covers keys that are gone without a record and a topic that was
//! created again, whose offsets start over. An outdated answer of the store looks the same, so such a
//! view withdraws only what a record, or two lists of the keys, show to be withdrawn.

use std::collections::BTreeSet;

use cuminbarrow_taskgraph::evacuations::Evacuations;
use cuminbarrow_taskgraph::evacuations::MAX_EVACUATED_DATA_CENTRES;
use smol_str::SmolStr;

/// Requests for evacuations, as read by one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationView {
    /// Offset after the last record of the topic that is taken into account.
    end: u64,
    /// Highest end so far; a topic that was created again ends before it.
    highest_end: u64,
    /// Recorded position that was known before the latest read that confirmed the view.
    confirmed: u64,
    /// Data centres whose keys have a value.
    requested: BTreeSet<SmolStr>,
    /// Data centres whose keys were removed by a record since the last list of keys.
    withdrawn: BTreeSet<SmolStr>,
    /// Whether the last list of keys was complete.
    is_complete: bool,
    /// Whether the last list of keys was complete and showed what was known before.
    is_settled: bool,
}

impl EvacuationView {
    /// Offset after the last record of the topic that is taken into account.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Whether any evacuation is requested.
    pub fn has_requests(&self) -> bool {
        !self.requested.is_empty()
    }

    /// Takes over a list of keys, of a topic that ended at `end`. An incomplete list withdraws nothing.
    pub fn replace(&mut self, end: u64, mut listed: BTreeSet<SmolStr>, is_complete: bool) {
        self.is_settled =
            is_complete && self.is_complete && end >= self.end && listed == self.requested;
        if !is_complete {
            listed.extend(self.requested.iter().cloned());
        }
        self.requested = listed;
        self.withdrawn.clear();
        self.is_complete = is_complete;
        self.advance(end);
    }

    /// Takes a request into account.
    pub fn request(&mut self, data_centre: SmolStr) {
        self.withdrawn.remove(&data_centre);
        self.requested.insert(data_centre);
    }

    /// Takes a withdrawal into account.
    pub fn withdraw(&mut self, data_centre: SmolStr) {
        self.requested.remove(&data_centre);
        self.withdrawn.insert(data_centre);
    }

    /// Sets the offset after the last record that is taken into account.
    pub fn advance(&mut self, end: u64) {
        self.end = end;
        self.highest_end = self.highest_end.max(end);
    }

    /// Records that a read has confirmed the view which was sent when the log had `recorded` as the
    /// position of the evacuations.
    pub fn confirm(&mut self, recorded: u64) {
        self.confirmed = self.confirmed.max(recorded);
    }

    /// The evacuations to record in place of `recorded`; `None` if nothing is to be recorded. Those of
    /// data centres in `known`, which have workers, come first where there are too many.
    pub fn update_of(
        &self,
        recorded: &Evacuations,
        known: &BTreeSet<&SmolStr>,
    ) -> Option<Evacuations> {
        let has_later_record = self.end > recorded.as_of;
        if !has_later_record && self.confirmed < recorded.as_of {
            return None;
        }
        let withdraws_unlisted = if has_later_record { self.is_complete } else { self.is_settled };
        let mut wanted = self.requested.clone();
        if !withdraws_unlisted {
            wanted.extend(recorded.data_centres.difference(&self.withdrawn).cloned());
        }
        if wanted.len() > MAX_EVACUATED_DATA_CENTRES {
            let (first, rest): (Vec<_>, Vec<_>) =
                wanted.into_iter().partition(|name| known.contains(name));
            wanted = first.into_iter().chain(rest).take(MAX_EVACUATED_DATA_CENTRES).collect();
        }
        let next = recorded.as_of.max(self.highest_end) + 1;
        let as_of = if has_later_record { self.end } else { next };
        (wanted != recorded.data_centres).then_some(Evacuations { as_of, data_centres: wanted })
    }
}
