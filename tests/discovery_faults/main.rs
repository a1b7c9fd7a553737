//! Drains under faults of discovery: broker processes, a discovery service that fails by script, and a check
//! of the rule that a server receives no new part once the grace after the report of its drain is over.
//!
//! Each scenario is a process of its own; those of one test run concurrently.

mod broker_process;
mod drawn;
mod fleet;
mod judge;
mod scenarios;
mod scripted_discovery;
mod shared_discovery;

use scenarios::{Scenario, check_all, check_groups};

/// A watch goes silent, and then one or two of the calls that follow fail.
#[test]
fn drain_is_honoured_when_calls_fail_after_a_silent_watch() {
    check_all(Scenario::after_silence());
}

/// The list that reports the drain is cut or stalls; the drain counts as reported nevertheless.
#[test]
fn drain_is_honoured_when_its_list_is_cut_or_stalls() {
    check_all(Scenario::interrupted_lists());
}

/// A broker starts with an old list, or its watch ends before it reports the drain; then discovery refuses
/// calls, does not answer, or is slow.
#[test]
fn drain_is_honoured_when_calls_fail_after_a_start_or_an_ended_watch() {
    check_all([Scenario::after_start(), Scenario::after_end()].concat());
}

/// A watch ends instead of reporting the drain, and the next list arrives only after the grace. The server
/// rejects its parts meanwhile.
#[test]
fn drain_is_honoured_when_an_overloaded_discovery_reports_it_late() {
    check_all(Scenario::late_reports_under_overload());
}

/// Discovery is down until the broker calls it only rarely, also for brokers that start meanwhile, or a new
/// configuration moves it to another address. Servers drain after that, and the first calls that reach
/// discovery fail.
#[test]
fn drain_is_honoured_when_calls_fail_after_an_outage_or_a_reload() {
    check_groups(vec![
        Scenario::after_long_outages(),
        Scenario::after_a_start_in_an_outage(),
        Scenario::after_a_reload(),
    ]);
}

/// The report of a drain is lost with its watch, or was pushed, and the next call gets no answer. The server
/// accepts parts throughout.
#[test]
fn drain_behind_a_lost_report_and_an_unanswered_call_is_kept() {
    check_all(
        [Scenario::unanswered_calls_after_a_lost_report(), Scenario::unanswered_calls_of_an_agent()].concat(),
    );
}

/// The same with settings for a fleet of two brokers.
#[test]
fn drain_behind_a_lost_report_and_an_unanswered_call_is_kept_in_a_fleet() {
    let scenarios = Scenario::unanswered_calls_after_a_lost_report();
    check_all(scenarios.into_iter().map(|scenario| Scenario { fleet_size: 2, ..scenario }).collect());
}

/// The next instance of discovery has an older list, or restarts its version numbers; or the signal to reload
/// arrives while the configuration file is being written.
#[test]
fn drain_is_honoured_after_an_older_discovery_list_or_a_partial_configuration() {
    check_all([Scenario::older_instances(), Scenario::after_a_reload_of_half_a_file()].concat());
}

/// A server whose drain only discovery could report rejects its parts for longer than an overloaded server
/// does. The report is lost, and discovery is down.
#[test]
fn drain_is_honoured_after_a_lost_report_and_an_outage() {
    check_all(Scenario::lost_reports_before_an_outage());
}

/// Discovery writes its lists in pieces, some of which end within a number.
#[test]
fn drain_is_honoured_when_lists_are_split_within_numbers() {
    check_all(Scenario::lists_split_in_numbers());
}

/// A small fleet of brokers, a discovery that handles calls one at a time, an outage, and four reloads in a
/// row.
#[test]
fn drain_is_honoured_by_a_fleet_that_reloads_repeatedly_around_an_outage() {
    fleet::check_fleets(&[1, 2]);
}

/// Seeds that CI runs. `DRAWN_SEEDS=FIRST..LAST` in the environment replaces them.
const CI_SEEDS: std::ops::Range<u64> = 1..25;

/// Random faults before, during and after the drain.
#[test]
fn drain_is_honoured_under_random_faults() {
    let seeds_from_env = std::env::var("DRAWN_SEEDS").ok().map(|text| {
        let (first, last) = text.split_once("..").expect("DRAWN_SEEDS has the form FIRST..LAST");
        first.parse().unwrap()..last.parse().unwrap()
    });
    let seeds: Vec<u64> = seeds_from_env.unwrap_or(CI_SEEDS).collect();
    check_groups(
        seeds.chunks(24).map(|group| group.iter().map(|seed| drawn::scenario(*seed)).collect()).collect(),
    );
}
