//! The operator's file: what the catalogue front is told.

use super::ConfigError;
use super::diagnostics::{Diagnostic, TomlDocument};
use super::index;
use crate::api::*;
use crate::gossip::codec;
use crate::membership::{NodeRecord, NodeState};
use crate::replication::multi_value_register::LONGEST;
use crate::routing::{AdminState, Rule, Spare};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MS: Nanos = 1_000_000;
const DAY_MS: u64 = 86_400_000;
/// Largest weight: the decisions multiply it.
const MOST_WEIGHT: f64 = 1e6;

/// A protocol of the catalogue.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// SRU 1.1 and 1.2 over HTTP.
    Sru,
    /// Z39.50 version 3.
    Z3950,
}

/// Where clients connect.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// What they speak.
    pub protocol: Protocol,
    /// The address.
    pub listen: SocketAddr,
    /// The descriptor on which a socket bound to it stands open already; none: it is to be opened.
    pub descriptor: Option<i32>,
}

/// What the staff on duty need.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operation {
    /// The second address, where calls are taken.
    pub listen: Option<SocketAddr>,
    /// The directory in which processes at the same addresses hand over.
    pub hand_over: Option<PathBuf>,
}

/// Another broker of the cluster.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct PeerBroker {
    /// Its name, as its own file has it.
    pub name: String,
    /// Where it takes datagrams and connections of its peers.
    pub address: SocketAddr,
}

/// The cluster that a broker belongs to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterConfig {
    /// The cluster's name: brokers of another one are not listened to.
    pub name: String,
    /// Where peers reach this broker, by UDP and by TCP.
    pub listen: SocketAddr,
    /// The directory in which the cluster's facts are kept.
    pub keep: PathBuf,
    /// Time between two probes of a peer.
    #[serde(default = "probe_ms")]
    pub probe_ms: u64,
    /// How long words that have ended are kept.
    #[serde(default = "keep_words_s")]
    pub keep_words_s: u64,
    /// The latest version of frames that is spoken; a cluster that is being upgraded may hold it back.
    #[serde(default = "speak")]
    pub speak: u8,
    /// The other brokers.
    #[serde(skip)]
    pub peers: Vec<PeerBroker>,
    /// The file that says so; its peers are read again on SIGHUP.
    #[serde(skip)]
    pub file: Option<PathBuf>,
}

fn probe_ms() -> u64 {
    1000
}

fn keep_words_s() -> u64 {
    7 * 86_400
}

fn speak() -> u8 {
    codec::LATEST_VERSION
}

/// An index node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name, for the log.
    pub id: String,
    /// What it speaks.
    pub protocol: Protocol,
    /// Where it is.
    pub address: SocketAddr,
    /// The zone it is in.
    pub zone: String,
    /// Its cell, which determines the partitions it holds.
    pub cell: u32,
    /// Whether it takes work.
    #[serde(default)]
    pub standing: AdminState,
    /// Share of the work beside others of its set; 0: none.
    #[serde(default = "one")]
    pub weight: f64,
    /// Sets are used in the order of their numbers, the next only when one has no usable node.
    #[serde(default)]
    pub set: u32,
    /// Whether it waits for others to fail.
    #[serde(default)]
    pub spare: Spare,
    /// The node that takes its place while it fails, by id.
    #[serde(default)]
    pub redirect: Option<String>,
    /// Time after a failure in which it gets no work.
    #[serde(default = "retry_ms")]
    pub retry_ms: u64,
}

/// As mod_jk and httpd have it: a minute.
fn retry_ms() -> u64 {
    60_000
}

/// How nodes that failed come back to work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingTimes {
    /// Time in which a node that came back grows to its full weight.
    pub warm_up_ms: u64,
    /// Time for which it must have worked before those who stood in for it are let go.
    pub hold_ms: u64,
}

impl Default for RoutingTimes {
    fn default() -> RoutingTimes {
        RoutingTimes { warm_up_ms: 10_000, hold_ms: 15_000 }
    }
}

