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
    pub version: SourceVersion,
    /// When this broker first heard it, unix ns.
    pub received: Nanos,
    /// It comes from the first list of a source that counts anew, and may be from before what was learnt last.
    pub after_reset: bool,
}

type Key<'a> = (SourceVersion, NodeState, &'a NodeRecord, Reverse<Nanos>, bool);

impl VersionedRecord {
    fn key(&self) -> Key<'_> {
        // The earlier hearing of one fact counts: a drain is learnt once.
        (self.version, self.record.state, &self.record, Reverse(self.received), self.after_reset)
    }

    fn life(&self) -> (Nanos, Key<'_>) {
        (self.record.started, self.key())
    }

    /// Whether it can name a later life: ready, with a start that had been when it was heard. Guards against
    /// starts in the future, which would outlast every drain.
    fn tells_life(&self) -> bool {
        self.record.state == NodeState::Ready
            && self.record.started > 0
            && self.record.started <= self.received
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    latest: VersionedRecord,
    /// The last word that it drains or is gone, and the last that it is ready, but for lists that count anew.
    drain: Option<VersionedRecord>,
    ready: Option<VersionedRecord>,
    /// The word of the latest start.
    life: Option<VersionedRecord>,
}

impl Held {
    fn new(known: VersionedRecord) -> Held {
        let mut held = Held { latest: known.clone(), drain: None, ready: None, life: None };
        held.take(&known);
        held
    }

    fn take(&mut self, known: &VersionedRecord) {
        if known.key() > self.latest.key() {
            self.latest = known.clone();
        }
        let higher = |held: &Option<VersionedRecord>| held.as_ref().is_none_or(|h| known.key() > h.key());
        match known.record.state {
            NodeState::Ready if known.after_reset => {}
            NodeState::Ready if higher(&self.ready) => self.ready = Some(known.clone()),
            NodeState::Terminating | NodeState::Gone if higher(&self.drain) => {
                self.drain = Some(known.clone())
            }
            _ => {}
        }
        if known.tells_life() && self.life.as_ref().is_none_or(|l| known.life() > l.life()) {
            self.life = Some(known.clone());
        }
    }

    /// The fact that speaks for the node, but for later lives.
    fn speaks(&self) -> &VersionedRecord {
        match &self.drain {
            // A list that counts anew may be from before the drain.
            Some(d)
                if self.latest.after_reset && self.ready.as_ref().is_none_or(|r| r.version < d.version) =>
            {
                d
            }
            _ => &self.latest,
        }
    }

    /// All that is held, each fact once.
    fn facts(&self) -> impl Iterator<Item = &VersionedRecord> {
        let all = [Some(&self.latest), self.drain.as_ref(), self.ready.as_ref(), self.life.as_ref()];
        (0..4).filter_map(move |n| all[n].filter(|k| !all[..n].contains(&Some(*k))))
    }
}

/// All that one source told.
#[derive(Clone, Debug)]
struct Told {
    nodes: BTreeMap<String, Held>,
    /// Stamp of the latest whole list, and when it was first heard.
    whole: Option<(SourceVersion, Reverse<Nanos>)>,
    /// Facts up to here about nodes that are not known are not believed.
    forgotten: Option<SourceVersion>,
    /// Nodes that were held when those that are gone were last counted.
    counted: usize,
}

impl PartialEq for Told {
    fn eq(&self, other: &Told) -> bool {
        (&self.nodes, self.whole, self.forgotten) == (&other.nodes, other.whole, other.forgotten)
    }
}

impl Eq for Told {}

/// New nodes after which those that are gone are counted again: not each piece of news looks through all.
const COUNT_AFTER: usize = 64;

impl Told {
    const fn new() -> Told {
        Told { nodes: BTreeMap::new(), whole: None, forgotten: None, counted: 0 }
    }

    fn take(&mut self, known: VersionedRecord) {
        if let Some(held) = self.nodes.get_mut(&known.record.id) {
            held.take(&known);
        } else if self.forgotten.is_none_or(|f| known.version > f) {
            self.nodes.insert(known.record.id.clone(), Held::new(known));
        }
    }

