//! Datagrams and connections between simulated brokers, with the conditions of their links.

use super::{Event, MILLISECOND, SimulatedCluster, StreamEnd, address, index_of};
use pebbleturn::gossip::{Output, codec};
use rand_pcg::rand_core::Rng;
use std::collections::VecDeque;

/// Interval at which frames on a cut link are retried, ns.
const CUT_RETRY_INTERVAL: u64 = 200 * MILLISECOND;
/// Time until the other end sees that a connection was closed, ns. Longer than the frames sent before it
/// take.
const CLOSE_DELAY: u64 = 20 * MILLISECOND;

impl SimulatedCluster {
    fn random_delay(&mut self) -> u64 {
        let range = self.links.max_delay - self.links.min_delay;
        self.links.min_delay + u64::from(self.rng.next_u32()) % range.max(1)
    }

    /// Whether the link is cut in one direction or the other.
    pub(super) fn is_cut_either_way(&self, a: usize, b: usize) -> bool {
        self.cut_links.contains(&(a, b)) || self.cut_links.contains(&(b, a))
    }

    pub(super) fn handle_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Datagram { to, bytes } => self.send_datagram(n, index_of(to), &bytes),
            Output::Dial { stream, to } => self.dial(n, stream, index_of(to)),
            Output::Send { stream, bytes } => self.send_on_stream(n, stream, bytes),
            Output::Close { stream } => self.close(n, stream),
        }
    }

    fn count_bytes(&mut self, n: usize, bytes: &[u8]) {
        self.counts.bytes += bytes.len() as u64;
        self.bytes_sent[n] += bytes.len() as u64;
    }

    fn send_datagram(&mut self, n: usize, to: usize, bytes: &[u8]) {
        self.counts.datagrams += 1;
        self.count_bytes(n, bytes);
        if self.cut_links.contains(&(n, to)) || self.chance(self.links.loss) {
            return;
        }
        let copies = if self.chance(self.links.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.random_delay();
            self.schedule(at, Event::Datagram { to, from: address(n), bytes: bytes.to_vec() });
        }
    }

    fn dial(&mut self, n: usize, stream: u64, to: usize) {
        self.sessions_begun[n] += 1;
        if self.nodes[to].member.is_none() {
            self.schedule(self.now + MILLISECOND, Event::Closed { node: n, stream });
            return;
        }
        // Over a cut link or to a paused broker the dial gets no answer, and times out at the broker that
        // dials.
        if self.is_cut_either_way(n, to) || self.nodes[to].paused_until > self.now {
            return;
        }
        let peer_stream = self.nodes[to].next_stream;
        self.nodes[to].next_stream += 1;
        let end = |peer, peer_stream| StreamEnd { peer, peer_stream, in_transit: VecDeque::new() };
        self.nodes[n].streams.insert(stream, end(to, peer_stream));
        self.nodes[to].streams.insert(peer_stream, end(n, stream));
        let now = self.local_time(to);
        if let Some(member) = &mut self.nodes[to].member {
            member.on_accepted(peer_stream, address(n), now);
        }
        self.drain_outputs(to);
        let at = self.now + self.random_delay();
        self.schedule(at, Event::Connected { node: n, stream });
    }

    fn send_on_stream(&mut self, n: usize, stream: u64, bytes: Vec<u8>) {
        self.count_bytes(n, &bytes);
        let at = self.now + self.random_delay();
        let Some(end) = self.nodes[n].streams.get(&stream) else { return };
        let (peer, peer_stream) = (end.peer, end.peer_stream);
        if let Some(end) = self.nodes[peer].streams.get_mut(&peer_stream) {
            let at = end.in_transit.back().map_or(at, |(last, _)| at.max(*last));
            end.in_transit.push_back((at, bytes));
            self.schedule(at, Event::DeliverFrames { node: peer, stream: peer_stream });
        }
    }

    fn close(&mut self, n: usize, stream: u64) {
        if let Some(end) = self.nodes[n].streams.remove(&stream) {
            let closed = Event::Closed { node: end.peer, stream: end.peer_stream };
            self.schedule(self.now + CLOSE_DELAY, closed);
        }
    }

    pub(super) fn deliver_frames(&mut self, node: usize, stream: u64, now: u64) {
        let at = self.now;
        let Some(peer) = self.nodes[node].streams.get(&stream).map(|end| end.peer) else { return };
        if self.is_cut_either_way(peer, node) {
            return self.schedule(at + CUT_RETRY_INTERVAL, Event::DeliverFrames { node, stream });
        }
        let Some(end) = self.nodes[node].streams.get_mut(&stream) else { return };
        let mut frames = Vec::new();
        while let Some((_, bytes)) = end.in_transit.pop_front_if(|(t, _)| *t <= at) {
            frames.push(bytes);
        }
        if let Some((t, _)) = end.in_transit.front() {
            let t = *t;
            self.schedule(t, Event::DeliverFrames { node, stream });
        }
        for bytes in frames {
            let end = codec::frame_end(&bytes).unwrap().unwrap();
            assert_eq!(end, bytes.len());
            if let Some(member) = &mut self.nodes[node].member {
                member.on_frame(stream, address(peer), &bytes[4..], now);
            }
        }
    }
}