impl Protocol {
    /// Its name, as files and discovery have it.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Sru => "sru",
            Protocol::Z3950 => "z3950",
        }
    }

    /// The protocol of this name.
    pub fn named(name: &str) -> Option<Protocol> {
        [Protocol::Sru, Protocol::Z3950].into_iter().find(|p| p.name() == name)
    }
}

impl Node {
    /// What the file says of it, in membership's terms.
    pub fn fact(&self) -> NodeRecord {
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

    /// What the file says of its work, in routing's terms.
    pub fn rule(&self) -> Rule {
        Rule {
            standing: self.standing,
            weight: self.weight,
            set: self.set,
            spare: self.spare,
            redirect: self.redirect.clone(),
            retry: self.retry_ms * MS,
        }
    }
}

/// The rules of these nodes by id; none at all where no node has one that differs from the usual.
pub fn rules<'a>(nodes: impl Iterator<Item = &'a Node> + Clone) -> HashMap<String, Rule> {
    if nodes.clone().all(|n| n.rule().is_plain()) {
        return HashMap::new();
    }
    nodes.map(|n| (n.id.clone(), n.rule())).collect()
}

/// Where the list of nodes comes from, beside the operator's file, and where it is kept.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// A discovery that is watched. It names a node's protocol as its `kind`: `sru` or `z3950`.
    pub discovery: Option<SocketAddr>,
    /// A file of nodes that is read again on SIGHUP. A relative path starts at the operator's file.
    pub nodes_file: Option<PathBuf>,
    /// The directory in which discovery's list is kept over restarts.
    pub keep: Option<PathBuf>,
    /// Mean time between two changes of one node, hours.
    pub changes_every_h: f64,
    /// Age of a list that does not tell its own, seconds.
    pub presumed_age_s: u64,
}

impl Default for Membership {
    fn default() -> Membership {
        Membership {
            discovery: None,
            nodes_file: None,
            keep: None,
            changes_every_h: 24.0,
            presumed_age_s: 300,
        }
    }
}

/// A file of nodes.
#[derive(Clone, Debug, Default)]
pub struct NodesFile {
    /// Index nodes.
    pub node: Vec<Node>,
}

impl NodesFile {
    /// Reads the file at `path`, whose nodes must fit a ring of so many cells.
    pub fn from_file(path: &Path, cells: u32) -> Result<NodesFile, ConfigError> {
        let fail = |why: String| ConfigError(format!("{}: {why}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| fail(e.to_string()))?;
        let mut sheet = TomlDocument::new(&text);
        let node = sheet.all("node");
        sheet.names(&["node"], &[]);
        check_nodes(&node, cells, &mut sheet);
        if sheet.faults.is_empty() { Ok(NodesFile { node }) } else { Err(fail(joined(sheet.faults).0)) }
    }
}

/// All faults in one line.
fn joined(faults: Vec<Diagnostic>) -> ConfigError {
    let all: Vec<String> = faults.iter().map(Diagnostic::to_string).collect();
    ConfigError(all.join("; "))
}

fn check_nodes(nodes: &[Node], cells: u32, sheet: &mut TomlDocument) {
    let mut ids = HashSet::new();
    for (n, node) in nodes.iter().enumerate() {
        if !ids.insert(&node.id) {
            sheet.wrong(("node", n, "id"), format!("node {:?} is there twice", node.id));
        }
        if node.id.is_empty() {
            sheet.wrong(("node", n, "id"), "a node needs an id");
        }
        if !(0.0..=MOST_WEIGHT).contains(&node.weight) {
            let what = format!("node {:?}: weight {} must be from 0 to {MOST_WEIGHT}", node.id, node.weight);
            sheet.wrong(("node", n, "weight"), what);
        }
        if node.retry_ms > DAY_MS {
            sheet
                .wrong(("node", n, "retry_ms"), format!("node {:?}: retry_ms is longer than a day", node.id));
        }
        if let Some(to) =
            node.redirect.as_ref().filter(|to| **to == node.id || !nodes.iter().any(|n| n.id == **to))
        {
            let what = format!("node {:?}: redirect {to:?} names no other node", node.id);
            sheet.wrong(("node", n, "redirect"), what);
        }
        if node.cell >= cells {
            let what = format!(
                "node {:?}: there is no cell {}, cells go from 0 to {}",
                node.id,
                node.cell,
                cells.max(1) - 1
            );
            sheet.wrong(("node", n, "cell"), what);
        }
    }
}

/// A class of query.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryClass {
    /// Its name.
    pub name: String,
    /// Time within which an answer is wanted.
    pub aim_ms: u64,
    /// Time after which clients give up.
    pub deadline_ms: u64,
    /// What an answer is worth beside those of other classes.
    #[serde(default = "one")]
    pub worth: f64,
    /// Share of the worth that is left after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Least share of the partitions that an answer may be given from.
    #[serde(default = "one")]
    pub floor: f64,
}

fn one() -> f64 {
    1.0
}

/// A database as clients name it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its name: SRU's path, Z39.50's database name.
    pub name: String,
    /// The class of its queries.
    pub class: String,
}

