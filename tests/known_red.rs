//! The judge over tests that are known to fail (`.ci/known-red`): it passes over just those.

use std::process::Command;

const TWO: &str = "     Running tests/a.rs (x)\ntest a::one ... ok\ntest a::two ... FAILED\n\n\
                   test result: FAILED. 1 passed; 1 failed; 0 ignored\n   Doc-tests x\n\ntest result: ok. 0 passed; 0 failed\n";
const GREEN: &str =
    "     Running tests/a.rs (x)\ntest a::one ... ok\n\ntest result: ok. 1 passed; 0 failed\n";
const KILLED: &str =
    "     Running tests/a.rs (x)\ntest a::one ... ok\nerror: test failed, to rerun pass `--test a`\n";

/// Whether it passes, and what it prints.
fn judge(log: &str, status: u8, list: Option<&str>) -> (bool, String) {
    let dir = tempfile::tempdir().unwrap();
    let (told, listed) = (dir.path().join("log"), dir.path().join("list"));
    std::fs::write(&told, log).unwrap();
    if let Some(list) = list {
        std::fs::write(&listed, list).unwrap();
    }
    let mut bash = Command::new("bash");
    let out = bash.arg(".ci/known-red").arg(&told).arg(status.to_string()).arg(&listed).output().unwrap();
    assert!(out.stderr.is_empty(), "{}", String::from_utf8_lossy(&out.stderr));
    (out.status.success(), String::from_utf8(out.stdout).unwrap())
}

#[test]
fn unlisted_failure_fails() {
    assert_eq!(judge(GREEN, 0, None), (true, String::new()));
    assert_eq!(judge(GREEN, 0, Some("\n")), (true, String::new()));
    assert_eq!(judge(TWO, 101, None), (false, "known-red: failed: a::two\n".into()));
}

#[test]
fn listed_failure_is_printed_and_ignored() {
    let line = "a::two | the end is not heard | issue 28";
    assert_eq!(judge(TWO, 101, Some(line)), (true, format!("known red: {line}\n")));
    let (passes, said) = judge(&TWO.replace("a::one ... ok", "a::one ... FAILED"), 101, Some(line));
    assert!(!passes && said.contains("failed: a::one"), "{said}");
}

#[test]
fn listed_test_that_passes_or_is_missing_fails() {
    let (passes, said) = judge(GREEN, 0, Some("a::one | was red | issue 28\n"));
    assert!(!passes && said.contains("passes, and is to be taken off the list: a::one"), "{said}");
    let (passes, said) = judge(GREEN, 0, Some("a::gone | was red | issue 28\n"));
    assert!(!passes && said.contains("was not run: a::gone"), "{said}");
}

#[test]
fn intermittent_test_may_pass_or_fail_but_has_to_run() {
    let line = "a::two | a race, 4 of 192 runs | issue 41";
    assert_eq!(judge(TWO, 101, Some(line)), (true, format!("known red: {line}\n")));
    let green =
        TWO.replace("a::two ... FAILED", "a::two ... ok").replace("FAILED. 1 passed; 1", "ok. 2 passed; 0");
    assert_eq!(judge(&green, 0, Some(line)), (true, format!("passed this time: {line}\n")));
    let (passes, said) = judge(GREEN, 0, Some(line));
    assert!(!passes && said.contains("was not run: a::two"), "{said}");
    // Without a count it has to fail, and a count excuses no other test.
    let (passes, said) = judge(&green, 0, Some("a::two | a race, some of many runs | issue 41"));
    assert!(!passes && said.contains("passes, and is to be taken off the list"), "{said}");
    let (passes, said) = judge(&TWO.replace("one ... ok", "one ... FAILED"), 101, Some(line));
    assert!(!passes && said.contains("failed: a::one"), "{said}");
}

#[test]
fn fourth_line_or_one_without_cause_or_issue_fails() {
    let red = |n: usize| (0..n).map(|n| format!("t{n} | cause | issue 28\n")).collect::<String>();
    let log = |n: usize| {
        let lines: String = (0..n).map(|n| format!("test t{n} ... FAILED\n")).collect();
        format!("     Running tests/a.rs (x)\n{lines}test result: FAILED. 0 passed\n")
    };
    assert!(judge(&log(3), 101, Some(&red(3))).0);
    let (passes, said) = judge(&log(4), 101, Some(&red(4)));
    assert!(!passes && said.contains("4 tests are listed"), "{said}");
    for line in ["a::two", "a::two | cause", "a::two | | issue 28", "| cause | issue 28"] {
        assert!(!judge(TWO, 101, Some(line)).0, "{line}");
    }
}

#[test]
fn aborted_run_fails_whatever_is_listed() {
    let (passes, said) = judge(KILLED, 101, Some("a::two | cause | issue 28"));
    assert!(!passes && said.contains("1 test binaries ran and 0 told a result"), "{said}");
    assert!(!judge("error: could not compile\n", 101, None).0);
    assert!(!judge(GREEN, 101, None).0);
}
