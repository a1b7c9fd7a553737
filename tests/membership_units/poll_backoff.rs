//! Backoff between polls for the endpoint list.

use pebbleturn::Nanos;
use pebbleturn::membership::poll_backoff::PollBackoff;

const MS: Nanos = 1_000_000;

#[test]
fn polls_of_many_brokers_are_spread_over_the_upper_bound() {
    // Sixty brokers lose discovery at the same moment. Counts their polls in any 100 ms after the first 10 s.
    let mut polls: Vec<Nanos> = Vec::new();
    for seed in 0..60 {
        let mut backoff = PollBackoff::new(500 * MS, 8000 * MS, seed);
        let mut at = 0;
        while at < 40_000 * MS {
            at += backoff.on_failure();
            polls.push(at);
        }
    }
    let within = |from: Nanos| polls.iter().filter(|t| (from..from + 100 * MS).contains(t)).count();
    let worst = (100..390).map(|n| within(n * 100 * MS)).max().unwrap();
    assert!(worst <= 10, "{worst} polls of 60 brokers within 100 ms");
}

#[test]
fn the_backoff_grows_to_its_maximum_and_a_success_resets_it() {
    let mut backoff = PollBackoff::new(500 * MS, 4000 * MS, 7);
    let waits: Vec<Nanos> = (0..20).map(|_| backoff.on_failure()).collect();
    assert!(waits[0] <= 500 * MS && waits.iter().all(|w| *w <= 4000 * MS && *w >= 125 * MS));
    assert!(waits[4..].iter().any(|w| *w > 2000 * MS));
    backoff.on_success();
    assert!(backoff.on_failure() <= 500 * MS);
}
