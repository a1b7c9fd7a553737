//! Anti-entropy over connections: decides when and with which peer this broker begins a session, and handles
//! the frames of the sessions that it or a peer began.

use super::dissemination::drop_reason;
use super::{GossipNode, MILLISECOND, Output};
use crate::api::Nanos;
use crate::gossip::codec::{FIRST_VERSION, Sender, StreamFrame};
use crate::gossip::input_limits::DropReason;
use crate::gossip::notification::{Notification, SyncStatus};
use crate::gossip::peer_table::Peer;
use crate::gossip::swim::{PeerStatus, Probe, StatusUpdate, Swim};
use crate::replication::anti_entropy::{self, SyncMessage, SyncSession};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Minimum time for which two stores differ before they are synchronized. A random time of up to the same
/// length is added.
const MIN_DIVERGENCE: Nanos = 1_000 * MILLISECOND;
/// Mean time after a session that this broker began until it checks whether the next one is due.
const SYNC_INTERVAL: Nanos = 1_000 * MILLISECOND;
/// As [`SYNC_INTERVAL`], while this broker catches up.
const CATCH_UP_SYNC_INTERVAL: Nanos = 200 * MILLISECOND;
/// Maximum number of bytes of facts that one session transfers.
const SESSION_BUDGET_BYTES: usize = 1 << 20;
/// Time without received data after which a connection is closed.
const STREAM_IDLE_TIMEOUT: Nanos = 5_000 * MILLISECOND;
/// Maximum number of concurrent connections that peers opened.
const MAX_INCOMING_STREAMS: usize = 4;
/// Time since the last session after which one is begun with a peer that sends no Merkle roots.
const ROOTLESS_SYNC_INTERVAL: Nanos = 10_000 * MILLISECOND;
/// Number of probe intervals without a completed session after which this broker counts as isolated.
const ISOLATED_AFTER_PROBE_INTERVALS: u64 = 3;
/// Lower bound of the probe interval in this calculation.
const MIN_ISOLATION_INTERVAL: Nanos = 1_000 * MILLISECOND;

/// Progress of a session that this broker began.
#[derive(Clone, Debug)]
enum OutgoingState {
    /// The peer has not sent its hello. The first message of the session is sent when it arrives.
    AwaitingHello { first_message: SyncMessage },
    /// Messages of the session are exchanged.
    InProgress,
}

/// A session that this broker began.
#[derive(Clone, Debug)]
struct OutgoingSync {
    stream: u64,
    peer: usize,
    session: SyncSession,
    state: OutgoingState,
    last_activity: Nanos,
}

/// A session that a peer began.
#[derive(Clone, Debug)]
struct IncomingSync {
    /// `None` until its hello is received.
    peer: Option<usize>,
    last_activity: Nanos,
}

/// The sessions in progress, and the time at which the next one begins.
#[derive(Clone, Debug)]
pub(super) struct SyncDriver {
    status: SyncStatus,
    catching_up_since: Nanos,
    outgoing: Option<OutgoingSync>,
    /// By the number of the connection.
    incoming: BTreeMap<u64, IncomingSync>,
    /// The number of the last connection that this broker opened.
    last_stream: u64,
    next_begin: Nanos,
}

impl SyncDriver {
    pub(super) fn new(swim: &mut Swim, now: Nanos) -> SyncDriver {
        SyncDriver {
            status: SyncStatus::CatchingUp,
            catching_up_since: now,
            outgoing: None,
            incoming: BTreeMap::new(),
            last_stream: 0,
            next_begin: now + swim.jitter(CATCH_UP_SYNC_INTERVAL),
        }
    }

    pub(super) fn status(&self) -> SyncStatus {
        self.status
    }

    /// Returns when the next session begins or the next connection exceeds its idle timeout.
    pub(super) fn next_deadline(&self) -> Option<Nanos> {
        let begin = self.outgoing.is_none().then_some(self.next_begin);
        let outgoing = self.outgoing.iter().map(|sync| sync.last_activity);
        let incoming = self.incoming.values().map(|sync| sync.last_activity);
        let idle = outgoing.chain(incoming).map(|at| at + STREAM_IDLE_TIMEOUT).min();
        begin.into_iter().chain(idle).min()
    }

