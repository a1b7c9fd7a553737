//! Compares what is stored on disk and sent between brokers byte for byte with fixtures in
//! `tests/fixtures/stored/`.
//!
//! The fixtures were written by the program before the code was refactored. Each format is read from its
//! fixture, written again to identical bytes, and refused if it is damaged. A failure here means that a
//! broker could not read the files of the previous version, or could not decode frames from its peers during
//! an upgrade.
//!
//! Fixtures are regenerated only when a format is changed on purpose, together with its version. The variable
//! names the output directory:
//!
//! ```text
//! PEBBLETURN_FIXTURES_OUT=tests/fixtures/stored cargo test --test stored_formats write_fixtures
//! ```

mod cluster_journal;
mod fixtures;
mod gossip_frames;
mod handover_state;
mod kept_list;
mod samples;

use fixtures::Fixture;
use std::path::Path;

/// The environment variable with the directory to which `write_fixtures` writes.
const OUTPUT_VARIABLE: &str = "PEBBLETURN_FIXTURES_OUT";

/// All fixtures as this version of the program writes them.
fn build_all_fixtures() -> Vec<Fixture> {
    let mut all = kept_list::build_fixtures();
    all.extend(cluster_journal::build_fixtures());
    all.extend(handover_state::build_fixtures());
    all.extend(gossip_frames::build_fixtures());
    all
}

#[test]
fn write_fixtures() {
    let Some(directory) = std::env::var_os(OUTPUT_VARIABLE) else { return };
    for fixture in build_all_fixtures() {
        fixture.write_below(Path::new(&directory));
    }
}

#[test]
fn every_fixture_on_disk_is_one_that_is_compared() {
    let mut compared: Vec<String> = build_all_fixtures().into_iter().map(|fixture| fixture.name).collect();
    compared.sort();
    assert_eq!(fixtures::names_on_disk(), compared);
}
