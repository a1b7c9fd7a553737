//! Corrupted input: every decoder of frames and files returns a typed error or a valid value for any bytes,
//! and a broker that receives such frames keeps working.

use pebbleturn::gossip::codec::{
    self, Datagram, FrameError, LATEST_VERSION, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Sender, StreamFrame,
};
use pebbleturn::gossip::swim::{PeerStatus, Probe, StatusUpdate};
use pebbleturn::replication::anti_entropy::{SyncMessage, SyncPosition, SyncSession};
use pebbleturn::replication::*;
use pebbleturn::storage::Disk;
use pebbleturn::storage::journal::{self, Journal, LOG, OLDER_LOG, OLDER_SNAPSHOT, SNAPSHOT, TEMPORARY};
use pebbleturn_lab::cluster::simulation::{SECOND, SimulatedCluster, name};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::path::Path;
use std::time::Duration;

fn sample_store(commands: u32) -> StateStore {
    let mut store = StateStore::new(Origin(7), StoreLimits { retention: 0, ..StoreLimits::default() });
    for n in 0..commands {
        let value =
            [CommandValue::Set, CommandValue::Clear, CommandValue::Text("x".into())][n as usize % 3].clone();
        let key = [FactKey::Server(format!("s-{n}")), FactKey::MaintenanceOrder(format!("cluster-{n}"))]
            [n as usize % 2]
            .clone();
        let command = OperatorCommand {
            value,
            author: "cluster".into(),
            reason: "y".into(),
            broker: "b".into(),
            issued_at: 1,
            expires_at: Some(5),
        };
        store.record(&key, command).unwrap();
        store
            .join(
                &FactKey::Start(format!("s-{n}")),
                &FactValue::Latest(ProcessStart { started: 9, list_version: 0 }),
                10,
            )
            .unwrap();
    }
    store.collect_garbage(100);
    store
        .record(
            &FactKey::Server("s-0".into()),
            OperatorCommand {
                value: CommandValue::Set,
                author: "cluster".into(),
                reason: "y".into(),
                broker: "b".into(),
                issued_at: 1,
                expires_at: None,
            },
        )
        .unwrap();
    store
}

fn facts(store: &StateStore) -> Vec<Fact> {
    store.facts().map(|(key, value)| (key.clone(), value.clone())).collect()
}

fn sender() -> Sender {
    Sender {
        cluster_id: codec::cluster_id("kochi"),
        name: name(1),
        origin: Origin(3),
        incarnation: 4,
        latest_version: LATEST_VERSION,
    }
}

fn datagram(version: u8) -> Vec<u8> {
    let status_updates = vec![StatusUpdate { name: name(2), incarnation: 5, status: PeerStatus::Suspect }];
    let probe = Probe::PingRequest { sequence: 8, name: name(2) };
    Datagram { sender: sender(), probe, status_updates, facts: facts(&sample_store(6)), root: Some(77) }
        .encode(version)
}

fn stream_frames() -> Vec<Vec<u8>> {
    let store = sample_store(20);
    let (_, begin) = SyncSession::begin(&store, 1000);
    let hello = StreamFrame::Hello { sender: sender(), status_updates: vec![] };
    let push = SyncMessage::Push { facts: facts(&store) };
    let leaf_digests = SyncMessage::LeafDigests { digests: vec![(3, vec![1; 64])] };
    let position = SyncPosition { key: FactKey::Site("k".into()), parts: 2 };
    let request = SyncMessage::RequestFacts { leaves: vec![1, 2], from: Some(position) };
    let sync_frames =
        [begin, push, leaf_digests, request, SyncMessage::BranchDigests { digests: vec![5; 64] }]
            .map(StreamFrame::Sync);
    [hello].into_iter().chain(sync_frames).map(|frame| frame.encode()[4..].to_vec()).collect()
}

/// Sets the checksum to the correct value, so that the body is decoded.
fn fix_checksum(frame: &mut [u8]) {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[3..5]);
    hasher.update(&frame[9..]);
    frame[5..9].copy_from_slice(&hasher.finalize().to_le_bytes());
}

/// Damages bytes from the offset `from` on: truncates, flips a bit, overwrites a range with 0xff (which
/// decodes as a huge count), duplicates a range, or overwrites a byte.
fn corrupt(bytes: &mut Vec<u8>, from: usize, rng: &mut Pcg32) {
    for _ in 0..1 + rng.next_u32() % 4 {
        if bytes.len() <= from {
            return;
        }
        let at = from + rng.next_u32() as usize % (bytes.len() - from);
        match rng.next_u32() % 5 {
            0 => bytes.truncate(at),
            1 => bytes[at] ^= 1 << (rng.next_u32() % 8),
            2 => {
                let end = (at + 9).min(bytes.len());
                bytes[at..end].fill(0xff);
            }
            3 => {
                let end = (at + 40).min(bytes.len());
                let range = bytes[at..end].to_vec();
                bytes.splice(at..at, range);
            }
            _ => bytes[at] = rng.next_u32() as u8,
        }
    }
}