/// How the catalogue is cut.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partitions {
    /// Number of partitions.
    pub count: u32,
    /// Number of cells.
    pub cells: u32,
    /// Cells in a row that hold a partition: partition p is in cells p, p + 1 and so on, modulo `cells`.
    pub holders: u32,
    /// A partition's database at the nodes; `{partition}` stands for its number.
    pub database: String,
    /// The CQL index of the composition key.
    pub key_index: Option<String>,
    /// Partitions in a row over which one key's records may lie.
    #[serde(default = "one_partition")]
    pub per_key: u32,
}

fn one_partition() -> u32 {
    1
}

/// Limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Most queries and parts held at once.
    pub max_open: u32,
    /// Most descriptors.
    pub sockets: usize,
    /// Most attempts at a part.
    pub max_attempts: u32,
    /// A part may run at two nodes at once.
    pub second_copies: bool,
    /// Longest wait that a refused client is told.
    pub max_retry_after_ms: u64,
    /// Shortest time between two rounds of decisions.
    pub tick_ms: u64,
    /// Most records in one answer.
    pub records: u64,
    /// Most records asked of a node at once.
    pub page: u64,
    /// Most result sets of a session.
    pub result_sets: usize,
    /// Time after which an idle session is closed.
    pub session_idle_s: u64,
    /// Time in which a connection to a node must be up.
    pub dial_timeout_ms: u64,
    /// Most connections to one node.
    pub connections_per_node: usize,
    /// Time after which an idle connection to a node is closed.
    pub node_idle_s: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_open: 400,
            sockets: 1024,
            max_attempts: 3,
            second_copies: true,
            max_retry_after_ms: 2000,
            tick_ms: 5,
            records: 50,
            page: 8,
            result_sets: 16,
            session_idle_s: 300,
            dial_timeout_ms: 250,
            connections_per_node: 4,
            node_idle_s: 30,
        }
    }
}

/// The operator's file.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The broker's name, for the log.
    pub name: String,
    /// The zone it is in.
    pub zone: String,
    /// Brokers that share the nodes, this one included.
    pub brokers: u32,
    /// Limits.
    pub limits: Limits,
    /// How the catalogue is cut.
    pub partitions: Partitions,
    /// Classes of query.
    pub class: Vec<QueryClass>,
    /// Databases.
    pub database: Vec<Database>,
    /// Where clients connect.
    pub listener: Vec<Listener>,
    /// Index nodes.
    pub node: Vec<Node>,
    /// Where else they come from, and where their list is kept.
    pub membership: Membership,
    /// How nodes that failed come back to work.
    pub routing: RoutingTimes,
    /// What the staff on duty need.
    pub operation: Operation,
    /// The cluster that it belongs to, if to any.
    pub cluster: Option<ClusterConfig>,
}