    /// Brings the next session forward to at most [`CATCH_UP_SYNC_INTERVAL`] from now.
    pub(super) fn begin_soon(&mut self, now: Nanos) {
        self.next_begin = self.next_begin.min(now + CATCH_UP_SYNC_INTERVAL);
    }

    /// Starts catching up at once if this process did not run for longer than [`STREAM_IDLE_TIMEOUT`].
    pub(super) fn on_stall(&mut self, span: Nanos, now: Nanos) {
        if self.status == SyncStatus::CaughtUp && span > STREAM_IDLE_TIMEOUT {
            self.status = SyncStatus::CatchingUp;
            self.catching_up_since = now;
            self.next_begin = now;
        }
    }

    fn is_outgoing(&self, stream: u64) -> bool {
        self.outgoing.as_ref().is_some_and(|sync| sync.stream == stream)
    }

    /// Returns the connections that exceeded the idle timeout, the outgoing one first.
    fn idle_streams(&self, now: Nanos) -> Vec<u64> {
        let is_idle = |last_activity: Nanos| last_activity + STREAM_IDLE_TIMEOUT <= now;
        let outgoing = self.outgoing.iter().filter(|sync| is_idle(sync.last_activity));
        let incoming = self.incoming.iter().filter(|(_, sync)| is_idle(sync.last_activity));
        outgoing.map(|sync| sync.stream).chain(incoming.map(|(stream, _)| *stream)).collect()
    }
}

impl GossipNode {
    /// Handles a connection opened by a peer, to which the caller assigned this number.
    pub fn on_accepted(&mut self, stream: u64, from: SocketAddr, now: Nanos) {
        let rejection = if !self.peers.lists_ip(from.ip()) {
            Some(DropReason::UnlistedAddress)
        } else if self.sync.incoming.len() >= MAX_INCOMING_STREAMS || self.is_removed {
            Some(DropReason::ProtocolViolation)
        } else {
            None
        };
        if let Some(reason) = rejection {
            self.count_drop(reason, from, now);
            self.outputs.push_back(Output::Close { stream });
            return;
        }
        self.sync.incoming.insert(stream, IncomingSync { peer: None, last_activity: now });
    }

    /// Handles the establishment of a connection that this broker opened.
    pub fn on_connected(&mut self, stream: u64, now: Nanos) {
        let hello = self.hello();
        if let Some(sync) = self.sync.outgoing.as_mut().filter(|sync| sync.stream == stream) {
            sync.last_activity = now;
            self.send_frame(stream, &hello);
        }
    }

    /// Handles the end of a connection.
    pub fn on_closed(&mut self, stream: u64, now: Nanos) {
        self.sync.incoming.remove(&stream);
        if self.sync.is_outgoing(stream) {
            self.sync.outgoing = None;
            self.schedule_sync(now);
        }
    }

    /// Handles a frame received on a connection, without its length prefix.
    pub fn on_frame(&mut self, stream: u64, from: SocketAddr, bytes: &[u8], now: Nanos) {
        let decoded = StreamFrame::decode(bytes).map_err(drop_reason);
        let handled = decoded.and_then(|frame| {
            if self.sync.incoming.contains_key(&stream) {
                self.on_request(stream, from, frame, now)
            } else if self.sync.is_outgoing(stream) {
                self.on_reply(from, frame, now)
            } else {
                Ok(())
            }
        });
        if let Err(reason) = handled {
            self.count_drop(reason, from, now);
            self.close_stream(stream, now);
        }
        self.flush_failure_detector(now);
    }

    fn hello(&self) -> StreamFrame {
        StreamFrame::Hello { sender: self.sender(), status_updates: self.swim.all_updates() }
    }

    fn send_frame(&mut self, stream: u64, frame: &StreamFrame) {
        self.outputs.push_back(Output::Send { stream, bytes: frame.encode() });
    }

    fn close_stream(&mut self, stream: u64, now: Nanos) {
        self.outputs.push_back(Output::Close { stream });
        self.on_closed(stream, now);
    }

    fn on_hello(&mut self, index: usize, sender: &Sender, updates: &[StatusUpdate], now: Nanos) {
        let peer = &mut self.peers[index];
        peer.latest_version = sender.latest_version;
        // If another process sends datagrams under this name, the origin and incarnation in those take
        // precedence over the hello.
        if peer.origin.is_none_or(|origin| origin == sender.origin) {
            peer.origin = Some(sender.origin);
            peer.last_received = Some(now);
            self.swim.on_message(index, sender.incarnation, &Probe::Gossip, now);
        }
        self.swim.on_status_updates(&sender.name, updates, now);
    }

