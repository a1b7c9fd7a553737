//! Divides the deployment's limits among the processes that share an address. Free of I/O and clock.
//!
//! Processes are numbered in the order in which they started. The limits of the deployment hold for all of
//! them together:
//!
//! - The free part of the retry budget belongs to the oldest process, and passes on one window after its end.
//! - Descriptors are leased. Each process publishes the most that it may come to hold. Once a younger process runs, an
//!   older one lowers its lease to what it holds and a little headroom; the younger process gets what the leases of the
//!   older ones leave. A process that runs alone leaves a reserve, so that the next one can start. A lease is lowered
//!   before it is published, and published before it is raised.
//! - An older process drains as soon as a younger one serves. A younger process that ends before that changes nothing.

#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use super::state::{Overrides, ProcessStage, ProcessState};
use crate::api::Nanos;
use std::collections::BTreeSet;

/// Another process at the same address, as it was last observed.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerProcess {
    /// Its number; older processes have lower ones.
    pub serial: u64,
    /// Whether it runs.
    pub alive: bool,
    /// The state that it last published, if that can be read.
    pub state: Option<ProcessState>,
}

impl PeerProcess {
    /// The overrides that bind a process which starts now. A suspended server stays suspended after the process that
    /// recorded it has ended; a pause ends with its process, unless another one ran beside it:
    /// see [`Coordination::effective_overrides`].
    #[must_use]
    pub fn effective_overrides(&self) -> Overrides {
        let mut overrides = self.state.as_ref().map(|s| s.overrides.clone()).unwrap_or_default();
        overrides.pause = overrides.pause.filter(|_| self.alive);
        overrides
    }

    fn is_serving(&self) -> bool {
        self.state.as_ref().is_some_and(|s| s.stage == ProcessStage::Serving)
    }
}

/// The deployment's limits, which all processes at the address share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLimits {
    /// Most descriptors.
    pub descriptors: usize,
    /// Most queries and parts in flight.
    pub max_in_flight: usize,
    /// Window of the retry budget, ns.
    pub retry_budget_window: Nanos,
}

/// What a process holds of the shared limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Open descriptors.
    pub descriptors: usize,
    /// Queries and parts in flight.
    pub in_flight: usize,
}

/// The part of the shared limits that this process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// Most descriptors.
    pub descriptors: usize,
    /// Most queries and parts in flight.
    pub max_in_flight: usize,
    /// Whether the free part of the retry budget belongs to this process.
    pub free_retries: bool,
    /// Whether a younger process serves, so that this one has to drain.
    pub successor_serving: bool,
}

/// One part in so many of the descriptors is reserved for the next process while a process runs alone.
const RESERVE_DIVISOR: usize = 3;
/// Fewest descriptors that a process can work with, whatever the others hold.
pub const MIN_DESCRIPTORS: usize = 96;
/// One part in so many of the descriptors may be added by an older process to what it held when a younger one
/// came.
const LEASE_HEADROOM_DIVISOR: usize = 8;
/// A younger process may have at least one part in so many of the queries in flight, whatever the older ones
/// hold.
const MIN_IN_FLIGHT_DIVISOR: usize = 8;
/// An older process keeps at least one part in so many of the queries in flight.
const PREDECESSOR_IN_FLIGHT_DIVISOR: usize = 2;

/// Whether a younger process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Successor {
    /// None runs.
    Absent,
    /// One runs.
    Present {
        /// What this process held when it was first observed.
        usage_at_arrival: ResourceUsage,
    },
}

/// One process's view of the others, and its share of the limits that follows from it.
#[derive(Clone, Debug)]
pub struct Coordination {
    serial: u64,
    limits: SharedLimits,
    peers: Vec<PeerProcess>,
    /// Numbers of the processes that were observed to run.
    ran_beside: BTreeSet<u64>,
    /// When an older process was last observed to run.
    predecessor_last_seen: Option<Nanos>,
    successor: Successor,
    /// The descriptor lease that was last published.
    published_lease: usize,
}

impl Coordination {
    /// The view of process `serial`, which found `peers` when it started at `now`.
    #[must_use]
    pub fn new(serial: u64, limits: SharedLimits, peers: Vec<PeerProcess>, now: Nanos) -> Coordination {
        // A process that is found dead may have ended just now: its retries count as those of one that runs.
        let predecessor_last_seen = peers.iter().any(|p| p.serial < serial).then_some(now);
        let mut coordination = Coordination {
            serial,
            limits,
            peers: Vec::new(),
            ran_beside: BTreeSet::new(),
            predecessor_last_seen,
            successor: Successor::Absent,
            published_lease: 0,
        };
        coordination.on_peers_observed(peers, ResourceUsage::default(), now);
        coordination.published_lease = coordination.descriptor_lease();
        coordination
    }

