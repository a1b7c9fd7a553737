//! Frames exchanged by brokers: a header with version and checksum, followed by a body encoded with postcard.
//!
//! Two versions are supported, so that a cluster can be upgraded one broker at a time: each frame states the
//! latest version that its sender reads, and is answered in the latest version that both sides read.

use super::swim::{Probe, StatusUpdate};
use crate::replication::Fact;
use crate::replication::Origin;
use crate::replication::anti_entropy::SyncMessage;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The first frame version, whose datagrams carry no Merkle root.
pub const FIRST_VERSION: u8 = 1;
/// The latest frame version.
pub const LATEST_VERSION: u8 = 2;
/// Maximum size of a datagram in bytes: fits an Ethernet frame, with room for tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum size in bytes of a frame on a connection, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 60 * 1024;

const MAGIC: &[u8; 3] = b"PBT";
/// Offset of the byte that holds the kind of frame.
const KIND_OFFSET: usize = 3;
/// Offset of the byte that holds the version.
const VERSION_OFFSET: usize = 4;
/// Offset of the checksum, which ends the header.
const CHECKSUM_OFFSET: usize = 5;
/// Length of the header: magic, kind, version, checksum.
const HEADER_BYTES: usize = 9;
/// Length of the prefix that holds a frame's length on a connection.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Initial capacity in bytes of the buffer that a frame is encoded into.
const INITIAL_FRAME_CAPACITY: usize = 256;

/// How a frame is carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum FrameKind {
    Datagram = b'd',
    Stream = b's',
}

/// The broker that sent a frame.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Sender {
    /// The hash of its cluster's name; see [`cluster_id`].
    #[serde(rename = "cluster")]
    pub cluster_id: u64,
    /// Its name.
    pub name: String,
    /// The origin of its process.
    pub origin: Origin,
    /// Its incarnation.
    pub incarnation: u64,
    /// The latest frame version that it reads.
    #[serde(rename = "reads")]
    pub latest_version: u8,
}

/// Returns the hash of a cluster's name.
#[must_use]
pub fn cluster_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A datagram: a probe with piggybacked status updates and facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The broker that sent it.
    pub sender: Sender,
    /// The probe.
    pub probe: Probe,
    /// Status updates about brokers.
    pub status_updates: Vec<StatusUpdate>,
    /// Facts that are new to the sender.
    pub facts: Vec<Fact>,
    /// The Merkle root of the sender's store; `None` in the first version.
    pub root: Option<u64>,
}

/// The body of a datagram in the first version.
#[derive(Serialize, Deserialize)]
struct DatagramV1 {
    sender: Sender,
    probe: Probe,
    #[serde(rename = "rumours")]
    status_updates: Vec<StatusUpdate>,
    facts: Vec<Fact>,
}

/// The body of a datagram in the second version.
#[derive(Serialize, Deserialize)]
struct DatagramV2 {
    sender: Sender,
    probe: Probe,
    root: u64,
    #[serde(rename = "rumours")]
    status_updates: Vec<StatusUpdate>,
    facts: Vec<Fact>,
}

/// A frame on a connection.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum StreamFrame {
    /// The first frame that each side sends.
    Hello {
        /// The broker that sent it.
        sender: Sender,
        /// The status of all other brokers that it knows.
        #[serde(rename = "rumours")]
        status_updates: Vec<StatusUpdate>,
    },
    /// One message of an anti-entropy session.
    #[serde(rename = "Walk")]
    Sync(SyncMessage),
}

/// Why bytes can't be decoded as a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame, whose length in bytes is given, is shorter than its header or longer than allowed.
    #[error("a frame of {0} bytes is shorter than its header or longer than allowed")]
    InvalidLength(usize),
    /// The header has another magic or another kind of frame.
    #[error("the header has an unknown magic or another kind of frame")]
    UnknownFormat,
    /// The frame has a version that this broker does not read.
    #[error("frame version {0} is not supported")]
    UnsupportedVersion(u8),
    /// The kind, version and body of the frame don't match the checksum in the header.
    #[error("the frame's checksum does not match")]
    ChecksumMismatch,
    /// The body can't be decoded, or is followed by further bytes.
    #[error("the frame's body can't be decoded")]
    MalformedBody,
}

