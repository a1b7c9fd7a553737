//! Values that the fixtures hold. Between them they have every variant and both states of every option.

use pebbleturn::membership;
use pebbleturn::membership::snapshot::{Snapshot, SnapshotNode};
use pebbleturn::membership::staleness::ChangeRate;
use pebbleturn::replication::{
    CommandValue, Dot, Fact, FactKey, FactValue, OperatorCommand, Origin, ProcessStart, Ranges, Register,
};

/// A server's id, with letters of two and three bytes.
pub const SERVER: &str = "sörver-北-1";
/// A broker's name.
pub const BROKER: &str = "bróker-京-2";
/// A process whose number takes all ten bytes of a varint.
pub const ORIGIN: Origin = Origin(0xfedc_ba98_7654_3210);
/// Another one.
pub const OTHER_ORIGIN: Origin = Origin(300);

/// A kept list in which every option is set and nodes are in every state.
pub fn full_list() -> Snapshot {
    Snapshot {
        written: 1_700_000_000_000_000_009,
        last_confirmed: Some(1_700_000_000_000_000_008),
        full_list: Some((3, 70, 1_700_000_000_000_000_007)),
        pruned_up_to: Some((2, 60)),
        rate: ChangeRate { changes: 2.5, watched: 3.6e15 },
        nodes: vec![ready_node(), draining_node(), gone_node()],
    }
}

/// A kept list in which no option is set.
pub fn bare_list() -> Snapshot {
    Snapshot {
        written: 5,
        last_confirmed: None,
        full_list: None,
        pruned_up_to: None,
        rate: ChangeRate::NONE,
        nodes: vec![draining_node()],
    }
}

fn ready_node() -> SnapshotNode {
    let fact = membership::NodeRecord {
        id: SERVER.into(),
        addr: Some("192.0.2.7:8080".parse().unwrap()),
        zone: "zone-ü".into(),
        kind: "kind-é".into(),
        cell: 11,
        state: membership::NodeState::Ready,
        started: 1_600_000_000_000_000_001,
    };
    SnapshotNode { record: fact, epoch: 3, version: 69, received: 21, after_reset: true, confirmed: Some(22) }
}

fn draining_node() -> SnapshotNode {
    let fact = membership::NodeRecord {
        id: "server-2".into(),
        addr: Some("[2001:db8::2]:443".parse().unwrap()),
        zone: String::new(),
        kind: String::new(),
        cell: 12,
        state: membership::NodeState::Terminating,
        started: 0,
    };
    SnapshotNode { record: fact, epoch: 2, version: 68, received: 31, after_reset: false, confirmed: None }
}

fn gone_node() -> SnapshotNode {
    let fact = membership::NodeRecord {
        id: "server-3".into(),
        addr: None,
        zone: "b".into(),
        kind: "c".into(),
        cell: u32::MAX,
        state: membership::NodeState::Gone,
        started: 41,
    };
    SnapshotNode {
        record: fact,
        epoch: 1,
        version: u64::MAX,
        received: 42,
        after_reset: false,
        confirmed: Some(43),
    }
}

/// Words by hand on every kind of key that takes them, with every kind of value. On the server two words stand side
/// by side.
pub fn words() -> Vec<Fact> {
    let mut conflict = register(ORIGIN, 1, CommandValue::Set, Some(900));
    conflict.join(&register(OTHER_ORIGIN, 1, CommandValue::Clear, None), &Default::default());
    vec![
        (FactKey::Server(SERVER.into()), FactValue::Commands(conflict)),
        (FactKey::Pause(BROKER.into()), FactValue::Commands(register(ORIGIN, 2, CommandValue::Set, None))),
        (
            FactKey::Removed("broker-3".into()),
            FactValue::Commands(register(ORIGIN, 3, CommandValue::Clear, Some(901))),
        ),
        (
            FactKey::MaintenanceOrder("wörk-1".into()),
            FactValue::Commands(register(ORIGIN, 4, CommandValue::Text("tëxt".into()), None)),
        ),
        (
            FactKey::Site("site-1".into()),
            FactValue::Commands(register(ORIGIN, 300, CommandValue::Text(String::new()), None)),
        ),
    ]
}

/// What discovery told and what was forgotten: the kinds of keys that take no words.
pub fn told_and_spent() -> Vec<Fact> {
    let spent = Ranges::try_from(vec![(1, 4), (7, 300)]).unwrap();
    vec![
        (
            FactKey::Drain(SERVER.into()),
            FactValue::Latest(ProcessStart { started: 1_600_000_000, list_version: 12 }),
        ),
        (
            FactKey::Start(SERVER.into()),
            FactValue::Latest(ProcessStart { started: 1_700_000_000, list_version: 0 }),
        ),
        (FactKey::Collected(Origin(4)), FactValue::Collected(spent)),
    ]
}

/// A later word on the server of `words`, which takes the place of both that stand there.
pub fn later_word() -> Fact {
    let [(key, FactValue::Commands(before)), ..] = &words()[..] else {
        unreachable!("the first fact has words")
    };
    let mut after = before.clone();
    after.record(Dot { origin: ORIGIN, sequence: 301 }, said(CommandValue::Set, None));
    (key.clone(), FactValue::Commands(after))
}

fn register(origin: Origin, seq: u64, value: CommandValue, until: Option<u64>) -> Register {
    let mut register = Register::default();
    register.record(Dot { origin, sequence: seq }, said(value, until));
    register
}

fn said(value: CommandValue, until: Option<u64>) -> OperatorCommand {
    OperatorCommand {
        value,
        author: "whó".into(),
        reason: "why-✓".into(),
        broker: BROKER.into(),
        issued_at: 800,
        expires_at: until,
    }
}
