//! Invariants over all simulated brokers, and the state of each of them.

use super::{Node, SimulatedCluster};
use pebbleturn::gossip::swim::PeerStatus;
use pebbleturn::gossip::{GossipNode, SyncStatus};
use pebbleturn::replication::derived_state::DerivedState;
use pebbleturn::replication::{CommandValue, Dot, FactKey};

impl SimulatedCluster {
    /// Whether the stores of all brokers that run are equal.
    pub fn stores_are_equal(&self) -> bool {
        let mut roots = self.nodes.iter().filter_map(|n| Some(n.member.as_ref()?.store().tree().root()));
        let first = roots.next();
        roots.all(|r| Some(r) == first)
    }

    /// How many of the brokers that run know this command.
    pub fn count_knowing(&self, key: &FactKey, dot: Dot) -> usize {
        let knows =
            |m: &&GossipNode| m.store().register(key).is_some_and(|r| r.causal_context().contains(dot));
        self.nodes.iter().filter_map(|n| n.member.as_ref()).filter(knows).count()
    }

    /// Checks that the stores follow from the acknowledged commands, once all stores are equal. Adds to
    /// [`SimulatedCluster::violations`].
    pub fn check_invariants(&mut self) {
        let Some(store) = self.nodes.iter().find_map(|n| n.member.as_ref()).map(|m| m.store().clone()) else {
            return;
        };
        for n in &self.nodes {
            if let Some(m) = &n.member
                && m.store().to_bytes() != store.to_bytes()
            {
                self.violations.push("stores of brokers differ in their bytes".into());
            }
        }
        let is_current = |key: &FactKey, dot: Dot| {
            store.register(key).is_some_and(|r| r.commands().any(|(d, _)| d == dot))
        };
        for command in &self.acknowledged {
            let superseded = self
                .acknowledged
                .iter()
                .any(|later| later.supersedes.contains(&command.dot) && !later.lost_with_disk);
            if superseded && is_current(&command.key, command.dot) {
                self.violations
                    .push(format!("superseded command {} of {} is in force again", command.dot, command.key));
            }
            let lost = command.value == CommandValue::Set
                && !superseded
                && !command.lost_with_disk
                && !is_current(&command.key, command.dot);
            // It may have been superseded by a command that was never acknowledged and yet survived.
            let superseded_unacknowledged = store.register(&command.key).is_some_and(|r| {
                r.commands().any(|(d, _)| d != command.dot && !self.acknowledged.iter().any(|o| o.dot == d))
            });
            if lost && !superseded_unacknowledged {
                self.violations
                    .push(format!("command {} of {} was acknowledged and is lost", command.dot, command.key));
            }
        }
        for (key, register) in store.registers() {
            for (dot, command) in register.commands() {
                if self.commands_by_dot.get(&dot).is_none_or(|(k, s)| k != key || s != command) {
                    self.violations.push(format!("command {dot} of {key} was never recorded"));
                }
            }
        }
    }

    /// The state of all brokers, for the message of a failing test.
    pub fn describe(&self) -> String {
        let one = |(n, node): (usize, &Node)| match &node.member {
            None => format!("{n}: does not run"),
            Some(m) => {
                let peers: Vec<String> = m
                    .peers(self.local_time(n))
                    .map(|p| {
                        format!("{} {:?} {:?} {:?}", p.name, p.status, p.is_in_sync, p.since_last_received)
                    })
                    .collect();
                format!(
                    "{n}: {:?}, skew {}, root {:x}, {} facts, {peers:?}",
                    m.sync_status(),
                    node.clock_skew,
                    m.store().tree().root(),
                    m.store().len()
                )
            }
        };
        self.nodes.iter().enumerate().map(one).collect::<Vec<_>>().join("\n")
    }

    /// How many peers a broker considers up.
    pub fn peers_up(&self, n: usize) -> usize {
        let now = self.local_time(n);
        self.nodes[n]
            .member
            .as_ref()
            .map_or(0, |m| m.peers(now).filter(|p| p.status == PeerStatus::Alive).count())
    }

    /// Whether a broker runs and has caught up.
    pub fn is_caught_up(&self, n: usize) -> bool {
        self.nodes[n].member.as_ref().is_some_and(|m| m.sync_status() == SyncStatus::CaughtUp)
    }

    /// The state that a broker derives from its store.
    pub fn derived_state(&self, n: usize) -> DerivedState {
        self.nodes[n].member.as_ref().map(|m| m.derived_state().clone()).unwrap_or_default()
    }
}
