//! Handles the events of the simulation and the outputs of brokers.

use super::{DISK_WRITE_TIME, Event, MILLISECOND, SimulatedCluster, name};
use pebbleturn::gossip::{GossipNode, Notification};
use pebbleturn::replication::Origin;
use rand_pcg::rand_core::Rng;

impl SimulatedCluster {
    pub(super) fn handle_event(&mut self, event: Event) {
        let node = match &event {
            Event::Wakeup(n) | Event::Persisted(n) => *n,
            Event::Datagram { to, .. } => *to,
            Event::Connected { node, .. }
            | Event::DeliverFrames { node, .. }
            | Event::Closed { node, .. } => *node,
        };
        if self.nodes[node].paused_until > self.now {
            let at = self.nodes[node].paused_until;
            return self.schedule(at, event);
        }
        let now = self.local_time(node);
        match event {
            Event::Wakeup(n) => {
                if self.nodes[n].next_wakeup != Some(self.now) {
                    // A call in between has moved the wakeup to a later time.
                    if self.nodes[n].next_wakeup.is_some_and(|w| w > self.now) {
                        return;
                    }
                }
                self.nodes[n].next_wakeup = None;
                if let Some(m) = &mut self.nodes[n].member {
                    m.tick(now);
                }
            }
            Event::Persisted(n) => self.on_persisted(n),
            Event::Datagram { to, from, bytes } => {
                if let Some(m) = &mut self.nodes[to].member {
                    m.on_datagram(from, &bytes, now);
                }
            }
            Event::Connected { node, stream } => {
                if self.nodes[node].streams.contains_key(&stream)
                    && let Some(m) = &mut self.nodes[node].member
                {
                    m.on_connected(stream, now);
                }
            }
            Event::DeliverFrames { node, stream } => self.deliver_frames(node, stream, now),
            Event::Closed { node, stream } => {
                self.nodes[node].streams.remove(&stream);
                if let Some(m) = &mut self.nodes[node].member {
                    m.on_closed(stream, now);
                }
            }
        }
        self.drain_outputs(node);
    }

    fn on_persisted(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        for (key, entry) in std::mem::take(&mut node.writing) {
            node.disk.insert(key, entry);
        }
        let unacknowledged = std::mem::take(&mut node.unacknowledged);
        for dot in unacknowledged {
            self.acknowledged.extend(self.recorded.remove(&dot));
        }
    }

    /// Carries out a broker's pending outputs after a call, and schedules its next deadline.
    pub(super) fn drain_outputs(&mut self, n: usize) {
        while let Some(output) = self.nodes[n].member.as_mut().and_then(GossipNode::take_output) {
            self.handle_output(n, output);
        }
        while let Some(notification) = self.nodes[n].member.as_mut().and_then(GossipNode::take_notification) {
            self.count_notification(n, notification);
        }
        let Some(m) = &mut self.nodes[n].member else { return };
        while m.take_updated_server().is_some() {}
        if m.has_duplicate_origin() {
            let origin = Origin(u64::from(self.rng.next_u32()));
            m.replace_origin(origin);
        }
        let facts = m.take_unpersisted(usize::MAX);
        if !facts.is_empty() {
            self.nodes[n].writing.extend(facts);
            self.schedule(self.now + DISK_WRITE_TIME, Event::Persisted(n));
        }
        let now = self.local_time(n);
        let Some(m) = &mut self.nodes[n].member else { return };
        let due = m.next_deadline(now).saturating_sub(now).max(MILLISECOND / 10) + self.now;
        if self.nodes[n].next_wakeup.is_none_or(|w| due < w || w < self.now) {
            self.nodes[n].next_wakeup = Some(due);
            self.schedule(due, Event::Wakeup(n));
        }
    }

    fn count_notification(&mut self, n: usize, notification: Notification) {
        match notification {
            Notification::PeerDown(peer) => {
                self.counts.peers_down += 1;
                let p = (0..self.brokers).find(|p| name(*p) == peer).unwrap_or(0);
                if self.is_running(p) && !self.is_cut_either_way(n, p) {
                    self.counts.false_positives += 1;
                }
            }
            Notification::Refuted => self.counts.refutations += 1,
            Notification::CaughtUp(_) => self.counts.completed_catch_ups += 1,
            _ => {}
        }
    }
}
