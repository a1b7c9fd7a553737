//! Selection of the nodes offered for each group of partitions, and their weights.

use super::RoutingSettings;
use super::node::RoutedNode;
use super::rule::Tier;
use crate::api::{Nanos, ReplicaId};
use std::collections::{BTreeMap, HashMap};

/// Weights of the offered nodes.
pub(super) type Weights = HashMap<ReplicaId, f64>;

/// The enabled nodes that hold one group of partitions.
struct Group<'a> {
    nodes: Vec<(ReplicaId, &'a RoutedNode)>,
}

impl Group<'_> {
    fn lowest_usable_tier(&self) -> Option<Tier> {
        let usable = self.nodes.iter().filter(|(_, node)| node.is_usable());
        usable.map(|(_, node)| node.rule.tier()).min()
    }

    /// Whether a node at or below `tier` has been healthy for at least `time`.
    fn has_stable_node(&self, tier: Tier, time: Nanos, now: Nanos) -> bool {
        let mut nodes = self.nodes.iter().map(|(_, node)| node);
        nodes.any(|node| node.rule.tier() <= tier && node.health.healthy_for(time, now))
    }

    /// The highest tier to use, from the previous one (`None` at the start) and the `lowest` one with a
    /// usable node. It rises immediately, but falls only when a node at or below `lowest` has been healthy
    /// for `failback_delay`.
    fn next_tier(&self, previous: Option<Tier>, lowest: Tier, failback_delay: Nanos, now: Nanos) -> Tier {
        match previous {
            Some(tier) if lowest < tier && !self.has_stable_node(lowest, failback_delay, now) => {
                let tiers = self.nodes.iter().map(|(_, node)| node.rule.tier());
                tiers.filter(|other| *other <= tier).max().unwrap_or(lowest)
            }
            _ => lowest,
        }
    }
}

/// Returns the weights of the offered nodes, and updates `active_tiers`, the highest tier in use for each
/// group.
pub(super) fn offered_weights(
    nodes: &BTreeMap<ReplicaId, RoutedNode>,
    settings: &RoutingSettings,
    active_tiers: &mut [Option<Tier>],
    now: Nanos,
) -> Weights {
    let mut weights = Weights::new();
    for (group, active_tier) in groups(nodes, settings, active_tiers.len()).iter().zip(active_tiers) {
        let Some(lowest) = group.lowest_usable_tier() else {
            // Without a usable node all are offered, since a node that may have failed is better than none.
            weights.extend(group.nodes.iter().map(|(replica, node)| (*replica, node.rule.weight)));
            continue;
        };
        let tier = group.next_tier(*active_tier, lowest, settings.failback_delay, now);
        *active_tier = Some(tier);
        for (replica, node) in &group.nodes {
            if node.rule.tier() <= tier && !node.is_ejected() {
                let share = node.health.weight_share(settings.warm_up, now);
                weights.insert(*replica, node.rule.weight * share);
            }
        }
    }
    add_redirect_targets(nodes, settings.warm_up, &mut weights, now);
    weights
}

fn groups<'a>(
    nodes: &'a BTreeMap<ReplicaId, RoutedNode>,
    settings: &RoutingSettings,
    count: usize,
) -> Vec<Group<'a>> {
    let mut groups: Vec<Group<'a>> = (0..count).map(|_| Group { nodes: Vec::new() }).collect();
    for (replica, node) in nodes.iter().filter(|(_, node)| node.is_enabled()) {
        for group in settings.layout.groups(node.listed.entry.cell) {
            groups[group].nodes.push((*replica, node));
        }
    }
    groups
}

/// Adds the redirect targets of ejected nodes.
fn add_redirect_targets(
    nodes: &BTreeMap<ReplicaId, RoutedNode>,
    warm_up: Nanos,
    weights: &mut Weights,
    now: Nanos,
) {
    let ejected = nodes.values().filter(|node| node.is_enabled() && node.is_ejected());
    for target_id in ejected.filter_map(|node| node.rule.redirect.as_deref()) {
        let target = nodes.iter().find(|(_, node)| node.listed.id == target_id);
        if let Some((replica, node)) = target.filter(|(_, node)| node.can_be_redirect_target()) {
            let share = node.health.weight_share(warm_up, now);
            weights.entry(*replica).or_insert(node.rule.weight.max(f64::MIN_POSITIVE) * share);
        }
    }
}
