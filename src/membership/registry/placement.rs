//! The placement of ready nodes, compared between updates to count changed nodes.

use crate::api::Nanos;
use crate::membership::NodeRecord;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A node's address, cell and process start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Placement {
    addr: Option<SocketAddr>,
    cell: u32,
    started: Nanos,
}

impl Placement {
    pub(super) fn of(record: &NodeRecord) -> Placement {
        Placement { addr: record.addr, cell: record.cell, started: record.started }
    }

    /// Whether a later placement is the same. A start that is no longer stated was long ago, which is no
    /// change.
    pub(super) fn is_unchanged_in(&self, later: &Placement) -> bool {
        let same_start = self.started == later.started || later.started == 0;
        self.addr == later.addr && self.cell == later.cell && same_start
    }
}

/// The placements of the ready nodes that an update may change.
#[derive(Debug)]
pub(super) struct ReadyPlacements {
    pub(super) by_id: HashMap<String, Placement>,
    /// Total number of watched nodes.
    pub(super) watched_nodes: usize,
}
