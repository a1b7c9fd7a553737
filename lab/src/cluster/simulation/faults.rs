//! Operations and faults on simulated brokers: starts, kills, pauses, disks, clocks, cut links, commands.

use super::{Acknowledged, Event, MILLISECOND, START_TIME, SimulatedCluster, address, name};
use pebbleturn::gossip::{GossipNode, GossipSettings, swim};
use pebbleturn::replication::{
    CommandValue, Dot, Fact, FactKey, FactValue, OperatorCommand, Origin, ProcessStart, StateStore,
    StoreLimits,
};
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;

impl SimulatedCluster {
    /// Starts a broker with the facts on its disk.
    pub fn start(&mut self, n: usize) {
        let seed = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        self.nodes[n].clock_skew = self.nodes[n].next_clock_skew;
        let now = self.local_time(n);
        let node = &mut self.nodes[n];
        let settings = GossipSettings {
            cluster: "kochi".into(),
            name: name(n),
            peers: node.listed.iter().map(|p| (name(*p), address(*p))).collect(),
            swim: swim::SwimSettings {
                probe_interval: self.probe_interval,
                probe_timeout: self.probe_interval * 3 / 10,
                indirect_probes: 3,
            },
            store_limits: self.store_limits,
            latest_version: node.latest_version,
            seed,
        };
        let persisted: Vec<Fact> = node.disk.iter().map(|(k, e)| (k.clone(), e.clone())).collect();
        // Like the program, from its clock, which may have been set back.
        let incarnation = now / MILLISECOND;
        node.member = Some(GossipNode::new(settings, Origin(seed ^ n as u64), &persisted, incarnation, now));
        (node.next_wakeup, node.paused_until) = (None, 0);
        self.drain_outputs(n);
    }

    /// Kills a broker: what was not on disk is lost.
    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.member = None;
        node.writing.clear();
        node.unacknowledged.clear();
        let ends = std::mem::take(&mut node.streams);
        let at = self.now + MILLISECOND;
        for end in ends.into_values() {
            self.schedule(at, Event::Closed { node: end.peer, stream: end.peer_stream });
        }
    }

    /// Pauses a broker for this span, ns.
    pub fn pause(&mut self, n: usize, span: u64) {
        self.nodes[n].paused_until = self.now + span;
    }

    /// Sets how far a broker's clock is ahead, ns, from its next start on: the clock of a process never
    /// jumps.
    pub fn set_clock_skew(&mut self, n: usize, clock_skew: i64) {
        self.nodes[n].next_clock_skew = clock_skew;
    }

    /// Sets the latest version of frames that a broker reads, from its next start on.
    pub fn set_latest_version(&mut self, n: usize, version: u8) {
        self.nodes[n].latest_version = version;
    }

    /// Sets the peers that a broker's file lists, from its next start on.
    pub fn set_listed_peers(&mut self, n: usize, listed: Vec<usize>) {
        self.nodes[n].listed = listed;
    }

    /// The facts on a broker's disk.
    pub fn disk(&self, n: usize) -> BTreeMap<FactKey, FactValue> {
        self.nodes[n].disk.clone()
    }

    /// Replaces the disk of a broker that does not run. Commands that no other broker has are lost with it.
    pub fn set_disk(&mut self, n: usize, disk: BTreeMap<FactKey, FactValue>) {
        self.nodes[n].disk = disk;
        let known = |dot: Dot, key: &FactKey, facts: Option<&FactValue>| {
            matches!(facts, Some(FactValue::Commands(r)) if r.causal_context().contains(dot))
                && !matches!(key, FactKey::Collected(_))
        };
        for i in 0..self.acknowledged.len() {
            let (dot, key) = (self.acknowledged[i].dot, self.acknowledged[i].key.clone());
            let is_known = self.nodes.iter().any(|node| {
                known(dot, &key, node.disk.get(&key))
                    || node.member.as_ref().is_some_and(|m| known(dot, &key, m.store().get(&key)))
            });
            self.acknowledged[i].lost_with_disk |= !is_known;
        }
    }

    /// Fills a broker's disk with `facts` commands that were issued when the simulation began.
    pub fn fill_disk(&mut self, n: usize, facts: usize) {
        let mut store = StateStore::new(Origin(0xf111 + n as u64), StoreLimits::default());
        for i in 0..facts {
            let key = FactKey::Server(format!("s-{i:05}"));
            let command = OperatorCommand {
                value: CommandValue::Set,
                author: "staff".into(),
                reason: "filled".into(),
                broker: name(n),
                issued_at: START_TIME,
                expires_at: None,
            };
            if let Ok(dot) = store.record(&key, command.clone()) {
                self.commands_by_dot.insert(dot, (key, command));
            }
        }
        self.nodes[n].disk = store.facts().map(|(k, e)| (k.clone(), e.clone())).collect();
    }

    /// Cuts or heals a link in one direction.
    pub fn set_link_cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cut_links.insert((from, to));
        } else {
            self.cut_links.remove(&(from, to));
        }
    }

    /// Records an operator's command at a broker. `None` if it does not run or does not accept the command.
    pub fn record(&mut self, n: usize, key: &FactKey, value: CommandValue) -> Option<Dot> {
        let now = self.local_time(n);
        let command = OperatorCommand {
            value: value.clone(),
            author: "staff".into(),
            reason: "test".into(),
            broker: name(n),
            issued_at: now,
            expires_at: None,
        };
        let member = self.nodes[n].member.as_mut()?;
        let current: Vec<Dot> =
            member.store().register(key).map_or(vec![], |r| r.commands().map(|(d, _)| d).collect());
        let dot = member.record(key, command.clone(), now).ok()?;
        if self.commands_by_dot.insert(dot, (key.clone(), command)).is_some() {
            self.violations.push(format!("stamp {dot} is used twice"));
        }
        let pending =
            Acknowledged { key: key.clone(), dot, value, supersedes: current, lost_with_disk: false };
        self.recorded.insert(dot, pending);
        self.nodes[n].unacknowledged.push(dot);
        self.drain_outputs(n);
        Some(dot)
    }

    /// Discovery reports a drain or a start of a server to a broker.
    pub fn record_process_event(&mut self, n: usize, key: FactKey, latest: ProcessStart) {
        let now = self.local_time(n);
        if let Some(member) = &mut self.nodes[n].member {
            member.record_process_event(key, latest, now);
            self.drain_outputs(n);
        }
    }

    /// Delivers bytes to a broker as a datagram from the address of the broker `from`.
    pub fn inject(&mut self, n: usize, from: usize, bytes: &[u8]) {
        let now = self.local_time(n);
        if let Some(member) = &mut self.nodes[n].member {
            member.on_datagram(address(from), bytes, now);
            self.drain_outputs(n);
        }
    }
}
