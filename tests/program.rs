//! The program as a process: its exit codes, its log lines, and its handling of SIGTERM and SIGHUP.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Output, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pebbleturn");

fn run(args: &[&str], config: Option<&str>) -> Output {
    let mut command = Command::new(PROGRAM);
    command.args(args).env_remove("GW_CONFIG");
    if let Some(path) = config {
        command.env("GW_CONFIG", path);
    }
    command.output().unwrap()
}

/// A running program; it is killed on drop, so that it does not outlive a failed test.
struct Program(Child);

impl Program {
    fn start(command: &mut Command) -> (Program, std::io::Lines<BufReader<std::process::ChildStderr>>) {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        (Program(child), lines)
    }

    /// Waits for the program to exit successfully.
    fn wait_for_success(mut self) {
        assert!(self.0.wait().unwrap().success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A temporary file that is removed at the end of the test.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("pebbleturn-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn unusable_configuration_fails_with_one_line() {
    let (malformed, wrong_type) = (File::new("broken", "{"), File::new("odd", "name = 1\n"));
    let missing = "/nowhere/config.json";
    for (args, config) in [
        (&[][..], None),
        (&[], Some(missing)),
        (&[], Some(malformed.path())),
        (&["serve", "catalogue", wrong_type.path()], None),
        (&["--catalogue", missing], None),
        (&["import", "jk", missing], None),
        (&["--import", "jk", missing], None),
    ] {
        let out = run(args, config);
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && stderr.lines().count() == 1, "{args:?} {config:?}: {stderr}");
    }
    assert_eq!(run(&["--nonsense"], None).status.code(), Some(2));
}

#[test]
fn help_and_version_succeed_and_usage_errors_are_named() {
    for args in [&["--help"][..], &["-h"], &["--version"], &["serve", "--help"], &["help", "roster", "show"]]
    {
        let out = run(args, None);
        assert!(out.status.success() && !out.stdout.is_empty() && out.stderr.is_empty(), "{args:?}");
    }
    for (args, word) in [
        (&["serve", "nothing"][..], "nothing"),
        (&["serve", "catalogue"], "<FILE>"),
        (&["--log", "loud"], "loud"),
        (&["roster", "show"], "<PATH>"),
    ] {
        let out = run(args, None);
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert!(out.status.code() == Some(2) && stderr.contains(word), "{args:?}: {stderr}");
    }
}

#[test]
fn check_reports_every_fault_with_its_line() {
    let valid = run(&["check", "deploy/catalogue.toml"], None);
    assert!(valid.status.success());
    let text = std::fs::read_to_string("deploy/catalogue.toml").unwrap();
    let line = |word: &str| text.lines().position(|l| l.starts_with(word)).unwrap() + 1;
    let wrong = text
        .replace("tick_ms = 5", "tock_ms = 5")
        .replace("page = 8", "page = \"eight\"")
        .replace("protocol = \"z3950\"\nlisten", "protocol = \"gopher\"\nlisten")
        .replace("brokers = 2", "brokers = -2");
    let file = File::new("mistakes.toml", &wrong);
    let out = run(&["check", file.path()], None);
    let stderr = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(1));
    for (word, at) in [("tock_ms", line("tick_ms")), ("eight", line("page")), ("brokers", line("brokers"))] {
        assert!(
            stderr.lines().any(|l| l.contains(word) && l.contains(&format!("line {at}:"))),
            "{word} at {at}: {stderr}"
        );
    }
    assert!(stderr.contains("gopher") && stderr.lines().count() == 5, "{stderr}");
    // Faults that are only checked once every value could be read.
    let inconsistent = text
        .replace("holders = 2", "holders = 9")
        .replace("tick_ms = 5", "tick_ms = 0")
        .replace("id = \"kochi-2\"", "id = \"kochi-1\"")
        .replace("class = \"usage-report\"", "class = \"nothing\"");
    let file = File::new("odd.toml", &inconsistent);
    let out = run(&["check", file.path()], None);
    let stderr = String::from_utf8(out.stderr).unwrap();
    for word in ["holders 9", "tick_ms must be", "\"kochi-1\" is there twice", "no class \"nothing\""] {
        assert!(stderr.lines().any(|l| l.contains(word) && l.contains("line ")), "{word}: {stderr}");
    }
}

#[test]
fn log_lines_are_json_on_request() {
    let out = run(&["--log-format", "json"], Some("/nowhere/config.json"));
    let stderr = String::from_utf8(out.stderr).unwrap();
    let line: serde_json::Value = serde_json::from_str(stderr.trim()).unwrap();
    assert_eq!((&line["level"], &line["target"]), (&"ERROR".into(), &"pebbleturn::cli".into()));
    assert_eq!(line["message"], "broker failed");
    assert!(line["error"].as_str().unwrap().contains("/nowhere/config.json"));
}

/// A port that is free at the time of the call.
fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

fn wait_for(lines: &mut impl Iterator<Item = std::io::Result<String>>, word: &str) -> String {
    lines.map_while(Result::ok).find(|l| l.contains(word)).unwrap_or_else(|| panic!("no line with {word}"))
}

fn signal(child: &Program, name: &str) {
    assert!(Command::new("kill").args([name, &child.0.id().to_string()]).status().unwrap().success());
}

fn terminate(child: &Program) {
    signal(child, "-TERM");
}

/// Shuts the program down gracefully.
fn shut_down(child: Program, lines: &mut impl Iterator<Item = std::io::Result<String>>) {
    terminate(&child);
    wait_for(lines, "graceful shutdown is complete");
    child.wait_for_success();
}

#[test]
fn sigterm_begins_a_graceful_shutdown() {
    let text = std::fs::read_to_string("deploy/catalogue.toml").unwrap();
    let text = text.replace("127.0.0.1:8210", "127.0.0.1:0").replace("127.0.0.1:2100", "127.0.0.1:0");
    let file = File::new("catalogue", &text);
    let (child, mut lines) = Program::start(Command::new(PROGRAM).args(["serve", "catalogue", file.path()]));
    let line = wait_for(&mut lines, "for Sru");
    let addr = line.split(' ').find(|w| w.starts_with("127.")).unwrap().to_owned();
    let mut stream = TcpStream::connect(&addr).unwrap();
    write!(stream, "GET /-/ready HTTP/1.1\r\n\r\n").unwrap();
    let mut answer = BufReader::new(stream.try_clone().unwrap()).lines();
    wait_for(&mut answer, "200 OK");
    signal(&child, "-HUP");
    wait_for(&mut lines, "read at the start only");
    terminate(&child);
    wait_for(&mut lines, "graceful shutdown begins");
    signal(&child, "-HUP");
    // The request is still accepted, but the broker is no longer ready and closes the connection after it.
    if write!(stream, "GET /-/ready HTTP/1.1\r\n\r\n").is_ok() {
        let rest: Vec<String> = answer.map_while(Result::ok).collect();
        assert!(rest.iter().all(|l| !l.contains("200 OK")), "{rest:?}");
    }
    wait_for(&mut lines, "graceful shutdown is complete");
    child.wait_for_success();
    assert!(TcpStream::connect(&addr).is_err());
}

/// A platform configuration whose discovery and only server are at `port`.
fn config(port: u16, limits: &str) -> String {
    format!(
        r#"{{"name":"t","listen":"127.0.0.1:0","discovery":"127.0.0.1:{port}","seed":"1f","limits":{limits},"known":{{"version":1,"full":true,"servers":
        [{{"id":"s-1","addr":"127.0.0.1:{port}","zone":"a","cell":0,"state":"Ready"}}]}},"settings":{{"areas":["a"],"my_zone":"a",
        "fleet_size":1,"tick_ns":5000000,"discovery":"on_request","request_classes":[{{"name":"c","goal_time_ns":1000000000,
        "deadline_ns":2000000000,"effect":"safe","worth":1.0}}],"ceilings":{{"cancel":true,"probes":false,"second_copies":true,
        "open_cap":9,"try_limit":3}},"family_info":{{"min_share":[1],"need_by_class":[1],"positions":1,"slices":1,"span":1}},
        "rules":{{"must_ask_in_ns":1000000000}}}}}}"#
    )
}

