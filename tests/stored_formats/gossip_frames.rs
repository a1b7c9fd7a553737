//! Gossip frames: datagrams in both versions and with every purpose, and stream frames of every kind.

use super::fixtures::{Fixture, flipped, stored, truncated};
use super::samples::{BROKER, ORIGIN, SERVER, command_facts, facts_without_commands};
use pebbleturn::gossip::codec::{
    self, Datagram, FIRST_VERSION, FrameError, LATEST_VERSION, MAX_DATAGRAM_BYTES, Sender, StreamFrame,
};
use pebbleturn::gossip::swim::{PeerStatus, Probe, StatusUpdate};
use pebbleturn::replication::anti_entropy::{SyncMessage, SyncPosition};
use pebbleturn::replication::{Fact, FactKey, Origin, StateStore, StoreLimits};

const FORMAT: &str = "gossip";
const CLUSTER: &str = "clüster";
/// The root digest of a store that holds all facts of the samples. Peers compare it with their own.
const ROOT: u64 = 5_247_899_228_306_079_608;
/// Size in bytes of the length prefix of a stream frame.
const LENGTH_PREFIX_BYTES: usize = 4;

struct DatagramSample {
    name: String,
    version: u8,
    datagram: Datagram,
}

struct StreamSample {
    name: String,
    frame: StreamFrame,
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

/// A status update for each status.
fn status_updates() -> Vec<StatusUpdate> {
    let update = |name: &str, incarnation, status| StatusUpdate { name: name.into(), incarnation, status };
    vec![
        update("brøker-3", 7, PeerStatus::Alive),
        update("broker-4", 300, PeerStatus::Suspect),
        update("broker-5", u64::MAX, PeerStatus::Down),
    ]
}

fn all_facts() -> Vec<Fact> {
    [command_facts(), facts_without_commands()].concat()
}

fn probes() -> [Probe; 5] {
    let ping_request = Probe::PingRequest { sequence: u32::MAX, name: "brøker-3".into() };
    [
        Probe::Gossip,
        Probe::Ping { sequence: 8 },
        Probe::Ack { sequence: 300 },
        ping_request,
        Probe::Nack { sequence: 9 },
    ]
}

/// The name of a purpose in the names of fixtures. The match is exhaustive, so that a new variant needs a
/// name and thus a fixture.
fn probe_name(probe: &Probe) -> &'static str {
    match probe {
        Probe::Gossip => "news",
        Probe::Ping { .. } => "ping",
        Probe::Ack { .. } => "ack",
        Probe::PingRequest { .. } => "ask",
        Probe::Nack { .. } => "nack",
    }
}

/// A datagram for every purpose in each version. Only gossip datagrams hold status updates and facts.
fn datagram_samples() -> Vec<DatagramSample> {
    let mut samples = Vec::new();
    for version in FIRST_VERSION..=LATEST_VERSION {
        for probe in probes() {
            let name = format!("{FORMAT}/datagram-v{version}-{}.frame", probe_name(&probe));
            let is_gossip = probe == Probe::Gossip;
            let (status_updates, facts) =
                if is_gossip { (status_updates(), all_facts()) } else { Default::default() };
            let root = (version == LATEST_VERSION).then_some(ROOT);
            let datagram = Datagram { sender: sender(), probe, status_updates, facts, root };
            samples.push(DatagramSample { name, version, datagram });
        }
    }
    samples
}

/// The name of an anti-entropy message in the names of fixtures; see `probe_name`. Two variants have an
/// optional field, and one name with and one without it.
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

/// A store that holds all facts. Peers compare digests, so its digests must not change.
fn store() -> StateStore {
    let mut store = StateStore::new(Origin(1), StoreLimits::default());
    for (key, entry) in all_facts() {
        assert_eq!(store.join(&key, &entry, u64::MAX), Ok(true));
    }
    store
}

