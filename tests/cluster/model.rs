//! A model check of joining, ending and forgetting with three copies: every order of a few words, of what reaches whom, of
//! forgetting, of crashes and old disks. The real copies are walked; each rule is broken in turn, and the check must say so.

use pebbleturn::replication::*;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

const COPIES: usize = 3;
/// A word put back is old at once: time to forget is a step like any other.
const BOUNDS: StoreLimits =
    StoreLimits { max_registers: 8, max_servers: 8, retention: 0, max_clock_lead: 0, max_origins: 64 };

/// Which rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A join goes by the words that stand and not by what was seen.
    Seen,
    /// What is forgotten leaves no stamps.
    Stamps,
    /// A process that starts again goes on with the stamps that its disk knows.
    Origin,
    /// A word takes the place of all that stand anywhere, known here or not.
    Words,
    /// Of words side by side only one is kept.
    Sides,
    /// A word is acknowledged before it is on disk.
    Disk,
}

/// What a test says once, of one server.
const WORDS: [CommandValue; 2] = [CommandValue::Set, CommandValue::Clear];

#[derive(Clone, Debug)]
struct Site {
    copy: StateStore,
    disk: Vec<Fact>,
}

/// A word that somebody was promised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Promise {
    dot: Dot,
    out: bool,
    /// Words that stood where it was given: it ends them.
    ends: Vec<Dot>,
}

#[derive(Clone, Debug)]
struct World {
    sites: Vec<Site>,
    promises: BTreeSet<Promise>,
    said: usize,
    starts: usize,
    forgot: usize,
    /// All stamps, and how often each was given out.
    stamps: BTreeMap<Dot, usize>,
}

impl World {
    fn key(&self) -> impl Hash + Eq + '_ {
        let sites: Vec<_> =
            self.sites.iter().map(|s| (s.copy.to_bytes(), s.copy.origin(), &s.disk)).collect();
        (sites, &self.promises, self.said, self.starts, self.forgot, &self.stamps)
    }
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.key() == other.key()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, h: &mut H) {
        self.key().hash(h);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Say {
        at: usize,
        out: bool,
    },
    /// All that one has reaches another.
    Tell {
        from: usize,
        to: usize,
    },
    Forget {
        at: usize,
    },
    /// It is killed and starts from its disk, or without it.
    Crash {
        at: usize,
        without: bool,
    },
    Write {
        at: usize,
    },
}

struct Check {
    broken: Broken,
    words: usize,
    crashes: usize,
}

fn server() -> FactKey {
    FactKey::Server("s".into())
}

fn facts(copy: &StateStore) -> Vec<Fact> {
    copy.facts().map(|(k, e)| (k.clone(), e.clone())).collect()
}

fn of(origin: u64, kept: &[Fact]) -> StateStore {
    let mut copy = StateStore::new(Origin(origin), BOUNDS);
    for (key, entry) in kept {
        copy.join(key, entry, 0).unwrap();
    }
    copy
}

fn standing(copy: &StateStore) -> Vec<(Dot, bool)> {
    copy.register(&server())
        .map_or(vec![], |r| r.commands().map(|(d, s)| (d, s.value == CommandValue::Set)).collect())
}

/// A register of these words that has seen no others.
fn only(words: &[(Dot, OperatorCommand)]) -> Register {
    let mut r = Register::default();
    for (dot, said) in words {
        let mut one = Register::default();
        one.record(*dot, said.clone());
        r.join(&one, &VersionVector::default());
    }
    r
}

fn words(copy: &StateStore) -> Vec<(Dot, OperatorCommand)> {
    copy.register(&server()).map_or(vec![], |r| r.commands().map(|(d, s)| (d, s.clone())).collect())
}

impl Check {
    fn tell(&self, from: &StateStore, to: &mut StateStore) {
        for (key, entry) in facts(from) {
            match (&entry, self.broken) {
                (FactValue::Commands(_), Broken::Seen) => {
                    let told = FactValue::Commands(only(&words(from)));
                    to.join(&key, &told, 0).unwrap();
                }
                (FactValue::Commands(_), Broken::Sides) => {
                    to.join(&key, &entry, 0).unwrap();
                    let all = words(to);
                    if all.len() > 1 {
                        let mut kept: Vec<Fact> = facts(to);
                        kept.retain(|(k, _)| *k != key);
                        kept.push((key.clone(), FactValue::Commands(only(&all[all.len() - 1..]))));
                        *to = of(to.origin().0, &kept);
                    }
                }
                _ => drop(to.join(&key, &entry, 0)),
            }
        }
    }
}

