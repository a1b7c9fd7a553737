//! The form of what brokers send each other: a head that names the version and holds a checksum, then the body.
//!
//! Two versions are spoken, so that a cluster is upgraded broker by broker: every frame tells the latest version that
//! its sender reads, and is answered in one that both do.

use super::swim::{Probe, StatusUpdate};
use crate::replication::Fact;
use crate::replication::Origin;
use crate::replication::anti_entropy::SyncMessage;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The first version, which has no digest in its datagrams.
pub const FIRST: u8 = 1;
/// The latest version.
pub const LATEST: u8 = 2;
/// Largest datagram, bytes: it fits an Ethernet frame with room for tunnels.
pub const DATAGRAM: usize = 1200;
/// Largest frame on a connection, bytes, without its length.
pub const FRAME: usize = 60 * 1024;

const MAGIC: &[u8; 3] = b"PBT";
/// Bytes before the body: magic, kind, version, checksum.
const HEAD: usize = 9;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Datagram = b'd' as isize,
    Stream = b's' as isize,
}

/// Who speaks.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Sender {
    /// The hash of the cluster's name.
    pub cluster: u64,
    /// Its name.
    pub name: String,
    /// Its process.
    pub origin: Origin,
    /// Its incarnation.
    pub incarnation: u64,
    /// The latest version that it reads.
    pub reads: u8,
}

/// The hash of a cluster's name.
pub fn cluster(name: &str) -> u64 {
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
    pub rumours: Vec<StatusUpdate>,
    /// News.
    pub facts: Vec<Fact>,
    /// The root of the sender's digests; none in the first version.
    pub root: Option<u64>,
}

#[derive(Serialize, Deserialize)]
struct First {
    sender: Sender,
    probe: Probe,
    rumours: Vec<StatusUpdate>,
    facts: Vec<Fact>,
}

#[derive(Serialize, Deserialize)]
struct Second {
    sender: Sender,
    probe: Probe,
    root: u64,
    rumours: Vec<StatusUpdate>,
    facts: Vec<Fact>,
}

/// What is sent on a connection.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum StreamFrame {
    /// Who speaks, and what it knows of others: the first line of either side.
    Hello { sender: Sender, rumours: Vec<StatusUpdate> },
    /// A step of a walk.
    Walk(SyncMessage),
}

/// Bytes that are no frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Shorter than a head, or longer than may be.
    Length(usize),
    /// It is something else.
    Foreign,
    /// A version that is not read here.
    Version(u8),
    /// Its body is not what was sent.
    Checksum,
    /// Its body can't be read.
    Body,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "{n} bytes are no frame"),
            FrameError::Foreign => write!(f, "it is no frame of a cluster"),
            FrameError::Version(v) => write!(f, "version {v} is not read here"),
            FrameError::Checksum => write!(f, "its checksum does not fit"),
            FrameError::Body => write!(f, "its body can't be read"),
        }
    }
}

impl std::error::Error for FrameError {}

fn seal(kind: Kind, version: u8, body: &impl Serialize) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&[kind as u8, version, 0, 0, 0, 0]);
    // Into memory: only a value without a known length could fail, and there is none.
    out = postcard::to_extend(body, out).unwrap_or_default();
    if out.len() >= HEAD {
        let sum = checksum(&out);
        out[5..HEAD].copy_from_slice(&sum);
    }
    out
}

/// Over version and body.
fn checksum(frame: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[3..5]);
    hasher.update(&frame[HEAD..]);
    hasher.finalize().to_le_bytes()
}

fn open(kind: Kind, frame: &[u8], most: usize, reads: u8) -> Result<(u8, &[u8]), FrameError> {
    if frame.len() < HEAD || frame.len() > most {
        return Err(FrameError::Length(frame.len()));
    }
    if &frame[..3] != MAGIC || frame[3] != kind as u8 {
        return Err(FrameError::Foreign);
    }
    let version = frame[4];
    if checksum(frame) != frame[5..HEAD] {
        return Err(FrameError::Checksum);
    }
    if !(FIRST..=reads).contains(&version) {
        return Err(FrameError::Version(version));
    }
    Ok((version, &frame[HEAD..]))
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(FrameError::Body),
    }
}

impl Datagram {
    /// The bytes, in this version.
    pub fn encode(self, version: u8) -> Vec<u8> {
        let Datagram { sender, probe, rumours, facts, root } = self;
        match (version, root) {
            (FIRST, _) | (_, None) => seal(Kind::Datagram, FIRST, &First { sender, probe, rumours, facts }),
            (_, Some(root)) => seal(Kind::Datagram, LATEST, &Second { sender, probe, root, rumours, facts }),
        }
    }

    /// Reads a datagram, of versions up to `reads`.
    pub fn decode(bytes: &[u8], reads: u8) -> Result<Datagram, FrameError> {
        let (version, body) = open(Kind::Datagram, bytes, DATAGRAM, reads)?;
        if version == FIRST {
            let First { sender, probe, rumours, facts } = read(body)?;
            return Ok(Datagram { sender, probe, rumours, facts, root: None });
        }
        let Second { sender, probe, root, rumours, facts } = read(body)?;
        Ok(Datagram { sender, probe, rumours, facts, root: Some(root) })
    }
}

impl StreamFrame {
    /// The bytes, behind their length. Lines are the same in both versions.
    pub fn encode(&self) -> Vec<u8> {
        let frame = seal(Kind::Stream, FIRST, self);
        let mut out = Vec::with_capacity(frame.len() + 4);
        out.extend_from_slice(&(frame.len() as u32).to_be_bytes());
        out.extend_from_slice(&frame);
        out
    }

    /// Reads a frame without its length.
    pub fn decode(frame: &[u8]) -> Result<StreamFrame, FrameError> {
        let (_, body) = open(Kind::Stream, frame, FRAME, LATEST)?;
        read(body)
    }
}

/// Where the first frame of these bytes ends, if it is there; an error where its length can't be.
pub fn frame_end(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(length) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if !(HEAD..=FRAME).contains(&length) {
        return Err(FrameError::Length(length));
    }
    Ok(Some(4 + length).filter(|end| bytes.len() >= *end))
}