fn sync_messages() -> [SyncMessage; 10] {
    let store = store();
    let tree = store.tree();
    let branch = tree.branches().iter().position(|digest| *digest != 0).unwrap() as u8;
    let position = SyncPosition { key: FactKey::Site("sité".into()), parts: 300 };
    [
        SyncMessage::Begin { root: ROOT },
        SyncMessage::BranchDigests { digests: tree.branches().to_vec() },
        SyncMessage::RequestLeaves { branches: vec![0, 63] },
        SyncMessage::LeafDigests { digests: vec![(branch, tree.leaves(branch)), (5, vec![])] },
        SyncMessage::RequestFacts { leaves: vec![1, 4095], from: None },
        SyncMessage::RequestFacts { leaves: vec![4095], from: Some(position.clone()) },
        SyncMessage::Facts { facts: all_facts(), resume_at: None },
        SyncMessage::Facts { facts: command_facts(), resume_at: Some((4095, position)) },
        SyncMessage::Push { facts: facts_without_commands() },
        SyncMessage::PushAccepted,
    ]
}

fn frame_name(frame: &StreamFrame) -> &'static str {
    match frame {
        StreamFrame::Hello { .. } => "hello",
        StreamFrame::Sync(message) => message_name(message),
    }
}

fn stream_samples() -> Vec<StreamSample> {
    let hello = StreamFrame::Hello { sender: sender(), status_updates: status_updates() };
    let frames = [hello].into_iter().chain(sync_messages().map(StreamFrame::Sync));
    let sample =
        |frame| StreamSample { name: format!("{FORMAT}/stream-{}.frame", frame_name(&frame)), frame };
    frames.map(sample).collect()
}

/// All datagrams, and all stream frames with their length prefixes.
pub fn build_fixtures() -> Vec<Fixture> {
    let datagram = |s: DatagramSample| Fixture { name: s.name, bytes: s.datagram.encode(s.version) };
    let frame = |s: StreamSample| Fixture { name: s.name, bytes: s.frame.encode() };
    let datagrams = datagram_samples().into_iter().map(datagram);
    datagrams.chain(stream_samples().into_iter().map(frame)).collect()
}

/// The datagram in a fixture.
fn read_datagram(name: &str) -> Datagram {
    Datagram::decode(&stored(&format!("{FORMAT}/{name}")), LATEST_VERSION).unwrap()
}

/// The stream frame in a fixture, without its length prefix.
fn stored_frame(name: &str) -> Vec<u8> {
    let bytes = stored(name);
    assert_eq!(codec::frame_end(&bytes), Ok(Some(bytes.len())), "{name}");
    bytes[LENGTH_PREFIX_BYTES..].to_vec()
}

#[test]
fn every_frame_is_written_as_before() {
    build_fixtures().iter().for_each(Fixture::assert_unchanged);
}

#[test]
fn the_root_digest_of_a_store_is_as_before() {
    assert_eq!(store().tree().root(), ROOT);
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
fn every_stream_frame_is_read() {
    for sample in stream_samples() {
        assert_eq!(StreamFrame::decode(&stored_frame(&sample.name)), Ok(sample.frame), "{}", sample.name);
    }
}

#[test]
fn datagrams_are_read_field_by_field() {
    let gossip = read_datagram("datagram-v2-news.frame");
    assert_eq!((gossip.sender.cluster_id, gossip.sender.name.as_str()), (codec::cluster_id(CLUSTER), BROKER));
    assert_eq!((gossip.sender.origin, gossip.sender.incarnation), (ORIGIN, 1_700_000_000_000));
    assert_eq!((gossip.sender.latest_version, gossip.root), (2, Some(ROOT)));
    let statuses: Vec<PeerStatus> = gossip.status_updates.iter().map(|update| update.status).collect();
    assert_eq!(statuses, [PeerStatus::Alive, PeerStatus::Suspect, PeerStatus::Down]);
    assert_eq!(
        (gossip.status_updates[1].name.as_str(), gossip.status_updates[1].incarnation),
        ("broker-4", 300)
    );
    assert_eq!(gossip.facts[0].0, FactKey::Server(SERVER.into()));
    let ping_request = read_datagram("datagram-v1-ask.frame");
    assert_eq!(ping_request.probe, Probe::PingRequest { sequence: u32::MAX, name: "brøker-3".into() });
    assert_eq!(ping_request.root, None);
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
fn damaged_stream_frames_are_refused() {
    for sample in stream_samples() {
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
        let complete = stored(&sample.name);
        assert_eq!(codec::frame_end(&truncated(&complete)), Ok(None), "an incomplete frame is not an error");
    }
}