#[test]
fn limits_that_are_too_small_are_rejected() {
    for (limits, word) in [(r#"{"sockets":8}"#, "sockets"), (r#"{"memory_mb":1}"#, "memory")] {
        let file = File::new(word, &config(1, limits));
        let out = run(&[], Some(file.path()));
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && stderr.contains(word) && stderr.lines().count() == 1, "{stderr}");
    }
}

#[test]
fn sighup_reloads_the_nodes_file_and_ignores_an_unusable_one() {
    use pebbleturn_lab::demo::search_over_sru;
    use pebbleturn_lab::standins::{NodeScript, WireProtocol, node};
    let script = NodeScript::default();
    let nodes: Vec<_> = (0..2).map(|n| node(WireProtocol::Sru, n, script.clone())).collect();
    let entry = |n: usize, standing: &str| {
        format!(
            "[[node]]\nid = \"n-{n}\"\nprotocol = \"sru\"\naddress = \"{}\"\nzone = \"a\"\ncell = 0\nstanding = \"{standing}\"\n",
            nodes[n]
        )
    };
    let nodes_file = File::new("nodes.toml", "");
    let config = format!(
        "name = \"t\"\nzone = \"a\"\n[membership]\nnodes_file = \"{}\"\n[partitions]\ncount = 3\ncells = 1\nholders = 1\n\
         database = \"part-{{partition}}\"\n[[class]]\nname = \"c\"\naim_ms = 8000\ndeadline_ms = 20000\n\
         [[database]]\nname = \"scores\"\nclass = \"c\"\n[[listener]]\nprotocol = \"sru\"\nlisten = \"127.0.0.1:0\"\n",
        nodes_file.path()
    );
    let file = File::new("nodes-operator.toml", &config);
    let (child, mut lines) = Program::start(Command::new(PROGRAM).args(["serve", "catalogue", file.path()]));
    let line = wait_for(&mut lines, "for Sru");
    let addr = line.split(' ').find(|w| w.starts_with("127.")).unwrap().parse().unwrap();
    let serves = || search_over_sru(addr).unwrap().starts_with("HTTP/1.1 200");
    assert!(!serves(), "a search is served although no node is listed");
    std::fs::write(nodes_file.path(), entry(0, "active")).unwrap();
    signal(&child, "-HUP");
    wait_for(&mut lines, "read again: 1 nodes");
    assert!(serves() && script.parts_received_by(0) > 0);
    std::fs::write(nodes_file.path(), entry(0, "active") + "[[node]]\nid = 7\n").unwrap();
    signal(&child, "-HUP");
    let line = wait_for(&mut lines, "the nodes stay as they were");
    assert!(line.contains("line 9"), "{line}");
    assert!(serves());
    std::fs::write(nodes_file.path(), entry(0, "draining") + &entry(1, "active")).unwrap();
    signal(&child, "-HUP");
    wait_for(&mut lines, "read again: 2 nodes");
    let before = script.parts_received_by(0);
    assert!(
        (0..10).all(|_| serves()) && script.parts_received_by(0) == before && script.parts_received_by(1) > 0
    );
    // A file that was incomplete when the signal arrived is read again without another signal.
    std::fs::write(nodes_file.path(), entry(0, "active") + "[[node]]\nid = ").unwrap();
    signal(&child, "-HUP");
    wait_for(&mut lines, "the nodes stay as they were");
    std::fs::write(nodes_file.path(), entry(0, "active")).unwrap();
    wait_for(&mut lines, "read again: 1 nodes");
    shut_down(child, &mut lines);
}

