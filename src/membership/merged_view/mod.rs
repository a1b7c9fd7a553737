//! The merged view of all nodes, which does not depend on the order in which records arrive.
//!
//! Up to four records are stored for each node and source: the one with the highest version, the last one
//! that is terminating or gone, the last one that is ready, and the one with the latest process start. In
//! addition, the version of the latest full list is stored for each source; it replaces all earlier records.
//! All of these only increase, in a total order, so the same records produce the same view in any order of
//! arrival.
//!
//! A drain is undone only by a higher version or by a process start after the drain was learned. The first
//! list after a reset of the source's versions undoes a drain only through such a start.
//!
//! A node that a full list of the directory omits is gone, whichever source named it before: see
//! [`DirectoryScope`].

mod records;
mod source_view;

pub use records::VersionedRecord;

use super::{NodeRecord, NodeState, SourcePriority, SourceVersion};
use crate::api::Nanos;
use records::NodeRecords;
use source_view::SourceView;
use std::cmp::Reverse;

/// Maximum number of stored nodes that are gone. Above that the oldest are removed, and records of unknown
/// nodes that are as old as those are ignored: ids are never reused, and nodes that are gone must not
/// accumulate.
pub const MAX_GONE_NODES: usize = 512;

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

/// The attributes that all records of one report of a source share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Version of all its records.
    pub source_version: SourceVersion,
    /// Whether it contains all nodes of its source.
    pub full: bool,
    /// Whether it is the first after a reset of the source's versions.
    pub after_reset: bool,
    /// When this broker received it, unix ns.
    pub received: Nanos,
}

/// The nodes that the directory's full lists contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DirectoryScope {
    /// All nodes: one that the latest full list omits is gone, also if only the operator has ever named it.
    #[default]
    AllNodes,
    /// Only nodes that the directory has named before. For a broker without a directory, which may still have
    /// a stored list of one: no later list could return the operator's nodes to service.
    NodesOfDirectory,
}

/// The merged state of all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedView {
    directory_scope: DirectoryScope,
    operator: SourceView,
    directory: SourceView,
}

impl MergedView {
    /// An empty view, with a directory whose full lists have this scope.
    #[must_use]
    pub fn new(directory_scope: DirectoryScope) -> MergedView {
        MergedView { directory_scope, ..MergedView::default() }
    }

    fn source_mut(&mut self, priority: SourcePriority) -> &mut SourceView {
        match priority {
            SourcePriority::Operator => &mut self.operator,
            SourcePriority::Directory => &mut self.directory,
        }
    }

    /// Merges one report of a source.
    pub fn apply_report(&mut self, report: Report, records: impl IntoIterator<Item = NodeRecord>) {
        let Report { source_version, full, after_reset, received } = report;
        let source = self.source_mut(source_version.priority);
        for record in records {
            source.insert(VersionedRecord { record, source_version, received, after_reset });
        }
        if full {
            source.insert_full_list(source_version, received);
        }
        source.prune(full);
    }

    /// Merges one stored record, which has a version and time of its own. Returns whether anything changed.
    pub fn insert_record(&mut self, record: VersionedRecord) -> bool {
        self.source_mut(record.source_version.priority).insert(record)
    }

    /// Records that a full list with this version was received at this time, unix ns. Returns whether anything
    /// changed.
    pub fn insert_full_list(&mut self, version: SourceVersion, received: Nanos) -> bool {
        self.source_mut(version.priority).insert_full_list(version, received)
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

    /// The merged state of a node. The directory's records and full lists override the operator's records.
    #[must_use]
    pub fn view(&self, id: &str) -> Option<NodeView<'_>> {
        self.directory.node(id).or_else(|| {
            let operator = self.operator.node(id)?;
            Some(self.unless_omitted_by_directory(operator))
        })
    }

    /// The state of a node that only the operator names, under the directory's latest full list.
    fn unless_omitted_by_directory<'a>(&self, operator: NodeView<'a>) -> NodeView<'a> {
        match (self.directory_scope, self.directory.full_list) {
            (DirectoryScope::AllNodes, Some((_, Reverse(received)))) => {
                NodeView { state: NodeState::Gone, learned: received.max(operator.learned), ..operator }
            }
            _ => operator,
        }
    }

    /// Ids of all nodes with at least one record.
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

    /// Raises the version that [`MergedView::pruned_up_to`] returns to the one stored in a snapshot.
    pub fn set_pruned_up_to(&mut self, version: SourceVersion) {
        self.directory.pruned_up_to = self.directory.pruned_up_to.max(Some(version));
    }
}
