//! Values that the fixtures hold. Together they cover every variant, and each option both set and unset.

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
/// An origin whose number takes all ten bytes of a varint.
pub const ORIGIN: Origin = Origin(0xfedc_ba98_7654_3210);
/// The origin of a concurrent command.
pub const OTHER_ORIGIN: Origin = Origin(300);

/// A list in which every option is set and nodes are in every state.
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

/// A list in which no option is set.
pub fn minimal_list() -> Snapshot {
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
    let node_record = membership::NodeRecord {
        id: SERVER.into(),
        addr: Some("192.0.2.7:8080".parse().unwrap()),
        zone: "zone-ü".into(),
        kind: "kind-é".into(),
        cell: 11,
        state: membership::NodeState::Ready,
        started: 1_600_000_000_000_000_001,
    };
    SnapshotNode {
        record: node_record,
        epoch: 3,
        version: 69,
        received: 21,
        after_reset: true,
        confirmed: Some(22),
    }
}

fn draining_node() -> SnapshotNode {
    let node_record = membership::NodeRecord {
        id: "server-2".into(),
        addr: Some("[2001:db8::2]:443".parse().unwrap()),
        zone: String::new(),
        kind: String::new(),
        cell: 12,
        state: membership::NodeState::Terminating,
        started: 0,
    };
    SnapshotNode {
        record: node_record,
        epoch: 2,
        version: 68,
        received: 31,
        after_reset: false,
        confirmed: None,
    }
}

fn gone_node() -> SnapshotNode {
    let node_record = membership::NodeRecord {
        id: "server-3".into(),
        addr: None,
        zone: "b".into(),
        kind: "c".into(),
        cell: u32::MAX,
        state: membership::NodeState::Gone,
        started: 41,
    };
    SnapshotNode {
        record: node_record,
        epoch: 1,
        version: u64::MAX,
        received: 42,
        after_reset: false,
        confirmed: Some(43),
    }
}

/// Operator commands for every kind of key that takes them, with every kind of value. The server has two
/// concurrent commands.
pub fn command_facts() -> Vec<Fact> {
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

/// Facts with the kinds of keys that take no operator commands: reports from discovery and garbage-collected
/// dots.
pub fn facts_without_commands() -> Vec<Fact> {
    let collected_dots = Ranges::try_from(vec![(1, 4), (7, 300)]).unwrap();
    vec![
        (
            FactKey::Drain(SERVER.into()),
            FactValue::Latest(ProcessStart { started: 1_600_000_000, list_version: 12 }),
        ),
        (
            FactKey::Start(SERVER.into()),
            FactValue::Latest(ProcessStart { started: 1_700_000_000, list_version: 0 }),
        ),
        (FactKey::Collected(Origin(4)), FactValue::Collected(collected_dots)),
    ]
}

/// A later command for the server of `command_facts`, which supersedes both of its concurrent commands.
pub fn superseding_command() -> Fact {
    let [(key, FactValue::Commands(before)), ..] = &command_facts()[..] else {
        unreachable!("the first fact has commands")
    };
    let mut after = before.clone();
    after.record(Dot { origin: ORIGIN, sequence: 301 }, operator_command(CommandValue::Set, None));
    (key.clone(), FactValue::Commands(after))
}

fn register(origin: Origin, seq: u64, value: CommandValue, expiry: Option<u64>) -> Register {
    let mut register = Register::default();
    register.record(Dot { origin, sequence: seq }, operator_command(value, expiry));
    register
}

fn operator_command(value: CommandValue, expiry: Option<u64>) -> OperatorCommand {
    OperatorCommand {
        value,
        author: "whó".into(),
        reason: "why-✓".into(),
        broker: BROKER.into(),
        issued_at: 800,
        expires_at: expiry,
    }
}
