//! Drains while discovery misbehaves: the program as a process, a discovery service that fails by script, and a judge
//! of the rule that a server gets nothing new once the grace is over after its drain counts as reported.
//!
//! Each scenario is a process of its own; those of one test run at once.

mod broker_process;
mod judge;
mod scenarios;
mod scripted_discovery;

use scenarios::{Scenario, judge_all};

/// A watch goes silent, and the calls that follow meet one fault each, and then two.
#[test]
fn drain_behind_a_silent_watch_is_kept_whatever_the_next_calls_meet() {
    judge_all(Scenario::after_silence());
}

/// The list that reports the drain does not come whole: reported it is all the same.
#[test]
fn drain_in_a_list_that_is_cut_or_stalls_is_kept() {
    judge_all(Scenario::interrupted_lists());
}

/// A broker starts with an old list, or its watch ends in place of reporting; then discovery refuses, says nothing, or
/// is slow.
#[test]
fn drain_that_no_watch_reported_is_kept_whatever_the_next_calls_meet() {
    judge_all([Scenario::after_start(), Scenario::after_end()].concat());
}

/// A watch ends in place of reporting, and the next list comes only once the grace is over. The server turns its parts
/// away meanwhile.
#[test]
fn drain_that_a_crowded_discovery_reports_late_is_kept() {
    judge_all(Scenario::crowded());
}
