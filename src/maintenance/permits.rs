//! Permits to take machines out of service: one table, through which all changes go.
//!
//! The table is the value on which the brokers agree. Every rule is checked on the table itself, so that two brokers which
//! ask at the same time can't break it together. A permit never expires: a machine whose broker is silent keeps its permit
//! until the machine has warmed up, or an operator writes it off by name.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The phase of a machine's maintenance.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MaintenancePhase {
    /// Brokers send the machine no new requests.
    Draining,
    /// No broker has a request in flight at the machine: maintenance may begin.
    #[serde(rename = "Empty")]
    Drained,
    /// Maintenance has begun.
    #[serde(rename = "Out")]
    UnderMaintenance,
    /// The machine's process runs again, and is cold.
    #[serde(rename = "Back")]
    WarmingUp,
}

impl MaintenancePhase {
    /// The phase that follows. The last one is followed by the release of the permit.
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

/// A permit for the maintenance of one machine.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permit {
    /// A number greater than that of any earlier permit. Whoever acts on the machine presents it; a stale one is rejected.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
    /// The id of the maintenance order to which it belongs.
    pub order: String,
    /// The phase of the machine's maintenance.
    #[serde(rename = "step")]
    pub phase: MaintenancePhase,
    /// The name of the broker that carries it out.
    pub broker: String,
    /// When the phase began, in Unix nanoseconds by that broker's clock; shown to operators only.
    pub since: Nanos,
}

/// The rules for granting a permit.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PermitRules {
    /// Most permits at a time.
    #[serde(rename = "most")]
    pub max_permits: usize,
    /// The cell of each machine, by the machine's id. Machines of neighbouring cells hold the same partitions.
    pub cells: BTreeMap<String, u32>,
    /// The number of cells, and the number of consecutive cells that hold a partition.
    pub ring: (u32, u32),
    /// Least machines of any partition that must have no permit.
    #[serde(rename = "holders")]
    pub min_holders: usize,
}

impl PermitRules {
    /// The number of machines without a permit that hold the partition which begins at this cell.
    fn remaining_holders<'t>(&self, partition: u32, has_permit: impl Fn(&str) -> bool + 't) -> usize {
        let (cells, span) = (self.ring.0.max(1), self.ring.1);
        let holds = |cell: u32| (cell + cells - partition % cells) % cells < span;
        self.cells.iter().filter(|(id, cell)| holds(**cell % cells) && !has_permit(id)).count()
    }
}

/// Why the table is not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitError {
    /// As many machines have permits as may.
    LimitReached {
        /// Permits now.
        active: usize,
        /// Most permits at a time.
        limit: usize,
    },
    /// A partition would have too few machines without a permit.
    TooFewHolders {
        /// The partition.
        partition: u32,
        /// Its machines that would remain.
        remaining: usize,
    },
    /// The machine has a permit with this fencing token.
    AlreadyGranted(u64),
    /// The rules do not name the machine.
    UnknownMachine,
    /// The permit was released, or a newer one has replaced it.
    StaleFencingToken {
        /// The fencing token that was presented.
        given: u64,
        /// That of the machine's permit, if it has one.
        current: Option<u64>,
    },
    /// The phase does not follow the current one.
    InvalidTransition {
        /// The current phase.
        from: MaintenancePhase,
        /// The requested phase.
        to: MaintenancePhase,
    },
}

impl fmt::Display for PermitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PermitError::LimitReached { active, limit } => {
                write!(f, "{active} machines are out, and {limit} may be")
            }
            PermitError::TooFewHolders { partition, remaining } => {
                write!(f, "partition {partition} would be left with {remaining} holders")
            }
            PermitError::AlreadyGranted(token) => write!(f, "it is out already, by permit {token}"),
            PermitError::UnknownMachine => write!(f, "no list names it"),
            PermitError::StaleFencingToken { given, current: Some(current) } => {
                write!(f, "permit {given} does not stand any more, {current} does")
            }
            PermitError::StaleFencingToken { given, current: None } => {
                write!(f, "permit {given} does not stand any more")
            }
            PermitError::InvalidTransition { from, to } => write!(f, "{to} does not follow {from}"),
        }
    }
}

impl std::error::Error for PermitError {}

