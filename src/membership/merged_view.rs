//! The merged view of all nodes, which does not depend on the order in which records arrive.
//!
//! For each node and source a few registers are stored: the record with the highest version, the last one that is
//! terminating or gone, the last one that is ready, and the one with the latest process start. Beside them, each source
//! has the version of its latest full list, which replaces all records before it. All of them only grow, by a total
//! order, so any order of the same records ends in the same view. A drain gives way only to a higher version or to a
//! process start after it was learned; to the first list after a reset of the source's versions it gives way only by
//! such a start.

use super::{NodeRecord, NodeState, SourcePriority, SourceVersion};
use crate::api::Nanos;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Most nodes that are gone and still stored. Above that the oldest are removed, and records of unknown nodes that
/// are as old as those are ignored: ids are never reused, and nodes that are gone must not accumulate.
pub const MAX_GONE_NODES: usize = 512;

/// A record with its version and the time at which it was first received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecord {
    /// The record.
    pub record: NodeRecord,
    /// Its place in its source's order.
    pub source_version: SourceVersion,
    /// When this broker first received it, unix ns.
    pub received: Nanos,
    /// Whether it came with the first list after a reset of its source's versions, and may be older than what was
    /// learned before.
    pub after_reset: bool,
}

/// The total order of records: the greater one takes precedence.
type Precedence<'a> = (SourceVersion, NodeState, &'a NodeRecord, Reverse<Nanos>, bool);

impl VersionedRecord {
    fn precedence(&self) -> Precedence<'_> {
        // Of equal records the one received earlier counts: a drain is learned once.
        (self.source_version, self.record.state, &self.record, Reverse(self.received), self.after_reset)
    }

    fn start_precedence(&self) -> (Nanos, Precedence<'_>) {
        (self.record.started, self.precedence())
    }

    /// Whether it can prove a restart: it is ready, and its process start was in the past when it was received.
    /// A start in the future would outlast every drain.
    fn proves_restart(&self) -> bool {
        self.record.state == NodeState::Ready
            && self.record.started > 0
            && self.record.started <= self.received
    }
}

/// The records that one source has reported of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NodeRecords {
    latest: VersionedRecord,
    /// The last record that is terminating or gone.
    drain: Option<VersionedRecord>,
    /// The last record that is ready, except from the first list after a reset.
    ready: Option<VersionedRecord>,
    /// The record with the latest process start.
    latest_start: Option<VersionedRecord>,
}

impl NodeRecords {
    fn new(record: VersionedRecord) -> NodeRecords {
        let mut records =
            NodeRecords { latest: record.clone(), drain: None, ready: None, latest_start: None };
        records.insert(&record);
        records
    }

    fn insert(&mut self, new: &VersionedRecord) {
        if new.precedence() > self.latest.precedence() {
            self.latest = new.clone();
        }
        let precedes = |stored: &Option<VersionedRecord>| {
            stored.as_ref().is_none_or(|stored| new.precedence() > stored.precedence())
        };
        match new.record.state {
            NodeState::Ready if new.after_reset => {}
            NodeState::Ready if precedes(&self.ready) => self.ready = Some(new.clone()),
            NodeState::Terminating | NodeState::Gone if precedes(&self.drain) => {
                self.drain = Some(new.clone());
            }
            _ => {}
        }
        let later_start = |stored: &VersionedRecord| new.start_precedence() > stored.start_precedence();
        if new.proves_restart() && self.latest_start.as_ref().is_none_or(later_start) {
            self.latest_start = Some(new.clone());
        }
    }

    /// The record that determines the node's state, unless a restart was proved.
    fn authoritative(&self) -> &VersionedRecord {
        match &self.drain {
            // The first list after a reset may be older than the drain.
            Some(drain)
                if self.latest.after_reset
                    && self.ready.as_ref().is_none_or(|r| r.source_version < drain.source_version) =>
            {
                drain
            }
            _ => &self.latest,
        }
    }

    /// All stored records, each once.
    fn distinct(&self) -> impl Iterator<Item = &VersionedRecord> {
        let all = [Some(&self.latest), self.drain.as_ref(), self.ready.as_ref(), self.latest_start.as_ref()];
        (0..all.len()).filter_map(move |n| all[n].filter(|record| !all[..n].contains(&Some(*record))))
    }
}

/// Number of new nodes after which nodes that are gone are counted again, so that not each report scans all nodes.
const PRUNE_INTERVAL_NODES: usize = 64;

/// All that one source has reported.
#[derive(Clone, Debug, Default)]
struct SourceView {
    nodes: BTreeMap<String, NodeRecords>,
    /// Version of the latest full list, and when it was first received.
    full_list: Option<(SourceVersion, Reverse<Nanos>)>,
    /// Version up to which records of unknown nodes are ignored.
    pruned_up_to: Option<SourceVersion>,
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
    fn insert(&mut self, record: VersionedRecord) {
        if let Some(records) = self.nodes.get_mut(&record.record.id) {
            records.insert(&record);
        } else if self.pruned_up_to.is_none_or(|version| record.source_version > version) {
            self.nodes.insert(record.record.id.clone(), NodeRecords::new(record));
        }
    }

    fn insert_full_list(&mut self, version: SourceVersion, received: Nanos) {
        self.full_list = self.full_list.max(Some((version, Reverse(received))));
    }

    /// Version and time of the full list that omits the node, if there is one.
    fn omitted_by(&self, records: &NodeRecords) -> Option<(SourceVersion, Reverse<Nanos>)> {
        self.full_list.filter(|(version, _)| records.latest.source_version < *version)
    }

