//! Values that the fixtures hold. Between them they have every variant and both states of every option.

use pebbleturn::replica::{Dot, Entry, Fact, Key, Latest, Origin, Ranges, Register, Said, Value};
use pebbleturn::roster;
use pebbleturn::roster::kept::{Kept, KeptNode};
use pebbleturn::roster::trust::Rate;

/// A server's id, with letters of two and three bytes.
pub const SERVER: &str = "sörver-北-1";
/// A broker's name.
pub const BROKER: &str = "bróker-京-2";
/// A process whose number takes all ten bytes of a varint.
pub const ORIGIN: Origin = Origin(0xfedc_ba98_7654_3210);
/// Another one.
pub const OTHER_ORIGIN: Origin = Origin(300);

/// A kept list in which every option is set and nodes are in every state.
pub fn full_list() -> Kept {
    Kept {
        written: 1_700_000_000_000_000_009,
        synced: Some(1_700_000_000_000_000_008),
        whole: Some((3, 70, 1_700_000_000_000_000_007)),
        forgotten: Some((2, 60)),
        rate: Rate { changes: 2.5, watched: 3.6e15 },
        nodes: vec![ready_node(), draining_node(), gone_node()],
    }
}

/// A kept list in which no option is set.
pub fn bare_list() -> Kept {
    Kept {
        written: 5,
        synced: None,
        whole: None,
        forgotten: None,
        rate: Rate::NONE,
        nodes: vec![draining_node()],
    }
}

fn ready_node() -> KeptNode {
    let fact = roster::Fact {
        id: SERVER.into(),
        addr: Some("192.0.2.7:8080".parse().unwrap()),
        zone: "zone-ü".into(),
        kind: "kind-é".into(),
        cell: 11,
        state: roster::State::Ready,
        started: 1_600_000_000_000_000_001,
    };
    KeptNode { fact, epoch: 3, version: 69, heard: 21, anew: true, confirmed: Some(22) }
}

fn draining_node() -> KeptNode {
    let fact = roster::Fact {
        id: "server-2".into(),
        addr: Some("[2001:db8::2]:443".parse().unwrap()),
        zone: String::new(),
        kind: String::new(),
        cell: 12,
        state: roster::State::Terminating,
        started: 0,
    };
    KeptNode { fact, epoch: 2, version: 68, heard: 31, anew: false, confirmed: None }
}

fn gone_node() -> KeptNode {
    let fact = roster::Fact {
        id: "server-3".into(),
        addr: None,
        zone: "b".into(),
        kind: "c".into(),
        cell: u32::MAX,
        state: roster::State::Gone,
        started: 41,
    };
    KeptNode { fact, epoch: 1, version: u64::MAX, heard: 42, anew: false, confirmed: Some(43) }
}

/// Words by hand on every kind of key that takes them, with every kind of value. On the server two words stand side
/// by side.
pub fn words() -> Vec<Fact> {
    let mut conflict = register(ORIGIN, 1, Value::Out, Some(900));
    conflict.join(&register(OTHER_ORIGIN, 1, Value::Back, None), &Default::default());
    vec![
        (Key::Server(SERVER.into()), Entry::Words(conflict)),
        (Key::Pause(BROKER.into()), Entry::Words(register(ORIGIN, 2, Value::Out, None))),
        (Key::Removed("broker-3".into()), Entry::Words(register(ORIGIN, 3, Value::Back, Some(901)))),
        (Key::Work("wörk-1".into()), Entry::Words(register(ORIGIN, 4, Value::Text("tëxt".into()), None))),
        (Key::Site("site-1".into()), Entry::Words(register(ORIGIN, 300, Value::Text(String::new()), None))),
    ]
}

/// What discovery told and what was forgotten: the kinds of keys that take no words.
pub fn told_and_spent() -> Vec<Fact> {
    let spent = Ranges::try_from(vec![(1, 4), (7, 300)]).unwrap();
    vec![
        (Key::Drain(SERVER.into()), Entry::Latest(Latest { started: 1_600_000_000, version: 12 })),
        (Key::Start(SERVER.into()), Entry::Latest(Latest { started: 1_700_000_000, version: 0 })),
        (Key::Spent(Origin(4)), Entry::Spent(spent)),
    ]
}

/// A later word on the server of `words`, which takes the place of both that stand there.
pub fn later_word() -> Fact {
    let [(key, Entry::Words(before)), ..] = &words()[..] else { unreachable!("the first fact has words") };
    let mut after = before.clone();
    after.say(Dot { origin: ORIGIN, seq: 301 }, said(Value::Out, None));
    (key.clone(), Entry::Words(after))
}

fn register(origin: Origin, seq: u64, value: Value, until: Option<u64>) -> Register {
    let mut register = Register::default();
    register.say(Dot { origin, seq }, said(value, until));
    register
}

fn said(value: Value, until: Option<u64>) -> Said {
    Said { value, who: "whó".into(), why: "why-✓".into(), at_broker: BROKER.into(), at: 800, until }
}
