//! What is believed of each node, merged from facts whose order of arrival does not matter.
//!
//! For each node and source a few registers are kept: the fact with the highest stamp, the last one that it drains
//! or is gone, the last one that it is ready, and the one of the latest start. Beside them, each source has the
//! stamp of its latest whole list, under which every fact has been replaced. All of them only grow, by a total
//! order, so any order of the same facts ends in the same belief. A drain gives way only to a higher stamp or to a
//! start after it was learnt; to the first list of a source that counts anew it gives way only by such a start.

use super::{NodeRecord, NodeState, SourcePriority, SourceVersion};
use crate::api::Nanos;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Most nodes that are gone and still known as such. Above that the oldest go, and unknown nodes whose facts are
/// as old as those are not believed any more: ids are always new, and what is gone must not add up.
pub const MAX_GONE_NODES: usize = 512;

/// A fact with its place and the time it was first heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecord {
    /// The fact.
    pub record: NodeRecord,
    /// Its place in its source's order.
    pub source_version: SourceVersion,
    /// When this broker first heard it, unix ns.
    pub received: Nanos,
    /// It comes from the first list of a source that counts anew, and may be from before what was learnt last.
    pub after_reset: bool,
}

type PrecedenceKey<'a> = (SourceVersion, NodeState, &'a NodeRecord, Reverse<Nanos>, bool);

