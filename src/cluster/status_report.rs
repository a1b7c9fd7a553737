//! The log lines of a cluster, and its reports to operators.

use super::Cluster;
use crate::api::Nanos;
use crate::gossip::swim::PeerStatus;
use crate::gossip::{GossipNode, Notification, SyncStatus};
use crate::replication::{FactKey, FactValue, Register, StateStore, StoreLimits};
use serde_json::{Value, json};

/// Most entries that a report lists, and their total size in bytes: what the admin endpoint buffers for one
/// caller. The report also has the number of all entries.
const REPORT_LIMITS: (usize, usize) = (200, 64 * 1024);

/// Logs a notification of the gossip node.
pub fn log_notification(notification: &Notification, member: &GossipNode) {
    match notification {
        Notification::PeerUp(name) => tracing::info!("cluster: {name} is up"),
        Notification::PeerSuspected(name) => tracing::info!("cluster: {name} does not answer"),
        Notification::PeerDown(name) => tracing::warn!("cluster: {name} is down"),
        Notification::Refuted => {
            tracing::info!("cluster: peers reported this broker as suspect or down; this was refuted")
        }
        Notification::Stalled(ns) => {
            tracing::warn!(
                "cluster: this process did not run for {} ms; that time is not counted against any peer",
                ns / 1_000_000
            );
        }
        Notification::Dropped(reason, from) => {
            tracing::warn!("cluster: input from {from} was dropped: {reason}")
        }
        Notification::CaughtUp(name) => tracing::info!(
            "cluster: caught up with {name}: {} facts, digest {:016x}",
            member.store().len(),
            member.store().tree().root()
        ),
        Notification::Isolated => {
            tracing::warn!("cluster: no peer can be reached; this broker uses its own state")
        }
        Notification::OriginReplaced => {
            tracing::error!(
                "cluster: another process used this one's origin; a new origin is used from now on"
            )
        }
        Notification::RemovedFromCluster => {
            tracing::error!(
                "cluster: this broker was removed by hand; it sends nothing to its peers any more"
            )
        }
        Notification::FactsReceived(n) => {
            tracing::info!("cluster: {n} facts that were missed here were received")
        }
        Notification::FactChanged(key) => match member.store().register(key) {
            Some(r) => tracing::info!("cluster: {key} is now {}", describe_register(r)),
            None => tracing::info!("cluster: the commands on {key} were removed by garbage collection"),
        },
    }
}

fn describe_register(register: &Register) -> String {
    let describe = |(dot, command): (crate::replication::Dot, &crate::replication::OperatorCommand)| {
        format!("{} by {:?} at {} as {dot}", command.value.label(), command.author, command.broker)
    };
    let descriptions: Vec<String> = register.commands().map(describe).collect();
    if descriptions.is_empty() { "nothing".into() } else { descriptions.join(", and ") }
}

/// The commands on a key, as JSON.
pub fn register_report(key: &FactKey, register: &Register, now: Nanos) -> Value {
    let command_report = |(dot, command): (crate::replication::Dot, &crate::replication::OperatorCommand)| {
        json!({
            "says": command.value.label(), "by": command.author, "why": command.reason,
            "at_broker": command.broker, "at_ms": command.issued_at / 1_000_000,
            "until_ms": command.expires_at.map(|t| t / 1_000_000), "stamp": dot.to_string(),
        })
    };
    json!({
        "of": key.to_string(), "out": register.is_set(now), "conflict": register.has_conflict(now),
        "words": register.commands().map(command_report).collect::<Vec<_>>(),
    })
}

/// The registers of a store as JSON, in the order of their keys: their number, and as many of them as the
/// limits permit.
fn register_reports(
    store: &StateStore,
    now: Nanos,
    limits: (usize, usize),
    is_included: impl Fn(&FactKey) -> bool,
) -> (usize, Vec<Value>) {
    let mut registers: Vec<(&FactKey, &Register)> =
        store.registers().filter(|(key, _)| is_included(key)).collect();
    registers.sort_by_key(|(key, _)| *key);
    let (count, mut bytes) = (registers.len(), 0);
    let mut reports = Vec::new();
    for (key, register) in registers.into_iter().take(limits.0) {
        let report = register_report(key, register, now);
        bytes += report.to_string().len();
        if bytes > limits.1 {
            break;
        }
        reports.push(report);
    }
    (count, reports)
}

