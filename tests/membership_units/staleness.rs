//! Trust in a record by its age, and the observed change rate.

use pebbleturn::Nanos;
use pebbleturn::membership::staleness::{
    ChangeRate, assumed_start, failures_until_ejection, initial_admissions, trust_at_age,
};

const HOUR: Nanos = 3_600_000_000_000;

#[test]
fn an_older_record_is_trusted_less_and_admitted_more_slowly() {
    let mean = ChangeRate::NONE.mean_interval(24 * HOUR);
    let ages = [0, HOUR / 3600, HOUR / 60, HOUR / 6, HOUR, 24 * HOUR, 720 * HOUR];
    let trusts: Vec<f64> = ages.iter().map(|a| trust_at_age(*a, mean)).collect();
    assert!(trusts.windows(2).all(|w| w[0] > w[1]) && trusts[0] == 1.0);
    let admitted: Vec<usize> = trusts.iter().map(|t| initial_admissions(*t, 8)).collect();
    assert!(admitted.windows(2).all(|w| w[0] >= w[1]));
    assert_eq!((admitted[0], *admitted.last().unwrap()), (8, 2));
    let starts: Vec<u64> = trusts.iter().map(|t| assumed_start(*t, 100 * HOUR, HOUR).unwrap_or(0)).collect();
    assert!(starts.windows(2).all(|w| w[0] <= w[1]) && starts[0] == 0 && *starts.last().unwrap() > 0);
    assert_eq!(
        trusts.iter().map(|t| failures_until_ejection(*t)).collect::<Vec<_>>()[4..],
        [Some(2), Some(1), Some(1)]
    );
}

#[test]
fn the_change_rate_follows_observations_and_is_always_finite() {
    let mut often_changing = ChangeRate::NONE;
    often_changing.observe(16, HOUR, 32, 24 * HOUR);
    assert!(often_changing.mean_interval(24 * HOUR) < 4.0 * HOUR as f64);
    let mut rarely_changing = ChangeRate::NONE;
    rarely_changing.observe(1000, 24 * HOUR, 3, 24 * HOUR);
    assert!(rarely_changing.mean_interval(24 * HOUR) > 48.0 * HOUR as f64);
    let invalid = ChangeRate { changes: f64::NAN, watched: f64::INFINITY };
    assert!(invalid.mean_interval(HOUR) >= 1.0 && invalid.mean_interval(0) >= 1.0);
}
