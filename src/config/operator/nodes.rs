//! The section `node`, and the nodes file that may be read in addition to the operator's file.

use super::bounds::{DAY_MS, MILLISECOND, default_weight};
use super::listeners::Protocol;
use crate::config::diagnostics::{Setting, TomlDocument};
use crate::config::error::ConfigError;
use crate::membership::{NodeRecord, NodeState};
use crate::routing::{AdminState, Rule, Spare};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;

/// Maximum weight. It is bounded because routing multiplies weights.
const MAX_WEIGHT: f64 = 1e6;

/// An index node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its identifier, also used in log lines.
    pub id: String,
    /// Its protocol.
    pub protocol: Protocol,
    /// Its address.
    pub address: SocketAddr,
    /// The zone that it is in.
    pub zone: String,
    /// Its cell, which determines the partitions it holds.
    pub cell: u32,
    /// Administrative state, which determines whether it gets new queries.
    #[serde(default)]
    pub standing: AdminState,
    /// Weight among the nodes of its set; with 0 it gets no queries.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Its set. Sets are used in ascending order, each only if no node of the earlier ones is usable.
    #[serde(default)]
    pub set: u32,
    /// Whether it is a spare, which is used only while other nodes have failed.
    #[serde(default)]
    pub spare: Spare,
    /// Identifier of the node that replaces it while it has failed.
    #[serde(default)]
    pub redirect: Option<String>,
    /// Time after a failure during which it gets no queries, ms.
    #[serde(default = "retry_ms")]
    pub retry_ms: u64,
}

/// One minute, as in mod_jk and httpd.
fn retry_ms() -> u64 {
    60_000
}

impl Node {
    /// The node as a membership record.
    pub fn to_record(&self) -> NodeRecord {
        NodeRecord {
            id: self.id.clone(),
            addr: Some(self.address),
            zone: self.zone.clone(),
            kind: self.protocol.name().into(),
            cell: self.cell,
            state: if self.standing == AdminState::Draining {
                NodeState::Terminating
            } else {
                NodeState::Ready
            },
            started: 0,
        }
    }

    /// The node's routing rule.
    pub fn rule(&self) -> Rule {
        Rule {
            admin_state: self.standing,
            weight: self.weight,
            set: self.set,
            spare: self.spare,
            redirect: self.redirect.clone(),
            retry: self.retry_ms * MILLISECOND,
        }
    }
}

/// The routing rules of these nodes by id; empty if every node has the default rule.
pub fn rules<'a>(nodes: impl Iterator<Item = &'a Node> + Clone) -> HashMap<String, Rule> {
    if nodes.clone().all(|n| n.rule().has_no_effect()) {
        return HashMap::new();
    }
    nodes.map(|n| (n.id.clone(), n.rule())).collect()
}

/// The nodes file.
#[derive(Clone, Debug, Default)]
pub struct NodesFile {
    /// Index nodes.
    pub node: Vec<Node>,
}

impl NodesFile {
    /// Reads the file at `path`, whose nodes must be in cells 0 to `cells` - 1. An error has the file's name
    /// and all errors in it.
    pub fn from_file(path: &Path, cells: u32) -> Result<NodesFile, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::from(e).in_file(path))?;
        let mut document = TomlDocument::new(&text);
        let node = document.records("node");
        document.check_setting_names(&["node"], &[]);
        check(&node, cells, &mut document);
        if document.diagnostics.is_empty() {
            Ok(NodesFile { node })
        } else {
            Err(ConfigError::from(document.diagnostics).in_file(path))
        }
    }
}

/// Checks each node, that identifiers are unique, and that redirects name other nodes.
pub(super) fn check(nodes: &[Node], cells: u32, document: &mut TomlDocument<'_>) {
    let mut ids = HashSet::new();
    for (n, node) in nodes.iter().enumerate() {
        let mut report = |field: &str, what: String| document.report(Setting::nth("node", n, field), what);
        if !ids.insert(&node.id) {
            report("id", format!("node {:?} is there twice", node.id));
        }
        if node.id.is_empty() {
            report("id", "a node needs an id".into());
        }
        if !(0.0..=MAX_WEIGHT).contains(&node.weight) {
            let what = format!("node {:?}: weight {} must be from 0 to {MAX_WEIGHT}", node.id, node.weight);
            report("weight", what);
        }
        if node.retry_ms > DAY_MS {
            report("retry_ms", format!("node {:?}: retry_ms is longer than a day", node.id));
        }
        let names_no_other = |to: &&String| **to == node.id || !nodes.iter().any(|n| n.id == **to);
        if let Some(to) = node.redirect.as_ref().filter(names_no_other) {
            report("redirect", format!("node {:?}: redirect {to:?} names no other node", node.id));
        }
        if node.cell >= cells {
            let last = cells.max(1) - 1;
            let what =
                format!("node {:?}: there is no cell {}, cells go from 0 to {last}", node.id, node.cell);
            report("cell", what);
        }
    }
}