#[test]
fn damaged_frames_are_rejected() {
    for version in 1..=LATEST_VERSION {
        let whole = datagram(version);
        assert!(whole.len() <= MAX_DATAGRAM_BYTES && Datagram::decode(&whole, LATEST_VERSION).is_ok());
        for at in 0..whole.len() {
            assert!(Datagram::decode(&whole[..at], LATEST_VERSION).is_err(), "cut at {at}");
            let mut changed = whole.clone();
            changed[at] ^= 0x10;
            assert!(Datagram::decode(&changed, LATEST_VERSION).is_err(), "changed at {at}");
        }
    }
    assert_eq!(Datagram::decode(&datagram(2), 1), Err(FrameError::UnsupportedVersion(2)));
    assert!(Datagram::decode(&datagram(1), 1).unwrap().root.is_none());
    assert_eq!(
        Datagram::decode(&vec![0; MAX_DATAGRAM_BYTES + 1], LATEST_VERSION),
        Err(FrameError::InvalidLength(MAX_DATAGRAM_BYTES + 1))
    );
    assert_eq!(codec::frame_end(&[0xff; 8]), Err(FrameError::InvalidLength(u32::MAX as usize)));
    assert_eq!(codec::frame_end(&(MAX_FRAME_BYTES as u32).to_be_bytes()), Ok(None));
}

/// A corrupted body with a valid checksum decodes to an error or a value, and a broker that receives it keeps
/// working.
#[test]
fn corrupted_bodies_with_valid_checksums_harm_no_broker() {
    let mut rng = Pcg32::new(1, 1);
    let mut cluster = SimulatedCluster::new(3, 5);
    cluster.run_for(3 * SECOND);
    let (mut decoded, mut rejected) = (0, 0);
    for n in 0..6000 {
        let mut bytes = datagram(1 + (n % 2) as u8);
        corrupt(&mut bytes, 9, &mut rng);
        if bytes.len() < 9 {
            continue;
        }
        fix_checksum(&mut bytes);
        match Datagram::decode(&bytes, LATEST_VERSION) {
            Ok(_) => decoded += 1,
            Err(_) => rejected += 1,
        }
        cluster.inject(0, 1, &bytes);
        if n % 100 == 0 {
            cluster.run_for(SECOND);
        }
        for mut frame in stream_frames() {
            corrupt(&mut frame, 9, &mut rng);
            if frame.len() >= 9 {
                fix_checksum(&mut frame);
                if let Ok(StreamFrame::Sync(message)) = StreamFrame::decode(&frame) {
                    let _ = anti_entropy::respond(&sample_store(2), &message);
                }
            }
        }
    }
    assert!(decoded > 300 && rejected > 300, "{decoded} decoded, {rejected} rejected");
    // The broker still exchanges facts with its peers.
    let dot = cluster.record(1, &FactKey::Server("after".into()), CommandValue::Set).unwrap();
    assert!(
        cluster.wait_for(30 * SECOND, |cluster| cluster.count_knowing(&FactKey::Server("after".into()), dot)
            == 3)
    );
}

fn write_journal(dir: &Path, batches: &[Vec<Fact>]) {
    let mut journal = Journal::start(Disk, dir, StoreLimits::default()).unwrap();
    journal.wait_for_contents(Duration::from_secs(60)).unwrap().unwrap();
    journal.record_incarnation(41);
    for facts in batches {
        let mut remaining = Some(facts.clone());
        while let Some(facts) = remaining.take() {
            remaining = journal.write(facts).err();
            while let Some(completion) = journal.poll_result() {
                completion.result.unwrap();
            }
            std::thread::yield_now();
        }
    }
    while journal.has_pending_writes() {
        if let Some(completion) = journal.poll_result() {
            completion.result.unwrap();
        }
    }
}

/// Two batches with the same facts, except that the second has a newer command for the server `s-0`.
fn batches() -> [Vec<Fact>; 2] {
    let mut store = sample_store(8);
    let first = facts(&store);
    let command = OperatorCommand {
        value: CommandValue::Clear,
        author: "cluster".into(),
        reason: "y".into(),
        broker: "b".into(),
        issued_at: 2,
        expires_at: None,
    };
    store.record(&FactKey::Server("s-0".into()), command).unwrap();
    [first, facts(&store)]
}

