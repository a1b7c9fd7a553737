//! The operator's rules for nodes.

use crate::api::Nanos;

/// The administrative state of a node, set by the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminState {
    /// It gets work.
    #[default]
    Active,
    /// It gets only sticky work. No query is sticky, so it gets no new work, except as a redirect target.
    Disabled,
    /// It gets no new work.
    Stopped,
    /// It completes the work in flight and gets no new work, in preparation for its removal.
    Draining,
}

/// Whether a node is reserved as a spare, and of which kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spare {
    /// It is a regular node of its set.
    #[default]
    None,
    /// It gets work when no regular node of its set is usable.
    Hot,
    /// It gets work when no regular node and no hot spare of its set is usable.
    Standby,
}

/// The operator's rule for a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Administrative state of the node.
    pub admin_state: AdminState,
    /// Relative share of work among the nodes of its set; 0 for no work.
    pub weight: f64,
    /// Set of the node. Sets are used in ascending order; a set is used only if no node of the earlier ones
    /// is usable.
    pub set: u32,
    /// Whether the node is reserved as a spare.
    pub spare: Spare,
    /// Id of the node that replaces this one while it is ejected; it is offered even if it is a spare.
    pub redirect: Option<String>,
    /// Length of an ejection, after which the node is probed, ns.
    pub retry: Nanos,
}

impl Default for Rule {
    fn default() -> Rule {
        Rule {
            admin_state: AdminState::Active,
            weight: 1.0,
            set: 0,
            spare: Spare::None,
            redirect: None,
            retry: 60_000_000_000,
        }
    }
}

impl Rule {
    /// Whether the rule has no effect on which nodes are offered and at which weight.
    #[must_use]
    pub fn has_no_effect(&self) -> bool {
        *self == Rule { retry: self.retry, ..Rule::default() }
    }

    /// The tier of the node.
    pub(super) fn tier(&self) -> Tier {
        Tier { set: self.set, spare: self.spare }
    }
}

/// Priority of a node, by set and then by spare: lower tiers are used first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tier {
    set: u32,
    spare: Spare,
}
