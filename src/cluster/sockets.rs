//! The sockets of a cluster member: datagrams, and connections that carry frames.

use super::{Cluster, MAX_PEER_CONNECTIONS, OWNER, status_report};
use crate::api::Nanos;
use crate::gossip::Output;
use crate::gossip::codec::frame_end;
use crate::net::{ConnId, ConnectionClass, DatagramSocketId, NetEvent, PollLoop, Pool, ReadOutcome};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Size of a buffer for frames of peers, bytes.
const BUFFER_BYTES: usize = 64 * 1024;
/// Most buffers for frames of peers.
const MAX_BUFFERS: usize = 32;
/// Most datagrams that are received in one turn of the poll loop; the rest stay for the next.
const MAX_DATAGRAMS_PER_TURN: usize = 16;
/// Most frames that are read from one connection in one turn of the poll loop.
const MAX_FRAMES_PER_TURN: usize = 4;
/// Time between two attempts to bind an address that an earlier process still uses, ns.
pub(super) const BIND_RETRY_INTERVAL: Nanos = 200_000_000;

/// The bound sockets, and the connections by the node's stream ids.
pub(super) struct Sockets {
    datagrams: DatagramSocketId,
    pool: Pool,
    streams: BTreeMap<u64, (ConnId, SocketAddr)>,
    stream_ids: BTreeMap<ConnId, u64>,
    last_stream_id: u64,
}

impl Cluster {
    pub(super) fn try_bind(&mut self, now: Nanos, net: &mut PollLoop) {
        if self.sockets.is_some() || self.node.is_none() || now < self.next_bind_at {
            return;
        }
        self.next_bind_at = now + BIND_RETRY_INTERVAL;
        // Only an earlier process of this broker may use this port, and it holds both sockets or neither.
        let datagrams = match net.bind_datagram_socket(self.listen, OWNER) {
            Ok(datagrams) => datagrams,
            Err(e) if std::mem::replace(&mut self.bind_failure_logged, true) => {
                return tracing::debug!("cluster: {e}");
            }
            Err(e) => {
                return tracing::warn!("cluster: address {} can't be taken yet: {e}; retrying", self.listen);
            }
        };
        let pool = Pool::with_buffer_size(MAX_BUFFERS, BUFFER_BYTES);
        if let Err(e) = net.listen_with_pool(
            self.listen,
            OWNER,
            ConnectionClass::Peers,
            MAX_PEER_CONNECTIONS,
            pool.clone(),
        ) {
            tracing::error!("cluster: no peer can connect to {}: {e}", self.listen);
        }
        let (streams, numbers) = (BTreeMap::new(), BTreeMap::new());
        self.sockets =
            Some(Sockets { datagrams, pool, streams, stream_ids: numbers, last_stream_id: 1 << 63 });
        tracing::info!("cluster: peers reach this broker at {}", self.listen);
    }