fn encode_frame(kind: FrameKind, version: u8, body: &impl Serialize) -> Vec<u8> {
    let mut frame = Vec::with_capacity(INITIAL_FRAME_CAPACITY);
    frame.extend_from_slice(MAGIC);
    frame.extend_from_slice(&[kind as u8, version, 0, 0, 0, 0]);
    // Encoding into memory fails only for sequences of unknown length, and no body contains one.
    frame = postcard::to_extend(body, frame).unwrap_or_default();
    if frame.len() >= HEADER_BYTES {
        let sum = checksum(&frame);
        frame[CHECKSUM_OFFSET..HEADER_BYTES].copy_from_slice(&sum);
    }
    frame
}

/// Returns the checksum of a frame's kind, version and body.
fn checksum(frame: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[KIND_OFFSET..CHECKSUM_OFFSET]);
    hasher.update(&frame[HEADER_BYTES..]);
    hasher.finalize().to_le_bytes()
}

/// Verifies the header of a frame, and returns the frame's version and body.
fn verify_frame(
    kind: FrameKind,
    frame: &[u8],
    max_bytes: usize,
    latest_version: u8,
) -> Result<(u8, &[u8]), FrameError> {
    if frame.len() < HEADER_BYTES || frame.len() > max_bytes {
        return Err(FrameError::InvalidLength(frame.len()));
    }
    if &frame[..KIND_OFFSET] != MAGIC || frame[KIND_OFFSET] != kind as u8 {
        return Err(FrameError::UnknownFormat);
    }
    let version = frame[VERSION_OFFSET];
    if checksum(frame) != frame[CHECKSUM_OFFSET..HEADER_BYTES] {
        return Err(FrameError::ChecksumMismatch);
    }
    if !(FIRST_VERSION..=latest_version).contains(&version) {
        return Err(FrameError::UnsupportedVersion(version));
    }
    Ok((version, &frame[HEADER_BYTES..]))
}

fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(FrameError::MalformedBody),
    }
}

impl Datagram {
    /// Encodes the datagram in the given version, or in the first one if it has no root.
    #[must_use]
    pub fn encode(self, version: u8) -> Vec<u8> {
        let Datagram { sender, probe, status_updates, facts, root } = self;
        match (version, root) {
            (FIRST_VERSION, _) | (_, None) => {
                let body = DatagramV1 { sender, probe, status_updates, facts };
                encode_frame(FrameKind::Datagram, FIRST_VERSION, &body)
            }
            (_, Some(root)) => {
                let body = DatagramV2 { sender, probe, root, status_updates, facts };
                encode_frame(FrameKind::Datagram, LATEST_VERSION, &body)
            }
        }
    }

    /// Decodes a datagram of a version up to `latest_version`.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not exactly one complete, intact datagram of such a version.
    pub fn decode(bytes: &[u8], latest_version: u8) -> Result<Datagram, FrameError> {
        let (version, body) = verify_frame(FrameKind::Datagram, bytes, MAX_DATAGRAM_BYTES, latest_version)?;
        if version == FIRST_VERSION {
            let DatagramV1 { sender, probe, status_updates, facts } = decode_body(body)?;
            return Ok(Datagram { sender, probe, status_updates, facts, root: None });
        }
        let DatagramV2 { sender, probe, root, status_updates, facts } = decode_body(body)?;
        Ok(Datagram { sender, probe, status_updates, facts, root: Some(root) })
    }
}

impl StreamFrame {
    /// Encodes the frame after its length prefix. Frames on a connection are the same in both versions.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let frame = encode_frame(FrameKind::Stream, FIRST_VERSION, self);
        let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + frame.len());
        bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&frame);
        bytes
    }

    /// Decodes a frame without its length prefix.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the bytes are not exactly one complete, intact frame.
    pub fn decode(frame: &[u8]) -> Result<StreamFrame, FrameError> {
        let (_, body) = verify_frame(FrameKind::Stream, frame, MAX_FRAME_BYTES, LATEST_VERSION)?;
        decode_body(body)
    }
}

/// Returns the end of the first frame in bytes received on a connection, including its length prefix; `None`
/// while the frame is incomplete.
///
/// # Errors
///
/// [`FrameError::InvalidLength`] if the length in the prefix is outside the limits of a frame.
pub fn frame_end(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::InvalidLength(length));
    }
    let end = LENGTH_PREFIX_BYTES + length;
    Ok(Some(end).filter(|end| bytes.len() >= *end))
}
