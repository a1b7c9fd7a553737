//! The catalogue broker: admin endpoint and hot restart.

use super::PROGRAM;
use pebbleturn_lab::demo::search_over_sru;
use pebbleturn_lab::running::*;
use pebbleturn_lab::standins::{NodeScript, WireProtocol, node};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

struct Catalogue {
    script: NodeScript,
    nodes: Vec<SocketAddr>,
    listener: TcpListener,
    tmp: tempfile::TempDir,
}

impl Catalogue {
    fn new() -> Catalogue {
        let script = NodeScript::default();
        let nodes = (0..3).map(|n| node(WireProtocol::Sru, n, script.clone())).collect();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Catalogue { script, nodes, listener, tmp: tempfile::tempdir().unwrap() }
    }

    fn start(&self) -> Process {
        let admin_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let mut text = format!(
            "name = \"t\"\nzone = \"a\"\n[operation]\nlisten = \"{admin_address}\"\nhand_over = {:?}\n[partitions]\ncount = 3\n\
             cells = 3\n\
             holders = 2\ndatabase = \"part-{{partition}}\"\n[[class]]\nname = \"c\"\naim_ms = 8000\ndeadline_ms = 20000\n\
             [[database]]\nname = \"scores\"\nclass = \"c\"\n[[listener]]\nprotocol = \"sru\"\nlisten = \"{}\"\ndescriptor = 4\n",
            self.tmp.path().join("hand"),
            self.listener.local_addr().unwrap(),
        );
        for (n, at) in self.nodes.iter().enumerate() {
            text += &format!(
                "[[node]]\nid = \"n-{n}\"\nprotocol = \"sru\"\naddress = \"{at}\"\nzone = \"a\"\ncell = {n}\n"
            );
        }
        let path = self.tmp.path().join(format!("{}.toml", admin_address.port()));
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" \"$@\" 4<&0 0</dev/null", PROGRAM]);
        command.args(["serve", "catalogue"]).arg(path);
        let process = Process::start(&mut command, &self.listener, admin_address);
        until("the process serves", || process.admin_request("STATUS").starts_with("SUCCESS"));
        process
    }

    fn serves(&self) -> bool {
        search_over_sru(self.listener.local_addr().unwrap()).unwrap().starts_with("HTTP/1.1 200")
    }
}

#[test]
fn catalogue_broker_has_the_admin_endpoint_and_hot_restart() {
    let site = Catalogue::new();
    let mut old = site.start();
    assert!((0..5).all(|_| site.serves()));
    until("the metrics match", || {
        let metrics = old.metrics();
        metrics["ok"]["c"] == 5
            && metrics["tries"] == site.script.parts_received()
            && metrics["pool_size"] == 3
    });
    old.expect_success("SUSPEND n-1");
    assert!(old.expect_failure("SUSPEND nobody").contains("never listed"));
    let before = site.script.parts_received_by(1);
    assert!((0..10).all(|_| site.serves()));
    let new = site.start();
    old.wait_for_exit();
    assert_eq!(new.metrics()["pool_ejected"], 1);
    assert!((0..10).all(|_| site.serves()));
    assert_eq!(site.script.parts_received_by(1), before);
    new.expect_success("RESTORE n-1");
    until("the restored node is used again", || site.serves() && site.script.parts_received_by(1) > before);
    new.expect_success("PAUSE");
    until("the broker is not ready", || !is_ready(site.listener.local_addr().unwrap()));
    new.expect_success("RESUME");
    until("the broker is ready", || is_ready(site.listener.local_addr().unwrap()));
}