    fn view<'a>(&'a self, records: &'a NodeRecords) -> NodeView<'a> {
        let authoritative = records.authoritative();
        let (state, learned) = match self.omitted_by(records) {
            Some((_, Reverse(received))) if authoritative.record.state == NodeState::Ready => {
                (NodeState::Gone, received)
            }
            // It was known to be terminating or gone before.
            Some((_, Reverse(received))) => (NodeState::Gone, received.max(authoritative.received)),
            None => (authoritative.record.state, authoritative.received),
        };
        match &records.latest_start {
            Some(restart) if state != NodeState::Ready && restart.record.started > learned => {
                NodeView { versioned: restart, state: NodeState::Ready, learned: restart.received }
            }
            _ => NodeView { versioned: authoritative, state, learned },
        }
    }

    fn node(&self, id: &str) -> Option<NodeView<'_>> {
        self.nodes.get(id).map(|records| self.view(records))
    }

    fn prune(&mut self, full: bool) {
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
        // Half of them at a time, so that not each new one scans all nodes.
        let excess = gone.len() - MAX_GONE_NODES / 2;
        for (version, id) in gone.drain(..excess) {
            self.nodes.remove(&id);
            self.pruned_up_to = self.pruned_up_to.max(Some(version));
        }
        self.nodes_at_last_prune = self.nodes.len();
    }
}

/// The merged state of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeView<'a> {
    /// The record that determines the state.
    pub versioned: &'a VersionedRecord,
    /// The node's state: the record's own, or gone if a full list omitted the node.
    pub state: NodeState,
    /// When the state was learned, unix ns.
    pub learned: Nanos,
}

/// The merged state of all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedView {
    operator: SourceView,
    directory: SourceView,
}

impl MergedView {
    fn source_mut(&mut self, priority: SourcePriority) -> &mut SourceView {
        match priority {
            SourcePriority::Operator => &mut self.operator,
            SourcePriority::Directory => &mut self.directory,
        }
    }

    /// Merges one report: records with one version, received at `received`. `full`: it has all nodes of its source;
    /// `after_reset`: it is the first after a reset of the source's versions.
    pub fn apply_report(
        &mut self,
        source_version: SourceVersion,
        (full, after_reset): (bool, bool),
        records: impl IntoIterator<Item = NodeRecord>,
        received: Nanos,
    ) {
        let source = self.source_mut(source_version.priority);
        for record in records {
            source.insert(VersionedRecord { record, source_version, received, after_reset });
        }
        if full {
            source.insert_full_list(source_version, received);
        }
        source.prune(full);
    }

    /// Merges one stored record, which has a version and time of its own.
    pub fn insert_record(&mut self, record: VersionedRecord) {
        self.source_mut(record.source_version.priority).insert(record);
    }

    /// Merges the fact that a full list with this version was received then.
    pub fn insert_full_list(&mut self, version: SourceVersion, received: Nanos) {
        self.source_mut(version.priority).insert_full_list(version, received);
    }

    /// Removes the oldest nodes that are gone, if there are more than [`MAX_GONE_NODES`].
    pub fn prune(&mut self) {
        self.operator.prune(true);
        self.directory.prune(true);
    }

    /// Version of a source's latest full list, and when it was first received, unix ns.
    #[must_use]
    pub fn full_list(&self, priority: SourcePriority) -> Option<(SourceVersion, Nanos)> {
        let source = match priority {
            SourcePriority::Operator => &self.operator,
            SourcePriority::Directory => &self.directory,
        };
        source.full_list.map(|(version, Reverse(received))| (version, received))
    }

    /// The merged state of a node. A node of the operator is ready until the directory reports it as terminating or
    /// gone.
    #[must_use]
    pub fn view(&self, id: &str) -> Option<NodeView<'_>> {
        let operator = self.operator.node(id);
        let directory = self.directory.node(id);
        match (operator, directory) {
            (Some(operator), Some(directory))
                if operator.state == NodeState::Ready
                    && directory.state != NodeState::Ready
                    && self.merely_omitted_by_directory(id) =>
            {
                Some(operator)
            }
            (_, Some(directory)) => Some(directory),
            (operator, None) => operator,
        }
    }

    /// Whether the directory's full list omits a node whose last record was ready: it may never have belonged there.
    fn merely_omitted_by_directory(&self, id: &str) -> bool {
        self.directory.nodes.get(id).is_some_and(|records| {
            self.directory.omitted_by(records).is_some() && records.latest.record.state == NodeState::Ready
        })
    }

    /// Ids of all nodes of which anything is known.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        let operator_only = self.operator.nodes.keys().filter(|id| !self.directory.nodes.contains_key(*id));
        self.directory.nodes.keys().chain(operator_only).map(String::as_str)
    }

    /// All stored records of the directory, up to four of each node.
    pub fn directory_records(&self) -> impl Iterator<Item = &VersionedRecord> {
        self.directory.nodes.values().flat_map(NodeRecords::distinct)
    }

    /// Version up to which records of nodes unknown to the directory are ignored.
    #[must_use]
    pub fn pruned_up_to(&self) -> Option<SourceVersion> {
        self.directory.pruned_up_to
    }

    /// Raises what [`MergedView::pruned_up_to`] returns, as stored in a snapshot.
    pub fn set_pruned_up_to(&mut self, version: SourceVersion) {
        self.directory.pruned_up_to = self.directory.pruned_up_to.max(Some(version));
    }
}
