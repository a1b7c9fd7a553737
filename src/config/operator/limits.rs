//! The section `limits`.

use super::bounds::{DAY_MS, MAX_PARTITIONS};
use crate::config::diagnostics::{Setting, TomlDocument};
use serde::Deserialize;

/// Smallest limit on open descriptors with which a broker works.
const MIN_SOCKETS: usize = 64;

/// Limits of the broker.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of queries and parts in flight.
    pub max_open: u32,
    /// Limit on open descriptors.
    pub sockets: usize,
    /// Maximum number of attempts per part.
    pub max_attempts: u32,
    /// Whether requests may be hedged: a part may run on two nodes at once.
    pub second_copies: bool,
    /// Longest `Retry-After` for a rejected client, ms; 0 sends none.
    pub max_retry_after_ms: u64,
    /// Shortest interval between decision rounds, ms.
    pub tick_ms: u64,
    /// Maximum number of records in one answer.
    pub records: u64,
    /// Maximum number of records per request to a node.
    pub page: u64,
    /// Maximum number of result sets per session.
    pub result_sets: usize,
    /// Time after which an idle session is closed, seconds.
    pub session_idle_s: u64,
    /// Timeout for establishing a connection to a node, ms.
    pub dial_timeout_ms: u64,
    /// Maximum number of connections to one node.
    pub connections_per_node: usize,
    /// Time after which an idle connection to a node is closed, seconds.
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

impl Limits {
    /// Checks the section. In `max_open`, a query counts once for itself and once for each of `partitions`.
    pub(super) fn check(&self, partitions: u32, document: &mut TomlDocument<'_>) {
        self.check_positive(document);
        self.check_times(document);
        if self.sockets < MIN_SOCKETS {
            let what = format!("limits: sockets {} must be at least {MIN_SOCKETS}", self.sockets);
            document.report(Setting::new("limits", "sockets"), what);
        }
        if self.max_open < 1 + partitions.min(MAX_PARTITIONS) {
            let what =
                format!("limits: max_open {} is too low for one query over all partitions", self.max_open);
            document.report(Setting::new("limits", "max_open"), what);
        }
    }

    fn check_positive(&self, document: &mut TomlDocument<'_>) {
        let needed = [
            ("tick_ms", self.tick_ms),
            ("page", self.page),
            ("connections_per_node", self.connections_per_node as u64),
            ("max_attempts", self.max_attempts.into()),
        ];
        for (name, _) in needed.iter().filter(|(_, n)| *n == 0) {
            document.report(Setting::new("limits", name), format!("limits: {name} must be over 0"));
        }
    }

    /// Checks that no time is longer than a day, so that sums of times don't overflow.
    fn check_times(&self, document: &mut TomlDocument<'_>) {
        let times = [
            ("max_retry_after_ms", self.max_retry_after_ms),
            ("tick_ms", self.tick_ms),
            ("dial_timeout_ms", self.dial_timeout_ms),
            ("session_idle_s", self.session_idle_s.saturating_mul(1000)),
            ("node_idle_s", self.node_idle_s.saturating_mul(1000)),
        ];
        for (name, _) in times.iter().filter(|(_, time)| *time > DAY_MS) {
            document.report(Setting::new("limits", name), format!("limits: {name} is longer than a day"));
        }
    }
}
