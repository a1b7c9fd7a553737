//! The routing state of one node: its membership entry, its rule and its health.

use super::{AdminState, Eligibility, Health, Rule};
use crate::api::{Nanos, Outcome, ReplicaEntry, ReplicaState};
use crate::membership::NodeChange;

/// A node that membership announces.
#[derive(Debug)]
pub(super) struct RoutedNode {
    /// The last change from membership.
    pub(super) listed: NodeChange,
    pub(super) rule: Rule,
    pub(super) health: Health,
    /// The entry that was last announced to the engine.
    announced: Option<ReplicaEntry>,
}

impl RoutedNode {
    pub(super) fn new(listed: NodeChange, rule: Rule, now: Nanos) -> RoutedNode {
        RoutedNode { listed, rule, health: Health::new(now), announced: None }
    }

    /// Replaces the node's change from membership.
    pub(super) fn set_listed(&mut self, listed: NodeChange) {
        // A change of address or kind must be announced even if the entry is the same.
        if (self.listed.addr, &self.listed.kind) != (listed.addr, &listed.kind) {
            self.announced = None;
        }
        self.listed = listed;
    }

    /// Whether the node may get work according to its membership state and its rule.
    pub(super) fn is_enabled(&self) -> bool {
        self.listed.entry.state == ReplicaState::Active
            && self.rule.admin_state == AdminState::Active
            && self.rule.weight > 0.0
    }

    /// Whether the node may replace an ejected one as the target of its redirect. Its set, spare setting and
    /// weight do not matter for this.
    pub(super) fn can_be_redirect_target(&self) -> bool {
        self.listed.entry.state == ReplicaState::Active
            && matches!(self.rule.admin_state, AdminState::Active | AdminState::Disabled)
            && !self.is_ejected()
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Ejected { .. })
    }

    /// Whether the node is healthy or warming up.
    pub(super) fn is_usable(&self) -> bool {
        matches!(self.health.eligibility(), Eligibility::Healthy | Eligibility::WarmingUp { .. })
    }

    /// Records the outcome of an attempt, and logs an ejection or recovery. Returns whether the eligibility
    /// changed.
    pub(super) fn on_attempt_end(&mut self, outcome: Outcome, now: Nanos) -> bool {
        let before = self.health.eligibility();
        let changed = self.health.on_attempt_end(outcome, self.rule.retry, now);
        let id = &self.listed.id;
        match (before, self.health.eligibility()) {
            (Eligibility::Ejected { .. }, Eligibility::Ejected { .. }) => {}
            (_, Eligibility::Ejected { .. }) => {
                let retry_s = self.rule.retry / 1_000_000_000;
                tracing::warn!(node = %id, retry_s, "node was ejected after failures");
            }
            (Eligibility::Ejected { .. } | Eligibility::Probing, Eligibility::WarmingUp { .. }) => {
                tracing::info!(node = %id, "node recovered and is warming up");
            }
            _ => {}
        }
        changed
    }

    /// The change to announce for `entry`, if it differs from the last announced entry. With `always`, nodes
    /// that were never announced as active are announced too.
    pub(super) fn announce(&mut self, entry: ReplicaEntry, always: bool) -> Option<NodeChange> {
        // An inactive node need not be announced if it was never announced as active.
        let relevant = self.announced.is_some() || entry.state == ReplicaState::Active || always;
        if !relevant || self.announced.as_ref() == Some(&entry) {
            return None;
        }
        self.announced = Some(entry.clone());
        Some(NodeChange { entry, ..self.listed.clone() })
    }
}
