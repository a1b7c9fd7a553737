//! The adapter end to end: each test starts it as a process and writes messages to its standard input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const QUERY_ID: &str = "5d3a91c4-a349-4b10-a46b-e214e9c15ea9";
const PART_ID: &str = "0e6f2b19-abcc-43bb-a768-bae9a13eb972";

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pebbleturn-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("its standard input");
    for l in lines {
        // The write fails if the adapter has already exited because of an invalid line.
        let _ = writeln!(stdin, "{l}");
    }
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

fn lines_of(bytes: &[u8]) -> Vec<String> {
    String::from_utf8(bytes.to_vec()).expect("UTF-8").lines().map(str::to_string).collect()
}

fn clock(now: u64, batch: u64) -> String {
    format!(r#"{{"verb":"CLOCK","now_ns":{now},"batch":{batch}}}"#)
}

fn end_of_batch() -> String {
    r#"{"verb":"EOF_BATCH"}"#.to_string()
}

fn power_on(root: &str) -> String {
    let params = r#"{"areas":["here"],"my_zone":"here","callers":{"marks_retry":false},
        "ceilings":{"cancel":true,"probes":true,"second_copies":true,"retry_after":true,
        "max_retry_after_ns":1000000000,"open_cap":500,"try_limit":3,"some_later_key":7},
        "discovery":"pushed","family_info":{"fetch_parts":[0],"min_share":[1.0],"need_by_class":[1.0],
        "partial_earns":[0.9],"per_call":1,"per_call_work_ns":0,"positions":2,"slices":2,"span":2},
        "fleet_size":2,"over_share_worth":0.1,"request_classes":[{"deadline_ns":3000000000,"effect":"safe",
        "goal_time_ns":1000000000,"group":"all","late_worth":0.3,"name":"lookup","window_ns":0,"worth":1.0}],
        "rules":{"answer_slack_ns":20000000,"cold_ns":16000000000,"cold_share":0.2,"fall_multiple":3.0,
        "tip_after_ns":3000000000,"must_ask_in_ns":10000000000},"tariffs":{"late_fail":0.05},"tenants":[],
        "tick_ns":5000000}"#;
    let params = params.replace('\n', " ");
    format!(r#"{{"verb":"POWER_ON","root_id":"{root}","init_seed":11,"params":{params}}}"#)
}

fn rows() -> String {
    let row = |n: u32| {
        format!(
            r#"{{"leaf":{n},"campus":"here","model":"m","place":{},"lifecycle":"IN","power_hint":1,"online_since_ns":null}}"#,
            n % 2
        )
    };
    format!(r#"{{"verb":"SNAPSHOT_ROWS","bank":3,"entries":[{},{}]}}"#, row(40), row(41))
}

fn endpoint_list(root: &str) -> String {
    format!(r#"{{"verb":"DIRECTORY_UPDATE","root_id":"{root}","form":"C","gen":1,"bank":3}}"#)
}

fn order(root: &str, id: &str, shard: i32) -> String {
    format!(
        r#"{{"verb":"ORDER","root_id":"{root}","xid":"{id}","name_key":null,"repeat":false,"tier_class":"lookup","mutates":false,"work_ns":null,"job_no":1,"team":null,"ttl_ns":2000000000,"amount":1.0,"segment_no":{shard},"new_field":[1]}}"#
    )
}

fn start() -> Vec<String> {
    let setup = vec![
        clock(0, 1),
        power_on("root/0"),
        rows(),
        endpoint_list("root/0"),
        end_of_batch(),
        clock(5_000_000, 2),
    ];
    [setup, vec![order("root/0", QUERY_ID, -1), order("root/0", PART_ID, 1), end_of_batch()]].concat()
}

#[test]
fn a_query_is_sent_and_answered_and_the_replies_are_complete() {
    let mut lines = start();
    let reply = lines_of(&run(&lines).stdout);
    let sent = reply.iter().find(|l| l.contains("PASS_ON")).expect("the part is sent").clone();
    assert!(sent.contains(PART_ID), "{sent}");
    let leaf = if sent.contains(r#""leaf":40"#) { 40 } else { 41 };
    lines.push(clock(95_000_000, 3));
    lines.push(format!(
        r#"{{"verb":"RESPONSE","root_id":"root/0","xid":"{PART_ID}","leaf":{leaf},"rtt_ns":90000000,"how":"ok","no_more":true,"attempt":0,"pressure":{{"busy":0.2,"odd":null}}}}"#
    ));
    lines.push(end_of_batch());
    let out = run(&lines);
    assert!(out.status.success(), "{:?}", lines_of(&out.stderr));
    let reply = lines_of(&out.stdout);
    let answer = format!(r#"{{"verb":"HAND_IN","root_id":"root/0","xid":"{QUERY_ID}","full":true}}"#);
    assert!(reply.contains(&answer), "{reply:#?}");
    for n in 1..=3 {
        assert_eq!(reply.iter().filter(|l| **l == format!(r#"{{"verb":"NEXT","batch":{n}}}"#)).count(), 1);
    }
    assert!(reply.last().expect("a reply").contains("NEXT"));
}

#[test]
fn a_killed_instance_starts_again_without_state() {
    let mut lines = start();
    lines.push(clock(10_000_000, 3));
    lines.push(r#"{"verb":"KILL","root_id":"root/0"}"#.to_string());
    lines.extend([
        power_on("root/0"),
        rows(),
        endpoint_list("root/0"),
        end_of_batch(),
        clock(3_000_000_000, 4),
    ]);
    lines.extend([r#"{"verb":"WAKEUP","root_id":"root/0","token":"look"}"#.to_string(), end_of_batch()]);
    let out = run(&lines);
    assert!(out.status.success(), "{:?}", lines_of(&out.stderr));
    assert!(!lines_of(&out.stdout).iter().any(|l| l.contains("REPORT_FAILURE") || l.contains("SAY_NO")));
}

#[test]
fn the_end_of_the_input_is_a_clean_exit() {
    let out = run(&[clock(0, 1), end_of_batch()]);
    assert!(out.status.success());
    assert_eq!(lines_of(&out.stdout), [r#"{"verb":"NEXT","batch":1}"#]);
    assert!(out.stderr.is_empty());
}

#[test]
fn bad_input_is_reported_by_line_number_without_a_partial_reply() {
    let cases: [(&str, Vec<String>); 7] = [
        ("malformed", vec![clock(1, 9), "{oops".into()]),
        ("unknown verb", vec![clock(1, 9), r#"{"verb":"DANCE"}"#.into()]),
        ("missing field", vec![clock(1, 9), r#"{"verb":"WAKEUP","token":"x"}"#.into()]),
        ("outside a batch", vec![end_of_batch()]),
        ("clock in a batch", vec![clock(1, 9), clock(2, 10)]),
        ("unknown instance", vec![clock(1, 9), r#"{"verb":"WAKEUP","root_id":"root/8","token":"x"}"#.into()]),
        ("unknown class", vec![clock(1, 9), order("root/0", QUERY_ID, -1).replace("lookup", "other")]),
    ];
    for (case, tail) in cases {
        let mut lines = start();
        let complete_batches = lines.iter().filter(|l| **l == end_of_batch()).count();
        lines.extend(tail);
        let number = lines.len();
        lines.push(end_of_batch());
        let out = run(&lines);
        assert!(!out.status.success(), "{case}");
        let errors = lines_of(&out.stderr);
        assert_eq!(errors.len(), 1, "{case}: {errors:?}");
        assert!(errors[0].contains(&format!("line {number}:")), "{case}: {errors:?}");
        let reply = lines_of(&out.stdout);
        assert_eq!(reply.iter().filter(|l| l.contains("NEXT")).count(), complete_batches, "{case}");
        assert!(reply.last().expect("replies").contains("NEXT"), "{case}");
    }
}

#[test]
fn unusable_settings_are_reported() {
    let out = run(&[
        clock(0, 1),
        power_on("root/0").replace(r#""positions":2"#, r#""positions":0"#),
        end_of_batch(),
    ]);
    assert!(!out.status.success());
    assert!(lines_of(&out.stderr)[0].contains("line 2: unusable settings"), "{:?}", lines_of(&out.stderr));
    assert!(out.stdout.is_empty());
}
