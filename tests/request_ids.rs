//! Which request ids the platform's port accepts, over random histories of queries at two processes.

use pebbleturn::frontends::platform::request_ids::{MAX_ENDED_IDS, RequestIds};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeSet;

/// How long an id of an ended query is refused, ns, as `docs/on-call.md` states.
const RETENTION: u64 = 10_000_000_000;
const MILLI: u64 = 1_000_000;
/// More ends of queries than the ids of which are kept.
const FLOOD: u64 = 20_000;

fn end_many_queries(ids: &mut RequestIds, now: u64) {
    for n in 0..FLOOD {
        let id = format!("flood{now}x{n}");
        ids.query_admitted(id.as_str().into());
        ids.query_ended(now, &id);
    }
}

// Guards against a limit on the number of kept ids that drops those of open queries.
#[test]
fn ids_of_open_queries_are_used_however_many_queries_end_and_however_long_they_are_open() {
    let mut ids = RequestIds::default();
    ids.query_admitted("here".into());
    ids.set_open_at_peers(0, ["there".to_owned()]);
    let hour = 3_600_000 * MILLI;
    for now in [MILLI, RETENTION, 2 * RETENTION, hour] {
        end_many_queries(&mut ids, now);
        assert!(ids.is_used(now, "here") && ids.is_used(now, "there"), "after {now} ns");
    }
    ids.query_ended(hour, "here");
    ids.set_open_at_peers(hour, []);
    for id in ["here", "there"] {
        assert!(ids.is_used(hour + RETENTION - 1, id), "{id}");
        assert!(!ids.is_used(hour + RETENTION, id), "{id}");
    }
}

// Guards against a limit on the number of kept ids that drops those of queries that ended just now: an id whose
// client had left was run a second time after 8,192 others.
#[test]
fn ids_of_ended_queries_are_used_for_their_time_however_many_queries_end() {
    let mut ids = RequestIds::default();
    ids.query_admitted("left".into());
    ids.query_ended(0, "left");
    for now in (MILLI..RETENTION).step_by(RETENTION as usize / 5) {
        end_many_queries(&mut ids, now);
        assert!(ids.is_used(now, "left"), "after {now} ns");
    }
    assert!(!ids.is_used(RETENTION, "left"));
}

// Guards against admitting queries whose ids could not be kept.
#[test]
fn no_query_is_admitted_while_no_more_ids_can_be_kept() {
    let mut ids = RequestIds::default();
    for n in 0..MAX_ENDED_IDS {
        assert!(ids.has_room(0), "after {n} queries");
        let id = n.to_string();
        ids.query_admitted(id.as_str().into());
        // Open ones count too.
        if n % 2 == 0 {
            ids.query_ended(0, &id);
        }
    }
    assert!(!ids.has_room(RETENTION - 1));
    assert!(ids.is_used(RETENTION - 1, "0"));
    assert!(ids.has_room(RETENTION));
}

#[test]
fn random_histories_agree_with_a_model_that_forgets_nothing() {
    for seed in 0..200 {
        check_random_history(seed);
    }
}

/// A few ids open and end at this process and at another one, with few enough ends for all to be kept.
fn check_random_history(seed: u64) {
    const IDS: u32 = 6;
    let mut random = Pcg64Mcg::new(0x5eed ^ u128::from(seed) << 64);
    let mut ids = RequestIds::default();
    let (mut open, mut at_peer) = (BTreeSet::new(), BTreeSet::new());
    let mut last_end = [None; IDS as usize];
    let mut now = 0;
    for step in 0..300 {
        now += u64::from(random.next_u32() % 2_000) * MILLI;
        let n = random.next_u32() % IDS;
        let id = format!("id{n}");
        match random.next_u32() % 4 {
            0 => {
                ids.query_admitted(id.as_str().into());
                open.insert(n);
            }
            1 => {
                ids.query_ended(now, &id);
                if open.remove(&n) {
                    last_end[n as usize] = Some(now);
                }
            }
            _ => {
                let current: BTreeSet<u32> =
                    (0..IDS).filter(|_| random.next_u32().is_multiple_of(3)).collect();
                for gone in at_peer.difference(&current) {
                    last_end[*gone as usize] = Some(now);
                }
                ids.set_open_at_peers(now, current.iter().map(|n| format!("id{n}")));
                at_peer = current;
            }
        }
        for n in 0..IDS {
            let ended_recently = last_end[n as usize].is_some_and(|end| now < end + RETENTION);
            let expected = open.contains(&n) || at_peer.contains(&n) || ended_recently;
            assert_eq!(ids.is_used(now, &format!("id{n}")), expected, "seed {seed}, step {step}, id{n}");
        }
    }
}
