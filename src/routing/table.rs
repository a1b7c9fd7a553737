//! Every node with its rule and its health, and what is offered of them.

use super::{AdminState, Eligibility, Health, Rule, Spare};
use crate::api::{self, Nanos, Outcome, ReplicaId};
use crate::membership::{NodeChange, PartitionLayout};
use std::collections::{BTreeMap, HashMap};

/// What routing is told at its start.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// How the partitions lie.
    pub layout: PartitionLayout,
    /// Rules by node id; a node without one has the default.
    pub rules: HashMap<String, Rule>,
    /// Time in which a node that came back grows to its full weight.
    pub warm_up: Nanos,
    /// Time for which a node must have worked before those who stood in for it are let go. Guards against flapping.
    pub failback_delay: Nanos,
}

/// Order in which nodes are used: lower ones first.
type Tier = (u32, Spare);

#[derive(Debug)]
struct Node {
    /// As membership has it.
    base: NodeChange,
    rule: Rule,
    health: Health,
    /// What was told last.
    told: Option<api::ReplicaEntry>,
}

impl Node {
    /// Whether it may get work at all.
    fn serves(&self) -> bool {
        self.base.entry.state == api::ReplicaState::Active
            && self.rule.admin_state == AdminState::Active
            && self.rule.weight > 0.0
    }

    fn is_out(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Ejected { .. })
    }

    /// It works, or comes back.
    fn bears(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Healthy | Eligibility::WarmingUp { .. })
    }
}

/// What is offered of the nodes that membership knows.
#[derive(Debug)]
pub struct Routing {
    settings: RoutingSettings,
    nodes: BTreeMap<ReplicaId, Node>,
    /// The highest tier in use, for each group of partitions with the same holders.
    in_use: Vec<Option<Tier>>,
    changes: Vec<NodeChange>,
    /// Membership answered, if only to say that nothing changed.
    answered: bool,
    dirty: bool,
}

impl Routing {
    /// Routing that knows no node yet.
    pub fn new(settings: RoutingSettings) -> Routing {
        let groups = settings.layout.cells.max(1) as usize;
        Routing {
            settings,
            nodes: BTreeMap::new(),
            in_use: vec![None; groups],
            changes: Vec::new(),
            answered: false,
            dirty: false,
        }
    }

    /// Rules from now on. What runs goes on; what is stopped gets nothing new.
    pub fn set_rules(&mut self, rules: HashMap<String, Rule>, now: Nanos) {
        self.settings.rules = rules;
        for node in self.nodes.values_mut() {
            node.rule = self.settings.rules.get(&node.base.id).cloned().unwrap_or_default();
        }
        self.settle(now);
    }

    /// What membership has to tell.
    pub fn on_membership_changes(&mut self, changes: Vec<NodeChange>, now: Nanos) {
        self.answered = true;
        for change in changes {
            let replica = change.entry.replica;
            if change.entry.state == api::ReplicaState::Removed {
                self.nodes.remove(&replica);
                self.changes.push(change);
                continue;
            }
            let rule = self.settings.rules.get(&change.id).cloned().unwrap_or_default();
            match self.nodes.get_mut(&replica) {
                Some(node) => {
                    // Its address or kind may have changed: whoever is told must be told again.
                    node.told = node
                        .told
                        .take()
                        .filter(|_| (node.base.addr, &node.base.kind) == (change.addr, &change.kind));
                    node.base = change;
                }
                None => {
                    let health = Health::new(now);
                    self.nodes.insert(replica, Node { base: change, rule, health, told: None });
                }
            }
        }
        self.settle(now);
    }

