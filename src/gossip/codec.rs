//! The form of what brokers send each other: a head that names the version and holds a checksum, then the body.
//!
//! Two versions are spoken, so that a cluster is upgraded broker by broker: every frame tells the latest version that
//! its sender reads, and is answered in one that both do.

use super::swim::{Probe, StatusUpdate};
use crate::replication::Origin;
use crate::replication::anti_entropy::SyncMessage;
use crate::replication::state_store::Fact;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The first version, which has no digest in its datagrams.
pub const FIRST_VERSION: u8 = 1;
/// The latest version.
pub const LATEST_VERSION: u8 = 2;
/// Largest datagram, bytes: it fits an Ethernet frame with room for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Largest frame on a connection, bytes, without its length.
pub const MAX_FRAME_BYTES: usize = 60 * 1024;

const MAGIC: &[u8; 3] = b"PBT";
/// Bytes before the body: magic, kind, version, checksum.
const HEADER_BYTES: usize = 9;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrameKind {
    Datagram = b'd' as isize,
    Stream = b's' as isize,
}

/// Who speaks.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Sender {
    /// The hash of the cluster's name.
    #[serde(rename = "cluster")]
    pub cluster_id: u64,
    /// Its name.
    pub name: String,
    /// Its process.
    pub origin: Origin,
    /// Its incarnation.
    pub incarnation: u64,
    /// The latest version that it reads.
    #[serde(rename = "reads")]
    pub latest_version: u8,
}

/// The hash of a cluster's name.
pub fn cluster_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What is sent by datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Who speaks.
    pub sender: Sender,
    /// What for.
    pub probe: Probe,
    /// What is said of others.
    pub status_updates: Vec<StatusUpdate>,
    /// News.
    pub facts: Vec<Fact>,
    /// The root of the sender's digests; none in the first version.
    pub root: Option<u64>,
}

#[derive(Serialize, Deserialize)]
struct DatagramV1 {
    sender: Sender,
    probe: Probe,
    #[serde(rename = "rumours")]
    status_updates: Vec<StatusUpdate>,
    facts: Vec<Fact>,
}

#[derive(Serialize, Deserialize)]
struct DatagramV2 {
    sender: Sender,
    probe: Probe,
    root: u64,
    #[serde(rename = "rumours")]
    status_updates: Vec<StatusUpdate>,
    facts: Vec<Fact>,
}

/// What is sent on a connection.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum StreamFrame {
    /// Who speaks, and what it knows of others: the first line of either side.
    Hello {
        sender: Sender,
        #[serde(rename = "rumours")]
        status_updates: Vec<StatusUpdate>,
    },
    /// A step of a walk.
    #[serde(rename = "Walk")]
    Sync(SyncMessage),
}

/// Bytes that are no frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Shorter than a head, or longer than may be.
    InvalidLength(usize),
    /// It is something else.
    UnknownFormat,
    /// A version that is not read here.
    UnsupportedVersion(u8),
    /// Its body is not what was sent.
    ChecksumMismatch,
    /// Its body can't be read.
    MalformedBody,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::InvalidLength(n) => write!(f, "{n} bytes are no frame"),
            FrameError::UnknownFormat => write!(f, "it is no frame of a cluster"),
            FrameError::UnsupportedVersion(v) => write!(f, "version {v} is not read here"),
            FrameError::ChecksumMismatch => write!(f, "its checksum does not fit"),
            FrameError::MalformedBody => write!(f, "its body can't be read"),
        }
    }
}

impl std::error::Error for FrameError {}

fn encode_frame(kind: FrameKind, version: u8, body: &impl Serialize) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&[kind as u8, version, 0, 0, 0, 0]);
    // Into memory: only a value without a known length could fail, and there is none.
    out = postcard::to_extend(body, out).unwrap_or_default();
    if out.len() >= HEADER_BYTES {
        let sum = checksum(&out);
        out[5..HEADER_BYTES].copy_from_slice(&sum);
    }
    out
}

/// Over version and body.
fn checksum(frame: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[3..5]);
    hasher.update(&frame[HEADER_BYTES..]);
    hasher.finalize().to_le_bytes()
}

fn open_frame(
    kind: FrameKind,
    frame: &[u8],
    max_bytes: usize,
    latest_version: u8,
) -> Result<(u8, &[u8]), FrameError> {
    if frame.len() < HEADER_BYTES || frame.len() > max_bytes {
        return Err(FrameError::InvalidLength(frame.len()));
    }
    if &frame[..3] != MAGIC || frame[3] != kind as u8 {
        return Err(FrameError::UnknownFormat);
    }
    let version = frame[4];
    if checksum(frame) != frame[5..HEADER_BYTES] {
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
    /// The bytes, in this version.
    pub fn encode(self, version: u8) -> Vec<u8> {
        let Datagram { sender, probe, status_updates, facts, root } = self;
        match (version, root) {
            (FIRST_VERSION, _) | (_, None) => encode_frame(
                FrameKind::Datagram,
                FIRST_VERSION,
                &DatagramV1 { sender, probe, status_updates, facts },
            ),
            (_, Some(root)) => encode_frame(
                FrameKind::Datagram,
                LATEST_VERSION,
                &DatagramV2 { sender, probe, root, status_updates, facts },
            ),
        }
    }

    /// Reads a datagram, of versions up to `latest_version`.
    pub fn decode(bytes: &[u8], latest_version: u8) -> Result<Datagram, FrameError> {
        let (version, body) = open_frame(FrameKind::Datagram, bytes, MAX_DATAGRAM_BYTES, latest_version)?;
        if version == FIRST_VERSION {
            let DatagramV1 { sender, probe, status_updates, facts } = decode_body(body)?;
            return Ok(Datagram { sender, probe, status_updates, facts, root: None });
        }
        let DatagramV2 { sender, probe, root, status_updates, facts } = decode_body(body)?;
        Ok(Datagram { sender, probe, status_updates, facts, root: Some(root) })
    }
}

impl StreamFrame {
    /// The bytes, behind their length. Lines are the same in both versions.
    pub fn encode(&self) -> Vec<u8> {
        let frame = encode_frame(FrameKind::Stream, FIRST_VERSION, self);
        let mut out = Vec::with_capacity(frame.len() + 4);
        out.extend_from_slice(&(frame.len() as u32).to_be_bytes());
        out.extend_from_slice(&frame);
        out
    }

    /// Reads a frame without its length.
    pub fn decode(frame: &[u8]) -> Result<StreamFrame, FrameError> {
        let (_, body) = open_frame(FrameKind::Stream, frame, MAX_FRAME_BYTES, LATEST_VERSION)?;
        decode_body(body)
    }
}

/// Where the first frame of these bytes ends, if it is there; an error where its length can't be.
pub fn frame_end(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(length) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::InvalidLength(length));
    }
    Ok(Some(4 + length).filter(|end| bytes.len() >= *end))
}
