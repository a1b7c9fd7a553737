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
pub struct Peer {
    /// Its number.
    pub serial: u64,
    /// Its process runs.
    pub alive: bool,
    /// What it told last, if that can be read.
    pub state: Option<ProcessState>,
}

impl Peer {
    /// What staff said, as far as it binds others. A server that is out stays out though the process that was told it has
    /// ended; a pause ends with that process, unless it could hand it on while it ran.
    pub fn words(&self) -> Overrides {
        let mut words = self.state.as_ref().map(|s| s.words.clone()).unwrap_or_default();
        words.pause = words.pause.filter(|_| self.alive);
        words
    }
}

/// The deployment's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors of all processes.
    pub descriptors: usize,
    /// Queries and parts held by all processes.
    pub open: usize,
    /// Window of the attempts' budget.
    pub window: Nanos,
}

/// What this process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// Descriptors.
    pub descriptors: usize,
    /// Queries and parts.
    pub open: usize,
    /// The free part of the attempts' budget is its own.
    pub free_tries: bool,
    /// Another process serves: this one leaves.
    pub succeeded: bool,
}

/// Part of the descriptors that a process which is alone leaves to the one that comes next.
const RESERVE: usize = 3;
/// The least that a process can work with, whatever the others hold.
pub const LEAST_DESCRIPTORS: usize = 96;
/// Part of the descriptors that an older process may take beyond what it holds when a younger one comes.
const SLACK: usize = 8;

/// One process's view of the others.
#[derive(Clone, Debug)]
pub struct Coordination {
    serial: u64,
    limits: Limits,
    peers: Vec<Peer>,
    /// When an older process was last seen to run.
    older: Option<Nanos>,
    /// Descriptors, and queries and parts, that were held when the younger one came.
    frozen: Option<(usize, usize)>,
    /// The lease that the others were told last.
    told: usize,
}

impl Coordination {
    /// The view of the process with this number; `found` is what it found at its start.
    pub fn new(serial: u64, limits: Limits, found: Vec<Peer>, now: Nanos) -> Coordination {
        let mut s = Coordination { serial, limits, peers: Vec::new(), older: None, frozen: None, told: 0 };
        // One that is found dead may have ended just now: its attempts count as those of one that runs.
        s.older = found.iter().any(|p| p.serial < serial).then_some(now);
        s.seen(found, (0, 0), now);
        s.told = s.lease();
        s
    }

    /// What was seen of the others, and how many descriptors, and queries and parts, this process holds.
    pub fn seen(&mut self, peers: Vec<Peer>, holds: (usize, usize), now: Nanos) {
        let older = |peers: &[Peer]| peers.iter().any(|p| p.serial < self.serial && p.alive);
        // One that is not there any more may have run until just now.
        if older(&self.peers) || older(&peers) {
            self.older = Some(now);
        }
        let younger = peers.iter().any(|p| p.serial > self.serial && p.alive);
        self.frozen = younger.then(|| self.frozen.unwrap_or(holds));
        self.peers = peers;
    }

    /// The most descriptors that this process may come to hold, to be told to the others.
    pub fn lease(&self) -> usize {
        let all = self.limits.descriptors;
        let alone = all - all / RESERVE;
        let older = self.peers.iter().filter(|p| p.alive && p.serial < self.serial);
        // One that told nothing that can be read may hold all that one alone may.
        let leased: Vec<usize> = older.map(|p| p.state.as_ref().map_or(alone, |s| s.lease)).collect();
        let most = match leased[..] {
            [] => alone,
            _ => all.saturating_sub(leased.iter().sum()).max(LEAST_DESCRIPTORS).min(alone),
        };
        // Never raised while a younger one is there, which may have counted on what was told.
        self.frozen.map_or(most, |(held, _)| most.min(held + all / SLACK).min(self.told))
    }

    /// The others have been told of this lease.
    pub fn told(&mut self, lease: usize) {
        self.told = lease;
    }

    /// The others.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// What this process may have now.
    pub fn share(&self, now: Nanos) -> QuotaShare {
        let Limits { open, window, .. } = self.limits;
        let descriptors = self.lease().min(self.told);
        let mut share = QuotaShare { descriptors, open, free_tries: true, succeeded: false };
        let alive = |p: &&Peer| p.alive;
        let older = self.peers.iter().filter(alive).filter(|p| p.serial < self.serial);
        let held: usize = older.filter_map(|p| p.state.as_ref()).map(|s| s.held).sum();
        share.open = open.saturating_sub(held).max(open / 8);
        if let Some((_, queries)) = self.frozen {
            share.open = share.open.min(queries.max(open / 2));
        }
        share.free_tries = self.older.is_none_or(|t| now >= t + window);
        let serves = |p: &Peer| p.state.as_ref().is_some_and(|s| s.stage == ProcessStage::Serving);
        share.succeeded = self.peers.iter().filter(alive).any(|p| p.serial > self.serial && serves(p));
        share
    }

    /// When the share changes by time alone.
    pub fn due(&self, now: Nanos) -> Option<Nanos> {
        self.older.map(|t| t + self.limits.window).filter(|t| *t > now)
    }
}
