//! What follows for one process from the others at its address. Free of I/O and clock.
//!
//! Processes are numbered in the order in which they started. The limits of the deployment hold for all together, so
//! each keeps to a part of them while another is there:
//!
//! - the free part of the attempts' budget belongs to the oldest, and passes on one window after its end;
//! - descriptors are leased: each process tells the most that it may come to hold, and lowers that to what it holds as
//!   soon as a younger one is there; the younger one has what the leases of the older leave. One that is alone leaves a
//!   reserve, so that the next can start. A lease is lowered before that is told, and told before it is raised;
//! - an older one leaves as soon as a younger one serves. One that ends or is killed before changes nothing.

use super::state::{Overrides, ProcessStage, ProcessState};
use crate::api::Nanos;

/// Another process at this address.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerProcess {
    /// Its number.
    pub serial: u64,
    /// Its process runs.
    pub alive: bool,
    /// What it told last, if that can be read.
    pub state: Option<ProcessState>,
}

impl PeerProcess {
    /// What staff said, as far as it binds others. A server that is out stays out though the process that was told it has
    /// ended; a pause ends with that process, unless it could hand it on while it ran.
    pub fn effective_overrides(&self) -> Overrides {
        let mut words = self.state.as_ref().map(|s| s.overrides.clone()).unwrap_or_default();
        words.pause = words.pause.filter(|_| self.alive);
        words
    }
}

/// The deployment's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLimits {
    /// Descriptors of all processes.
    pub descriptors: usize,
    /// Queries and parts held by all processes.
    pub max_in_flight: usize,
    /// Window of the attempts' budget.
    pub retry_budget_window: Nanos,
}

/// What this process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// Descriptors.
    pub descriptors: usize,
    /// Queries and parts.
    pub max_in_flight: usize,
    /// The free part of the attempts' budget is its own.
    pub free_retries: bool,
    /// Another process serves: this one leaves.
    pub successor_serving: bool,
}

/// Part of the descriptors that a process which is alone leaves to the one that comes next.
const RESERVE_DIVISOR: usize = 3;
/// The least that a process can work with, whatever the others hold.
pub const MIN_DESCRIPTORS: usize = 96;
/// Part of the descriptors that an older process may take beyond what it holds when a younger one comes.
const LEASE_HEADROOM_DIVISOR: usize = 8;

/// One process's view of the others.
#[derive(Clone, Debug)]
pub struct Coordination {
    serial: u64,
    limits: SharedLimits,
    peers: Vec<PeerProcess>,
    /// When an older process was last seen to run.
    predecessor_last_seen: Option<Nanos>,
    /// Descriptors, and queries and parts, that were held when the younger one came.
    usage_at_succession: Option<(usize, usize)>,
    /// The lease that the others were told last.
    published_lease: usize,
}

impl Coordination {
    /// The view of the process with this number; `found` is what it found at its start.
    pub fn new(serial: u64, limits: SharedLimits, found: Vec<PeerProcess>, now: Nanos) -> Coordination {
        let mut s = Coordination {
            serial,
            limits,
            peers: Vec::new(),
            predecessor_last_seen: None,
            usage_at_succession: None,
            published_lease: 0,
        };
        // One that is found dead may have ended just now: its attempts count as those of one that runs.
        s.predecessor_last_seen = found.iter().any(|p| p.serial < serial).then_some(now);
        s.on_peers_observed(found, (0, 0), now);
        s.published_lease = s.descriptor_lease();
        s
    }

    /// What was seen of the others, and how many descriptors, and queries and parts, this process holds.
    pub fn on_peers_observed(&mut self, peers: Vec<PeerProcess>, holds: (usize, usize), now: Nanos) {
        let older = |peers: &[PeerProcess]| peers.iter().any(|p| p.serial < self.serial && p.alive);
        // One that is not there any more may have run until just now.
        if older(&self.peers) || older(&peers) {
            self.predecessor_last_seen = Some(now);
        }
        let younger = peers.iter().any(|p| p.serial > self.serial && p.alive);
        self.usage_at_succession = younger.then(|| self.usage_at_succession.unwrap_or(holds));
        self.peers = peers;
    }

    /// The most descriptors that this process may come to hold, to be told to the others.
    pub fn descriptor_lease(&self) -> usize {
        let all = self.limits.descriptors;
        let alone = all - all / RESERVE_DIVISOR;
        let older = self.peers.iter().filter(|p| p.alive && p.serial < self.serial);
        // One that told nothing that can be read may hold all that one alone may.
        let leased: Vec<usize> =
            older.map(|p| p.state.as_ref().map_or(alone, |s| s.descriptor_lease)).collect();
        let most = match leased[..] {
            [] => alone,
            _ => all.saturating_sub(leased.iter().sum()).max(MIN_DESCRIPTORS).min(alone),
        };
        // Never raised while a younger one is there, which may have counted on what was told.
        self.usage_at_succession
            .map_or(most, |(held, _)| most.min(held + all / LEASE_HEADROOM_DIVISOR).min(self.published_lease))
    }

    /// The others have been told of this lease.
    pub fn on_lease_published(&mut self, lease: usize) {
        self.published_lease = lease;
    }

    /// The others.
    pub fn peers(&self) -> &[PeerProcess] {
        &self.peers
    }

    /// What this process may have now.
    pub fn quota_share(&self, now: Nanos) -> QuotaShare {
        let SharedLimits { max_in_flight: open, retry_budget_window: window, .. } = self.limits;
        let descriptors = self.descriptor_lease().min(self.published_lease);
        let mut share =
            QuotaShare { descriptors, max_in_flight: open, free_retries: true, successor_serving: false };
        let alive = |p: &&PeerProcess| p.alive;
        let older = self.peers.iter().filter(alive).filter(|p| p.serial < self.serial);
        let held: usize = older.filter_map(|p| p.state.as_ref()).map(|s| s.in_flight).sum();
        share.max_in_flight = open.saturating_sub(held).max(open / 8);
        if let Some((_, queries)) = self.usage_at_succession {
            share.max_in_flight = share.max_in_flight.min(queries.max(open / 2));
        }
        share.free_retries = self.predecessor_last_seen.is_none_or(|t| now >= t + window);
        let serves = |p: &PeerProcess| p.state.as_ref().is_some_and(|s| s.stage == ProcessStage::Serving);
        share.successor_serving =
            self.peers.iter().filter(alive).any(|p| p.serial > self.serial && serves(p));
        share
    }

    /// When the share changes by time alone.
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        self.predecessor_last_seen.map(|t| t + self.limits.retry_budget_window).filter(|t| *t > now)
    }
}
