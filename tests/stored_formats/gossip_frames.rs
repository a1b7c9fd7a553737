//! Gossip frames: datagrams in both versions and for every purpose, and every line of a stream.

use super::fixtures::{Fixture, flipped, stored, truncated};
use super::samples::{BROKER, ORIGIN, SERVER, told_and_spent, words};
use pebbleturn::gossip::codec::{
    self, Datagram, FIRST_VERSION, FrameError, LATEST_VERSION, MAX_DATAGRAM_BYTES, Sender, StreamFrame,
};
use pebbleturn::gossip::swim::{PeerStatus, Probe, StatusUpdate};
use pebbleturn::replication::anti_entropy::{SyncMessage, SyncPosition};
use pebbleturn::replication::{Fact, FactKey, Origin, StateStore, StoreLimits};

const FORMAT: &str = "gossip";
const CLUSTER: &str = "clüster";
/// The digest at the root of a copy that holds all facts of the samples. Peers compare it with their own.
const ROOT: u64 = 5_247_899_228_306_079_608;
/// Bytes before a frame on a stream that tell its length.
const LENGTH_PREFIX: usize = 4;

struct DatagramSample {
    name: String,
    version: u8,
    datagram: Datagram,
}

struct LineSample {
    name: String,
    line: StreamFrame,
}

fn sender() -> Sender {
    Sender {
        cluster_id: codec::cluster_id(CLUSTER),
        name: BROKER.into(),
        origin: ORIGIN,
        incarnation: 1_700_000_000_000,
        latest_version: LATEST_VERSION,
    }
}

/// What is said of a peer in each status.
fn status_updates() -> Vec<StatusUpdate> {
    let update = |name: &str, incarnation, status| StatusUpdate { name: name.into(), incarnation, status };
    vec![
        update("brøker-3", 7, PeerStatus::Alive),
        update("broker-4", 300, PeerStatus::Suspect),
        update("broker-5", u64::MAX, PeerStatus::Down),
    ]
}

fn all_facts() -> Vec<Fact> {
    [words(), told_and_spent()].concat()
}

fn probes() -> [Probe; 5] {
    let ask = Probe::PingRequest { sequence: u32::MAX, name: "brøker-3".into() };
    [
        Probe::Gossip,
        Probe::Ping { sequence: 8 },
        Probe::Ack { sequence: 300 },
        ask,
        Probe::Nack { sequence: 9 },
    ]
}

/// The name of a purpose. A new one does not compile before it has a name, and so a fixture.
fn probe_name(probe: &Probe) -> &'static str {
    match probe {
        Probe::Gossip => "news",
        Probe::Ping { .. } => "ping",
        Probe::Ack { .. } => "ack",
        Probe::PingRequest { .. } => "ask",
        Probe::Nack { .. } => "nack",
    }
}

/// A datagram for every purpose in each version. Only news holds rumours and facts.
fn datagram_samples() -> Vec<DatagramSample> {
    let mut samples = Vec::new();
    for version in FIRST_VERSION..=LATEST_VERSION {
        for probe in probes() {
            let name = format!("{FORMAT}/datagram-v{version}-{}.frame", probe_name(&probe));
            let is_news = probe == Probe::Gossip;
            let (status_updates, facts) =
                if is_news { (status_updates(), all_facts()) } else { Default::default() };
            let root = (version == LATEST_VERSION).then_some(ROOT);
            let datagram = Datagram { sender: sender(), probe, status_updates, facts, root };
            samples.push(DatagramSample { name, version, datagram });
        }
    }
    samples
}

/// The name of a message of a walk; see `probe_name`. Two kinds of message have an option, and a name for each state.
fn message_name(message: &SyncMessage) -> &'static str {
    match message {
        SyncMessage::Begin { .. } => "begin",
        SyncMessage::BranchDigests { .. } => "branches",
        SyncMessage::RequestLeaves { .. } => "ask-leaves",
        SyncMessage::LeafDigests { .. } => "leaves",
        SyncMessage::RequestFacts { from: None, .. } => "ask-facts",
        SyncMessage::RequestFacts { from: Some(_), .. } => "ask-facts-from",
        SyncMessage::Facts { resume_at: None, .. } => "facts",
        SyncMessage::Facts { resume_at: Some(_), .. } => "facts-stopped",
        SyncMessage::Push { .. } => "give",
        SyncMessage::PushAccepted => "taken",
    }
}

/// A copy that holds all facts: digests are compared between peers, and so must stay as they are.
fn copy() -> StateStore {
    let mut copy = StateStore::new(Origin(1), StoreLimits::default());
    for (key, entry) in all_facts() {
        assert_eq!(copy.join(&key, &entry, u64::MAX), Ok(true));
    }
    copy
}

fn messages() -> [SyncMessage; 10] {
    let copy = copy();
    let tree = copy.tree();
    let branch = tree.branches().iter().position(|digest| *digest != 0).unwrap() as u8;
    let place = SyncPosition { key: FactKey::Site("sité".into()), parts: 300 };
    [
        SyncMessage::Begin { root: ROOT },
        SyncMessage::BranchDigests { digests: tree.branches().to_vec() },
        SyncMessage::RequestLeaves { branches: vec![0, 63] },
        SyncMessage::LeafDigests { digests: vec![(branch, tree.leaves(branch)), (5, vec![])] },
        SyncMessage::RequestFacts { leaves: vec![1, 4095], from: None },
        SyncMessage::RequestFacts { leaves: vec![4095], from: Some(place.clone()) },
        SyncMessage::Facts { facts: all_facts(), resume_at: None },
        SyncMessage::Facts { facts: words(), resume_at: Some((4095, place)) },
        SyncMessage::Push { facts: told_and_spent() },
        SyncMessage::PushAccepted,
    ]
}

