//! Permits to take machines out of service, held in one table.
//!
//! The table is the value on which the brokers agree. Every rule is checked against the table itself, so that
//! concurrent requests of two brokers can't violate it together. A permit never expires: if the broker that
//! carries out the maintenance stops responding, the permit remains until the machine has warmed up, or until
//! an operator names the machine and releases its permit by force.

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
    /// The machine's process runs again, and is still cold.
    #[serde(rename = "Back")]
    WarmingUp,
}

impl MaintenancePhase {
    /// The next phase; none after the last one, which ends with the release of the permit.
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
    /// A number greater than that of any earlier permit. Every action on the machine presents it; a stale
    /// token is rejected.
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

/// A ring of cells. Partition `n` is held by consecutive cells, beginning with cell `n`. Serialized as a
/// pair.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct CellRing {
    /// The number of cells, and of partitions. 0 is treated as 1.
    pub cells: u32,
    /// The number of consecutive cells that hold a partition.
    pub cells_per_partition: u32,
}

impl From<(u32, u32)> for CellRing {
    fn from((cells, cells_per_partition): (u32, u32)) -> CellRing {
        CellRing { cells, cells_per_partition }
    }
}

impl From<CellRing> for (u32, u32) {
    fn from(ring: CellRing) -> (u32, u32) {
        (ring.cells, ring.cells_per_partition)
    }
}

impl CellRing {
    /// Whether machines of the cell hold the partition.
    fn holds(self, cell: u32, partition: u32) -> bool {
        let cells = self.cells.max(1);
        (cell % cells + cells - partition % cells) % cells < self.cells_per_partition
    }

    /// The partitions that machines of the cell hold: those that begin at the cell, or fewer than
    /// `cells_per_partition` cells before it.
    fn partitions_of(self, cell: u32) -> impl Iterator<Item = u32> {
        let cells = self.cells.max(1);
        (0..self.cells_per_partition.min(cells))
            .map(move |distance| (cell % cells + cells - distance) % cells)
    }
}

/// The rules for granting a permit.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct PermitRules {
    /// Maximum number of permits at a time.
    #[serde(rename = "most")]
    pub max_permits: usize,
    /// The cell of each machine, by the machine's id. Machines of neighbouring cells share partitions.
    pub cells: BTreeMap<String, u32>,
    /// The assignment of partitions to cells.
    pub ring: CellRing,
    /// Minimum number of machines that must hold each partition without having a permit.
    #[serde(rename = "holders")]
    pub min_holders: usize,
}

impl PermitRules {
    /// The number of machines without a permit that hold the partition.
    fn remaining_holders(&self, partition: u32, has_permit: impl Fn(&str) -> bool) -> usize {
        let holders = self.cells.iter().filter(|(_, cell)| self.ring.holds(**cell, partition));
        holders.filter(|(id, _)| !has_permit(id)).count()
    }
}

/// Why a change of the table is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// The maximum number of permits is reached.
    #[error("{active} machines are out, and {limit} may be")]
    LimitReached {
        /// The current number of permits.
        active: usize,
        /// The maximum number of permits.
        limit: usize,
    },
    /// A partition would have too few machines without a permit.
    #[error("partition {partition} would be left with {remaining} holders")]
    TooFewHolders {
        /// The partition.
        partition: u32,
        /// The number of its machines that would remain without a permit.
        remaining: usize,
    },
    /// The machine already has a permit, with this fencing token.
    #[error("it is out already, by permit {0}")]
    AlreadyGranted(u64),
    /// The rules do not name the machine.
    #[error("no list names it")]
    UnknownMachine,
    /// The permit was released, or the machine has a newer one.
    #[error(
        "permit {given} does not stand any more{}",
        .current.map_or(String::new(), |token| format!(", {token} does"))
    )]
    StaleFencingToken {
        /// The fencing token that was presented.
        given: u64,
        /// The fencing token of the machine's current permit, if it has one.
        current: Option<u64>,
    },
    /// The phase does not follow the current one.
    #[error("{to} does not follow {from}")]
    InvalidTransition {
        /// The current phase.
        from: MaintenancePhase,
        /// The requested phase.
        to: MaintenancePhase,
    },
}

/// A request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRequest<'a> {
    /// The id of the machine.
    pub machine: &'a str,
    /// The id of the maintenance order.
    pub order: &'a str,
    /// The name of the broker that carries out the order.
    pub broker: &'a str,
}

/// The table of all permits. Changes return a new table and leave the old one unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permits {
    #[serde(rename = "fence")]
    last_fencing_token: u64,
    /// The current permits, by the machine's id.
    #[serde(rename = "stand")]
    active: BTreeMap<String, Permit>,
}

impl Permits {
    /// All current permits, with the machines' ids.
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
        request: &PermitRequest<'_>,
        rules: &PermitRules,
        now: Nanos,
    ) -> Result<Permits, PermitError> {
        let machine = request.machine;
        let cell = *rules.cells.get(machine).ok_or(PermitError::UnknownMachine)?;
        if let Some(permit) = self.active.get(machine) {
            return Err(PermitError::AlreadyGranted(permit.fencing_token));
        }
        if self.active.len() >= rules.max_permits {
            return Err(PermitError::LimitReached { active: self.active.len(), limit: rules.max_permits });
        }
        let has_permit = |id: &str| id == machine || self.active.contains_key(id);
        for partition in rules.ring.partitions_of(cell) {
            let remaining = rules.remaining_holders(partition, has_permit);
            if remaining < rules.min_holders {
                return Err(PermitError::TooFewHolders { partition, remaining });
            }
        }
        let mut next = self.clone();
        next.last_fencing_token += 1;
        let permit = Permit {
            fencing_token: next.last_fencing_token,
            order: request.order.to_owned(),
            phase: MaintenancePhase::Draining,
            broker: request.broker.to_owned(),
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
    /// [`PermitError::StaleFencingToken`], or [`PermitError::InvalidTransition`] if `to` does not follow the
    /// current phase.
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
    /// [`PermitError::StaleFencingToken`], or [`PermitError::InvalidTransition`] while maintenance is under
    /// way.
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

    /// Releases the permit of a machine that will not return, in any phase, on an operator's decision. The
    /// machine stays disabled by that operator's command.
    ///
    /// # Errors
    ///
    /// [`PermitError::StaleFencingToken`].
    pub fn force_release(&self, machine: &str, fencing_token: u64) -> Result<Permits, PermitError> {
        self.checked_permit(machine, fencing_token)?;
        Ok(self.without(machine))
    }

    fn without(&self, machine: &str) -> Permits {
        let mut next = self.clone();
        next.active.remove(machine);
        next
    }
}
