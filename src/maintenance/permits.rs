//! The permits: which machines may be out for work, one table that all changes go through.
//!
//! The table is the value that brokers agree on. Every guard is asked on the table itself, so what it forbids can't come
//! about by two brokers asking at once. A permit has no time after which it ends: whose holder is silent keeps its
//! place taken until the machine is seen warm again, or a person writes it off by name.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// How far a machine has come.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MaintenancePhase {
    /// It may be taken out: brokers that are up send it nothing new.
    Draining,
    /// No broker has anything out at it: the work may begin.
    Empty,
    /// The work has begun.
    Out,
    /// Its process is there again, and cold.
    Back,
}

impl MaintenancePhase {
    /// What may follow, on the usual way.
    fn next(self) -> Option<MaintenancePhase> {
        match self {
            MaintenancePhase::Draining => Some(MaintenancePhase::Empty),
            MaintenancePhase::Empty => Some(MaintenancePhase::Out),
            MaintenancePhase::Out => Some(MaintenancePhase::Back),
            MaintenancePhase::Back => None,
        }
    }
}

/// Leave for one machine to be out.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    /// Greater than that of any permit before it. Whoever acts on a machine names it; an older one is not obeyed.
    pub fence: u64,
    /// The order that it belongs to.
    pub order: String,
    /// How far the machine has come.
    pub step: MaintenancePhase,
    /// Who carries it out.
    pub broker: String,
    /// When it came to this step, by that broker's clock, unix ns. For people.
    pub since: Nanos,
}

/// What must be so for one more machine to be taken out.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PermitRules {
    /// Machines that may be out together.
    pub most: usize,
    /// The cell of each machine: those of neighbouring cells hold the same partitions.
    pub cells: BTreeMap<String, u32>,
    /// Number of cells, and cells in a row that hold a partition.
    pub ring: (u32, u32),
    /// Holders of any partition that must stay.
    pub holders: usize,
}

impl PermitRules {
    /// Machines of a partition that are not out while these are.
    fn left<'t>(&self, first: u32, out: impl Fn(&str) -> bool + 't) -> usize {
        let (cells, span) = (self.ring.0.max(1), self.ring.1);
        let holds = |cell: u32| (cell + cells - first % cells) % cells < span;
        self.cells.iter().filter(|(id, cell)| holds(**cell % cells) && !out(id)).count()
    }
}

/// Why a change is not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitError {
    /// As many are out as may be.
    TooMany { out: usize, most: usize },
    /// A partition would be left with too few holders.
    Holders { partition: u32, left: usize },
    /// It is out already, under this fence.
    IsOut(u64),
    /// The operator's file and lists do not name it.
    Unknown,
    /// The permit that is named does not stand: it has ended, or a newer one has taken its place.
    Fenced { named: u64, stands: Option<u64> },
    /// That step does not follow the present one.
    OutOfTurn { from: MaintenancePhase, to: MaintenancePhase },
}

impl fmt::Display for PermitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PermitError::TooMany { out, most } => write!(f, "{out} machines are out, and {most} may be"),
            PermitError::Holders { partition, left } => {
                write!(f, "partition {partition} would be left with {left} holders")
            }
            PermitError::IsOut(fence) => write!(f, "it is out already, by permit {fence}"),
            PermitError::Unknown => write!(f, "no list names it"),
            PermitError::Fenced { named, stands: Some(stands) } => {
                write!(f, "permit {named} does not stand any more, {stands} does")
            }
            PermitError::Fenced { named, stands: None } => {
                write!(f, "permit {named} does not stand any more")
            }
            PermitError::OutOfTurn { from, to } => write!(f, "{to:?} does not follow {from:?}"),
        }
    }
}

impl std::error::Error for PermitError {}

/// All permits that stand.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permits {
    /// The last fence that was given out.
    fence: u64,
    stand: BTreeMap<String, Permit>,
}

impl Permits {
    /// The permits that stand, by machine.
    pub fn stand(&self) -> impl Iterator<Item = (&str, &Permit)> {
        self.stand.iter().map(|(m, p)| (m.as_str(), p))
    }

    /// The last fence that was given out.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Lets one more machine be taken out.
    pub fn grant(
        &self,
        machine: &str,
        order: &str,
        broker: &str,
        rules: &PermitRules,
        now: Nanos,
    ) -> Result<Permits, PermitError> {
        let cell = *rules.cells.get(machine).ok_or(PermitError::Unknown)?;
        if let Some(permit) = self.stand.get(machine) {
            return Err(PermitError::IsOut(permit.fence));
        }
        if self.stand.len() >= rules.most {
            return Err(PermitError::TooMany { out: self.stand.len(), most: rules.most });
        }
        let out = |id: &str| id == machine || self.stand.contains_key(id);
        let (cells, span) = (rules.ring.0.max(1), rules.ring.1);
        // Partition p is held by the cells from p on: this machine's are those that begin at most a span before it.
        for back in 0..span.min(cells) {
            let first = (cell % cells + cells - back) % cells;
            let left = rules.left(first, out);
            if left < rules.holders {
                return Err(PermitError::Holders { partition: first, left });
            }
        }
        let mut next = self.clone();
        next.fence += 1;
        let (fence, order, broker) = (next.fence, order.to_owned(), broker.to_owned());
        let permit = Permit { fence, order, step: MaintenancePhase::Draining, broker, since: now };
        next.stand.insert(machine.to_owned(), permit);
        Ok(next)
    }

    fn named(&self, machine: &str, fence: u64) -> Result<&Permit, PermitError> {
        match self.stand.get(machine) {
            Some(permit) if permit.fence == fence => Ok(permit),
            other => Err(PermitError::Fenced { named: fence, stands: other.map(|p| p.fence) }),
        }
    }

    /// The machine of this permit has come to its next step.
    pub fn step(
        &self,
        machine: &str,
        fence: u64,
        to: MaintenancePhase,
        now: Nanos,
    ) -> Result<Permits, PermitError> {
        let permit = self.named(machine, fence)?;
        if permit.step.next() != Some(to) {
            return Err(PermitError::OutOfTurn { from: permit.step, to });
        }
        let mut next = self.clone();
        next.stand.insert(machine.to_owned(), Permit { step: to, since: now, ..permit.clone() });
        Ok(next)
    }

    /// The machine is warm again, or nothing was begun at it: its place is free. One whose work has begun comes free only
    /// once it is back.
    pub fn end(&self, machine: &str, fence: u64) -> Result<Permits, PermitError> {
        let permit = self.named(machine, fence)?;
        if permit.step == MaintenancePhase::Out {
            return Err(PermitError::OutOfTurn { from: MaintenancePhase::Out, to: MaintenancePhase::Back });
        }
        Ok(self.without(machine))
    }

    /// A person says by name that the machine will not come back: its place is free, and it stays out by hand.
    pub fn write_off(&self, machine: &str, fence: u64) -> Result<Permits, PermitError> {
        self.named(machine, fence)?;
        Ok(self.without(machine))
    }

    fn without(&self, machine: &str) -> Permits {
        let mut next = self.clone();
        next.stand.remove(machine);
        next
    }
}