    /// Takes in what was observed of the other processes, and what this process holds meanwhile.
    pub fn on_peers_observed(&mut self, peers: Vec<PeerProcess>, usage: ResourceUsage, now: Nanos) {
        let runs_older = |peers: &[PeerProcess]| peers.iter().any(|p| p.serial < self.serial && p.alive);
        // One that is not there any more may have run until just now.
        if runs_older(&self.peers) || runs_older(&peers) {
            self.predecessor_last_seen = Some(now);
        }
        self.ran_beside.extend(peers.iter().filter(|p| p.alive).map(|p| p.serial));
        self.ran_beside.retain(|serial| peers.iter().any(|p| p.serial == *serial));
        let runs_younger = peers.iter().any(|p| p.serial > self.serial && p.alive);
        self.successor = match self.successor {
            _ if !runs_younger => Successor::Absent,
            Successor::Absent => Successor::Present { usage_at_arrival: usage },
            present @ Successor::Present { .. } => present,
        };
        self.peers = peers;
    }

    /// The most descriptors that this process may come to hold, to be published to the others.
    #[must_use]
    pub fn descriptor_lease(&self) -> usize {
        let total = self.limits.descriptors;
        let alone = total - total / RESERVE_DIVISOR;
        // One without a readable state may hold all that a process alone may.
        let leases =
            self.running_predecessors().map(|p| p.state.as_ref().map_or(alone, |s| s.descriptor_lease));
        let available = match leases.reduce(|sum, lease| sum + lease) {
            None => alone,
            Some(leased) => total.saturating_sub(leased).max(MIN_DESCRIPTORS).min(alone),
        };
        match self.successor {
            Successor::Absent => available,
            // Never raised while a younger process runs, which may have counted on the published lease.
            Successor::Present { usage_at_arrival } => {
                let most = usage_at_arrival.descriptors + total / LEASE_HEADROOM_DIVISOR;
                available.min(most).min(self.published_lease)
            }
        }
    }

    /// This lease was published to the other processes.
    pub fn on_lease_published(&mut self, lease: usize) {
        self.published_lease = lease;
    }

    /// The other processes as they were last observed.
    #[must_use]
    pub fn peers(&self) -> &[PeerProcess] {
        &self.peers
    }

    /// The overrides of another process that bind this one. A pause binds it also after the other has ended, if that ran
    /// beside it: it may have been commanded and answered since it was last looked at.
    #[must_use]
    pub fn effective_overrides(&self, peer: &PeerProcess) -> Overrides {
        if self.ran_beside.contains(&peer.serial) {
            peer.state.as_ref().map(|state| state.overrides.clone()).unwrap_or_default()
        } else {
            peer.effective_overrides()
        }
    }

    /// The share of the limits that this process has at `now`.
    #[must_use]
    pub fn quota_share(&self, now: Nanos) -> QuotaShare {
        let free_retries_at = self.predecessor_last_seen.map(|t| t + self.limits.retry_budget_window);
        let mut running = self.peers.iter().filter(|p| p.alive);
        QuotaShare {
            descriptors: self.descriptor_lease().min(self.published_lease),
            max_in_flight: self.max_in_flight(),
            free_retries: free_retries_at.is_none_or(|t| now >= t),
            successor_serving: running.any(|p| p.serial > self.serial && p.is_serving()),
        }
    }

    /// When the share next changes by time alone.
    #[must_use]
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        self.predecessor_last_seen.map(|t| t + self.limits.retry_budget_window).filter(|t| *t > now)
    }

    fn running_predecessors(&self) -> impl Iterator<Item = &PeerProcess> {
        self.peers.iter().filter(|p| p.alive && p.serial < self.serial)
    }

    fn max_in_flight(&self) -> usize {
        let total = self.limits.max_in_flight;
        let states = self.running_predecessors().filter_map(|p| p.state.as_ref());
        let used: usize = states.map(|s| s.in_flight).sum();
        let available = total.saturating_sub(used).max(total / MIN_IN_FLIGHT_DIVISOR);
        match self.successor {
            Successor::Absent => available,
            Successor::Present { usage_at_arrival } => {
                let most = usage_at_arrival.in_flight.max(total / PREDECESSOR_IN_FLIGHT_DIVISOR);
                available.min(most)
            }
        }
    }
}
