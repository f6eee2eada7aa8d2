//! Columns of the sheet.

/// A column of the sheet, in the order in which sheets are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SheetColumn {
    /// What the row is: `sheet`, `team`, `guarantee`, `job` or `end`.
    Kind,
    /// Team's name.
    Team,
    /// Name of the guarantee or job; in a `sheet` row the service day.
    Name,
    /// Number of guaranteed shapes; base version in a `sheet` row, rows before in an `end` row.
    Count,
    /// Members of the shape.
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
    /// Narrowest part of the topology for all members.
    Span,
    /// Whether a second run does no harm.
    Repeatable,
    /// Whether a stopped run can go on.
    Checkpointable,
    /// Whether the job goes first.
    Urgent,
    /// When the answer is due.
    Deadline,
    /// Expected run time, in minutes.
    RunMinutes,
    /// Reference for the tasks.
    Payload,
    /// Most jobs of a team that may wait.
    MaxPending,
}

impl SheetColumn {
    /// All columns.
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

    /// Name in the header row.
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

    /// The column of a header cell.
    pub(crate) fn from_header(cell: &str) -> Option<Self> {
        let name = cell.trim().to_lowercase();
        Self::ALL.into_iter().find(|column| column.name() == name)
    }
}
