//! Bytes that are not what they should be: every decoder of frames and files gives a typed error or a sound value, whatever
//! comes, and a broker that is sent such things goes on.

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

fn sample_store(words: u32) -> StateStore {
    let mut copy = StateStore::new(Origin(7), StoreLimits { retention: 0, ..StoreLimits::default() });
    for n in 0..words {
        let value =
            [CommandValue::Set, CommandValue::Clear, CommandValue::Text("x".into())][n as usize % 3].clone();
        let key = [FactKey::Server(format!("s-{n}")), FactKey::MaintenanceOrder(format!("cluster-{n}"))]
            [n as usize % 2]
            .clone();
        let said = OperatorCommand {
            value,
            author: "cluster".into(),
            reason: "y".into(),
            broker: "b".into(),
            issued_at: 1,
            expires_at: Some(5),
        };
        copy.record(&key, said).unwrap();
        copy.join(
            &FactKey::Start(format!("s-{n}")),
            &FactValue::Latest(ProcessStart { started: 9, list_version: 0 }),
            10,
        )
        .unwrap();
    }
    copy.collect_garbage(100);
    copy.record(
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
    copy
}

fn facts(copy: &StateStore) -> Vec<Fact> {
    copy.facts().map(|(k, e)| (k.clone(), e.clone())).collect()
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
    let copy = sample_store(20);
    let (_, begin) = SyncSession::begin(&copy, 1000);
    let hello = StreamFrame::Hello { sender: sender(), status_updates: vec![] };
    let give = SyncMessage::Push { facts: facts(&copy) };
    let leaves = SyncMessage::LeafDigests { digests: vec![(3, vec![1; 64])] };
    let position = SyncPosition { key: FactKey::Site("k".into()), parts: 2 };
    let ask = SyncMessage::RequestFacts { leaves: vec![1, 2], from: Some(position) };
    let walks = [begin, give, leaves, ask, SyncMessage::BranchDigests { digests: vec![5; 64] }]
        .map(StreamFrame::Sync);
    [hello].into_iter().chain(walks).map(|l| l.encode()[4..].to_vec()).collect()
}

/// The checksum as it has to be: what follows it is read.
fn fix_checksum(frame: &mut [u8]) {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[3..5]);
    hasher.update(&frame[9..]);
    frame[5..9].copy_from_slice(&hasher.finalize().to_le_bytes());
}

/// Cuts, flips, fills with the bytes of huge counts, doubles a stretch.
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
                let stretch = bytes[at..end].to_vec();
                bytes.splice(at..at, stretch);
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

/// With a checksum that fits, whatever stands behind it: an error or a value, and a broker that takes it in goes on.
#[test]
fn corrupted_bodies_with_valid_checksums_harm_no_broker() {
    let mut rng = Pcg32::new(1, 1);
    let mut cluster = SimulatedCluster::new(3, 5);
    cluster.run_for(3 * SECOND);
    let (mut read, mut refused) = (0, 0);
    for n in 0..6000 {
        let mut bytes = datagram(1 + (n % 2) as u8);
        corrupt(&mut bytes, 9, &mut rng);
        if bytes.len() < 9 {
            continue;
        }
        fix_checksum(&mut bytes);
        match Datagram::decode(&bytes, LATEST_VERSION) {
            Ok(_) => read += 1,
            Err(_) => refused += 1,
        }
        cluster.inject(0, 1, &bytes);
        if n % 100 == 0 {
            cluster.run_for(SECOND);
        }
        for mut line in stream_frames() {
            corrupt(&mut line, 9, &mut rng);
            if line.len() >= 9 {
                fix_checksum(&mut line);
                if let Ok(StreamFrame::Sync(m)) = StreamFrame::decode(&line) {
                    let _ = anti_entropy::respond(&sample_store(2), &m);
                }
            }
        }
    }
    assert!(read > 300 && refused > 300, "{read} read, {refused} refused");
    // It still hears its peers, and they it.
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
        let mut left = Some(facts.clone());
        while let Some(facts) = left.take() {
            left = journal.write(facts).err();
            while let Some(done) = journal.poll_result() {
                done.result.unwrap();
            }
            std::thread::yield_now();
        }
    }
    while journal.has_pending_writes() {
        if let Some(done) = journal.poll_result() {
            done.result.unwrap();
        }
    }
}