impl VersionedRecord {
    fn precedence(&self) -> PrecedenceKey<'_> {
        // The earlier hearing of one fact counts: a drain is learnt once.
        (self.source_version, self.record.state, &self.record, Reverse(self.received), self.after_reset)
    }

    fn start_precedence(&self) -> (Nanos, PrecedenceKey<'_>) {
        (self.record.started, self.precedence())
    }

    /// Whether it can name a later life: ready, with a start that had been when it was heard. Guards against
    /// starts in the future, which would outlast every drain.
    fn proves_restart(&self) -> bool {
        self.record.state == NodeState::Ready
            && self.record.started > 0
            && self.record.started <= self.received
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct NodeRecords {
    latest: VersionedRecord,
    /// The last word that it drains or is gone, and the last that it is ready, but for lists that count anew.
    drain: Option<VersionedRecord>,
    ready: Option<VersionedRecord>,
    /// The word of the latest start.
    latest_start: Option<VersionedRecord>,
}

impl NodeRecords {
    fn new(known: VersionedRecord) -> NodeRecords {
        let mut held = NodeRecords { latest: known.clone(), drain: None, ready: None, latest_start: None };
        held.insert(&known);
        held
    }

    fn insert(&mut self, known: &VersionedRecord) {
        if known.precedence() > self.latest.precedence() {
            self.latest = known.clone();
        }
        let higher = |held: &Option<VersionedRecord>| {
            held.as_ref().is_none_or(|h| known.precedence() > h.precedence())
        };
        match known.record.state {
            NodeState::Ready if known.after_reset => {}
            NodeState::Ready if higher(&self.ready) => self.ready = Some(known.clone()),
            NodeState::Terminating | NodeState::Gone if higher(&self.drain) => {
                self.drain = Some(known.clone())
            }
            _ => {}
        }
        if known.proves_restart()
            && self.latest_start.as_ref().is_none_or(|l| known.start_precedence() > l.start_precedence())
        {
            self.latest_start = Some(known.clone());
        }
    }

    /// The fact that speaks for the node, but for later lives.
    fn authoritative(&self) -> &VersionedRecord {
        match &self.drain {
            // A list that counts anew may be from before the drain.
            Some(d)
                if self.latest.after_reset
                    && self.ready.as_ref().is_none_or(|r| r.source_version < d.source_version) =>
            {
                d
            }
            _ => &self.latest,
        }
    }

    /// All that is held, each fact once.
    fn distinct(&self) -> impl Iterator<Item = &VersionedRecord> {
        let all = [Some(&self.latest), self.drain.as_ref(), self.ready.as_ref(), self.latest_start.as_ref()];
        (0..4).filter_map(move |n| all[n].filter(|k| !all[..n].contains(&Some(*k))))
    }
}

/// All that one source told.
#[derive(Clone, Debug)]
struct SourceView {
    nodes: BTreeMap<String, NodeRecords>,
    /// Stamp of the latest whole list, and when it was first heard.
    full_list: Option<(SourceVersion, Reverse<Nanos>)>,
    /// Facts up to here about nodes that are not known are not believed.
    pruned_up_to: Option<SourceVersion>,
    /// Nodes that were held when those that are gone were last counted.
    nodes_at_last_prune: usize,
}

impl PartialEq for SourceView {
    fn eq(&self, other: &SourceView) -> bool {
        (&self.nodes, self.full_list, self.pruned_up_to)
            == (&other.nodes, other.full_list, other.pruned_up_to)
    }
}

impl Eq for SourceView {}

/// New nodes after which those that are gone are counted again: not each piece of news looks through all.
const PRUNE_INTERVAL_NODES: usize = 64;

impl SourceView {
    const fn new() -> SourceView {
        SourceView { nodes: BTreeMap::new(), full_list: None, pruned_up_to: None, nodes_at_last_prune: 0 }
    }

    fn insert(&mut self, known: VersionedRecord) {
        if let Some(held) = self.nodes.get_mut(&known.record.id) {
            held.insert(&known);
        } else if self.pruned_up_to.is_none_or(|f| known.source_version > f) {
            self.nodes.insert(known.record.id.clone(), NodeRecords::new(known));
        }
    }

    /// What is believed of a node, and since when that has been known.
    fn view<'a>(&'a self, held: &'a NodeRecords) -> NodeView<'a> {
        let replaced = self.full_list.filter(|(stamp, _)| held.latest.source_version < *stamp);
        let speaks = held.authoritative();
        let (state, learnt) = match replaced {
            // A whole list that leaves it out, unless it was known to be gone before.
            Some((_, Reverse(heard))) if speaks.record.state == NodeState::Ready => (NodeState::Gone, heard),
            Some((_, Reverse(heard))) => (NodeState::Gone, heard.max(speaks.received)),
            _ => (speaks.record.state, speaks.received),
        };
        match &held.latest_start {
            Some(life) if state != NodeState::Ready && life.record.started > learnt => {
                NodeView { versioned: life, state: NodeState::Ready, learned: life.received }
            }
            _ => NodeView { versioned: speaks, state, learned: learnt },
        }
    }

    fn prune(&mut self, full: bool) {
        if !full && self.nodes.len() < self.nodes_at_last_prune + PRUNE_INTERVAL_NODES {
            return;
        }
        self.nodes_at_last_prune = self.nodes.len();
        let mut gone: Vec<(SourceVersion, String)> = Vec::new();
        for (id, held) in &self.nodes {
            if self.view(held).state == NodeState::Gone {
                gone.push((held.latest.source_version, id.clone()));
            }
        }
        if gone.len() <= MAX_GONE_NODES {
            return;
        }
        gone.sort_unstable();
        // Some at a time, so that not each new one looks through all.
        let over = gone.len() - MAX_GONE_NODES / 2;
        for (stamp, id) in gone.drain(..over) {
            self.nodes.remove(&id);
            self.pruned_up_to = self.pruned_up_to.max(Some(stamp));
        }
        self.nodes_at_last_prune = self.nodes.len();
    }
}

/// What is believed of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeView<'a> {
    /// The fact that speaks for it.
    pub versioned: &'a VersionedRecord,
    /// Its state: the fact's own, or gone where a whole list left the node out.
    pub state: NodeState,
    /// When that was learnt.
    pub learned: Nanos,
}

/// What is believed of all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergedView {
    operator: SourceView,
    directory: SourceView,
}

