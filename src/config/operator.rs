//! The operator's file: what the catalogue front is told.

use super::ConfigError;
use crate::api::*;
use crate::front::catalogue::search;
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

const MS: Nanos = 1_000_000;
const DAY_MS: u64 = 86_400_000;

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
#[derive(Clone, Debug, Deserialize)]
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
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The broker's name, for the log.
    pub name: String,
    /// The zone it is in.
    pub zone: String,
    /// Brokers that share the nodes, this one included.
    #[serde(default = "one_partition")]
    pub brokers: u32,
    /// Limits.
    #[serde(default)]
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
}

impl Operator {
    /// Reads the file at `path`.
    pub fn from_file(path: &Path) -> Result<Operator, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError(format!("{}: {e}", path.display())))?;
        Operator::read(&text).map_err(|e| ConfigError(format!("{}: {}", path.display(), e.0)))
    }

    /// Reads the file's text.
    pub fn read(text: &str) -> Result<Operator, ConfigError> {
        let told: Operator = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |s| text[..s.start].lines().count().max(1));
            ConfigError(format!("line {line}: {}", e.message().replace('\n', " ")))
        })?;
        told.check()?;
        Ok(told)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let fail = |what: String| Err(ConfigError(what));
        let p = &self.partitions;
        if p.count == 0 || p.count > 10_000 || p.cells == 0 || p.holders == 0 || p.holders > p.cells {
            return fail("partitions: count, cells and holders don't fit".into());
        }
        if p.per_key == 0 || p.per_key > p.count {
            return fail("partitions: per_key must be from 1 to count".into());
        }
        if let Some(index) = self.key_index().filter(|i| search::access_of(i).is_none()) {
            return fail(format!("partitions: key_index {index:?} is no known index"));
        }
        if self.limits.tick_ms == 0 || self.limits.page == 0 || self.limits.connections_per_node == 0 {
            return fail("limits: tick_ms, page and connections_per_node must be over 0".into());
        }
        let l = &self.limits;
        // Guards the sums that times go into: none is longer than a day.
        let ms = [l.max_retry_after_ms, l.tick_ms, l.dial_timeout_ms].into_iter();
        let ms = ms.chain(self.class.iter().map(|c| c.deadline_ms));
        if let Some(long) =
            ms.chain([l.session_idle_s, l.node_idle_s].map(|s| s.saturating_mul(1000))).find(|t| *t > DAY_MS)
        {
            return fail(format!("a time of {long} ms is longer than a day"));
        }
        if self.limits.sockets < 64 {
            return fail(format!("limits: {} sockets are too few", self.limits.sockets));
        }
        if self.limits.max_open < 1 + p.count {
            return fail(format!("limits: max_open {} has no room for one query", self.limits.max_open));
        }
        let mut names = HashSet::new();
        if let Some(c) = self.class.iter().find(|c| !names.insert(&c.name)) {
            return fail(format!("class {:?} is there twice", c.name));
        }
        for c in &self.class {
            let sound = [c.worth, c.late_worth, c.floor].iter().all(|x| x.is_finite() && *x >= 0.0);
            if !sound || c.floor > 1.0 || c.aim_ms == 0 || c.aim_ms > c.deadline_ms {
                return fail(format!("class {:?}: its times, worths or floor don't fit", c.name));
            }
        }
        if self.database.is_empty() || self.listener.is_empty() || self.node.is_empty() {
            return fail("a database, a listener and a node are the least".into());
        }
        for d in &self.database {
            if !self.class.iter().any(|c| c.name == d.class) {
                return fail(format!("database {:?}: there is no class {:?}", d.name, d.class));
            }
            let sound = !d.name.is_empty()
                && d.name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
            if !sound || d.name == "-" {
                return fail(format!("database {:?} has an unusable name", d.name));
            }
        }
        let mut ids = HashSet::new();
        if let Some(n) = self.node.iter().find(|n| !ids.insert(&n.id)) {
            return fail(format!("node {:?} is there twice", n.id));
        }
        if let Some(n) = self.node.iter().find(|n| n.cell >= p.cells) {
            return fail(format!("node {:?}: there is no cell {}", n.id, n.cell));
        }
        let held = |s: u32| (0..p.holders).any(|j| self.node.iter().any(|n| n.cell == (s + j) % p.cells));
        if let Some(s) = (0..p.count).find(|s| !held(*s)) {
            return fail(format!("no node holds partition {s}"));
        }
        Ok(())
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
            effect: Effect::Safe,
            aim: c.aim_ms * MS,
            aim_stretch: 0.0,
            deadline: c.deadline_ms * MS,
            worth: c.worth,
            late_worth: c.late_worth,
            need: 1.0,
            min_share: c.floor,
            partial_earns: 0.9,
            fetch_parts: 0,
        };
        let (p, l) = (&self.partitions, &self.limits);
        Settings {
            classes: self.class.iter().map(class).collect(),
            tenants: vec![],
            over_share_worth: 1.0,
            roots: self.brokers,
            zone: self.zone_number(&self.zone),
            shards: p.count,
            cells: p.cells,
            span: p.holders,
            // Neither protocol has a call for several searches.
            parts_per_call: 1,
            call_work: 0,
            discovery: Discovery::Pushed,
            must_ask_in: 0,
            may_cancel: true,
            may_probe: false,
            may_copy: l.second_copies,
            max_attempts: l.max_attempts,
            max_open: l.max_open,
            may_advise_wait: l.max_retry_after_ms > 0,
            max_wait: l.max_retry_after_ms * MS,
            budget: None,
            answer_slack: 0,
            cold_share: 1.0,
            cold_time: 0,
            fall_multiple: 3.0,
            fall_time: 1_500 * MS,
            tick: l.tick_ms * MS,
            late_fail_price: 0.0,
        }
    }
}