/// Half of the words in the first batch, all of them, newer, in the second.
fn batches() -> [Vec<Fact>; 2] {
    let mut copy = sample_store(8);
    let first = facts(&copy);
    let said = OperatorCommand {
        value: CommandValue::Clear,
        author: "cluster".into(),
        reason: "y".into(),
        broker: "b".into(),
        issued_at: 2,
        expires_at: None,
    };
    copy.record(&FactKey::Server("s-0".into()), said).unwrap();
    [first, facts(&copy)]
}

#[test]
fn a_damaged_journal_yields_its_intact_facts() {
    let dir = tempfile::tempdir().unwrap();
    let batches = batches();
    write_journal(dir.path(), &batches);
    let log = std::fs::read(dir.path().join(LOG)).unwrap();
    let read = || journal::read(&Disk, dir.path(), StoreLimits::default());
    let whole = read();
    assert!(whole.problems.is_empty() && whole.incarnation == 41);
    let whole_facts = whole.facts;
    for at in (0..log.len()).step_by(3) {
        // Killed at any byte: what was written before stands, and nothing is told as damage.
        std::fs::write(dir.path().join(LOG), &log[..at]).unwrap();
        let cut = read();
        assert!(cut.problems.is_empty(), "{:?}", cut.problems);
        let lines = log[..at].iter().filter(|b| **b == b'\n').count();
        // One line tells the incarnation; of each fact the last whole line is the newest.
        let kept: std::collections::BTreeSet<&FactKey> =
            batches.iter().flatten().take(lines.saturating_sub(1)).map(|(k, _)| k).collect();
        let lost = kept
            .iter()
            .filter(|k| !matches!(k, FactKey::Collected(_)) && !cut.facts.iter().any(|(c, _)| c == **k));
        assert_eq!(lost.count(), 0, "cut at {at}");
        assert!(lines <= batches[0].len() + batches[1].len() || cut.facts == whole_facts, "cut at {at}");
        // Changed at any byte: the other lines stand, and it is told.
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
    // A log that was cut is written on, and all of it is read.
    std::fs::write(dir.path().join(LOG), &log[..log.len() - 5]).unwrap();
    write_journal(dir.path(), &batches[1..]);
    let again = read();
    assert!(again.facts == whole_facts, "{:?}", again.problems);
}

#[test]
fn snapshots_follow_the_log_and_any_one_older_file_may_be_lost() {
    let dir = tempfile::tempdir().unwrap();
    let mut all = StateStore::new(Origin(9), StoreLimits::default());
    let mut parts = Vec::new();
    for batch in 0..12 {
        for n in 0..200 {
            let text = CommandValue::Text("t".repeat(3000));
            let said = OperatorCommand {
                value: text,
                author: "cluster".into(),
                reason: "y".into(),
                broker: "b".into(),
                issued_at: 2,
                expires_at: None,
            };
            all.record(&FactKey::MaintenanceOrder(format!("{batch}-{n}")), said).unwrap();
        }
        let new = |(k, _): &Fact| k.name().is_some_and(|n| n.starts_with(&format!("{batch}-")));
        parts.push(facts(&all).into_iter().filter(new).collect());
    }
    write_journal(dir.path(), &parts);
    let read = || journal::read(&Disk, dir.path(), StoreLimits::default());
    assert_eq!(read().facts, facts(&all));
    assert_eq!(read().incarnation, 41);
    for name in [SNAPSHOT, OLDER_SNAPSHOT, LOG, OLDER_LOG] {
        let path = dir.path().join(name);
        let bytes = std::fs::read(&path).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(!bytes.is_empty());
        if name != LOG {
            // The snapshot before and the log since then have all that the snapshot has, and the other way round.
            std::fs::write(&path, &bytes[..bytes.len() / 2]).unwrap();
            assert!(read().facts == facts(&all), "{name} is cut");
            std::fs::remove_file(&path).unwrap();
            assert!(read().facts == facts(&all), "{name} is gone");
        }
        std::fs::write(&path, bytes).unwrap();
    }
    // Noise in place of any file is told, and what is under way when it dies is no damage.
    let mut rng = Pcg32::new(3, 3);
    std::fs::write(dir.path().join(TEMPORARY), b"pebbleturn-cluster 1 77").unwrap();
    assert!(read().problems.is_empty());
    for name in [SNAPSHOT, OLDER_SNAPSHOT, LOG, OLDER_LOG] {
        let noise: Vec<u8> = (0..4000).map(|_| rng.next_u32() as u8).collect();
        std::fs::write(dir.path().join(name), noise).unwrap();
    }
    let found = read();
    assert!(found.facts.is_empty() && found.problems.len() >= 4, "{:?}", found.problems);
}