impl Model for Check {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let sites = (0..COPIES).map(|n| Site { copy: of(n as u64 + 1, &[]), disk: vec![] }).collect();
        let (promises, stamps) = (BTreeSet::new(), BTreeMap::new());
        vec![World { sites, promises, said: 0, starts: 0, forgot: 0, stamps }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        for at in 0..COPIES {
            if w.said < self.words {
                steps.extend(WORDS.iter().map(|v| Step::Say { at, out: *v == CommandValue::Set }));
            }
            if w.starts < self.crashes {
                steps.push(Step::Crash { at, without: false });
                // A disk may be lost where somebody else knows what it had.
                let known = |other: &Site| {
                    let mut told = other.copy.clone();
                    self.tell(&w.sites[at].copy, &mut told);
                    told.to_bytes() == other.copy.to_bytes()
                };
                if (0..COPIES).any(|n| n != at && known(&w.sites[n])) {
                    steps.push(Step::Crash { at, without: true });
                }
            }
            if w.forgot < 1 {
                steps.push(Step::Forget { at });
            }
            if w.sites[at].disk != facts(&w.sites[at].copy) {
                steps.push(Step::Write { at });
            }
            steps.extend((0..COPIES).filter(|to| *to != at).map(|to| Step::Tell { from: at, to }));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Say { at, out } => {
                let ends: Vec<Dot> = standing(&w.sites[at].copy).into_iter().map(|(d, _)| d).collect();
                if self.broken == Broken::Words {
                    // It takes the place of words that it never heard of.
                    let all: Vec<StateStore> = w.sites.iter().map(|s| s.copy.clone()).collect();
                    all.iter().for_each(|c| self.tell(c, &mut w.sites[at].copy));
                }
                let value = if out { CommandValue::Set } else { CommandValue::Clear };
                let said = OperatorCommand {
                    value,
                    author: "w".into(),
                    reason: String::new(),
                    broker: at.to_string(),
                    issued_at: 0,
                    expires_at: None,
                };
                // As the program does: what its disk or its peers tell of its own stamps makes it draw new ones.
                if w.sites[at].copy.has_duplicate_origin() {
                    w.starts += 1;
                    w.sites[at].copy.set_origin(Origin(200 + w.starts as u64));
                }
                let dot = w.sites[at].copy.record(&server(), said).unwrap();
                *w.stamps.entry(dot).or_insert(0) += 1;
                w.said += 1;
                // Acknowledged once it is on disk.
                if self.broken != Broken::Disk {
                    w.sites[at].disk = facts(&w.sites[at].copy);
                }
                w.promises.insert(Promise { dot, out, ends });
            }
            Step::Tell { from, to } => {
                let from = w.sites[from].copy.clone();
                self.tell(&from, &mut w.sites[to].copy);
            }
            Step::Forget { at } => {
                w.forgot += 1;
                let site = &mut w.sites[at];
                site.copy.collect_garbage(1);
                if self.broken == Broken::Stamps {
                    let kept: Vec<Fact> = facts(&site.copy)
                        .into_iter()
                        .filter(|(k, _)| !matches!(k, FactKey::Collected(_)))
                        .collect();
                    site.copy = of(site.copy.origin().0, &kept);
                }
            }
            Step::Write { at } => w.sites[at].disk = facts(&w.sites[at].copy),
            Step::Crash { at, without } => {
                if without {
                    w.sites[at].disk.clear();
                }
                w.starts += 1;
                let origin = if self.broken == Broken::Origin {
                    w.sites[at].copy.origin().0
                } else {
                    100 + w.starts as u64
                };
                w.sites[at].copy = of(origin, &w.sites[at].disk);
            }
        }
        (w != *last).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        // What all would hold if all faults ended now: everybody's copy joined.
        fn joined(check: &Check, w: &World) -> StateStore {
            let mut all = of(999, &[]);
            w.sites.iter().for_each(|s| check.tell(&s.copy, &mut all));
            all
        }
        fn ended(w: &World, dot: Dot) -> bool {
            w.promises.iter().any(|p| p.ends.contains(&dot))
        }
        vec![
            Property::always("what was acknowledged and not ended stands", |check: &Check, w: &World| {
                let stand = standing(&joined(check, w));
                w.promises.iter().all(|p| !p.out || ended(w, p.dot) || stand.contains(&(p.dot, true)))
            }),
            Property::always("what ended does not come back", |check: &Check, w: &World| {
                let stand = standing(&joined(check, w));
                w.promises.iter().all(|p| !ended(w, p.dot) || !stand.contains(&(p.dot, p.out)))
            }),
            Property::always("no stamp is used twice", |_: &Check, w: &World| {
                w.stamps.values().all(|n| *n == 1)
            }),
            Property::always("the order of joining does not matter", |check: &Check, w: &World| {
                let mut back = of(999, &[]);
                w.sites.iter().rev().for_each(|s| check.tell(&s.copy, &mut back));
                back.to_bytes() == joined(check, w).to_bytes()
            }),
        ]
    }
}

/// The properties that fail, and how many states were walked.
fn found(broken: Broken, words: usize, crashes: usize) -> (BTreeSet<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let first = if broken == Broken::Nothing { HasDiscoveries::All } else { HasDiscoveries::Any };
    let checker =
        Check { broken, words, crashes }.checker().threads(threads).finish_when(first).spawn_bfs().join();
    (checker.discoveries().into_keys().collect(), checker.unique_state_count())
}

#[test]
fn no_interleaving_breaks_a_promise() {
    let (wrong, states) = found(Broken::Nothing, 2, 1);
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(states > 10_000, "{states}");
}

#[test]
fn each_broken_rule_is_detected() {
    for (broken, property) in [
        (Broken::Seen, "what ended does not come back"),
        (Broken::Stamps, "what ended does not come back"),
        (Broken::Origin, "no stamp is used twice"),
        (Broken::Words, "what was acknowledged and not ended stands"),
        (Broken::Sides, "what was acknowledged and not ended stands"),
        (Broken::Disk, "what was acknowledged and not ended stands"),
    ] {
        // A process that goes on with old stamps has to lose one that its disk never had.
        let (wrong, _) = found(broken, 2, 1);
        assert!(wrong.contains(property), "{broken:?}: {wrong:?}");
    }
}