/// The report on a store for `state show`.
pub fn store_report(store: &StateStore, now: Nanos) -> Value {
    let (count, reports) = register_reports(store, now, (usize::MAX, usize::MAX), |_| true);
    json!({
        "digest": format!("{:016x}", store.tree().root()), "facts": store.len(),
        "words": count, "first": reports,
    })
}

/// The report on the differences between two stores for `state diff`, and whether there are any.
pub fn difference_report(store: &StateStore, other: Option<&StateStore>, now: Nanos) -> (Value, bool) {
    let empty = StateStore::new(store.origin(), StoreLimits::default());
    let other = other.unwrap_or(&empty);
    let mut differences: Vec<(String, Value)> = Vec::new();
    for (side, this_side, that_side) in [("first", store, other), ("second", other, store)] {
        for (key, entry) in this_side.facts().filter(|(key, entry)| that_side.get(key) != Some(*entry)) {
            let mut report = match entry {
                FactValue::Commands(r) => register_report(key, r, now),
                _ => json!({ "of": key.to_string() }),
            };
            report["of"] = format!("{side}: {key}").into();
            differences.push((key.to_string() + side, report));
        }
    }
    differences.sort_by(|a, b| a.0.cmp(&b.0));
    let differs = !differences.is_empty();
    (
        json!({
            "facts": differences.len(), "first": differences.into_iter().map(|(_, v)| v).collect::<Vec<_>>(),
        }),
        differs,
    )
}

impl Cluster {
    fn readiness(&self) -> &'static str {
        match self.node.as_ref().map(|m| m.sync_status()) {
            None => "reading the disk",
            Some(_) if self.sockets.is_none() => "waiting for its address",
            Some(SyncStatus::CatchingUp) => "catching up",
            Some(SyncStatus::CaughtUp) => "caught up",
            Some(SyncStatus::Isolated) => "alone",
        }
    }

    /// The report on the peers and their status.
    pub fn peers_report(&self, now: Nanos, longest_turn: Nanos) -> Value {
        let mut peers = Vec::new();
        let mut dropped = serde_json::Map::new();
        if let Some(member) = &self.node {
            for peer in member.peers(now) {
                let status = match peer.status {
                    PeerStatus::Alive => "up",
                    PeerStatus::Suspect => "suspected",
                    PeerStatus::Down if peer.since_last_received.is_none() => "never heard of",
                    PeerStatus::Down => "down",
                };
                let since_received = peer.since_last_received.map(|t| t / 1_000_000);
                peers.push(json!({
                    "name": peer.name, "address": peer.address.to_string(), "is": status,
                    "same_copy": peer.is_in_sync, "heard_ms_ago": since_received,
                }));
            }
            dropped.extend(member.drop_counts().map(|(why, n)| (why.to_string(), n.into())));
        }
        json!({
            "cluster": self.settings.cluster, "name": self.settings.name, "standing": self.readiness(),
            "slowness": self.node.as_ref().map_or(0, |m| m.health_score()),
            "incarnation": self.node.as_ref().map_or(0, |m| m.incarnation()),
            "removed": self.derived_state().map(|e| &e.removed_brokers), "peers": peers, "dropped": dropped,
            "longest_turn_us": longest_turn / 1000, "longest_for_peers_us": self.longest_turn / 1000,
        })
    }

    /// The report on the replicated state.
    pub fn state_report(&self, now: Nanos) -> Value {
        let Some(member) = &self.node else { return json!({ "standing": self.readiness() }) };
        let store = member.store();
        let (count, reports) = register_reports(store, now, REPORT_LIMITS, |_| true);
        let is_on_disk = member.is_persisted() && self.writes_in_flight.is_empty();
        json!({
            "standing": self.readiness(), "digest": format!("{:016x}", store.tree().root()),
            "facts": store.len(), "on_disk": is_on_disk, "words": count, "first": reports,
        })
    }

    /// The report on keys with concurrent commands that contradict each other.
    pub fn conflicts_report(&self, now: Nanos) -> Value {
        let Some(member) = &self.node else { return json!({ "standing": self.readiness() }) };
        let in_conflict = |key: &FactKey| member.derived_state().conflicts.contains(key);
        let (count, reports) = register_reports(member.store(), now, REPORT_LIMITS, in_conflict);
        json!({ "conflicts": count, "first": reports })
    }
}