    /// Answers a frame of a session that a peer began.
    fn on_request(
        &mut self,
        stream: u64,
        from: SocketAddr,
        frame: StreamFrame,
        now: Nanos,
    ) -> Result<(), DropReason> {
        let known_peer = self.sync.incoming.get(&stream).and_then(|sync| sync.peer);
        let (peer, reply) = match (known_peer, frame) {
            (None, StreamFrame::Hello { sender, status_updates }) => {
                let peer = self.identify(&sender)?;
                self.verify_sender(peer, &sender)?;
                self.on_hello(peer, &sender, &status_updates, now);
                (peer, self.hello())
            }
            (Some(peer), StreamFrame::Sync(message)) => {
                self.merge_facts(message.facts(), from, now);
                let answer = anti_entropy::respond(&self.store, &message);
                (peer, StreamFrame::Sync(answer.map_err(|_| DropReason::ProtocolViolation)?))
            }
            _ => return Err(DropReason::ProtocolViolation),
        };
        self.sync.incoming.insert(stream, IncomingSync { peer: Some(peer), last_activity: now });
        self.send_frame(stream, &reply);
        Ok(())
    }

    /// Returns the index of the peer that has the sender's name.
    fn identify(&self, sender: &Sender) -> Result<usize, DropReason> {
        let index = self.swim.peer_index(&sender.name);
        index.ok_or_else(|| {
            if sender.name == self.settings.name { DropReason::OwnName } else { DropReason::UnlistedAddress }
        })
    }

    /// Handles a frame of the session that this broker began.
    fn on_reply(&mut self, from: SocketAddr, frame: StreamFrame, now: Nanos) -> Result<(), DropReason> {
        let Some(mut sync) = self.sync.outgoing.take() else { return Ok(()) };
        sync.last_activity = now;
        match self.next_message(&mut sync, from, frame, now) {
            Ok(Some(message)) => {
                self.send_frame(sync.stream, &StreamFrame::Sync(message));
                self.sync.outgoing = Some(sync);
                Ok(())
            }
            Ok(None) => {
                self.finish_sync(&sync, now);
                Ok(())
            }
            Err(reason) => {
                self.sync.outgoing = Some(sync);
                Err(reason)
            }
        }
    }

    /// Returns the message that follows this frame in the session; `None` at the end of the session.
    fn next_message(
        &mut self,
        sync: &mut OutgoingSync,
        from: SocketAddr,
        frame: StreamFrame,
        now: Nanos,
    ) -> Result<Option<SyncMessage>, DropReason> {
        match (frame, &sync.state) {
            (
                StreamFrame::Hello { sender, status_updates },
                OutgoingState::AwaitingHello { first_message },
            ) => {
                self.verify_sender(sync.peer, &sender)?;
                self.on_hello(sync.peer, &sender, &status_updates, now);
                let first_message = first_message.clone();
                sync.state = OutgoingState::InProgress;
                Ok(Some(first_message))
            }
            (StreamFrame::Sync(message), OutgoingState::InProgress) => {
                self.merge_facts(message.facts(), from, now);
                sync.session.on_response(&self.store, &message).map_err(|_| DropReason::ProtocolViolation)
            }
            _ => Err(DropReason::ProtocolViolation),
        }
    }

    /// Handles the regular end of a session: both stores are the same, or its budget is used up.
    fn finish_sync(&mut self, sync: &OutgoingSync, now: Nanos) {
        self.outputs.push_back(Output::Close { stream: sync.stream });
        let is_complete = sync.session.is_complete();
        let peer = &mut self.peers[sync.peer];
        peer.last_synced = now;
        peer.differs_since = None;
        if is_complete && self.sync.status != SyncStatus::CaughtUp {
            self.sync.status = SyncStatus::CaughtUp;
            self.notifications.push_back(Notification::CaughtUp(peer.name.clone()));
        }
        self.schedule_sync(now);
        if !is_complete {
            // Another session transfers the rest soon: the peer is marked as having differed for long enough.
            self.sync.next_begin = self.randomized_after(CATCH_UP_SYNC_INTERVAL, now);
            self.peers[sync.peer].differs_since = Some(now.saturating_sub(2 * MIN_DIVERGENCE));
        }
    }