    /// Handles an event of one of the cluster's sockets.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        let (Some(sockets), Some(member)) = (&mut self.sockets, &mut self.node) else { return };
        match event {
            NetEvent::Datagrams { .. } => {
                for n in 0.. {
                    if n == MAX_DATAGRAMS_PER_TURN {
                        net.requeue_datagrams(OWNER);
                        break;
                    }
                    let Some((len, from)) =
                        net.receive_datagram(sockets.datagrams, &mut self.datagram_buffer[..])
                    else {
                        break;
                    };
                    member.on_datagram(from, &self.datagram_buffer[..len], now);
                }
            }
            NetEvent::Accepted { conn, peer, .. } => {
                if net.accepted_in_class(ConnectionClass::Peers) > MAX_PEER_CONNECTIONS {
                    return net.close(conn);
                }
                sockets.last_stream_id += 1;
                sockets.streams.insert(sockets.last_stream_id, (conn, peer));
                sockets.stream_ids.insert(conn, sockets.last_stream_id);
                member.on_accepted(sockets.last_stream_id, peer, now);
                self.read_frames(conn, now, net);
            }
            NetEvent::Connected { conn, .. } => {
                if let Some(stream) = sockets.stream_ids.get(&conn) {
                    member.on_connected(*stream, now);
                }
            }
            NetEvent::Readable { conn, .. } => self.read_frames(conn, now, net),
            NetEvent::Broken { conn, .. } => self.on_connection_closed(conn, now),
            NetEvent::Flushed { .. } | NetEvent::Signal(_) => {}
        }
        self.perform_outputs(now, net);
    }

    fn on_connection_closed(&mut self, conn: ConnId, now: Nanos) {
        let Some(sockets) = &mut self.sockets else { return };
        if let Some(stream) = sockets.stream_ids.remove(&conn) {
            sockets.streams.remove(&stream);
            if let Some(member) = &mut self.node {
                member.on_closed(stream, now);
            }
        }
    }

    fn read_frames(&mut self, conn: ConnId, now: Nanos, net: &mut PollLoop) {
        for n in 0.. {
            let Some(sockets) = &self.sockets else { return };
            let Some(stream) = sockets.stream_ids.get(&conn).copied() else { return };
            let Some((_, from)) = sockets.streams.get(&stream).copied() else { return };
            if n == MAX_FRAMES_PER_TURN {
                return net.requeue_readable(conn);
            }
            let filled = net.fill(conn);
            // An invalid length is passed on as an invalid frame: the gossip node decides what follows.
            let end = match frame_end(net.data(conn)) {
                Ok(Some(end)) => end,
                Ok(None) if filled == ReadOutcome::Closed => {
                    self.on_connection_closed(conn, now);
                    return net.close(conn);
                }
                Ok(None) if matches!(filled, ReadOutcome::Read(_)) => continue,
                Ok(None) => return,
                Err(_) => net.data(conn).len().min(4),
            };
            let Some(member) = &mut self.node else { return };
            let frame = net.data(conn).get(4..end).unwrap_or(&[]).to_vec();
            net.consume(conn, end);
            member.on_frame(stream, from, &frame, now);
            self.perform_outputs(now, net);
        }
    }

    /// Carries out the outputs of the gossip node, and logs its notifications.
    pub(super) fn perform_outputs(&mut self, now: Nanos, net: &mut PollLoop) {
        let Some(member) = &mut self.node else { return };
        while let Some(notification) = member.take_notification() {
            status_report::log_notification(&notification, member);
        }
        let Some(sockets) = &mut self.sockets else {
            // Nothing can be sent before the address is bound: outputs are dropped, so as not to accumulate.
            while let Some(output) = member.take_output() {
                if let Output::Dial { stream, .. } = output {
                    member.on_closed(stream, now);
                }
            }
            return;
        };
        while let Some(output) = member.take_output() {
            match output {
                Output::Datagram { to, bytes } => net.send_datagram(sockets.datagrams, to, &bytes),
                Output::Dial { stream, to } => match net.dial_with_pool(to, OWNER, sockets.pool.clone()) {
                    Ok(conn) => {
                        sockets.streams.insert(stream, (conn, to));
                        sockets.stream_ids.insert(conn, stream);
                    }
                    Err(_) => member.on_closed(stream, now),
                },
                Output::Send { stream, bytes } => {
                    let Some((conn, _)) = sockets.streams.get(&stream).copied() else { continue };
                    if net.send(conn, &bytes).is_err() {
                        sockets.streams.remove(&stream);
                        sockets.stream_ids.remove(&conn);
                        net.close(conn);
                        member.on_closed(stream, now);
                    }
                }
                Output::Close { stream } => {
                    if let Some((conn, _)) = sockets.streams.remove(&stream) {
                        sockets.stream_ids.remove(&conn);
                        net.close_after_flush(conn);
                    }
                }
            }
        }
    }
}
