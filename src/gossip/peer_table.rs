//! The peers that the operator's file lists, or has listed before, and what each of them last sent of itself.

use super::codec::FIRST_VERSION;
use super::input_limits::DatagramRateLimit;
use super::swim::PeerStatus;
use crate::api::Nanos;
use crate::replication::Origin;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::ops::{Index, IndexMut};

/// A listed peer as the admin endpoint shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerInfo<'a> {
    /// Its name in the operator's file.
    pub name: &'a str,
    /// Its address in the operator's file.
    pub address: SocketAddr,
    /// Whether it is up.
    pub status: PeerStatus,
    /// Whether its store is the same as this broker's; `None` if it never sent its Merkle root.
    pub is_in_sync: Option<bool>,
    /// Time since anything was received from it, ns; `None` if nothing ever was.
    pub since_last_received: Option<Nanos>,
}

/// A peer that is, or was, listed.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
    /// Its process.
    pub(super) origin: Option<Origin>,
    /// The latest version of frames that it reads.
    pub(super) latest_version: u8,
    /// The Merkle root that it sent last.
    pub(super) root: Option<u64>,
    /// Since when that root differs from this broker's.
    pub(super) differs_since: Option<Nanos>,
    /// When a datagram or a hello came from it last.
    pub(super) last_received: Option<Nanos>,
    /// When this broker last completed a session with it; at first when it was added.
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

    /// Notes the root that it sent, and whether that is this broker's own.
    pub(super) fn record_root(&mut self, root: u64, is_same: bool, now: Nanos) {
        self.root = Some(root);
        self.differs_since = if is_same { None } else { self.differs_since.or(Some(now)) };
    }
}

/// All peers, by index and by address. Indexes stay valid: peers are never taken out.
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

    /// Adds a listed peer. [`PeerTable::index_addresses`] is to follow.
    pub(super) fn push(&mut self, name: &str, address: SocketAddr, now: Nanos) {
        self.peers.push(Peer::new(name, address, now));
    }

    /// Marks all peers as not listed.
    pub(super) fn unlist_all(&mut self) {
        self.peers.iter_mut().for_each(|peer| peer.listed = false);
    }

    /// Marks a peer as listed at this address. [`PeerTable::index_addresses`] is to follow.
    pub(super) fn relist(&mut self, index: usize, address: SocketAddr) {
        let peer = &mut self.peers[index];
        peer.listed = true;
        if peer.address != address {
            // Another address may be another process: nothing is known of that one.
            peer.address = address;
            peer.origin = None;
            peer.root = None;
            peer.differs_since = None;
            peer.last_received = None;
        }
    }

    /// Works out anew which peer is listed at which address.
    pub(super) fn index_addresses(&mut self) {
        let listed = self.peers.iter().enumerate().filter(|(_, peer)| peer.listed);
        self.index_by_address = listed.map(|(index, peer)| (peer.address, index)).collect();
    }

    /// The peer that is listed at this address.
    pub(super) fn index_at(&self, address: SocketAddr) -> Option<usize> {
        self.index_by_address.get(&address).copied()
    }

    /// Whether a peer is listed at this IP address, whatever its port.
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