    fn schedule_sync(&mut self, now: Nanos) {
        let interval = match self.sync.status {
            SyncStatus::CaughtUp => SYNC_INTERVAL,
            SyncStatus::CatchingUp | SyncStatus::Isolated => CATCH_UP_SYNC_INTERVAL,
        };
        self.sync.next_begin = self.randomized_after(interval, now);
    }

    /// Returns a random time between 0.5 and 1.5 times the interval from now.
    fn randomized_after(&mut self, interval: Nanos, now: Nanos) -> Nanos {
        now + interval / 2 + self.swim.jitter(interval)
    }

    pub(super) fn close_idle_streams(&mut self, now: Nanos) {
        for stream in self.sync.idle_streams(now) {
            self.close_stream(stream, now);
        }
    }

    /// Begins a session if one is due: while catching up or isolated with a random peer, otherwise with a
    /// diverged one.
    pub(super) fn begin_sync_if_due(&mut self, now: Nanos) {
        if now < self.sync.next_begin || self.sync.outgoing.is_some() {
            return;
        }
        self.sync.next_begin = now + CATCH_UP_SYNC_INTERVAL;
        if self.is_removed {
            return;
        }
        self.detect_isolation(now);
        let peer = match self.sync.status {
            SyncStatus::CaughtUp => self.diverged_peer(now),
            SyncStatus::CatchingUp | SyncStatus::Isolated => {
                let up = self.swim.sample_peers(1, None).first().copied();
                up.or_else(|| self.swim.any_peer())
            }
        };
        match peer {
            Some(peer) => self.begin_sync(peer, now),
            None => self.sync.next_begin = now + SYNC_INTERVAL,
        }
    }

    fn begin_sync(&mut self, peer: usize, now: Nanos) {
        self.sync.last_stream += 1;
        let stream = self.sync.last_stream;
        let (session, first_message) = SyncSession::begin(&self.store, SESSION_BUDGET_BYTES);
        let state = OutgoingState::AwaitingHello { first_message };
        self.sync.outgoing = Some(OutgoingSync { stream, peer, session, state, last_activity: now });
        self.outputs.push_back(Output::Dial { stream, to: self.peers[peer].address });
    }

    /// Sets the status to isolated if all peers are down, or if this broker has not caught up with any of
    /// them within [`ISOLATED_AFTER_PROBE_INTERVALS`].
    fn detect_isolation(&mut self, now: Nanos) {
        let is_isolated = match self.sync.status {
            SyncStatus::CaughtUp => self.swim.sample_peers(1, None).is_empty() && !self.peers.is_empty(),
            SyncStatus::CatchingUp => {
                let interval = self.settings.swim.probe_interval.max(MIN_ISOLATION_INTERVAL);
                now >= self.sync.catching_up_since + ISOLATED_AFTER_PROBE_INTERVALS * interval
            }
            SyncStatus::Isolated => false,
        };
        if is_isolated {
            self.sync.status = SyncStatus::Isolated;
            self.notifications.push_back(Notification::Isolated);
        }
    }

    /// Returns a random peer that is up and due for a session: its store has differed from this one for long
    /// enough, or it sends no Merkle roots and its last session is long enough ago.
    fn diverged_peer(&mut self, now: Nanos) -> Option<usize> {
        let min_divergence = MIN_DIVERGENCE + self.swim.jitter(MIN_DIVERGENCE);
        // While rumors are still to be sent, stores are expected to differ.
        let is_settled = self.rumor_queue.is_empty();
        let own_version = self.settings.latest_version;
        let is_due = |peer: &Peer| {
            let has_diverged = peer.differs_since.is_some_and(|since| since + min_divergence <= now);
            let sends_no_root = peer.latest_version.min(own_version) == FIRST_VERSION;
            let is_rootless_due = peer.last_received.is_some()
                && sends_no_root
                && peer.last_synced + ROOTLESS_SYNC_INTERVAL <= now;
            (is_settled && has_diverged) || is_rootless_due
        };
        let is_up = |index: usize| self.swim.status(index) == PeerStatus::Alive;
        let candidates: Vec<usize> = self
            .peers
            .iter()
            .filter(|(index, peer)| is_due(peer) && is_up(*index))
            .map(|(index, _)| index)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let count = candidates.len() as u64;
        Some(candidates[self.swim.jitter(count) as usize % candidates.len()])
    }
}