#[test]
fn node_that_goes_down_and_recovers_is_logged_once_each() {
    use pebbleturn_lab::demo::{operator_file, search_over_sru};
    use pebbleturn_lab::standins::{NodeScript, WireProtocol, node, node_at};
    let script = NodeScript::default();
    let closed = free_port();
    let at = std::net::SocketAddr::from(([127, 0, 0, 1], closed));
    // Partition 0 is held by the first two nodes, and so on round the ring.
    let nodes = [
        (at, WireProtocol::Sru),
        (node(WireProtocol::Sru, 1, script.clone()), WireProtocol::Sru),
        (node(WireProtocol::Sru, 2, script.clone()), WireProtocol::Sru),
    ];
    let file = File::new("down.toml", &operator_file(&nodes));
    let (child, mut lines) = Program::start(Command::new(PROGRAM).args(["serve", "catalogue", file.path()]));
    let line = wait_for(&mut lines, "for Sru");
    let addr = line.split(' ').find(|w| w.starts_with("127.")).unwrap().parse().unwrap();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let query_thread = std::thread::spawn(move || {
        while stopped.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
            assert!(
                search_over_sru(addr).unwrap().starts_with("HTTP/1.1 200"),
                "the other holder did not serve"
            );
        }
    });
    wait_for(&mut lines, "node is unreachable node=node-0 addr=");
    node_at(at, WireProtocol::Sru, 0, script);
    let line = wait_for(&mut lines, "reachable");
    let is_back = line.contains("node is reachable again node=node-0 addr=");
    assert!(is_back && line.contains(" unreachable_s="), "another line was logged in between: {line}");
    stop.send(()).unwrap();
    query_thread.join().unwrap();
    shut_down(child, &mut lines);
}

