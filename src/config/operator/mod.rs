//! The operator's file of a catalogue broker: its sections and their checks.

mod bounds;
mod classes;
mod cluster;
mod limits;
mod listeners;
mod membership;
mod nodes;
mod partitions;
mod policy_settings;

pub use classes::{Database, QueryClass};
pub use cluster::{ClusterConfig, PeerBroker};
pub use limits::Limits;
pub use listeners::{Listener, Operation, Protocol};
pub use membership::{Membership, RoutingTimes};
pub use nodes::{Node, NodesFile, rules};
pub use partitions::Partitions;

use super::diagnostics::{Diagnostic, Setting, TomlDocument};
use super::error::ConfigError;
use std::path::{Path, PathBuf};

/// All top-level settings.
const KNOWN_SETTINGS: [&str; 14] = [
    "name",
    "zone",
    "brokers",
    "limits",
    "partitions",
    "class",
    "database",
    "listener",
    "node",
    "membership",
    "routing",
    "operation",
    "cluster",
    "peer",
];
/// Top-level settings that must be present.
const REQUIRED_SETTINGS: [&str; 3] = ["name", "zone", "partitions"];

/// The operator's file of a catalogue broker.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The broker's name, in log lines and among its peers.
    pub name: String,
    /// The zone that the broker is in.
    pub zone: String,
    /// Number of brokers that share the nodes, including this one.
    pub brokers: u32,
    /// Limits of the broker.
    pub limits: Limits,
    /// How the catalogue is divided.
    pub partitions: Partitions,
    /// Query classes, `[[class]]`.
    pub class: Vec<QueryClass>,
    /// Databases, `[[database]]`.
    pub database: Vec<Database>,
    /// The addresses at which clients connect, `[[listener]]`.
    pub listener: Vec<Listener>,
    /// Index nodes, `[[node]]`.
    pub node: Vec<Node>,
    /// Other sources of nodes, and where their list is cached.
    pub membership: Membership,
    /// How nodes return to use after a failure.
    pub routing: RoutingTimes,
    /// The admin endpoint and hot restarts.
    pub operation: Operation,
    /// The cluster that the broker belongs to, if any.
    pub cluster: Option<ClusterConfig>,
}

impl OperatorConfig {
    /// Reads the file at `path`. An error has the file's name and all errors in it.
    pub fn from_file(path: &Path) -> Result<OperatorConfig, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::from(e).in_file(path))?;
        let mut config = OperatorConfig::read(&text).map_err(|e| e.in_file(path))?;
        if let Some(cluster) = &mut config.cluster {
            cluster.file = Some(path.to_owned());
        }
        if let Some(nodes) = &mut config.membership.nodes_file {
            *nodes = resolve_path(path, nodes);
        }
        Ok(config)
    }

    /// All errors in the file at `path`, and in the nodes file that it names, one line each.
    pub fn faults(path: &Path) -> Vec<String> {
        let line = |why: String| format!("{}: {why}", path.display());
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => return vec![line(e.to_string())],
        };
        let config = match OperatorConfig::read_all(&text) {
            Ok(config) => config,
            Err(diagnostics) => return diagnostics.into_iter().map(|d| line(d.to_string())).collect(),
        };
        let Some(nodes) = &config.membership.nodes_file else { return Vec::new() };
        let read = NodesFile::from_file(&resolve_path(path, nodes), config.partitions.cells);
        read.err().into_iter().map(|e| e.message()).collect()
    }

    /// Reads the file's text. An error has all errors in it.
    pub fn read(text: &str) -> Result<OperatorConfig, ConfigError> {
        OperatorConfig::read_all(text).map_err(ConfigError::from)
    }

    fn read_all(text: &str) -> Result<OperatorConfig, Vec<Diagnostic>> {
        let mut document = TomlDocument::new(text);
        if !document.diagnostics.is_empty() {
            return Err(document.diagnostics);
        }
        document.check_setting_names(&KNOWN_SETTINGS, &REQUIRED_SETTINGS);
        let config = OperatorConfig::from_document(&mut document);
        // A section that could not be read is reported already; its default value would be reported again.
        if document.diagnostics.is_empty() {
            config.check(&mut document);
        }
        document.diagnostics.sort();
        if document.diagnostics.is_empty() { Ok(config) } else { Err(document.diagnostics) }
    }

    /// Reads each section; one that can't be read is reported and replaced by its default.
    fn from_document(document: &mut TomlDocument<'_>) -> OperatorConfig {
        OperatorConfig {
            name: document.value("name").unwrap_or_default(),
            zone: document.value("zone").unwrap_or_default(),
            brokers: document.value("brokers").unwrap_or(1),
            limits: document.value("limits").unwrap_or_default(),
            partitions: document.value("partitions").unwrap_or_default(),
            class: document.records("class"),
            database: document.records("database"),
            listener: document.records("listener"),
            node: document.records("node"),
            membership: document.value("membership").unwrap_or_default(),
            routing: document.value("routing").unwrap_or_default(),
            operation: document.value("operation").unwrap_or_default(),
            cluster: OperatorConfig::cluster_from_document(document),
        }
    }

    fn cluster_from_document(document: &mut TomlDocument<'_>) -> Option<ClusterConfig> {
        let mut cluster: Option<ClusterConfig> = document.value("cluster");
        let peers = document.records("peer");
        if let Some(cluster) = &mut cluster {
            cluster.peers = peers;
        } else if !peers.is_empty() {
            let what = "peer: there is no [cluster] that it could belong to";
            document.report(Setting::nth("peer", 0, ""), what);
        }
        cluster
    }

    fn check(&self, document: &mut TomlDocument<'_>) {
        self.partitions.check(document);
        listeners::check(&self.listener, &self.operation, document);
        cluster::check(self, document);
        self.limits.check(self.partitions.count, document);
        self.routing.check(document);
        classes::check_classes(&self.class, document);
        classes::check_databases(&self.database, &self.class, document);
        self.membership.check(document);
        nodes::check(&self.node, self.partitions.cells, document);
        let has_other_nodes = self.membership.has_other_source();
        if !has_other_nodes {
            self.partitions.check_coverage(&self.node, document);
        }
        for (section, is_missing) in [
            ("class", self.class.is_empty()),
            ("database", self.database.is_empty()),
            ("listener", self.listener.is_empty()),
            ("node", self.node.is_empty() && !has_other_nodes),
        ] {
            if is_missing {
                let what = format!("at least one [[{section}]] is needed");
                document.report(Setting::new(section, ""), what);
            }
        }
    }

    /// The CQL index of the composition key, if one is set.
    pub fn key_index(&self) -> Option<&str> {
        self.partitions.key_index.as_deref()
    }
}

/// Resolves a path in a configuration file: a relative one starts at the file's directory.
fn resolve_path(file: &Path, path: &Path) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(path)
}
