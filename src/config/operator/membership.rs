//! The sections `membership` and `routing`: where nodes come from, and how they come back after a failure.

use super::bounds::{DAY_MS, TEN_YEARS_S};
use crate::config::diagnostics::{Setting, TomlDocument};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Hours of ten years.
const TEN_YEARS_H: f64 = 24.0 * 3650.0;

/// Sources of nodes beside the operator's file, and where their list is cached.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Address of the discovery that is watched. It has a node's protocol as its `kind`: `sru` or `z3950`.
    pub discovery: Option<SocketAddr>,
    /// A file of nodes that is read again on SIGHUP. A relative path starts at the operator's file's
    /// directory.
    pub nodes_file: Option<PathBuf>,
    /// The directory in which discovery's list is cached over restarts.
    pub keep: Option<PathBuf>,
    /// Expected mean time between two changes of one node, hours.
    pub changes_every_h: f64,
    /// Assumed age of a cached list that has no time of its own, seconds.
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

/// How nodes come back after a failure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingTimes {
    /// Length of the recovery ramp, in which a recovered node grows to its full weight, ms.
    pub warm_up_ms: u64,
    /// Time for which a recovered node must work before its stand-ins are released, ms.
    pub hold_ms: u64,
}

impl Default for RoutingTimes {
    fn default() -> RoutingTimes {
        RoutingTimes { warm_up_ms: 10_000, hold_ms: 15_000 }
    }
}

impl Membership {
    /// Whether nodes come from elsewhere than the operator's file, too.
    pub(super) fn has_other_source(&self) -> bool {
        self.discovery.is_some() || self.nodes_file.is_some()
    }

    /// Checks the section.
    pub(super) fn check(&self, document: &mut TomlDocument<'_>) {
        if !(self.changes_every_h > 0.0 && self.changes_every_h <= TEN_YEARS_H) {
            let what = format!(
                "membership: changes_every_h {} must be over 0, and ten years at most",
                self.changes_every_h
            );
            document.report(Setting::new("membership", "changes_every_h"), what);
        }
        if self.presumed_age_s.saturating_mul(1000) > TEN_YEARS_S * 1000 {
            let what = "membership: presumed_age_s is longer than ten years";
            document.report(Setting::new("membership", "presumed_age_s"), what);
        }
        if self.keep.is_some() && self.discovery.is_none() {
            let what = "membership: keep needs discovery, there is no other list to keep";
            document.report(Setting::new("membership", "keep"), what);
        }
    }
}

impl RoutingTimes {
    /// Checks the section.
    pub(super) fn check(&self, document: &mut TomlDocument<'_>) {
        for (name, time) in [("warm_up_ms", self.warm_up_ms), ("hold_ms", self.hold_ms)] {
            if time > DAY_MS {
                document
                    .report(Setting::new("routing", name), format!("routing: {name} is longer than a day"));
            }
        }
    }
}
