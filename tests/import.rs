//! Importers: what they make must be an operator's file that is taken, and nothing is dropped in silence.

use pebbleturn::config::Operator;
use pebbleturn::import::{Imported, read_apache, read_jk};

const APACHE: &str = r#"# a catalogue
<Proxy "balancer://scores">
    BalancerMember "http://127.0.0.11:8080" route=shop1 loadfactor=3 \
        connectiontimeout=400ms
    BalancerMember http://127.0.0.12:8080/index status=+H
    BalancerMember ajp://localhost
    BalancerMember https://127.0.0.13
    BalancerMember http://index.example:81
    BalancerMember http://127.0.0.14 status=+D
    ProxySet lbmethod=byrequests timeout=7 maxattempts=1
</Proxy>
BalancerMember balancer://scores http://127.0.0.15:82
BalancerMember balancer://other http://127.0.0.16:82
ProxyPass "/catalogue/" "balancer://scores/" stickysession=ID
ProxyPreserveHost On
"#;

fn said(i: &Imported, line: usize, word: &str) -> bool {
    i.notes.iter().any(|n| n.line == line && n.text.contains(word))
}

#[test]
fn an_apache_balancer_becomes_a_file_that_is_taken() {
    let i = read_apache(APACHE, None).unwrap();
    let o = Operator::read(&i.file).unwrap();
    let nodes: Vec<String> = o.node.iter().map(|n| format!("{} {}", n.id, n.address)).collect();
    let expected = [
        "shop1 127.0.0.11:8080",
        "127.0.0.12-8080 127.0.0.12:8080",
        "localhost 127.0.0.1:8009",
        "127.0.0.15-82 127.0.0.15:82",
    ];
    assert_eq!(nodes, expected);
    assert_eq!((o.name.as_str(), o.database[0].name.as_str()), ("scores", "catalogue"));
    assert_eq!((o.class[0].deadline_ms, o.limits.dial_timeout_ms, o.limits.max_attempts), (7000, 400, 2));
    for (line, word) in [
        (3, "loadfactor=3"),
        (5, "index"),
        (5, "status=+H"),
        (6, "AJP"),
        (7, "https"),
        (8, "index.example"),
        (9, "status=+D"),
        (10, "lbmethod"),
        (13, "another balancer"),
        (14, "stickysession"),
        (15, "ProxyPreserveHost"),
    ] {
        assert!(said(&i, line, word), "line {line}: {word}\n{:?}", i.notes);
    }
    assert_eq!(Operator::read(&read_apache(APACHE, Some("other")).unwrap().file).unwrap().node.len(), 1);
    assert!(read_apache("ProxyPass / http://x/", None).is_err());
}

const JK: &str = "worker.list=lb,status
base=127.0.0
worker.template.type=ajp13
worker.template.port=8109
worker.template.socket_timeout=10
worker.a.reference=worker.template
worker.a.host=$(base).21
worker.a.domain=kochi-dc
worker.b.reference=worker.template
worker.b.host=$(base).22
worker.b.reply_timeout=9000
worker.b.lbfactor=2
worker.c.host=127.0.0.23
worker.c.activation=Disabled
worker.lb.type=lb
worker.lb.balance_workers=a,b
worker.lb.balance_workers=c
worker.lb.sticky_session=1
worker.status.type=status
";

#[test]
fn mod_jk_workers_become_a_file_that_is_taken() {
    let i = read_jk(JK, None).unwrap();
    let o = Operator::read(&i.file).unwrap();
    let nodes: Vec<String> = o.node.iter().map(|n| format!("{} {} {}", n.id, n.address, n.zone)).collect();
    assert_eq!(nodes, ["a 127.0.0.21:8109 kochi-dc", "b 127.0.0.22:8109 default"]);
    assert_eq!((o.name.as_str(), o.class[0].deadline_ms), ("lb", 9000));
    for (line, word) in
        [(5, "socket_timeout"), (12, "lbfactor"), (13, "off"), (18, "sticky_session"), (19, "status")]
    {
        assert!(said(&i, line, word), "line {line}: {word}\n{:?}", i.notes);
    }
    assert!(read_jk(JK, Some("none")).is_err() && read_jk("worker.list=", None).is_err());
}

#[test]
fn odd_sources_break_no_importer() {
    for text in [
        "",
        "\\",
        "<Proxy",
        "<Proxy balancer://>",
        "BalancerMember",
        "BalancerMember balancer://x",
        "BalancerMember balancer://x http://",
        "BalancerMember balancer://x http://[::1]:80 max=0",
        "worker..=",
        "worker.a.reference=worker.a",
        "x=$(x)\nworker.a.host=$(x)",
        "=",
        "worker.a.port=99999",
    ] {
        let _ = (read_apache(text, None), read_jk(text, None));
    }
}
