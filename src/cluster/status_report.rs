//! What people are told of a cluster: log lines, and the answers to calls.

use super::Cluster;
use crate::api::Nanos;
use crate::gossip::swim::PeerStatus;
use crate::gossip::{GossipNode, Notification, SyncStatus};

use crate::replication::{FactKey, FactValue, Register, StateStore, StoreLimits};
use serde_json::{Value, json};

/// Most things that an answer names, and their bytes: what the second address holds for one caller. How many
/// there are stands beside them.
const MOST: (usize, usize) = (200, 64 * 1024);

/// One log line.
pub fn log_notification(told: &Notification, member: &GossipNode) {
    match told {
        Notification::PeerUp(name) => tracing::info!("cluster: {name} is up"),
        Notification::PeerSuspected(name) => tracing::info!("cluster: {name} does not answer"),
        Notification::PeerDown(name) => tracing::warn!("cluster: {name} is down"),
        Notification::Refuted => {
            tracing::info!("cluster: others took this broker for gone; it says that it is not")
        }
        Notification::Stalled(ns) => {
            tracing::warn!(
                "cluster: this process did not run for {} ms; that time counts for nobody",
                ns / 1_000_000
            );
        }
        Notification::Dropped(why, from) => tracing::warn!("cluster: not listened to at {from}: {why}"),
        Notification::CaughtUp(name) => tracing::info!(
            "cluster: caught up with {name}: {} facts, digest {:016x}",
            member.store().len(),
            member.store().tree().root()
        ),
        Notification::Isolated => {
            tracing::warn!("cluster: no peer can be reached; this broker goes by what it has on disk")
        }
        Notification::OriginReplaced => {
            tracing::error!("cluster: another process used this one's stamps; it has drawn others")
        }
        Notification::RemovedFromCluster => {
            tracing::error!("cluster: this broker was removed by hand and tells its peers nothing more")
        }
        Notification::FactsReceived(n) => tracing::info!("cluster: {n} words came that were missed here"),
        Notification::FactChanged(key) => match member.store().register(key) {
            Some(r) => tracing::info!("cluster: {key} is now {}", describe_register(r)),
            None => tracing::info!("cluster: {key} is forgotten"),
        },
    }
}

fn describe_register(register: &Register) -> String {
    let one = |(dot, s): (crate::replication::Dot, &crate::replication::OperatorCommand)| {
        format!("{} by {:?} at {} as {dot}", s.value.label(), s.author, s.broker)
    };
    let all: Vec<String> = register.commands().map(one).collect();
    if all.is_empty() { "nothing".into() } else { all.join(", and ") }
}

/// The words on a key, for scripts.
pub fn register_report(key: &FactKey, register: &Register, now: Nanos) -> Value {
    let said = |(dot, s): (crate::replication::Dot, &crate::replication::OperatorCommand)| {
        json!({
            "says": s.value.label(), "by": s.author, "why": s.reason, "at_broker": s.broker,
            "at_ms": s.issued_at / 1_000_000, "until_ms": s.expires_at.map(|t| t / 1_000_000), "stamp": dot.to_string(),
        })
    };
    json!({
        "of": key.to_string(), "out": register.is_set(now), "conflict": register.has_conflict(now),
        "words": register.commands().map(said).collect::<Vec<_>>(),
    })
}

/// Words of a copy, for scripts, in the order of their keys: how many there are, and as many of them as fit.
fn register_reports(
    copy: &StateStore,
    now: Nanos,
    most: (usize, usize),
    shown: impl Fn(&FactKey) -> bool,
) -> (usize, Vec<Value>) {
    let mut all: Vec<(&FactKey, &Register)> = copy.registers().filter(|(k, _)| shown(k)).collect();
    all.sort_by_key(|(key, _)| *key);
    let (n, mut bytes) = (all.len(), 0);
    let mut values = Vec::new();
    for (key, r) in all.into_iter().take(most.0) {
        let value = register_report(key, r, now);
        bytes += value.to_string().len();
        if bytes > most.1 {
            break;
        }
        values.push(value);
    }
    (n, values)
}

/// A copy, for `state show`.
pub fn store_report(copy: &StateStore, now: Nanos) -> Value {
    let (n, words) = register_reports(copy, now, (usize::MAX, usize::MAX), |_| true);
    json!({ "digest": format!("{:016x}", copy.tree().root()), "facts": copy.len(), "words": n, "first": words })
}

/// On what two copies differ, for `state diff`, and whether they do.
pub fn difference_report(copy: &StateStore, other: Option<&StateStore>, now: Nanos) -> (Value, bool) {
    let nothing = StateStore::new(copy.origin(), StoreLimits::default());
    let other = other.unwrap_or(&nothing);
    let mut all: Vec<(String, Value)> = Vec::new();
    for (side, one, two) in [("first", copy, other), ("second", other, copy)] {
        for (key, entry) in one.facts().filter(|(key, entry)| two.get(key) != Some(*entry)) {
            let mut shown = match entry {
                FactValue::Commands(r) => register_report(key, r, now),
                _ => json!({ "of": key.to_string() }),
            };
            shown["of"] = format!("{side}: {key}").into();
            all.push((key.to_string() + side, shown));
        }
    }
    all.sort_by(|a, b| a.0.cmp(&b.0));
    let differs = !all.is_empty();
    (json!({ "facts": all.len(), "first": all.into_iter().map(|(_, v)| v).collect::<Vec<_>>() }), differs)
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

    /// Who the peers are and who is up.
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
                let heard = peer.since_last_received.map(|t| t / 1_000_000);
                peers.push(json!({ "name": peer.name, "address": peer.address.to_string(), "is": status, "same_copy": peer.is_in_sync, "heard_ms_ago": heard }));
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

    /// What is known.
    pub fn state_report(&self, now: Nanos) -> Value {
        let Some(member) = &self.node else { return json!({ "standing": self.readiness() }) };
        let copy = member.store();
        let (n, words) = register_reports(copy, now, MOST, |_| true);
        let kept = member.is_persisted() && self.writes_in_flight.is_empty();
        json!({
            "standing": self.readiness(), "digest": format!("{:016x}", copy.tree().root()), "facts": copy.len(),
            "on_disk": kept, "words": n, "first": words,
        })
    }

    /// On what words that know nothing of each other differ.
    pub fn conflicts_report(&self, now: Nanos) -> Value {
        let Some(member) = &self.node else { return json!({ "standing": self.readiness() }) };
        let conflict = |key: &FactKey| member.derived_state().conflicts.contains(key);
        let (n, first) = register_reports(member.store(), now, MOST, conflict);
        json!({ "conflicts": n, "first": first })
    }
}
