//! What brokers send each other to find out which of them are up, and what the failure detector reports.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// The status of a peer. Within one incarnation, the later one in this order wins.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerStatus {
    /// It answers probes.
    Alive,
    /// It did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// It did not refute a suspicion in time, or nothing was ever received from it.
    Down,
}

/// What one broker reports of the status of another.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct StatusUpdate {
    /// The broker that the update is about.
    pub name: String,
    /// The incarnation that it is about.
    pub incarnation: u64,
    /// The reported status.
    pub status: PeerStatus,
}

/// The purpose of a datagram.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum Probe {
    /// It only carries status updates and facts.
    #[serde(rename = "News")]
    Gossip,
    /// Asks for an [`Probe::Ack`].
    Ping {
        /// The number that the answer repeats.
        #[serde(rename = "n")]
        sequence: u32,
    },
    /// The pinged peer answers.
    Ack {
        /// The number of the ping.
        #[serde(rename = "n")]
        sequence: u32,
    },
    /// Asks the receiver to ping another peer on the sender's behalf.
    #[serde(rename = "Ask")]
    PingRequest {
        /// The number that the answer repeats.
        #[serde(rename = "n")]
        sequence: u32,
        /// The peer to ping.
        name: String,
    },
    /// The receiver of a [`Probe::PingRequest`] is up, but the peer did not answer it in time.
    Nack {
        /// The number of the request.
        #[serde(rename = "n")]
        sequence: u32,
    },
}

/// A change that the failure detector noticed. Peers are named by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// The peer is up.
    Up(usize),
    /// The peer did not answer.
    Suspected(usize),
    /// The peer is down.
    Down(usize),
    /// Others took this broker for suspect or down; it refuted that under a greater incarnation.
    Refuted,
    /// This process was called so many nanoseconds later than the deadline that it had asked for.
    Stalled(Nanos),
}
