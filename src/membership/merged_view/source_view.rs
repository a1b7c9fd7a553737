//! All records that one source has reported.

use super::records::{NodeRecords, VersionedRecord};
use super::{MAX_GONE_NODES, NodeView};
use crate::api::Nanos;
use crate::membership::{NodeState, SourceVersion};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Number of new nodes after which nodes that are gone are counted again, so that not every report scans all
/// nodes.
const PRUNE_INTERVAL_NODES: usize = 64;

/// All records that one source has reported.
#[derive(Clone, Debug, Default)]
pub(super) struct SourceView {
    pub(super) nodes: BTreeMap<String, NodeRecords>,
    /// Version of the latest full list, and when it was first received.
    pub(super) full_list: Option<(SourceVersion, Reverse<Nanos>)>,
    /// Version up to which records of unknown nodes are ignored.
    pub(super) pruned_up_to: Option<SourceVersion>,
    /// Number of nodes when those that are gone were last counted.
    nodes_at_last_prune: usize,
}

impl PartialEq for SourceView {
    fn eq(&self, other: &SourceView) -> bool {
        (&self.nodes, self.full_list, self.pruned_up_to)
            == (&other.nodes, other.full_list, other.pruned_up_to)
    }
}

impl Eq for SourceView {}

impl SourceView {
    /// Inserts a record. Returns whether anything changed.
    pub(super) fn insert(&mut self, record: VersionedRecord) -> bool {
        if let Some(records) = self.nodes.get_mut(&record.record.id) {
            return records.insert(&record);
        }
        let is_unknown = self.pruned_up_to.is_none_or(|version| record.source_version > version);
        if is_unknown {
            self.nodes.insert(record.record.id.clone(), NodeRecords::new(record));
        }
        is_unknown
    }

    /// Records a full list. Returns whether anything changed.
    pub(super) fn insert_full_list(&mut self, version: SourceVersion, received: Nanos) -> bool {
        let previous = self.full_list;
        self.full_list = previous.max(Some((version, Reverse(received))));
        self.full_list != previous
    }

    /// Version and time of the full list that omits the node, if there is one.
    pub(super) fn omitted_by(&self, records: &NodeRecords) -> Option<(SourceVersion, Reverse<Nanos>)> {
        self.full_list.filter(|(version, _)| records.latest.source_version < *version)
    }

    fn view<'a>(&'a self, records: &'a NodeRecords) -> NodeView<'a> {
        let authoritative = records.authoritative();
        let (state, version, learned) = match self.omitted_by(records) {
            Some((version, Reverse(received))) if authoritative.record.state == NodeState::Ready => {
                (NodeState::Gone, version, received)
            }
            // The node was already known to be terminating or gone.
            Some((version, Reverse(received))) => {
                (NodeState::Gone, version, received.max(authoritative.received))
            }
            None => (authoritative.record.state, authoritative.source_version, authoritative.received),
        };
        // Stored times may come from the clock of another process, so a later start alone is no proof:
        // an older report of that start must not undo what was learned after the report.
        let is_undone_by = |restart: &VersionedRecord| {
            state != NodeState::Ready && restart.record.started > learned && restart.source_version > version
        };
        match &records.latest_start {
            Some(restart) if is_undone_by(restart) => {
                NodeView { versioned: restart, state: NodeState::Ready, learned: restart.received }
            }
            _ => NodeView { versioned: authoritative, state, learned },
        }
    }

    pub(super) fn node(&self, id: &str) -> Option<NodeView<'_>> {
        self.nodes.get(id).map(|records| self.view(records))
    }

    pub(super) fn prune(&mut self, full: bool) {
        if !full && self.nodes.len() < self.nodes_at_last_prune + PRUNE_INTERVAL_NODES {
            return;
        }
        self.nodes_at_last_prune = self.nodes.len();
        let mut gone: Vec<(SourceVersion, String)> = Vec::new();
        for (id, records) in &self.nodes {
            if self.view(records).state == NodeState::Gone {
                gone.push((records.latest.source_version, id.clone()));
            }
        }
        if gone.len() <= MAX_GONE_NODES {
            return;
        }
        gone.sort_unstable();
        // Removes down to half the maximum, so that not every further node that is gone causes a scan.
        let excess = gone.len() - MAX_GONE_NODES / 2;
        for (version, id) in gone.drain(..excess) {
            self.nodes.remove(&id);
            self.pruned_up_to = self.pruned_up_to.max(Some(version));
        }
        self.nodes_at_last_prune = self.nodes.len();
    }
}
