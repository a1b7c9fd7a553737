//! The sections `class` and `database`: what clients ask for, and how soon it is wanted.

use super::bounds::{DAY_MS, default_weight};
use crate::config::diagnostics::{Setting, TomlDocument};
use serde::Deserialize;
use std::collections::HashSet;

/// A class of query.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryClass {
    /// Its name.
    pub name: String,
    /// Latency objective, ms.
    pub aim_ms: u64,
    /// Time after which clients give up, ms.
    pub deadline_ms: u64,
    /// Priority weight of an answer among those of other classes.
    #[serde(default = "default_weight")]
    pub worth: f64,
    /// Share of that weight that an answer after the latency objective has.
    #[serde(default)]
    pub late_worth: f64,
    /// Smallest share of the partitions that an answer may be given from, 0 to 1.
    #[serde(default = "all_partitions")]
    pub floor: f64,
}

fn all_partitions() -> f64 {
    1.0
}

/// A database by the name that clients use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its name: SRU's path, Z39.50's database name.
    pub name: String,
    /// The class of its queries.
    pub class: String,
}

/// Checks each class by itself and its name against the others'.
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

/// Checks each database's name, and that its class is there.
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
