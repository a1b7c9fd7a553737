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
    #[serde(rename = "Empty")]
    Drained,
    /// The work has begun.
    #[serde(rename = "Out")]
    UnderMaintenance,
    /// Its process is there again, and cold.
    #[serde(rename = "Back")]
    WarmingUp,
}

impl MaintenancePhase {
    /// What may follow, on the usual way.
    fn next(self) -> Option<MaintenancePhase> {
        match self {
            MaintenancePhase::Draining => Some(MaintenancePhase::Drained),
            MaintenancePhase::Drained => Some(MaintenancePhase::UnderMaintenance),
            MaintenancePhase::UnderMaintenance => Some(MaintenancePhase::WarmingUp),
            MaintenancePhase::WarmingUp => None,
        }
    }
}

impl fmt::Display for MaintenancePhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MaintenancePhase::Draining => "Draining",
            MaintenancePhase::Drained => "Empty",
            MaintenancePhase::UnderMaintenance => "Out",
            MaintenancePhase::WarmingUp => "Back",
        })
    }
}

/// Leave for one machine to be out.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    /// Greater than that of any permit before it. Whoever acts on a machine names it; an older one is not obeyed.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The order that it belongs to.
    pub order: String,
    /// How far the machine has come.
    #[serde(rename = "step")]
    pub phase: MaintenancePhase,
    /// Who carries it out.
    pub broker: String,
    /// When it came to this step, by that broker's clock, unix ns. For people.
    pub since: Nanos,
}

/// What must be so for one more machine to be taken out.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PermitRules {
    /// Machines that may be out together.
    #[serde(rename = "most")]
    pub max_permits: usize,
    /// The cell of each machine: those of neighbouring cells hold the same partitions.
    pub cells: BTreeMap<String, u32>,
    /// Number of cells, and cells in a row that hold a partition.
    pub ring: (u32, u32),
    /// Holders of any partition that must stay.
    #[serde(rename = "holders")]
    pub min_holders: usize,
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
    LimitReached { active: usize, limit: usize },
    /// A partition would be left with too few holders.
    TooFewHolders { partition: u32, remaining: usize },
    /// It is out already, under this fence.
    AlreadyGranted(u64),
    /// The operator's file and lists do not name it.
    UnknownMachine,
    /// The permit that is named does not stand: it has ended, or a newer one has taken its place.
    StaleFencingToken { given: u64, current: Option<u64> },
    /// That step does not follow the present one.
    InvalidTransition { from: MaintenancePhase, to: MaintenancePhase },
}

impl fmt::Display for PermitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PermitError::LimitReached { active: out, limit: most } => {
                write!(f, "{out} machines are out, and {most} may be")
            }
            PermitError::TooFewHolders { partition, remaining: left } => {
                write!(f, "partition {partition} would be left with {left} holders")
            }
            PermitError::AlreadyGranted(fence) => write!(f, "it is out already, by permit {fence}"),
            PermitError::UnknownMachine => write!(f, "no list names it"),
            PermitError::StaleFencingToken { given: named, current: Some(stands) } => {
                write!(f, "permit {named} does not stand any more, {stands} does")
            }
            PermitError::StaleFencingToken { given: named, current: None } => {
                write!(f, "permit {named} does not stand any more")
            }
            PermitError::InvalidTransition { from, to } => write!(f, "{to} does not follow {from}"),
        }
    }
}

impl std::error::Error for PermitError {}

/// All permits that stand.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permits {
    /// The last fence that was given out.
    #[serde(rename = "fence")]
    last_fencing_token: u64,
    #[serde(rename = "stand")]
    active: BTreeMap<String, Permit>,
}

impl Permits {
    /// The permits that stand, by machine.
    pub fn active(&self) -> impl Iterator<Item = (&str, &Permit)> {
        self.active.iter().map(|(m, p)| (m.as_str(), p))
    }

    /// The last fence that was given out.
    pub fn last_fencing_token(&self) -> u64 {
        self.last_fencing_token
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
        let cell = *rules.cells.get(machine).ok_or(PermitError::UnknownMachine)?;
        if let Some(permit) = self.active.get(machine) {
            return Err(PermitError::AlreadyGranted(permit.fencing_token));
        }
        if self.active.len() >= rules.max_permits {
            return Err(PermitError::LimitReached { active: self.active.len(), limit: rules.max_permits });
        }
        let out = |id: &str| id == machine || self.active.contains_key(id);
        let (cells, span) = (rules.ring.0.max(1), rules.ring.1);
        // Partition p is held by the cells from p on: this machine's are those that begin at most a span before it.
        for back in 0..span.min(cells) {
            let first = (cell % cells + cells - back) % cells;
            let left = rules.left(first, out);
            if left < rules.min_holders {
                return Err(PermitError::TooFewHolders { partition: first, remaining: left });
            }
        }
        let mut next = self.clone();
        next.last_fencing_token += 1;
        let (fence, order, broker) = (next.last_fencing_token, order.to_owned(), broker.to_owned());
        let permit =
            Permit { fencing_token: fence, order, phase: MaintenancePhase::Draining, broker, since: now };
        next.active.insert(machine.to_owned(), permit);
        Ok(next)
    }

    fn checked_permit(&self, machine: &str, fence: u64) -> Result<&Permit, PermitError> {
        match self.active.get(machine) {
            Some(permit) if permit.fencing_token == fence => Ok(permit),
            other => {
                Err(PermitError::StaleFencingToken { given: fence, current: other.map(|p| p.fencing_token) })
            }
        }
    }

    /// The machine of this permit has come to its next step.
    pub fn advance(
        &self,
        machine: &str,
        fence: u64,
        to: MaintenancePhase,
        now: Nanos,
    ) -> Result<Permits, PermitError> {
        let permit = self.checked_permit(machine, fence)?;
        if permit.phase.next() != Some(to) {
            return Err(PermitError::InvalidTransition { from: permit.phase, to });
        }
        let mut next = self.clone();
        next.active.insert(machine.to_owned(), Permit { phase: to, since: now, ..permit.clone() });
        Ok(next)
    }

    /// The machine is warm again, or nothing was begun at it: its place is free. One whose work has begun comes free only
    /// once it is back.
    pub fn release(&self, machine: &str, fence: u64) -> Result<Permits, PermitError> {
        let permit = self.checked_permit(machine, fence)?;
        if permit.phase == MaintenancePhase::UnderMaintenance {
            return Err(PermitError::InvalidTransition {
                from: MaintenancePhase::UnderMaintenance,
                to: MaintenancePhase::WarmingUp,
            });
        }
        Ok(self.without(machine))
    }

    /// A person says by name that the machine will not come back: its place is free, and it stays out by hand.
    pub fn write_off(&self, machine: &str, fence: u64) -> Result<Permits, PermitError> {
        self.checked_permit(machine, fence)?;
        Ok(self.without(machine))
    }

    fn without(&self, machine: &str) -> Permits {
        let mut next = self.clone();
        next.active.remove(machine);
        next
    }
}