impl OperatorConfig {
    /// Reads the file at `path`.
    pub fn from_file(path: &Path) -> Result<OperatorConfig, ConfigError> {
        let fail = |why: String| ConfigError(format!("{}: {why}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| fail(e.to_string()))?;
        let mut told = OperatorConfig::read(&text).map_err(|e| fail(e.0))?;
        if let Some(cluster) = &mut told.cluster {
            cluster.file = Some(path.to_owned());
        }
        if let Some(nodes) = &mut told.membership.nodes_file {
            *nodes = path.parent().unwrap_or(Path::new("")).join(&*nodes);
        }
        Ok(told)
    }

    /// All that is wrong with the file at `path`, and with the file of nodes that it names.
    pub fn faults(path: &Path) -> Vec<String> {
        let said = |why: String| format!("{}: {why}", path.display());
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => return vec![said(e.to_string())],
        };
        match OperatorConfig::read_all(&text) {
            Err(faults) => faults.into_iter().map(|f| said(f.to_string())).collect(),
            Ok(told) => {
                let nodes = told.membership.nodes_file.as_deref();
                let nodes = nodes.map(|n| path.parent().unwrap_or(Path::new("")).join(n));
                let cells = told.partitions.cells;
                nodes.and_then(|n| NodesFile::from_file(&n, cells).err()).into_iter().map(|e| e.0).collect()
            }
        }
    }

    /// Reads the file's text; all that is wrong with it stands in one line.
    pub fn read(text: &str) -> Result<OperatorConfig, ConfigError> {
        OperatorConfig::read_all(text).map_err(joined)
    }

    fn read_all(text: &str) -> Result<OperatorConfig, Vec<Diagnostic>> {
        let mut sheet = TomlDocument::new(text);
        if !sheet.faults.is_empty() {
            return Err(sheet.faults);
        }
        let known = [
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
        sheet.names(&known, &["name", "zone", "partitions"]);
        let (name, zone, partitions) = (sheet.one("name"), sheet.one("zone"), sheet.one("partitions"));
        let mut cluster: Option<ClusterConfig> = sheet.one("cluster");
        let peers = sheet.all("peer");
        if let Some(cluster) = &mut cluster {
            cluster.peers = peers;
        } else if !peers.is_empty() {
            sheet.wrong(("peer", 0, ""), "peer: there is no [cluster] that it could belong to");
        }
        let told = OperatorConfig {
            name: name.unwrap_or_default(),
            zone: zone.unwrap_or_default(),
            brokers: sheet.one("brokers").unwrap_or(1),
            limits: sheet.one("limits").unwrap_or_default(),
            partitions: partitions.unwrap_or_default(),
            class: sheet.all("class"),
            database: sheet.all("database"),
            listener: sheet.all("listener"),
            node: sheet.all("node"),
            membership: sheet.one("membership").unwrap_or_default(),
            routing: sheet.one("routing").unwrap_or_default(),
            operation: sheet.one("operation").unwrap_or_default(),
            cluster,
        };
        // What could not be read would be told of twice.
        if sheet.faults.is_empty() {
            told.check(&mut sheet);
        }
        sheet.faults.sort();
        if sheet.faults.is_empty() { Ok(told) } else { Err(sheet.faults) }
    }

    fn check(&self, sheet: &mut TomlDocument) {
        let p = &self.partitions;
        for (name, n, most) in
            [("count", p.count, 10_000), ("cells", p.cells, 10_000), ("per_key", p.per_key, p.count)]
        {
            if n == 0 || n > most {
                sheet.wrong(
                    ("partitions", 0, name),
                    format!("partitions: {name} {n} must be from 1 to {most}"),
                );
            }
        }
        if p.holders == 0 || p.holders > p.cells {
            let what = format!("partitions: holders {} must be from 1 to cells, {}", p.holders, p.cells);
            sheet.wrong(("partitions", 0, "holders"), what);
        }
        if let Some(index) = self.key_index().filter(|i| index::access_of(i).is_none()) {
            sheet.wrong(
                ("partitions", 0, "key_index"),
                format!("partitions: key_index {index:?} is no known index"),
            );
        }
        self.check_operation(sheet);
        self.check_cluster(sheet);
        self.check_limits(sheet);
        self.check_classes(sheet);
        self.check_membership(sheet);
        check_nodes(&self.node, p.cells, sheet);
        let elsewhere = self.membership.discovery.is_some() || self.membership.nodes_file.is_some();
        let held = |s: u32| (0..p.holders).any(|j| self.node.iter().any(|n| n.cell == (s + j) % p.cells));
        let sound = p.cells > 0 && p.count <= 10_000 && !self.node.is_empty();
        let bare: Vec<u32> = (0..p.count).filter(|s| sound && !elsewhere && !held(*s)).collect();
        if let Some(s) = bare.first() {
            let what = format!("no node holds partition {s}, nor {} others", bare.len() - 1);
            sheet.wrong(("partitions", 0, "count"), what);
        }
        for (section, empty) in [
            ("class", self.class.is_empty()),
            ("database", self.database.is_empty()),
            ("listener", self.listener.is_empty()),
            ("node", self.node.is_empty() && !elsewhere),
        ] {
            if empty {
                sheet.wrong((section, 0, ""), format!("at least one [[{section}]] is needed"));
            }
        }
    }

    fn check_operation(&self, sheet: &mut TomlDocument) {
        if let Some(ops) = self.operation.listen.filter(|ops| ops.port() != 0)
            && self.listener.iter().any(|l| l.listen == ops)
        {
            let what = format!("operation: clients connect to {ops} already");
            sheet.wrong(("operation", 0, "listen"), what);
        }
        for (n, l) in self.listener.iter().enumerate() {
            let Some(fd) = l.descriptor else { continue };
            if fd < 3 {
                let what = format!("listener: descriptor {fd} must be over 2");
                sheet.wrong(("listener", n, "descriptor"), what);
            }
            if self.listener[..n].iter().any(|other| other.descriptor == Some(fd)) {
                let what = format!("listener: descriptor {fd} is there twice");
                sheet.wrong(("listener", n, "descriptor"), what);
            }
        }
        if self.operation.hand_over.is_some() && self.listener.iter().any(|l| l.descriptor.is_none()) {
            let what = "operation: hand_over needs a descriptor for each listener, which both processes hold";
            sheet.wrong(("operation", 0, "hand_over"), what);
        }
    }

    fn check_cluster(&self, sheet: &mut TomlDocument) {
        let Some(c) = &self.cluster else { return };
        let mut wrong =
            |field: &str, what: String| sheet.wrong(("cluster", 0, field), format!("cluster: {what}"));
        if c.name.is_empty() || c.name.len() > LONGEST.0 {
            wrong("name", format!("name {:?} must have from 1 to {} bytes", c.name, LONGEST.0));
        }
        if self.name.is_empty() || self.name.len() > LONGEST.0 {
            wrong("name", format!("the broker's own name must have from 1 to {} bytes", LONGEST.0));
        }
        if c.listen.port() == 0 || c.listen.ip().is_unspecified() {
            wrong("listen", format!("listen {} must be an address that peers can name", c.listen));
        }
        let operated = self.operation.listen.into_iter();
        if operated.chain(self.listener.iter().map(|l| l.listen)).any(|at| at == c.listen) {
            wrong("listen", format!("something else listens at {} already", c.listen));
        }
        if !(20..=60_000).contains(&c.probe_ms) {
            wrong("probe_ms", format!("probe_ms {} must be from 20 to 60000", c.probe_ms));
        }
        if c.keep_words_s == 0 || c.keep_words_s > 3650 * 86_400 {
            wrong("keep_words_s", format!("keep_words_s {} must be from 1 to ten years", c.keep_words_s));
        }
        if !(codec::FIRST_VERSION..=codec::LATEST_VERSION).contains(&c.speak) {
            wrong(
                "speak",
                format!(
                    "speak {} must be from {} to {}",
                    c.speak,
                    codec::FIRST_VERSION,
                    codec::LATEST_VERSION
                ),
            );
        }
        for (n, peer) in c.peers.iter().enumerate() {
            let mut wrong = |field: &str, what: String| {
                sheet.wrong(("peer", n, field), format!("peer {:?}: {what}", peer.name));
            };
            if peer.name.is_empty() || peer.name.len() > LONGEST.0 {
                wrong("name", format!("a name must have from 1 to {} bytes", LONGEST.0));
            }
            if peer.name == self.name {
                wrong("name", "it is this broker's own name".into());
            }
            if c.peers[..n].iter().any(|p| p.name == peer.name) {
                wrong("name", "it is there twice".into());
            }
            if peer.address == c.listen || c.peers[..n].iter().any(|p| p.address == peer.address) {
                wrong("address", format!("{} is another broker's already", peer.address));
            }
            if peer.address.port() == 0 || peer.address.ip().is_unspecified() {
                wrong("address", format!("{} is no address to send to", peer.address));
            }
        }
    }

    fn check_limits(&self, sheet: &mut TomlDocument) {
        let l = &self.limits;
        let needed = [
            ("tick_ms", l.tick_ms),
            ("page", l.page),
            ("connections_per_node", l.connections_per_node as u64),
            ("max_attempts", l.max_attempts.into()),
        ];
        for (name, _) in needed.iter().filter(|(_, n)| *n == 0) {
            sheet.wrong(("limits", 0, name), format!("limits: {name} must be over 0"));
        }
        // Guards the sums that times go into: none is longer than a day.
        let times = [
            ("max_retry_after_ms", l.max_retry_after_ms),
            ("tick_ms", l.tick_ms),
            ("dial_timeout_ms", l.dial_timeout_ms),
            ("session_idle_s", l.session_idle_s.saturating_mul(1000)),
            ("node_idle_s", l.node_idle_s.saturating_mul(1000)),
        ];
        for (name, _) in times.iter().filter(|(_, t)| *t > DAY_MS) {
            sheet.wrong(("limits", 0, name), format!("limits: {name} is longer than a day"));
        }
        for (name, t) in [("warm_up_ms", self.routing.warm_up_ms), ("hold_ms", self.routing.hold_ms)] {
            if t > DAY_MS {
                sheet.wrong(("routing", 0, name), format!("routing: {name} is longer than a day"));
            }
        }
        if l.sockets < 64 {
            sheet.wrong(
                ("limits", 0, "sockets"),
                format!("limits: {} sockets are too few, 64 are the least", l.sockets),
            );
        }
        if l.max_open < 1 + self.partitions.count.min(10_000) {
            let what =
                format!("limits: max_open {} has no room for one query over all partitions", l.max_open);
            sheet.wrong(("limits", 0, "max_open"), what);
        }
    }

    fn check_classes(&self, sheet: &mut TomlDocument) {
        let mut names = HashSet::new();
        for (n, c) in self.class.iter().enumerate() {
            let mut wrong = |field: &str, what: String| {
                sheet.wrong(("class", n, field), format!("class {:?}: {what}", c.name));
            };
            if !names.insert(&c.name) {
                wrong("name", "it is there twice".into());
            }
            for (field, x, most) in [
                ("worth", c.worth, f64::MAX),
                ("late_worth", c.late_worth, f64::MAX),
                ("floor", c.floor, 1.0),
            ] {
                if !(0.0..=most).contains(&x) {
                    let bound = if most == 1.0 { "from 0 to 1" } else { "a number from 0 up" };
                    wrong(field, format!("{field} {x} must be {bound}"));
                }
            }
            if c.deadline_ms > DAY_MS {
                wrong("deadline_ms", "deadline_ms is longer than a day".into());
            }
            if c.aim_ms == 0 || c.aim_ms > c.deadline_ms {
                wrong(
                    "aim_ms",
                    format!("aim_ms {} must be from 1 to deadline_ms, {}", c.aim_ms, c.deadline_ms),
                );
            }
        }
        let mut names = HashSet::new();
        for (n, d) in self.database.iter().enumerate() {
            if !self.class.iter().any(|c| c.name == d.class) {
                let what = format!("database {:?}: there is no class {:?}", d.name, d.class);
                sheet.wrong(("database", n, "class"), what);
            }
            let usable = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            if d.name.is_empty() || d.name == "-" || !d.name.bytes().all(usable) {
                sheet.wrong(("database", n, "name"), format!("database {:?} has an unusable name", d.name));
            }
            if !names.insert(&d.name) {
                sheet.wrong(("database", n, "name"), format!("database {:?} is there twice", d.name));
            }
        }
    }

    fn check_membership(&self, sheet: &mut TomlDocument) {
        let m = &self.membership;
        if !(m.changes_every_h > 0.0 && m.changes_every_h <= 24.0 * 3650.0) {
            let what = format!(
                "membership: changes_every_h {} must be over 0, and ten years at most",
                m.changes_every_h
            );
            sheet.wrong(("membership", 0, "changes_every_h"), what);
        }
        if m.presumed_age_s.saturating_mul(1000) > DAY_MS * 3650 {
            sheet.wrong(
                ("membership", 0, "presumed_age_s"),
                "membership: presumed_age_s is longer than ten years",
            );
        }
        if m.keep.is_some() && m.discovery.is_none() {
            let what = "membership: keep needs discovery, there is no other list to keep";
            sheet.wrong(("membership", 0, "keep"), what);
        }
    }

    /// The index of the composition key.
    pub fn key_index(&self) -> Option<&str> {
        self.partitions.key_index.as_deref()
    }

    /// The number of a zone; every zone that a node is in has one.
    pub fn zone_number(&self, zone: &str) -> u32 {
        let mut zones: Vec<&str> = self.node.iter().map(|n| n.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.iter().position(|z| *z == zone).map_or(u32::MAX, |n| n as u32)
    }

    /// What the module is told.
    pub fn settings(&self) -> Settings {
        let class = |c: &QueryClass| Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: c.aim_ms * MS,
            objective_per_work: 0.0,
            deadline: c.deadline_ms * MS,
            priority_weight: c.worth,
            late_weight: c.late_worth,
            complete_share: 1.0,
            min_answer_share: c.floor,
            partial_value: 0.9,
            fetch_parts: 0,
        };
        let (p, l) = (&self.partitions, &self.limits);
        Settings {
            classes: self.class.iter().map(class).collect(),
            tenants: vec![],
            over_quota_weight: 1.0,
            brokers: self.brokers,
            zone: self.zone_number(&self.zone),
            shards: p.count,
            cells: p.cells,
            span: p.holders,
            // Neither protocol has a call for several searches.
            parts_per_call: 1,
            call_work: 0,
            discovery: Discovery::Pushed,
            max_poll_interval: 0,
            may_cancel: true,
            may_health_check: false,
            may_hedge: l.second_copies,
            max_attempts: l.max_attempts,
            max_in_flight: l.max_open,
            may_send_retry_after: l.max_retry_after_ms > 0,
            max_retry_after: l.max_retry_after_ms * MS,
            retry_budget: None,
            answer_slack: 0,
            slow_start_share: 1.0,
            slow_start_time: 0,
            overload_multiple: 3.0,
            overload_time: 1_500 * MS,
            round_interval: l.tick_ms * MS,
            late_failure_cost: 0.0,
        }
    }
}