#[test]
fn a_damaged_journal_yields_its_intact_facts() {
    let dir = tempfile::tempdir().unwrap();
    let batches = batches();
    write_journal(dir.path(), &batches);
    let log = std::fs::read(dir.path().join(LOG)).unwrap();
    let read = || journal::read(&Disk, dir.path(), StoreLimits::default());
    let intact = read();
    assert!(intact.problems.is_empty() && intact.incarnation == 41);
    let intact_facts = intact.facts;
    for at in (0..log.len()).step_by(3) {
        // Truncated at any byte, as by a kill: complete lines are read, and no damage is reported.
        std::fs::write(dir.path().join(LOG), &log[..at]).unwrap();
        let cut = read();
        assert!(cut.problems.is_empty(), "{:?}", cut.problems);
        let lines = log[..at].iter().filter(|byte| **byte == b'\n').count();
        // One line holds the incarnation; the last complete line of a fact is the newest.
        let complete_keys: std::collections::BTreeSet<&FactKey> =
            batches.iter().flatten().take(lines.saturating_sub(1)).map(|(key, _)| key).collect();
        let missing = complete_keys
            .iter()
            .filter(|k| !matches!(k, FactKey::Collected(_)) && !cut.facts.iter().any(|(c, _)| c == **k));
        assert_eq!(missing.count(), 0, "cut at {at}");
        assert!(lines <= batches[0].len() + batches[1].len() || cut.facts == intact_facts, "cut at {at}");
        // Changed at any byte: the other lines are read, and the damage is reported.
        let mut changed = log.clone();
        changed[at] ^= 4;
        std::fs::write(dir.path().join(LOG), &changed).unwrap();
        let damaged = read();
        assert!(
            damaged.problems.iter().all(|problem| problem.to_string().contains("damaged"))
                && !damaged.problems.is_empty(),
            "changed at {at}"
        );
        assert!(damaged.facts.len() + 1 >= batches[0].len(), "changed at {at}");
    }
    // Writing continues after a truncated log, and all of its facts are read.
    std::fs::write(dir.path().join(LOG), &log[..log.len() - 5]).unwrap();
    write_journal(dir.path(), &batches[1..]);
    let reread = read();
    assert!(reread.facts == intact_facts, "{:?}", reread.problems);
}

#[test]
fn a_journal_survives_the_loss_of_any_one_file_but_the_current_log() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = StateStore::new(Origin(9), StoreLimits::default());
    let mut parts = Vec::new();
    for batch in 0..12 {
        for n in 0..200 {
            let text = CommandValue::Text("t".repeat(3000));
            let command = OperatorCommand {
                value: text,
                author: "cluster".into(),
                reason: "y".into(),
                broker: "b".into(),
                issued_at: 2,
                expires_at: None,
            };
            store.record(&FactKey::MaintenanceOrder(format!("{batch}-{n}")), command).unwrap();
        }
        let is_of_batch =
            |(key, _): &Fact| key.name().is_some_and(|name| name.starts_with(&format!("{batch}-")));
        parts.push(facts(&store).into_iter().filter(is_of_batch).collect());
    }
    write_journal(dir.path(), &parts);
    let read = || journal::read(&Disk, dir.path(), StoreLimits::default());
    assert_eq!(read().facts, facts(&store));
    assert_eq!(read().incarnation, 41);
    for name in [SNAPSHOT, OLDER_SNAPSHOT, LOG, OLDER_LOG] {
        let path = dir.path().join(name);
        let bytes = std::fs::read(&path).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(!bytes.is_empty());
        if name != LOG {
            // The older snapshot and the logs since then hold the same facts as the newer snapshot, and vice
            // versa.
            std::fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
            assert!(read().facts == facts(&store), "{name} is truncated");
            std::fs::remove_file(&path).unwrap();
            assert!(read().facts == facts(&store), "{name} is missing");
        }
        std::fs::write(&path, bytes).unwrap();
    }
    // Random bytes in place of a file are reported; a temporary file left behind by a kill is not damage.
    let mut rng = Pcg32::new(3, 3);
    std::fs::write(dir.path().join(TEMPORARY), b"pebbleturn-cluster 1 77").unwrap();
    assert!(read().problems.is_empty());
    for name in [SNAPSHOT, OLDER_SNAPSHOT, LOG, OLDER_LOG] {
        let random_bytes: Vec<u8> = (0..4000).map(|_| rng.next_u32() as u8).collect();
        std::fs::write(dir.path().join(name), random_bytes).unwrap();
    }
    let found = read();
    assert!(found.facts.is_empty() && found.problems.len() >= 4, "{:?}", found.problems);
}
