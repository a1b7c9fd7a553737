//! Schedules of faults, drawn from a seed, played on simulated brokers, and shrunk where one fails.

use super::world::{Links, MS, S, World};
use pebbleturn::replication::{CommandValue, FactKey, ProcessStart};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;

/// One step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Say {
        at: usize,
        server: usize,
        out: bool,
    },
    Cut {
        from: usize,
        to: usize,
        both: bool,
    },
    Mend {
        a: usize,
        b: usize,
    },
    Lossy {
        tenths: usize,
    },
    Stop {
        at: usize,
        seconds: usize,
    },
    Kill {
        at: usize,
    },
    /// With its disk as it is, as it was when it was last looked at, or empty.
    Start {
        at: usize,
        disk: usize,
    },
    /// Looks at a disk, for a later start.
    Look {
        at: usize,
    },
    /// Seconds by which its clock is off from its next start on.
    Clock {
        at: usize,
        off: i64,
    },
    /// Discovery tells it of a drain or a start.
    Told {
        at: usize,
        drain: bool,
        ago: usize,
        version: usize,
    },
    Wait {
        ms: usize,
    },
}

/// A schedule of so many steps for so many brokers.
pub fn draw(brokers: usize, steps: usize, seed: u64) -> Vec<Step> {
    let mut rng = Pcg32::new(seed, 0x5c4e);
    let mut pick = |n: usize| rng.next_u32() as usize % n;
    let mut all = Vec::new();
    for _ in 0..steps {
        let (at, b) = (pick(brokers), pick(brokers));
        all.push(match pick(15) {
            0..=3 => Step::Say { at, server: pick(4), out: pick(2) == 0 },
            4 => Step::Cut { from: at, to: b, both: false },
            5 => Step::Cut { from: at, to: b, both: true },
            6 => Step::Mend { a: at, b },
            7 => Step::Lossy { tenths: pick(4) },
            8 => Step::Stop { at, seconds: pick(25) },
            9 => Step::Kill { at },
            10 => Step::Start { at, disk: pick(4) },
            11 => Step::Look { at },
            // Within the ten minutes that clocks may differ by.
            12 => Step::Clock { at, off: pick(580) as i64 - 290 },
            13 => Step::Told { at, drain: pick(2) == 0, ago: pick(100), version: pick(9) },
            _ => Step::Wait { ms: pick(75_000) },
        });
        all.push(Step::Wait { ms: pick(2000) });
    }
    all
}

/// Plays a schedule.
pub fn play(w: &mut World, steps: &[Step]) {
    let mut looked_at: Vec<BTreeMap<_, _>> = vec![Default::default(); w.len()];
    for step in steps {
        match *step {
            Step::Say { at, server, out } => {
                let value = if out { CommandValue::Set } else { CommandValue::Clear };
                w.say(at, &FactKey::Server(format!("s-{server}")), value);
            }
            Step::Cut { from, to, both } if from != to => {
                w.cut(from, to, true);
                w.cut(to, from, both || w.cuts.contains(&(to, from)));
            }
            Step::Cut { .. } => {}
            Step::Mend { a, b } => {
                w.cut(a, b, false);
                w.cut(b, a, false);
            }
            Step::Lossy { tenths } => {
                w.links = Links { loss: tenths as f64 / 10.0, doubled: 0.2, delay: (MS, 200 * MS) };
            }
            Step::Stop { at, seconds } => w.stop(at, seconds as u64 * S),
            Step::Kill { at } => w.kill(at),
            Step::Start { at, disk } if w.member(at).is_none() => {
                match disk {
                    0 => w.set_disk(at, looked_at[at].clone()),
                    1 => w.set_disk(at, BTreeMap::new()),
                    _ => {}
                }
                w.start(at);
            }
            Step::Start { .. } => {}
            Step::Look { at } => looked_at[at] = w.disk(at),
            Step::Clock { at, off } => w.set_skew(at, off * S as i64),
            Step::Told { at, drain, ago, version } => {
                let key = if drain { FactKey::Drain("s-1".into()) } else { FactKey::Start("s-1".into()) };
                w.note(
                    at,
                    key,
                    ProcessStart { started: w.now - S * ago as u64, list_version: version as u64 },
                );
            }
            Step::Wait { ms } => w.play_for(ms as u64 * MS),
        }
    }
}

/// The shortest schedule that is left when steps are taken out for as long as it still fails.
pub fn shrink(steps: &[Step], fails: impl Fn(&[Step]) -> bool) -> Vec<Step> {
    let mut left = steps.to_vec();
    let mut chunk = left.len().div_ceil(2).max(1);
    loop {
        let mut at = 0;
        while at < left.len() {
            let mut fewer = left.clone();
            fewer.drain(at..(at + chunk).min(left.len()));
            if fails(&fewer) {
                left = fewer;
            } else {
                at += chunk;
            }
        }
        if chunk == 1 {
            return left;
        }
        chunk = chunk.div_ceil(2);
    }
}