impl Default for MergedView {
    fn default() -> MergedView {
        MergedView { operator: SourceView::new(), directory: SourceView::new() }
    }
}

impl MergedView {
    fn source_mut(&mut self, rank: SourcePriority) -> &mut SourceView {
        match rank {
            SourcePriority::Operator => &mut self.operator,
            SourcePriority::Directory => &mut self.directory,
        }
    }

    /// Takes in one report: facts with one stamp, all there are if `full`.
    /// `anew`: the first of a source that counts anew.
    pub fn apply_report(
        &mut self,
        stamp: SourceVersion,
        (full, anew): (bool, bool),
        facts: impl IntoIterator<Item = NodeRecord>,
        heard: Nanos,
    ) {
        let told = self.source_mut(stamp.priority);
        for fact in facts {
            told.insert(VersionedRecord {
                record: fact,
                source_version: stamp,
                received: heard,
                after_reset: anew,
            });
        }
        if full {
            told.full_list = told.full_list.max(Some((stamp, Reverse(heard))));
        }
        told.prune(full);
    }

    /// Takes in one fact with a stamp and time of its own: one that was kept.
    pub fn insert_record(&mut self, known: VersionedRecord) {
        self.source_mut(known.source_version.priority).insert(known);
    }

    /// A whole list with this stamp was heard then.
    pub fn insert_full_list(&mut self, stamp: SourceVersion, heard: Nanos) {
        let told = self.source_mut(stamp.priority);
        told.full_list = told.full_list.max(Some((stamp, Reverse(heard))));
    }

    /// Bounds what is kept of nodes that are gone.
    pub fn prune(&mut self) {
        self.operator.prune(true);
        self.directory.prune(true);
    }

    /// Stamp of a source's latest whole list, and when it was first heard.
    pub fn full_list(&self, rank: SourcePriority) -> Option<(SourceVersion, Nanos)> {
        let told = if rank == SourcePriority::Operator { &self.operator } else { &self.directory };
        told.full_list.map(|(stamp, Reverse(heard))| (stamp, heard))
    }

    /// What is believed of a node. An operator's node is in until the directory says that it drains or is gone.
    pub fn view(&self, id: &str) -> Option<NodeView<'_>> {
        let of = |told: &'_ SourceView| -> Option<(SourceVersion, bool)> {
            told.nodes.get(id).map(|h| (h.latest.source_version, told.view(h).state == NodeState::Ready))
        };
        let told = match (of(&self.operator), of(&self.directory)) {
            (Some((_, true)), Some((stamp, false))) => {
                // Left out of the directory's whole list: it may never have belonged there.
                let left_out = self.directory.full_list.is_some_and(|(whole, _)| stamp < whole)
                    && self
                        .directory
                        .nodes
                        .get(id)
                        .is_some_and(|h| h.latest.record.state == NodeState::Ready);
                if left_out { &self.operator } else { &self.directory }
            }
            (_, Some(_)) => &self.directory,
            (Some(_), None) => &self.operator,
            (None, None) => return None,
        };
        told.nodes.get(id).map(|h| told.view(h))
    }

    /// All nodes of which anything is known, by id.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        let own = self.operator.nodes.keys().filter(|id| !self.directory.nodes.contains_key(*id));
        self.directory.nodes.keys().chain(own).map(String::as_str)
    }

    /// The directory's facts that are held, of each node up to four.
    pub fn directory_records(&self) -> impl Iterator<Item = &VersionedRecord> {
        self.directory.nodes.values().flat_map(NodeRecords::distinct)
    }

    /// Facts up to this stamp about unknown nodes are not believed.
    pub fn pruned_up_to(&self) -> Option<SourceVersion> {
        self.directory.pruned_up_to
    }

    /// Sets what `forgotten` tells, from a kept list.
    pub fn set_pruned_up_to(&mut self, stamp: SourceVersion) {
        self.directory.pruned_up_to = self.directory.pruned_up_to.max(Some(stamp));
    }
}
