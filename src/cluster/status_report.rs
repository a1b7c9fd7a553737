//! What people are told of a cluster: log lines, and the answers to calls.

use super::Cluster;
use crate::api::Nanos;
use crate::gossip::node::{Member, Standing, Told};
use crate::gossip::swim::Status;
use crate::replication::derived_state;
use crate::replication::{Bounds, Copy, Entry, Key, Register};
use serde_json::{Value, json};

/// Most things that an answer names, and their bytes: what the second address holds for one caller. How many there are
/// stands beside them.
const MOST: (usize, usize) = (200, 64 * 1024);

/// One log line.
pub fn tell(told: &Told, member: &Member) {
    match told {
        Told::Up(name) => tracing::info!("cluster: {name} is up"),
        Told::Suspected(name) => tracing::info!("cluster: {name} does not answer"),
        Told::Down(name) => tracing::warn!("cluster: {name} is down"),
        Told::Refuted => tracing::info!("cluster: others took this broker for gone; it says that it is not"),
        Told::Late(ns) => {
            tracing::warn!(
                "cluster: this process did not run for {} ms; that time counts for nobody",
                ns / 1_000_000
            );
        }
        Told::Dropped(why, from) => tracing::warn!("cluster: not listened to at {from}: {why}"),
        Told::CaughtUp(name) => tracing::info!(
            "cluster: caught up with {name}: {} facts, digest {:016x}",
            member.copy().len(),
            member.copy().tree().root()
        ),
        Told::Alone => {
            tracing::warn!("cluster: no peer can be reached; this broker goes by what it has on disk")
        }
        Told::Doubled => {
            tracing::error!("cluster: another process used this one's stamps; it has drawn others")
        }
        Told::Removed => {
            tracing::error!("cluster: this broker was removed by hand and tells its peers nothing more")
        }
        Told::Came(n) => tracing::info!("cluster: {n} words came that were missed here"),
        Told::Changed(key) => match member.copy().register(key) {
            Some(r) => tracing::info!("cluster: {key} is now {}", words(r)),
            None => tracing::info!("cluster: {key} is forgotten"),
        },
    }
}

fn words(register: &Register) -> String {
    let one = |(dot, s): (crate::replication::Dot, &crate::replication::Said)| {
        format!("{} by {:?} at {} as {dot}", derived_state::word(&s.value), s.who, s.at_broker)
    };
    let all: Vec<String> = register.said().map(one).collect();
    if all.is_empty() { "nothing".into() } else { all.join(", and ") }
}

/// The words on a key, for scripts.
pub fn register(key: &Key, register: &Register, now: Nanos) -> Value {
    let said = |(dot, s): (crate::replication::Dot, &crate::replication::Said)| {
        json!({
            "says": derived_state::word(&s.value), "by": s.who, "why": s.why, "at_broker": s.at_broker,
            "at_ms": s.at / 1_000_000, "until_ms": s.until.map(|t| t / 1_000_000), "stamp": dot.to_string(),
        })
    };
    json!({
        "of": key.to_string(), "out": register.is_out(now), "conflict": register.is_conflict(now),
        "words": register.said().map(said).collect::<Vec<_>>(),
    })
}

/// Words of a copy, for scripts, in the order of their keys: how many there are, and as many of them as fit.
fn registers(
    copy: &Copy,
    now: Nanos,
    most: (usize, usize),
    shown: impl Fn(&Key) -> bool,
) -> (usize, Vec<Value>) {
    let mut all: Vec<(&Key, &Register)> = copy.registers().filter(|(k, _)| shown(k)).collect();
    all.sort_by_key(|(key, _)| *key);
    let (n, mut bytes) = (all.len(), 0);
    let mut values = Vec::new();
    for (key, r) in all.into_iter().take(most.0) {
        let value = register(key, r, now);
        bytes += value.to_string().len();
        if bytes > most.1 {
            break;
        }
        values.push(value);
    }
    (n, values)
}

/// A copy, for `state show`.
pub fn shown(copy: &Copy, now: Nanos) -> Value {
    let (n, words) = registers(copy, now, (usize::MAX, usize::MAX), |_| true);
    json!({ "digest": format!("{:016x}", copy.tree().root()), "facts": copy.len(), "words": n, "first": words })
}

/// On what two copies differ, for `state diff`, and whether they do.
pub fn differences(copy: &Copy, other: Option<&Copy>, now: Nanos) -> (Value, bool) {
    let nothing = Copy::new(copy.origin(), Bounds::default());
    let other = other.unwrap_or(&nothing);
    let mut all: Vec<(String, Value)> = Vec::new();
    for (side, one, two) in [("first", copy, other), ("second", other, copy)] {
        for (key, entry) in one.facts().filter(|(key, entry)| two.get(key) != Some(*entry)) {
            let mut shown = match entry {
                Entry::Words(r) => register(key, r, now),
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
    fn standing(&self) -> &'static str {
        match self.member.as_ref().map(|m| m.standing()) {
            None => "reading the disk",
            Some(_) if self.sockets.is_none() => "waiting for its address",
            Some(Standing::Catching) => "catching up",
            Some(Standing::CaughtUp) => "caught up",
            Some(Standing::Alone) => "alone",
        }
    }

    /// Who the peers are and who is up.
    pub fn peers(&self, now: Nanos, longest_turn: Nanos) -> Value {
        let mut peers = Vec::new();
        let mut dropped = serde_json::Map::new();
        if let Some(member) = &self.member {
            for (name, at, status, same, ago) in member.peers(now) {
                let status = match status {
                    Status::Alive => "up",
                    Status::Suspect => "suspected",
                    Status::Down if ago.is_none() => "never heard of",
                    Status::Down => "down",
                };
                let heard = ago.map(|t| t / 1_000_000);
                peers.push(json!({ "name": name, "address": at.to_string(), "is": status, "same_copy": same, "heard_ms_ago": heard }));
            }
            dropped.extend(member.dropped().map(|(why, n)| (why.to_string(), n.into())));
        }
        json!({
            "cluster": self.settings.cluster, "name": self.settings.name, "standing": self.standing(),
            "slowness": self.member.as_ref().map_or(0, |m| m.health()),
            "incarnation": self.member.as_ref().map_or(0, |m| m.incarnation()),
            "removed": self.effect().map(|e| &e.removed), "peers": peers, "dropped": dropped,
            "longest_turn_us": longest_turn / 1000, "longest_for_peers_us": self.longest / 1000,
        })
    }

    /// What is known.
    pub fn state(&self, now: Nanos) -> Value {
        let Some(member) = &self.member else { return json!({ "standing": self.standing() }) };
        let copy = member.copy();
        let (n, words) = registers(copy, now, MOST, |_| true);
        let kept = member.is_kept() && self.writing.is_empty();
        json!({
            "standing": self.standing(), "digest": format!("{:016x}", copy.tree().root()), "facts": copy.len(),
            "on_disk": kept, "words": n, "first": words,
        })
    }

    /// On what words that know nothing of each other differ.
    pub fn conflicts(&self, now: Nanos) -> Value {
        let Some(member) = &self.member else { return json!({ "standing": self.standing() }) };
        let conflict = |key: &Key| member.effect().conflicts.contains(key);
        let (n, first) = registers(member.copy(), now, MOST, conflict);
        json!({ "conflicts": n, "first": first })
    }
}
