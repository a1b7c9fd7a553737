//! Divides the deployment's limits among the processes that share an address. Free of I/O and clock.
//!
//! Processes are numbered in the order in which they started. The limits of the deployment hold for all of
//! them together:
//!
//! - The free part of the retry budget belongs to the oldest process. The next process gets it one window
//!   after the oldest one has ended.
//! - Descriptors are leased. Each process publishes the most descriptors that it may open. Once a newer
//!   process runs, an older one lowers its lease to its current use plus some headroom; the newer process gets
//!   what the leases of the older ones leave. A process that runs alone leaves a reserve, so that the next one
//!   can start. A lower lease takes effect before it is published, a higher one only after it is published.
//! - An older process drains as soon as a newer one serves. A newer process that ends before it serves
//!   changes nothing.

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

/// Another process at the same address, as last observed.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerProcess {
    /// Its number; older processes have lower ones.
    pub serial: u64,
    /// Whether it is running.
    pub alive: bool,
    /// The state that it last published; `None` if that can't be read.
    pub state: Option<ProcessState>,
}

impl PeerProcess {
    /// The overrides of this peer that apply to a process which starts now. A suspended server stays
    /// suspended after the process that recorded the suspension has ended. A pause ends with its process,
    /// unless another process ran at the same time: see [`Coordination::effective_overrides`].
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
    /// Maximum number of open descriptors.
    pub descriptors: usize,
    /// Maximum number of queries and parts in flight.
    pub max_in_flight: usize,
    /// Window of the retry budget, ns.
    pub retry_budget_window: Nanos,
}

/// What a process currently uses of the shared limits.
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
    /// Maximum number of open descriptors.
    pub descriptors: usize,
    /// Maximum number of queries and parts in flight.
    pub max_in_flight: usize,
    /// Whether the free part of the retry budget belongs to this process.
    pub free_retries: bool,
    /// Whether a newer process serves, so that this one has to drain.
    pub successor_serving: bool,
}

/// A process that runs alone leaves `1 / RESERVE_DIVISOR` of the descriptors to the next process.
const RESERVE_DIVISOR: usize = 3;
/// Minimum number of descriptors that a process needs to work; granted whatever the others hold.
pub const MIN_DESCRIPTORS: usize = 96;
/// While a newer process runs, an older one may open `1 / LEASE_HEADROOM_DIVISOR` of all descriptors beyond
/// those that it held when the newer one was first observed.
const LEASE_HEADROOM_DIVISOR: usize = 8;
/// A newer process may always use `1 / MIN_IN_FLIGHT_DIVISOR` of the limit of queries and parts in flight,
/// whatever the older ones use.
const MIN_IN_FLIGHT_DIVISOR: usize = 8;
/// While a newer process runs, an older one is capped at what it had in flight when the newer one was first
/// observed, or at `1 / PREDECESSOR_IN_FLIGHT_DIVISOR` of the limit if that is more.
const PREDECESSOR_IN_FLIGHT_DIVISOR: usize = 2;

/// Whether a newer process is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Successor {
    /// No newer process is running.
    Absent,
    /// At least one newer process is running.
    Present {
        /// What this process used when a newer one was first observed.
        usage_at_arrival: ResourceUsage,
    },
}

/// What one process knows of the others, and the share of the limits that follows from it.
#[derive(Clone, Debug)]
pub struct Coordination {
    serial: u64,
    limits: SharedLimits,
    peers: Vec<PeerProcess>,
    /// Numbers of the processes that were observed running while this one ran.
    observed_running: BTreeSet<u64>,
    /// When an older process was last observed running.
    predecessor_last_seen: Option<Nanos>,
    successor: Successor,
    /// The descriptor lease that was last published.
    published_lease: usize,
}

impl Coordination {
    /// The state of process `serial`, which found `peers` when it started at `now`.
    #[must_use]
    pub fn new(serial: u64, limits: SharedLimits, peers: Vec<PeerProcess>, now: Nanos) -> Coordination {
        // A process that is found dead may have ended a moment ago, so its retries still count within the
        // window.
        let predecessor_last_seen = peers.iter().any(|p| p.serial < serial).then_some(now);
        let mut coordination = Coordination {
            serial,
            limits,
            peers: Vec::new(),
            observed_running: BTreeSet::new(),
            predecessor_last_seen,
            successor: Successor::Absent,
            published_lease: 0,
        };
        coordination.on_peers_observed(peers, ResourceUsage::default(), now);
        coordination.published_lease = coordination.descriptor_lease();
        coordination
    }

    /// Applies a new observation of the other processes. `usage` is what this process uses at that time.
    pub fn on_peers_observed(&mut self, peers: Vec<PeerProcess>, usage: ResourceUsage, now: Nanos) {
        let predecessor_runs =
            |peers: &[PeerProcess]| peers.iter().any(|p| p.serial < self.serial && p.alive);
        // An older process that is missing from the new observation may have run until a moment ago.
        if predecessor_runs(&self.peers) || predecessor_runs(&peers) {
            self.predecessor_last_seen = Some(now);
        }
        self.observed_running.extend(peers.iter().filter(|p| p.alive).map(|p| p.serial));
        self.observed_running.retain(|serial| peers.iter().any(|p| p.serial == *serial));
        let successor_runs = peers.iter().any(|p| p.serial > self.serial && p.alive);
        self.successor = match self.successor {
            _ if !successor_runs => Successor::Absent,
            Successor::Absent => Successor::Present { usage_at_arrival: usage },
            present @ Successor::Present { .. } => present,
        };
        self.peers = peers;
    }

    /// The most descriptors that this process may open, to be published to the others.
    #[must_use]
    pub fn descriptor_lease(&self) -> usize {
        let total = self.limits.descriptors;
        let alone = total - total / RESERVE_DIVISOR;
        // A predecessor without a readable state may hold as many as a process that runs alone.
        let leases =
            self.running_predecessors().map(|p| p.state.as_ref().map_or(alone, |s| s.descriptor_lease));
        let available = match leases.reduce(|sum, lease| sum + lease) {
            None => alone,
            Some(leased) => total.saturating_sub(leased).max(MIN_DESCRIPTORS).min(alone),
        };
        match self.successor {
            Successor::Absent => available,
            // Not raised while a newer process runs: that may have sized its lease by the published one.
            Successor::Present { usage_at_arrival } => {
                let most = usage_at_arrival.descriptors + total / LEASE_HEADROOM_DIVISOR;
                available.min(most).min(self.published_lease)
            }
        }
    }

    /// Records the lease that was published to the other processes.
    pub fn on_lease_published(&mut self, lease: usize) {
        self.published_lease = lease;
    }

    /// The other processes, as last observed.
    #[must_use]
    pub fn peers(&self) -> &[PeerProcess] {
        &self.peers
    }

    /// The overrides of another process that apply to this one. If both ran at the same time, the other's
    /// pause still applies after the other has ended: the pause may have been commanded and confirmed after
    /// the last observation of the running process.
    #[must_use]
    pub fn effective_overrides(&self, peer: &PeerProcess) -> Overrides {
        if self.observed_running.contains(&peer.serial) {
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

    /// Whether a newer process runs and none of them has a watch on discovery yet, so that this process's watch is
    /// the only one of the broker.
    #[must_use]
    pub fn successor_lacks_watch(&self) -> bool {
        let mut successors = self.peers.iter().filter(|p| p.alive && p.serial > self.serial).peekable();
        let watches = |p: &PeerProcess| p.state.as_ref().is_some_and(|s| s.watches_discovery);
        successors.peek().is_some() && !successors.any(watches)
    }

    /// When the share next changes without a new observation.
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
