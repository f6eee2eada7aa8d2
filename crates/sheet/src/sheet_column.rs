//! Columns of the sheet.

/// A column of the sheet, in the order in which sheets are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SheetColumn {
    /// Kind of the row: `sheet`, `team`, `guarantee`, `job` or `end`.
    Kind,
    /// Name of the team.
    Team,
    /// Name of the guarantee or job; service day in a `sheet` row.
    Name,
    /// Number of guaranteed shapes; base version in a `sheet` row; number of preceding rows in an
    /// `end` row.
    Count,
    /// Number of members of the shape.
    Members,
    /// Accelerators of each member.
    Accelerators,
    /// Processor cores of each member.
    Cores,
    /// Memory of each member, in GiB.
    MemoryGib,
    /// Task slots of each member.
    Slots,
    /// Connections of each member.
    Connections,
    /// Level of the topology that all members must share: worker, rack or data centre.
    Span,
    /// Whether the job may safely run more than once.
    Repeatable,
    /// Whether a stopped run can resume from a checkpoint.
    Checkpointable,
    /// Whether the job goes before jobs that are not urgent.
    Urgent,
    /// Time at which the answer is due, such as `2026-12-04T06:30:00Z`.
    Deadline,
    /// Expected run time, in minutes.
    RunMinutes,
    /// Reference that is passed to the tasks.
    Payload,
    /// Most pending jobs of a team.
    MaxPending,
}

impl SheetColumn {
    /// All columns, in the order of their discriminants.
    pub const ALL: [Self; 18] = [
        Self::Kind,
        Self::Team,
        Self::Name,
        Self::Count,
        Self::Members,
        Self::Accelerators,
        Self::Cores,
        Self::MemoryGib,
        Self::Slots,
        Self::Connections,
        Self::Span,
        Self::Repeatable,
        Self::Checkpointable,
        Self::Urgent,
        Self::Deadline,
        Self::RunMinutes,
        Self::Payload,
        Self::MaxPending,
    ];

    /// Name of the column in the header row.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accelerators => "accelerators",
            Self::Checkpointable => "checkpointable",
            Self::Connections => "connections",
            Self::Cores => "cores",
            Self::Count => "count",
            Self::Deadline => "deadline",
            Self::Kind => "kind",
            Self::MaxPending => "max_pending",
            Self::Members => "members",
            Self::MemoryGib => "memory_gib",
            Self::Name => "name",
            Self::Payload => "payload",
            Self::Repeatable => "repeatable",
            Self::RunMinutes => "run_minutes",
            Self::Slots => "slots",
            Self::Span => "span",
            Self::Team => "team",
            Self::Urgent => "urgent",
        }
    }

    /// Column named by a header cell; surrounding space and case are ignored.
    pub(crate) fn from_header(cell: &str) -> Option<Self> {
        let name = cell.trim().to_lowercase();
        Self::ALL.into_iter().find(|column| column.name() == name)
    }
}