#[test]
fn cached_list_can_be_shown_and_a_corrupt_one_is_reported() {
    use pebbleturn::membership::snapshot::{self, Snapshot, SnapshotNode};
    use pebbleturn::membership::{NodeRecord, NodeState, staleness::ChangeRate};
    let record = |id: &str, state| NodeRecord {
        id: id.into(),
        addr: Some("127.0.0.1:80".parse().unwrap()),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        state,
        started: 0,
    };
    let node = |id, state| {
        let (confirmed, after_reset) = (Some(1), false);
        SnapshotNode { record: record(id, state), epoch: 0, version: 4, received: 1, after_reset, confirmed }
    };
    let nodes = vec![node("s-1", NodeState::Ready), node("s-2", NodeState::Terminating)];
    let (full_list, rate) = (Some((0, 4, 1)), ChangeRate::NONE);
    let list = Snapshot { written: 1, last_confirmed: Some(1), full_list, pruned_up_to: None, rate, nodes };
    let bytes = snapshot::encode(&list).unwrap();
    let file = File::new("list.kept", "");
    std::fs::write(file.path(), &bytes).unwrap();
    let out = run(&["roster", "show", file.path()], None);
    let stdout = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success() && stdout.contains("s-1") && stdout.contains("Terminating"), "{stdout}");
    let out = run(&["roster", "show", "--json", file.path()], None);
    let shown: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!((&shown["version"], &shown["nodes"][1]["state"]), (&4.into(), &"Terminating".into()));
    assert!(
        shown["nodes"][0]["trust"].as_f64().unwrap() < 0.01,
        "last confirmed at the Unix epoch, so its trust must be near 0"
    );
    std::fs::write(file.path(), &bytes[..bytes.len() - 7]).unwrap();
    let out = run(&["roster", "show", file.path()], None);
    let stderr = String::from_utf8(out.stderr).unwrap();
    assert!(out.status.code() == Some(1) && stderr.contains("bytes instead of"), "{stderr}");
    assert_eq!(run(&["roster", "show", "/nowhere"], None).status.code(), Some(1));
}

#[test]
fn without_discovery_it_starts_from_the_configured_list() {
    let port = free_port();
    let file = File::new("config", &config(port, "{}"));
    let (child, mut lines) = Program::start(Command::new(PROGRAM).env("GW_CONFIG", file.path()));
    wait_for(&mut lines, "endpoint list was merged version=1 endpoints=1 full=true");
    wait_for(&mut lines, "listens");
    // The watch fails, is retried and fails again.
    wait_for(&mut lines, "discovery watch ended");
    wait_for(&mut lines, "discovery watch ended");
    shut_down(child, &mut lines);
}

