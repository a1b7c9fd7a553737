//! The sections `class` and `database`: the databases that clients query, and the latency objectives and
//! priorities of their queries.

use super::bounds::{DAY_MS, default_weight};
use crate::config::diagnostics::{Setting, TomlDocument};
use serde::Deserialize;
use std::collections::HashSet;

/// A class of queries.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryClass {
    /// Its name.
    pub name: String,
    /// Latency objective, ms.
    pub aim_ms: u64,
    /// Time after which clients stop waiting for an answer, ms.
    pub deadline_ms: u64,
    /// Priority weight of an answer relative to other classes.
    #[serde(default = "default_weight")]
    pub worth: f64,
    /// Fraction of that weight for an answer that misses the latency objective.
    #[serde(default)]
    pub late_worth: f64,
    /// Smallest fraction of the partitions that an answer may cover, 0 to 1.
    #[serde(default = "all_partitions")]
    pub floor: f64,
}

fn all_partitions() -> f64 {
    1.0
}

/// A database, under the name that clients use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its name: the path in SRU, the database name in Z39.50.
    pub name: String,
    /// The class of its queries.
    pub class: String,
}

/// Checks each class, and that names are unique.
pub(super) fn check_classes(classes: &[QueryClass], document: &mut TomlDocument<'_>) {
    let mut names = HashSet::new();
    for (n, class) in classes.iter().enumerate() {
        let mut report = |field: &str, what: String| {
            document.report(Setting::nth("class", n, field), format!("class {:?}: {what}", class.name));
        };
        if !names.insert(&class.name) {
            report("name", "it is there twice".into());
        }
        for (field, value, most) in [
            ("worth", class.worth, f64::MAX),
            ("late_worth", class.late_worth, f64::MAX),
            ("floor", class.floor, 1.0),
        ] {
            if !(0.0..=most).contains(&value) {
                let bound = if most == 1.0 { "from 0 to 1" } else { "a number from 0 up" };
                report(field, format!("{field} {value} must be {bound}"));
            }
        }
        if class.deadline_ms > DAY_MS {
            report("deadline_ms", "deadline_ms is longer than a day".into());
        }
        if class.aim_ms == 0 || class.aim_ms > class.deadline_ms {
            let what =
                format!("aim_ms {} must be from 1 to deadline_ms, {}", class.aim_ms, class.deadline_ms);
            report("aim_ms", what);
        }
    }
}

/// Checks each database's name, that names are unique, and that its class exists.
pub(super) fn check_databases(
    databases: &[Database],
    classes: &[QueryClass],
    document: &mut TomlDocument<'_>,
) {
    let mut names = HashSet::new();
    for (n, database) in databases.iter().enumerate() {
        let name = &database.name;
        if !classes.iter().any(|c| c.name == database.class) {
            let what = format!("database {name:?}: there is no class {:?}", database.class);
            document.report(Setting::nth("database", n, "class"), what);
        }
        let setting = Setting::nth("database", n, "name");
        let is_usable = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        if name.is_empty() || name == "-" || !name.bytes().all(is_usable) {
            document.report(setting, format!("database {name:?} has an unusable name"));
        }
        if !names.insert(name) {
            document.report(setting, format!("database {name:?} is there twice"));
        }
    }
}