/// The table of all permits. Changes return a new table and leave the old one as it is.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permits {
    #[serde(rename = "fence")]
    last_fencing_token: u64,
    /// The permits by the machine's id.
    #[serde(rename = "stand")]
    active: BTreeMap<String, Permit>,
}

impl Permits {
    /// All permits, with the machines' ids.
    pub fn active(&self) -> impl Iterator<Item = (&str, &Permit)> {
        self.active.iter().map(|(machine, permit)| (machine.as_str(), permit))
    }

    /// The fencing token of the permit that was granted last; 0 if none was.
    pub fn last_fencing_token(&self) -> u64 {
        self.last_fencing_token
    }

    /// Grants a permit for a machine, to a broker that carries out an order.
    ///
    /// # Errors
    ///
    /// [`PermitError::UnknownMachine`], [`PermitError::AlreadyGranted`], [`PermitError::LimitReached`] or
    /// [`PermitError::TooFewHolders`], in this order of precedence.
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
        let has_permit = |id: &str| id == machine || self.active.contains_key(id);
        let (cells, span) = (rules.ring.0.max(1), rules.ring.1);
        // A partition is held by the cells from its own on: the machine holds those that begin at most a span before it.
        for distance in 0..span.min(cells) {
            let partition = (cell % cells + cells - distance) % cells;
            let remaining = rules.remaining_holders(partition, has_permit);
            if remaining < rules.min_holders {
                return Err(PermitError::TooFewHolders { partition, remaining });
            }
        }
        let mut next = self.clone();
        next.last_fencing_token += 1;
        let permit = Permit {
            fencing_token: next.last_fencing_token,
            order: order.to_owned(),
            phase: MaintenancePhase::Draining,
            broker: broker.to_owned(),
            since: now,
        };
        next.active.insert(machine.to_owned(), permit);
        Ok(next)
    }

    fn checked_permit(&self, machine: &str, fencing_token: u64) -> Result<&Permit, PermitError> {
        match self.active.get(machine) {
            Some(permit) if permit.fencing_token == fencing_token => Ok(permit),
            other => Err(PermitError::StaleFencingToken {
                given: fencing_token,
                current: other.map(|permit| permit.fencing_token),
            }),
        }
    }

    /// Advances a machine to its next phase.
    ///
    /// # Errors
    ///
    /// [`PermitError::StaleFencingToken`], or [`PermitError::InvalidTransition`] if `to` does not follow the current phase.
    pub fn advance(
        &self,
        machine: &str,
        fencing_token: u64,
        to: MaintenancePhase,
        now: Nanos,
    ) -> Result<Permits, PermitError> {
        let permit = self.checked_permit(machine, fencing_token)?;
        if permit.phase.next() != Some(to) {
            return Err(PermitError::InvalidTransition { from: permit.phase, to });
        }
        let mut next = self.clone();
        next.active.insert(machine.to_owned(), Permit { phase: to, since: now, ..permit.clone() });
        Ok(next)
    }

    /// Releases the permit of a machine that has warmed up, or on which maintenance has not begun.
    ///
    /// # Errors
    ///
    /// [`PermitError::StaleFencingToken`], or [`PermitError::InvalidTransition`] while maintenance is under way.
    pub fn release(&self, machine: &str, fencing_token: u64) -> Result<Permits, PermitError> {
        let permit = self.checked_permit(machine, fencing_token)?;
        if permit.phase == MaintenancePhase::UnderMaintenance {
            return Err(PermitError::InvalidTransition {
                from: MaintenancePhase::UnderMaintenance,
                to: MaintenancePhase::WarmingUp,
            });
        }
        Ok(self.without(machine))
    }

    /// Releases the permit of a machine that will not return, in whatever phase, as an operator decided. The machine stays
    /// disabled by that operator's command.
    ///
    /// # Errors
    ///
    /// [`PermitError::StaleFencingToken`].
    pub fn write_off(&self, machine: &str, fencing_token: u64) -> Result<Permits, PermitError> {
        self.checked_permit(machine, fencing_token)?;
        Ok(self.without(machine))
    }

    fn without(&self, machine: &str) -> Permits {
        let mut next = self.clone();
        next.active.remove(machine);
        next
    }
}
