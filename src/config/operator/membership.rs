//! The sections `membership` and `routing`: sources of nodes, and how nodes return to use after a failure.

use super::bounds::{DAY_MS, TEN_YEARS_S};
use crate::config::diagnostics::{Setting, TomlDocument};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Hours in ten years.
const TEN_YEARS_H: f64 = 24.0 * 3650.0;

/// Sources of nodes besides the operator's file, and where their list is cached.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Address of the discovery service to watch. A node's `kind` there is its protocol: `sru` or `z3950`.
    pub discovery: Option<SocketAddr>,
    /// A file of nodes that is reloaded on SIGHUP. A relative path is relative to the directory of the
    /// operator's file.
    pub nodes_file: Option<PathBuf>,
    /// The directory in which the list from discovery is cached across restarts.
    pub keep: Option<PathBuf>,
    /// Expected mean time between changes of one node, hours.
    pub changes_every_h: f64,
    /// Assumed age of a cached list without a timestamp, seconds.
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

/// How nodes return to use after a failure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingTimes {
    /// Length of the recovery ramp, over which a recovered node's weight rises to its full value, ms.
    pub warm_up_ms: u64,
    /// Time for which a recovered node must stay healthy before the nodes that replace it are released, ms.
    pub hold_ms: u64,
}

impl Default for RoutingTimes {
    fn default() -> RoutingTimes {
        RoutingTimes { warm_up_ms: 10_000, hold_ms: 15_000 }
    }
}

impl Membership {
    /// Whether there is a source of nodes besides the operator's file.
    pub(super) fn has_other_source(&self) -> bool {
        self.discovery.is_some() || self.nodes_file.is_some()
    }

    /// Checks the section.
    pub(super) fn check(&self, document: &mut TomlDocument<'_>) {
        if !(self.changes_every_h > 0.0 && self.changes_every_h <= TEN_YEARS_H) {
            let what = format!(
                "membership: changes_every_h {} must be over 0 and at most ten years",
                self.changes_every_h
            );
            document.report(Setting::new("membership", "changes_every_h"), what);
        }
        if self.presumed_age_s.saturating_mul(1000) > TEN_YEARS_S * 1000 {
            let what = "membership: presumed_age_s is longer than ten years";
            document.report(Setting::new("membership", "presumed_age_s"), what);
        }
        if self.keep.is_some() && self.discovery.is_none() {
            let what = "membership: keep needs discovery, no other list is cached";
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
