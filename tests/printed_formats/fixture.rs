//! Fixture files, and the comparison with them.

use std::path::PathBuf;

/// Where this is set, a fixture that does not exist is written.
const WRITE_VARIABLE: &str = "PEBBLETURN_WRITE_FIXTURES";

/// The path of a fixture or of an input.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/printed").join(name)
}

/// Fails with the first line in which the text differs from the fixture of this name.
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

/// The first line that differs, from both texts; none where the texts are equal.
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
fn the_first_line_that_differs_is_told() {
    assert_eq!(first_difference("a\nb\n", "a\nb\n"), None);
    let changed = first_difference("a\nb\nc\n", "a\nB\nC\n").unwrap();
    assert!(changed.starts_with("line 2 differs"), "{changed}");
    let shorter = first_difference("a\nb\n", "a\nb").unwrap();
    assert!(shorter.starts_with("line 3 differs"), "{shorter}");
}
