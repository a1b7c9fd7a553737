//! The operator's rules for nodes.

use crate::api::Nanos;

/// The administrative state of a node, set by the operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminState {
    /// It gets work.
    #[default]
    Active,
    /// It gets only sticky work. No query is sticky here, so it gets nothing new; it may be a redirect's
    /// target.
    Disabled,
    /// It gets nothing new.
    Stopped,
    /// It completes what is in flight and gets nothing new; it is to be removed.
    Draining,
}

/// Whether a node is reserved until others fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spare {
    /// It is a regular node of its set.
    #[default]
    None,
    /// It gets work when no regular node of its set works.
    Hot,
    /// It gets work when no regular node and no hot spare of its set works.
    Standby,
}

/// The operator's rule for a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its administrative state.
    pub admin_state: AdminState,
    /// Weight of its share of the work among the nodes of its set; 0: no work.
    pub weight: f64,
    /// Its set. Sets are used in the order of their numbers, the next one only if no node of the earlier ones
    /// works.
    pub set: u32,
    /// Whether it is reserved until others fail.
    pub spare: Spare,
    /// Id of the node that replaces it while it is ejected; that one is offered even if it is a spare.
    pub redirect: Option<String>,
    /// Length of an ejection, ns; then it is probed.
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
    /// Whether it has no effect on what is offered.
    #[must_use]
    pub fn is_plain(&self) -> bool {
        *self == Rule { retry: self.retry, ..Rule::default() }
    }

    /// The tier of the node.
    pub(super) fn tier(&self) -> Tier {
        Tier { set: self.set, spare: self.spare }
    }
}

/// Place in the order in which nodes are used: lower ones first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tier {
    set: u32,
    spare: Spare,
}