#[test]
fn platform_caches_the_list_only_with_a_directory() {
    use pebbleturn::membership::NodeState;
    use pebbleturn_lab::directory::{Directory, Mode, endpoint};
    let dir = tempfile::tempdir().unwrap();
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    let directory =
        Directory::start(vec![endpoint("s-9", node.local_addr().unwrap(), "", 0, NodeState::Ready)]);
    let config_text = config(directory.addr.port(), "{}").replace("\"version\":1,", "\"version\":0,");
    let file = File::new("keeping", &config_text);
    let start = |keep: bool| {
        let mut command = Command::new(PROGRAM);
        command.env("GW_CONFIG", file.path()).env_remove("PEBBLETURN_KEEP");
        if keep {
            command.env("PEBBLETURN_KEEP", dir.path());
        }
        Program::start(&mut command)
    };
    let files = || std::fs::read_dir(dir.path()).unwrap().count();
    for keep in [false, true] {
        let (child, mut lines) = start(keep);
        wait_for(&mut lines, "endpoint list was merged version=1 endpoints=1 full=true");
        shut_down(child, &mut lines);
        assert_eq!(files() > 0, keep);
    }
    directory.set_mode(Mode::Down);
    let (child, mut lines) = start(true);
    let line = wait_for(&mut lines, "membership snapshot was restored");
    assert!(line.contains("nodes=1 ") && line.contains("trust=1.00"), "{line}");
    shut_down(child, &mut lines);
}

#[test]
fn signals_and_a_replacement_are_handled_while_a_write_hangs() {
    use pebbleturn::membership::NodeState;
    use pebbleturn::storage::snapshot_store::{CURRENT, TEMPORARY};
    use pebbleturn_lab::directory::{Directory, endpoint};
    let dir = tempfile::tempdir().unwrap();
    // Opening a pipe for writing blocks until it has a reader, as a write to a hung disk does.
    let pipe = dir.path().join(TEMPORARY);
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let node = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let directory = Directory::start(vec![endpoint("s-9", node, "", 0, NodeState::Ready)]);
    let file = File::new(
        "hanging",
        &config(directory.addr.port(), "{}").replace("\"version\":1,", "\"version\":0,"),
    );
    let start = || {
        Program::start(Command::new(PROGRAM).env("GW_CONFIG", file.path()).env("PEBBLETURN_KEEP", dir.path()))
    };
    let (old, mut old_lines) = start();
    wait_for(&mut old_lines, "endpoint list was merged version=1 endpoints=1 full=true");
    signal(&old, "-HUP");
    wait_for(&mut old_lines, "discovery stays addr=");
    // The new process starts and serves while the old one still holds the directory.
    let (new, mut new_lines) = start();
    wait_for(&mut new_lines, "listens");
    wait_for(&mut new_lines, "endpoint list was merged version=1 endpoints=1 full=true");
    terminate(&old);
    wait_for(&mut old_lines, "graceful shutdown is complete");
    old.wait_for_success();
    // The disk works again: the remaining process stores the list.
    std::fs::remove_file(&pipe).unwrap();
    directory.change(endpoint("s-9", node, "", 0, NodeState::Terminating));
    wait_for(&mut new_lines, "endpoints=1 full=false");
    terminate(&new);
    wait_for(&mut new_lines, "graceful shutdown is complete");
    new.wait_for_success();
    let stored = std::fs::read_to_string(dir.path().join(CURRENT)).unwrap();
    assert!(stored.contains("Terminating"), "{stored}");
}

/// The first line of the next request that a discovery receives, and its connection, which stays open.
fn next_request(discovery: &TcpListener) -> (String, TcpStream) {
    let (stream, _) = discovery.accept().unwrap();
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).unwrap();
    (line, stream)
}

