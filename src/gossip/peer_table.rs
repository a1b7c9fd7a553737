//! The peers that the operator's file lists or used to list, with the state last received from each of them.

use super::codec::FIRST_VERSION;
use super::input_limits::DatagramRateLimit;
use super::swim::PeerStatus;
use crate::api::Nanos;
use crate::replication::Origin;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::{Index, IndexMut};

/// State of a listed peer for the admin endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerInfo<'a> {
    /// Its name in the operator's file.
    pub name: &'a str,
    /// Its address in the operator's file.
    pub address: SocketAddr,
    /// Its status in the failure detector.
    pub status: PeerStatus,
    /// Whether its store equals this broker's; `None` if no Merkle root was received from it.
    pub is_in_sync: Option<bool>,
    /// Time since anything was received from it, ns; `None` if nothing was.
    pub since_last_received: Option<Nanos>,
}

/// A peer that is, or was, listed.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// The origin of its process.
    pub(super) origin: Option<Origin>,
    /// The latest frame version that it reads.
    pub(super) latest_version: u8,
    /// The Merkle root last received from it.
    pub(super) root: Option<u64>,
    /// When that root began to differ from this broker's; `None` if it is the same.
    pub(super) differs_since: Option<Nanos>,
    /// When a datagram or a hello was last received from it.
    pub(super) last_received: Option<Nanos>,
    /// When this broker last completed a session with it; until then, when it was added.
    pub(super) last_synced: Nanos,
    pub(super) rate_limit: DatagramRateLimit,
    /// Whether the operator's file lists it now.
    pub(super) listed: bool,
}

impl Peer {
    fn new(name: &str, address: SocketAddr, now: Nanos) -> Peer {
        Peer {
            name: name.to_owned(),
            address,
            origin: None,
            latest_version: FIRST_VERSION,
            root: None,
            differs_since: None,
            last_received: None,
            last_synced: now,
            rate_limit: DatagramRateLimit::default(),
            listed: true,
        }
    }

    /// Records the Merkle root received from the peer, and whether it equals this broker's.
    pub(super) fn record_root(&mut self, root: u64, is_same: bool, now: Nanos) {
        self.root = Some(root);
        self.differs_since = if is_same { None } else { self.differs_since.or(Some(now)) };
    }
}

/// All peers, by index and by address. Indexes stay valid because peers are never deleted.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerTable {
    peers: Vec<Peer>,
    index_by_address: BTreeMap<SocketAddr, usize>,
}

impl PeerTable {
    pub(super) fn new(listed: &[(String, SocketAddr)], now: Nanos) -> PeerTable {
        let mut table = PeerTable::default();
        listed.iter().for_each(|(name, address)| table.push(name, *address, now));
        table.index_addresses();
        table
    }

    /// Adds a listed peer. The caller has to call [`PeerTable::index_addresses`] afterwards.
    pub(super) fn push(&mut self, name: &str, address: SocketAddr, now: Nanos) {
        self.peers.push(Peer::new(name, address, now));
    }

    /// Marks all peers as not listed.
    pub(super) fn unlist_all(&mut self) {
        self.peers.iter_mut().for_each(|peer| peer.listed = false);
    }

    /// Marks a peer as listed at this address. The caller has to call [`PeerTable::index_addresses`]
    /// afterwards.
    pub(super) fn relist(&mut self, index: usize, address: SocketAddr) {
        let peer = &mut self.peers[index];
        peer.listed = true;
        if peer.address != address {
            // Another address may belong to another process, whose state is unknown.
            peer.address = address;
            peer.origin = None;
            peer.root = None;
            peer.differs_since = None;
            peer.last_received = None;
        }
    }

    /// Rebuilds the index of listed peers by address.
    pub(super) fn index_addresses(&mut self) {
        let listed = self.peers.iter().enumerate().filter(|(_, peer)| peer.listed);
        self.index_by_address = listed.map(|(index, peer)| (peer.address, index)).collect();
    }

    /// Returns the index of the peer that is listed at this address.
    pub(super) fn index_at(&self, address: SocketAddr) -> Option<usize> {
        self.index_by_address.get(&address).copied()
    }

    /// Returns whether a peer is listed at this IP address on any port.
    pub(super) fn lists_ip(&self, ip: IpAddr) -> bool {
        self.peers.iter().any(|peer| peer.listed && peer.address.ip() == ip)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (usize, &Peer)> {
        self.peers.iter().enumerate()
    }
}

impl Index<usize> for PeerTable {
    type Output = Peer;

    fn index(&self, index: usize) -> &Peer {
        &self.peers[index]
    }
}

impl IndexMut<usize> for PeerTable {
    fn index_mut(&mut self, index: usize) -> &mut Peer {
        &mut self.peers[index]
    }
}