    /// How an attempt at a node ended.
    pub fn on_attempt_end(&mut self, replica: ReplicaId, outcome: Outcome, now: Nanos) {
        // Without rules the decisions mind failures alone, as they always did.
        if self.settings.rules.is_empty() {
            return;
        }
        if let Some(node) = self.nodes.get_mut(&replica) {
            let before = node.health.eligibility();
            self.dirty |= node.health.on_attempt_end(outcome, node.rule.retry, now);
            let id = &node.base.id;
            match (before, node.health.eligibility()) {
                (Eligibility::Ejected { .. }, Eligibility::Ejected { .. }) => {}
                (_, Eligibility::Ejected { .. }) => {
                    tracing::warn!(
                        "node {id} gets no work for {} s: it failed",
                        node.rule.retry / 1_000_000_000
                    );
                }
                (Eligibility::Ejected { .. } | Eligibility::Probing, Eligibility::WarmingUp { .. }) => {
                    tracing::info!("node {id} gets work again, a little at first");
                }
                _ => {}
            }
        }
    }

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos) {
        if self.settings.rules.is_empty() {
            return;
        }
        let warm_up = self.settings.warm_up;
        for node in self.nodes.values_mut() {
            self.dirty |= node.health.tick(warm_up, now);
        }
        // While a node warms up or is to prove that it stays, time alone changes what is offered.
        if self.dirty || self.restless() {
            self.settle(now);
        }
    }

    fn restless(&self) -> bool {
        let warming =
            self.nodes.values().any(|n| matches!(n.health.eligibility(), Eligibility::WarmingUp { .. }));
        warming || self.in_use.iter().flatten().any(|t| *t > self.lowest())
    }

    fn lowest(&self) -> Tier {
        self.nodes.values().filter(|n| n.serves()).map(|n| n.rule.tier()).min().unwrap_or_default()
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        if self.settings.rules.is_empty() {
            return None;
        }
        let turns = self.nodes.values().filter_map(|n| n.health.next_transition(self.settings.warm_up)).min();
        let step = self.restless().then(|| now + (self.settings.warm_up / 10).max(50_000_000));
        turns.into_iter().chain(step).min()
    }

    fn settle(&mut self, now: Nanos) {
        self.dirty = false;
        let offered = self.offered(now);
        let plain = self.settings.rules.is_empty();
        for (replica, node) in &mut self.nodes {
            let mut line = node.base.entry.clone();
            if !plain && line.state == api::ReplicaState::Active {
                match offered.get(replica) {
                    Some(weight) => line.weight = *weight,
                    None => line.state = api::ReplicaState::Draining,
                }
            }
            // Who never got work need not be told of as one that gets none.
            let news = node.told.as_ref() != Some(&line)
                && (node.told.is_some() || line.state == api::ReplicaState::Active || plain);
            if news {
                node.told = Some(line.clone());
                self.changes.push(NodeChange { entry: line, ..node.base.clone() });
            }
        }
    }

    /// The nodes that are offered, with their weights.
    fn offered(&mut self, now: Nanos) -> HashMap<ReplicaId, f64> {
        let (layout, hold, warm_up) =
            (self.settings.layout, self.settings.failback_delay, self.settings.warm_up);
        let mut groups: Vec<Vec<ReplicaId>> = vec![Vec::new(); self.in_use.len()];
        for (replica, node) in self.nodes.iter().filter(|(_, n)| n.serves()) {
            layout.groups(node.base.entry.cell).for_each(|g| groups[g].push(*replica));
        }
        let mut out = HashMap::new();
        for (group, in_use) in groups.iter().zip(&mut self.in_use) {
            let of = |r: &ReplicaId| &self.nodes[r];
            let lowest = group.iter().filter(|r| of(r).bears()).map(|r| of(r).rule.tier()).min();
            let Some(lowest) = lowest else {
                // Nobody is known to work: all are tried, for a doubtful holder is better than none.
                out.extend(group.iter().map(|r| (*r, of(r).rule.weight)));
                continue;
            };
            let held =
                |t: Tier| group.iter().any(|r| of(r).rule.tier() <= t && of(r).health.healthy_for(hold, now));
            // Up at once, down only when who is to take over has worked for a while. At the start nobody has.
            *in_use = Some(match *in_use {
                Some(tier) if lowest < tier && !held(lowest) => {
                    let bears = group.iter().filter(|r| of(r).rule.tier() <= tier);
                    bears.map(|r| of(r).rule.tier()).max().unwrap_or(lowest)
                }
                _ => lowest,
            });
            let tier = in_use.unwrap_or(lowest);
            for replica in group.iter().filter(|r| of(r).rule.tier() <= tier && !of(r).is_out()) {
                let node = of(replica);
                out.insert(*replica, node.rule.weight * node.health.weight_share(warm_up, now));
            }
        }
        self.redirected(&mut out, now);
        out
    }

    /// Adds those who are to take the place of nodes that fail.
    fn redirected(&self, out: &mut HashMap<ReplicaId, f64>, now: Nanos) {
        let failing = self.nodes.values().filter(|n| n.serves() && n.is_out());
        for id in failing.filter_map(|n| n.rule.redirect.as_deref()) {
            let stand_in = self.nodes.iter().find(|(_, n)| n.base.id == id);
            if let Some((replica, n)) = stand_in
                && n.base.entry.state == api::ReplicaState::Active
                && matches!(n.rule.admin_state, AdminState::Active | AdminState::Disabled)
                && !n.is_out()
            {
                let weight =
                    n.rule.weight.max(f64::MIN_POSITIVE) * n.health.weight_share(self.settings.warm_up, now);
                out.entry(*replica).or_insert(weight);
            }
        }
    }

    /// What the exchange is to be told.
    pub fn take_changes(&mut self) -> Option<Vec<NodeChange>> {
        let answered = std::mem::take(&mut self.answered);
        (answered || !self.changes.is_empty()).then(|| std::mem::take(&mut self.changes))
    }
}
