//! Fixture files and comparison with them.

use std::path::PathBuf;

/// If this environment variable is set, a fixture that does not exist is written.
const WRITE_VARIABLE: &str = "PEBBLETURN_WRITE_FIXTURES";

/// The path of a fixture or an input file.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/printed").join(name)
}

/// Panics with the first line in which the text differs from the fixture of this name.
pub fn assert_matches(name: &str, actual: &str) {
    let path = path(name);
    if !path.exists() && std::env::var_os(WRITE_VARIABLE).is_some() {
        std::fs::write(&path, actual).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{name}: {error}"));
    if let Some(difference) = first_difference(&expected, actual) {
        panic!("{name}: {difference}");
    }
}

/// The first differing line of both texts; none if the texts are equal.
fn first_difference(expected: &str, actual: &str) -> Option<String> {
    if expected == actual {
        return None;
    }
    let mut expected_lines = expected.split('\n');
    let mut actual_lines = actual.split('\n');
    for number in 1.. {
        let (expected, actual) = (expected_lines.next(), actual_lines.next());
        if expected != actual {
            return Some(format!("line {number} differs\nexpected: {expected:?}\n  actual: {actual:?}"));
        }
    }
    None
}

#[test]
fn the_first_line_that_differs_is_reported() {
    assert_eq!(first_difference("a\nb\n", "a\nb\n"), None);
    let changed_line = first_difference("a\nb\nc\n", "a\nB\nC\n").unwrap();
    assert!(changed_line.starts_with("line 2 differs"), "{changed_line}");
    let missing_line = first_difference("a\nb\n", "a\nb").unwrap();
    assert!(missing_line.starts_with("line 3 differs"), "{missing_line}");
}
