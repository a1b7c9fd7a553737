//! What is stored on disk and sent between processes, byte for byte, against fixtures in `tests/fixtures/stored/`.
//!
//! The fixtures were written by the program as it was before the code was reshaped. Every format is read from its
//! fixture, written again to equal bytes, and refused where a copy is damaged. A test that fails here means that a
//! broker would not read the files of the version before it, or not understand its peers during an upgrade.
//!
//! A fixture is written anew only where a format is meant to change, together with its version. Name a directory:
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

/// Names the directory to which `write_fixtures` writes.
const OUTPUT_VARIABLE: &str = "PEBBLETURN_FIXTURES_OUT";

/// Every fixture as this program writes it.
fn all_written() -> Vec<Fixture> {
    let mut written = kept_list::written();
    written.extend(cluster_journal::written());
    written.extend(handover_state::written());
    written.extend(gossip_frames::written());
    written
}

#[test]
fn write_fixtures() {
    let Some(directory) = std::env::var_os(OUTPUT_VARIABLE) else { return };
    for fixture in all_written() {
        fixture.write_below(Path::new(&directory));
    }
}

#[test]
fn every_fixture_on_disk_is_one_that_is_compared() {
    let mut compared: Vec<String> = all_written().into_iter().map(|fixture| fixture.name).collect();
    compared.sort();
    assert_eq!(fixtures::names_on_disk(), compared);
}