#[test]
fn sighup_moves_discovery_and_ignores_an_unusable_file() {
    let (old, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let port = |l: &TcpListener| l.local_addr().unwrap().port();
    let file = File::new("reload", &config(port(&old), "{}"));
    let (child, mut lines) = Program::start(Command::new(PROGRAM).env("GW_CONFIG", file.path()));
    let (first, _watch) = next_request(&old);
    signal(&child, "-HUP");
    wait_for(&mut lines, "discovery stays addr=");
    std::fs::write(file.path(), "{").unwrap();
    signal(&child, "-HUP");
    wait_for(&mut lines, "the configuration stays as it was");
    std::fs::write(file.path(), config(port(&new), "{}")).unwrap();
    signal(&child, "-HUP");
    wait_for(&mut lines, "discovery moves addr=");
    // It requests the changes since its current list from the new discovery, as it did from the old one.
    assert_eq!((next_request(&new).0, first.contains("since=1")), (first, true));
    terminate(&child);
    wait_for(&mut lines, "graceful shutdown begins");
    signal(&child, "-HUP");
    wait_for(&mut lines, "graceful shutdown is complete");
    child.wait_for_success();
}

#[test]
fn check_reports_faults_of_the_admin_endpoint_with_their_line() {
    let text = std::fs::read_to_string("deploy/catalogue.toml").unwrap();
    let listen = text.lines().find(|l| l.starts_with("listen = ")).unwrap();
    let wrong = text.replace("[operation] ", &format!("[operation]\n{listen}\nhand_over = \"/tmp\"\n#"));
    let wrong = wrong.replacen("[[listener]]\n", "[[listener]]\ndescriptor = 1\n", 1);
    let at = |word: &str| wrong.lines().position(|l| l.starts_with(word)).unwrap() + 1;
    let file = File::new("operation.toml", &wrong);
    let out = run(&["check", file.path()], None);
    let stderr = String::from_utf8(out.stderr).unwrap();
    for (word, line) in [
        ("clients connect to", at("listen = ")),
        ("hand_over needs a descriptor", at("hand_over")),
        ("descriptor 1 must be over 2", at("descriptor")),
    ] {
        assert!(
            stderr.lines().any(|l| l.contains(word) && l.contains(&format!("line {line}:"))),
            "{word} at {line}: {stderr}"
        );
    }
}

#[test]
fn check_reports_all_faults_of_a_cluster_with_their_lines() {
    let text = std::fs::read_to_string("deploy/catalogue.toml").unwrap();
    let cluster = "[cluster]\nname = \"\"\nlisten = \"0.0.0.0:0\"\nkeep = \"/tmp/k\"\nprobe_ms = 1\nkeep_words_s = 0\nspeak = 9\n\
                   [[peer]]\nname = \"kochi-catalogue\"\naddress = \"127.0.0.1:8301\"\n\
                   [[peer]]\nname = \"b\"\naddress = \"127.0.0.1:8301\"\n[[peer]]\nname = \"b\"\naddress = \"127.0.0.1:0\"\n";
    let wrong = text.replacen("[routing] ", &format!("{cluster}\n[routing] "), 1);
    let file = File::new("cluster.toml", &wrong);
    let stderr = String::from_utf8(run(&["check", file.path()], None).stderr).unwrap();
    let at = |line: &str, nth: usize| {
        wrong.lines().enumerate().filter(|(_, l)| *l == line).nth(nth).unwrap_or_else(|| panic!("{line}")).0
            + 1
    };
    let faults = [
        ("name \"\" must have from 1", at("name = \"\"", 0)),
        ("must be an address that peers can name", at("listen = \"0.0.0.0:0\"", 0)),
        ("probe_ms 1 must be", at("probe_ms = 1", 0)),
        ("keep_words_s 0 must be", at("keep_words_s = 0", 0)),
        ("speak 9 must be", at("speak = 9", 0)),
        ("it is this broker's own name", at("name = \"kochi-catalogue\"", 1)),
        ("is another broker's already", at("address = \"127.0.0.1:8301\"", 1)),
        ("it is there twice", at("name = \"b\"", 1)),
        ("is no address to send to", at("address = \"127.0.0.1:0\"", 0)),
    ];
    for (word, line) in faults {
        let found = stderr.lines().any(|l| l.contains(word) && l.contains(&format!("line {line}:")));
        assert!(found, "{word} at {line}: {stderr}");
    }
    assert_eq!(stderr.lines().filter(|l| l.contains("line ")).count(), faults.len(), "{stderr}");
    // Peers without a [cluster] section are a fault too.
    let file =
        File::new("peers.toml", &(text.clone() + "[[peer]]\nname = \"b\"\naddress = \"127.0.0.1:1\"\n"));
    let stderr = String::from_utf8(run(&["check", file.path()], None).stderr).unwrap();
    assert!(stderr.contains("there is no [cluster]"), "{stderr}");
}