    /// What is believed of a node, and since when that has been known.
    fn view<'a>(&'a self, held: &'a Held) -> NodeView<'a> {
        let replaced = self.whole.filter(|(stamp, _)| held.latest.version < *stamp);
        let speaks = held.speaks();
        let (state, learnt) = match replaced {
            // A whole list that leaves it out, unless it was known to be gone before.
            Some((_, Reverse(heard))) if speaks.record.state == NodeState::Ready => (NodeState::Gone, heard),
            Some((_, Reverse(heard))) => (NodeState::Gone, heard.max(speaks.received)),
            _ => (speaks.record.state, speaks.received),
        };
        match &held.life {
            Some(life) if state != NodeState::Ready && life.record.started > learnt => {
                NodeView { versioned: life, state: NodeState::Ready, learned: life.received }
            }
            _ => NodeView { versioned: speaks, state, learned: learnt },
        }
    }

    fn prune(&mut self, full: bool) {
        if !full && self.nodes.len() < self.counted + COUNT_AFTER {
            return;
        }
        self.counted = self.nodes.len();
        let mut gone: Vec<(SourceVersion, String)> = Vec::new();
        for (id, held) in &self.nodes {
            if self.view(held).state == NodeState::Gone {
                gone.push((held.latest.version, id.clone()));
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
            self.forgotten = self.forgotten.max(Some(stamp));
        }
        self.counted = self.nodes.len();
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
    operator: Told,
    directory: Told,
}

impl Default for MergedView {
    fn default() -> MergedView {
        MergedView { operator: Told::new(), directory: Told::new() }
    }
}

impl MergedView {
    fn told(&mut self, rank: SourcePriority) -> &mut Told {
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
        let told = self.told(stamp.priority);
        for fact in facts {
            told.take(VersionedRecord { record: fact, version: stamp, received: heard, after_reset: anew });
        }
        if full {
            told.whole = told.whole.max(Some((stamp, Reverse(heard))));
        }
        told.prune(full);
    }

    /// Takes in one fact with a stamp and time of its own: one that was kept.
    pub fn insert_record(&mut self, known: VersionedRecord) {
        self.told(known.version.priority).take(known);
    }

    /// A whole list with this stamp was heard then.
    pub fn insert_full_list(&mut self, stamp: SourceVersion, heard: Nanos) {
        let told = self.told(stamp.priority);
        told.whole = told.whole.max(Some((stamp, Reverse(heard))));
    }

    /// Bounds what is kept of nodes that are gone.
    pub fn prune(&mut self) {
        self.operator.prune(true);
        self.directory.prune(true);
    }

    /// Stamp of a source's latest whole list, and when it was first heard.
    pub fn full_list(&self, rank: SourcePriority) -> Option<(SourceVersion, Nanos)> {
        let told = if rank == SourcePriority::Operator { &self.operator } else { &self.directory };
        told.whole.map(|(stamp, Reverse(heard))| (stamp, heard))
    }

    /// What is believed of a node. An operator's node is in until the directory says that it drains or is gone.
    pub fn view(&self, id: &str) -> Option<NodeView<'_>> {
        let of = |told: &'_ Told| -> Option<(SourceVersion, bool)> {
            told.nodes.get(id).map(|h| (h.latest.version, told.view(h).state == NodeState::Ready))
        };
        let told = match (of(&self.operator), of(&self.directory)) {
            (Some((_, true)), Some((stamp, false))) => {
                // Left out of the directory's whole list: it may never have belonged there.
                let left_out = self.directory.whole.is_some_and(|(whole, _)| stamp < whole)
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
        self.directory.nodes.values().flat_map(Held::facts)
    }

    /// Facts up to this stamp about unknown nodes are not believed.
    pub fn pruned_up_to(&self) -> Option<SourceVersion> {
        self.directory.forgotten
    }

    /// Sets what `forgotten` tells, from a kept list.
    pub fn set_pruned_up_to(&mut self, stamp: SourceVersion) {
        self.directory.forgotten = self.directory.forgotten.max(Some(stamp));
    }
}
