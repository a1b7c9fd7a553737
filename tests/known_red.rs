//! The script that checks a test run against the list of known failures (`.ci/known-red`): it ignores only
//! those.

use std::process::Command;

const ONE_FAILED: &str = "     Running tests/a.rs (x)\ntest a::one ... ok\ntest a::two ... FAILED\n\n\
                   test result: FAILED. 1 passed; 1 failed; 0 ignored\n   Doc-tests x\n\ntest result: ok. 0 passed; 0 failed\n";
const PASSED: &str =
    "     Running tests/a.rs (x)\ntest a::one ... ok\n\ntest result: ok. 1 passed; 0 failed\n";
const ABORTED: &str =
    "     Running tests/a.rs (x)\ntest a::one ... ok\nerror: test failed, to rerun pass `--test a`\n";

/// Runs the script; returns whether it passes, and its output.
fn check(log: &str, status: u8, list: Option<&str>) -> (bool, String) {
    let dir = tempfile::tempdir().unwrap();
    let (log_file, list_file) = (dir.path().join("log"), dir.path().join("list"));
    std::fs::write(&log_file, log).unwrap();
    if let Some(list) = list {
        std::fs::write(&list_file, list).unwrap();
    }
    let mut bash = Command::new("bash");
    let out =
        bash.arg(".ci/known-red").arg(&log_file).arg(status.to_string()).arg(&list_file).output().unwrap();
    assert!(out.stderr.is_empty(), "{}", String::from_utf8_lossy(&out.stderr));
    (out.status.success(), String::from_utf8(out.stdout).unwrap())
}

#[test]
fn unlisted_failure_fails() {
    assert_eq!(check(PASSED, 0, None), (true, String::new()));
    assert_eq!(check(PASSED, 0, Some("\n")), (true, String::new()));
    assert_eq!(check(ONE_FAILED, 101, None), (false, "known-red: failed: a::two\n".into()));
}

#[test]
fn listed_failure_is_printed_and_ignored() {
    let line = "a::two | cargo test --test a, seed 3 | the end is not heard | issue 28";
    assert_eq!(check(ONE_FAILED, 101, Some(line)), (true, format!("known red: {line}\n")));
    let (passes, output) = check(&ONE_FAILED.replace("a::one ... ok", "a::one ... FAILED"), 101, Some(line));
    assert!(!passes && output.contains("failed: a::one"), "{output}");
}

#[test]
fn listed_test_that_passes_or_is_missing_fails() {
    let (passes, output) = check(PASSED, 0, Some("a::one | cargo test | was red | issue 28\n"));
    assert!(!passes && output.contains("passes, and is to be taken off the list: a::one"), "{output}");
    let (passes, output) = check(PASSED, 0, Some("a::gone | cargo test | was red | issue 28\n"));
    assert!(!passes && output.contains("was not run: a::gone"), "{output}");
}

#[test]
fn intermittent_test_may_pass_or_fail_but_has_to_run() {
    let line = "a::two | cargo test | a race, 4 of 192 runs | issue 41";
    assert_eq!(check(ONE_FAILED, 101, Some(line)), (true, format!("known red: {line}\n")));
    let passed = ONE_FAILED
        .replace("a::two ... FAILED", "a::two ... ok")
        .replace("FAILED. 1 passed; 1", "ok. 2 passed; 0");
    assert_eq!(check(&passed, 0, Some(line)), (true, format!("passed this time: {line}\n")));
    let (passes, output) = check(PASSED, 0, Some(line));
    assert!(!passes && output.contains("was not run: a::two"), "{output}");
    // A listed test without a count of failures has to fail, and a count covers no other test.
    let (passes, output) = check(&passed, 0, Some("a::two | run 1 of 2 | a race, some of many runs | 41"));
    assert!(!passes && output.contains("passes, and is to be taken off the list"), "{output}");
    let (passes, output) = check(&ONE_FAILED.replace("one ... ok", "one ... FAILED"), 101, Some(line));
    assert!(!passes && output.contains("failed: a::one"), "{output}");
}

#[test]
fn each_listed_failure_needs_an_entry_with_all_four_fields() {
    let red = |n: usize| (0..n).map(|n| format!("t{n} | cargo test | seen | issue 28\n")).collect::<String>();
    let log = |n: usize| {
        let lines: String = (0..n).map(|n| format!("test t{n} ... FAILED\n")).collect();
        format!("     Running tests/a.rs (x)\n{lines}test result: FAILED. 0 passed\n")
    };
    assert!(check(&log(4), 101, Some(&red(4))).0);
    let (passes, output) = check(&log(5), 101, Some(&red(4)));
    assert!(!passes && output.contains("failed: t4"), "{output}");
    let invalid = [
        "a::two",
        "a::two | cargo test",
        "a::two | cargo test | seen",
        "a::two | cause | issue 28",
        "a::two | cargo test | | issue 28",
        "a::two | | seen | issue 28",
        "| cargo test | seen | issue 28",
        "a::two | cargo test | seen |",
        "a::two | cargo test | seen | not filed, see the roadmap",
        "a::two | cargo test | seen | issue",
        "a::two | cargo test | seen | more | issue 28",
    ];
    for line in invalid {
        let (passes, output) = check(ONE_FAILED, 101, Some(line));
        assert!(!passes && output.contains("not 'test | command and seed"), "{line}: {output}");
    }
}

#[test]
fn aborted_run_fails_whatever_is_listed() {
    let (passes, output) = check(ABORTED, 101, Some("a::two | cargo test | seen | issue 28"));
    assert!(!passes && output.contains("1 test binaries ran and 0 told a result"), "{output}");
    assert!(!check("error: could not compile\n", 101, None).0);
    assert!(!check(PASSED, 101, None).0);
}