fn line_name(line: &StreamFrame) -> &'static str {
    match line {
        StreamFrame::Hello { .. } => "hello",
        StreamFrame::Sync(message) => message_name(message),
    }
}

fn line_samples() -> Vec<LineSample> {
    let hello = StreamFrame::Hello { sender: sender(), status_updates: status_updates() };
    let lines = [hello].into_iter().chain(messages().map(StreamFrame::Sync));
    let sample = |line| LineSample { name: format!("{FORMAT}/stream-{}.frame", line_name(&line)), line };
    lines.map(sample).collect()
}

/// Every datagram, and every line of a stream behind its length.
pub fn written() -> Vec<Fixture> {
    let datagram = |s: DatagramSample| Fixture { name: s.name, bytes: s.datagram.encode(s.version) };
    let line = |s: LineSample| Fixture { name: s.name, bytes: s.line.encode() };
    let datagrams = datagram_samples().into_iter().map(datagram);
    datagrams.chain(line_samples().into_iter().map(line)).collect()
}

/// A datagram from its fixture.
fn read_datagram(name: &str) -> Datagram {
    Datagram::decode(&stored(&format!("{FORMAT}/{name}")), LATEST_VERSION).unwrap()
}

/// The frame in a fixture of a stream, without its length.
fn stored_frame(name: &str) -> Vec<u8> {
    let bytes = stored(name);
    assert_eq!(codec::frame_end(&bytes), Ok(Some(bytes.len())), "{name}");
    bytes[LENGTH_PREFIX..].to_vec()
}

#[test]
fn every_frame_is_written_as_before() {
    written().iter().for_each(Fixture::assert_unchanged);
}

#[test]
fn the_digest_of_a_copy_is_as_before() {
    assert_eq!(copy().tree().root(), ROOT);
}

#[test]
fn every_datagram_is_read() {
    for sample in datagram_samples() {
        let bytes = stored(&sample.name);
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        assert_eq!(Datagram::decode(&bytes, LATEST_VERSION), Ok(sample.datagram), "{}", sample.name);
    }
}

#[test]
fn every_line_is_read() {
    for sample in line_samples() {
        assert_eq!(StreamFrame::decode(&stored_frame(&sample.name)), Ok(sample.line), "{}", sample.name);
    }
}

#[test]
fn datagrams_are_read_field_by_field() {
    let news = read_datagram("datagram-v2-news.frame");
    assert_eq!((news.sender.cluster_id, news.sender.name.as_str()), (codec::cluster_id(CLUSTER), BROKER));
    assert_eq!((news.sender.origin, news.sender.incarnation), (ORIGIN, 1_700_000_000_000));
    assert_eq!((news.sender.latest_version, news.root), (2, Some(ROOT)));
    let statuses: Vec<PeerStatus> = news.status_updates.iter().map(|update| update.status).collect();
    assert_eq!(statuses, [PeerStatus::Alive, PeerStatus::Suspect, PeerStatus::Down]);
    assert_eq!((news.status_updates[1].name.as_str(), news.status_updates[1].incarnation), ("broker-4", 300));
    assert_eq!(news.facts[0].0, FactKey::Server(SERVER.into()));
    let ask = read_datagram("datagram-v1-ask.frame");
    assert_eq!(ask.probe, Probe::PingRequest { sequence: u32::MAX, name: "brøker-3".into() });
    assert_eq!(ask.root, None);
}

#[test]
fn a_datagram_without_a_root_is_of_the_first_version() {
    let sample = datagram_samples().remove(0);
    assert_eq!(sample.datagram.root, None);
    assert_eq!(sample.datagram.encode(LATEST_VERSION), stored(&sample.name));
}

#[test]
fn a_datagram_of_a_version_that_is_not_read_is_refused() {
    let bytes = stored("gossip/datagram-v2-news.frame");
    assert_eq!(Datagram::decode(&bytes, FIRST_VERSION), Err(FrameError::UnsupportedVersion(LATEST_VERSION)));
}

#[test]
fn damaged_datagrams_are_refused() {
    for sample in datagram_samples() {
        let bytes = stored(&sample.name);
        assert_eq!(Datagram::decode(&flipped(&bytes), LATEST_VERSION), Err(FrameError::ChecksumMismatch));
        assert_eq!(Datagram::decode(&truncated(&bytes), LATEST_VERSION), Err(FrameError::ChecksumMismatch));
    }
}

#[test]
fn damaged_lines_are_refused() {
    for sample in line_samples() {
        let frame = stored_frame(&sample.name);
        assert_eq!(
            StreamFrame::decode(&flipped(&frame)),
            Err(FrameError::ChecksumMismatch),
            "{}",
            sample.name
        );
        assert_eq!(
            StreamFrame::decode(&truncated(&frame)),
            Err(FrameError::ChecksumMismatch),
            "{}",
            sample.name
        );
        let whole = stored(&sample.name);
        assert_eq!(codec::frame_end(&truncated(&whole)), Ok(None), "the rest is waited for");
    }
}
