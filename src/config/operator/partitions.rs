//! The section `partitions`: how the catalogue is partitioned over cells of nodes.

use super::bounds::MAX_PARTITIONS;
use super::nodes::Node;
use crate::config::diagnostics::{Setting, TomlDocument};
use crate::config::index;
use serde::Deserialize;

/// How the catalogue is partitioned.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partitions {
    /// Number of partitions.
    pub count: u32,
    /// Number of cells.
    pub cells: u32,
    /// Number of consecutive cells that hold a partition: partition p is in cells p, p + 1 and so on, modulo
    /// `cells`.
    pub holders: u32,
    /// Name of a partition's database on the nodes; `{partition}` in it stands for the partition's number.
    pub database: String,
    /// The CQL index of the composition key, by which records are assigned to partitions.
    pub key_index: Option<String>,
    /// Number of consecutive partitions over which the records of one key may be spread.
    #[serde(default = "one_partition")]
    pub per_key: u32,
}

fn one_partition() -> u32 {
    1
}

impl Partitions {
    /// Checks the section.
    pub(super) fn check(&self, document: &mut TomlDocument<'_>) {
        for (name, n, most) in [
            ("count", self.count, MAX_PARTITIONS),
            ("cells", self.cells, MAX_PARTITIONS),
            ("per_key", self.per_key, self.count),
        ] {
            if n == 0 || n > most {
                let what = format!("partitions: {name} {n} must be from 1 to {most}");
                document.report(Setting::new("partitions", name), what);
            }
        }
        if self.holders == 0 || self.holders > self.cells {
            let what =
                format!("partitions: holders {} must be from 1 to cells, {}", self.holders, self.cells);
            document.report(Setting::new("partitions", "holders"), what);
        }
        if let Some(index) = self.key_index.as_deref().filter(|i| index::access_of(i).is_none()) {
            let what = format!("partitions: key_index {index:?} is not a known index");
            document.report(Setting::new("partitions", "key_index"), what);
        }
    }

    /// Checks that at least one node holds each partition, if there are any nodes.
    pub(super) fn check_coverage(&self, nodes: &[Node], document: &mut TomlDocument<'_>) {
        // Too many partitions, or no cells, are reported by `check`.
        if self.cells == 0 || self.count > MAX_PARTITIONS || nodes.is_empty() {
            return;
        }
        let is_held = |partition: u32| {
            (0..self.holders).any(|j| nodes.iter().any(|n| n.cell == (partition + j) % self.cells))
        };
        let without_node: Vec<u32> = (0..self.count).filter(|partition| !is_held(*partition)).collect();
        if let Some(partition) = without_node.first() {
            let others = without_node.len() - 1;
            let what = format!("no node holds partition {partition}; others without a node: {others}");
            document.report(Setting::new("partitions", "count"), what);
        }
    }
}
