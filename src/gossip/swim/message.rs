//! Messages of the failure detector, and the events that it reports.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// The status of a peer. Within one incarnation, a later variant supersedes an earlier one.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerStatus {
    /// It answers probes.
    Alive,
    /// It did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// It did not refute a suspicion in time, or nothing was ever received from it.
    Down,
}

/// A report of a broker's status.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct StatusUpdate {
    /// The broker that the update is about.
    pub name: String,
    /// The incarnation that the update is about.
    pub incarnation: u64,
    /// The reported status.
    pub status: PeerStatus,
}

/// The purpose of a datagram.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum Probe {
    /// Carries status updates and facts only.
    #[serde(rename = "News")]
    Gossip,
    /// Requests an [`Probe::Ack`].
    Ping {
        /// The number that the answer repeats.
        #[serde(rename = "n")]
        sequence: u32,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        #[serde(rename = "n")]
        sequence: u32,
    },
    /// Requests that the receiver ping another peer on behalf of the sender.
    #[serde(rename = "Ask")]
    PingRequest {
        /// The number that the answer repeats.
        #[serde(rename = "n")]
        sequence: u32,
        /// The peer to ping.
        name: String,
    },
    /// Answers a [`Probe::PingRequest`] if the other peer did not answer in time; shows that the relay is up.
    Nack {
        /// The number of the request.
        #[serde(rename = "n")]
        sequence: u32,
    },
}

/// An event of the failure detector. Peers are identified by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// The peer is up.
    Up(usize),
    /// The peer did not answer a probe.
    Suspected(usize),
    /// The peer is down.
    Down(usize),
    /// Another broker reported this broker as suspect or down, and this broker refuted it with a greater
    /// incarnation.
    Refuted,
    /// The failure detector was called this number of nanoseconds after its deadline.
    Stalled(Nanos),
}
