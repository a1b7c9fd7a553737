//! Importers: they write a valid operator's file, and report each setting without a counterpart.

use pebbleturn::config::OperatorConfig;
use pebbleturn::import::{Imported, read_apache, read_jk};
use pebbleturn::routing::{AdminState, Spare};

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

/// Whether a note on this line contains the word.
fn has_note(i: &Imported, line: usize, word: &str) -> bool {
    i.notes.iter().any(|n| n.line == line && n.text.contains(word))
}

#[test]
fn an_apache_balancer_is_imported_as_a_valid_file() {
    let i = read_apache(APACHE, None).unwrap();
    let o = OperatorConfig::read(&i.file).unwrap();
    let nodes: Vec<String> = o.node.iter().map(|n| format!("{} {}", n.id, n.address)).collect();
    let expected = [
        "shop1 127.0.0.11:8080",
        "127.0.0.12-8080 127.0.0.12:8080",
        "localhost 127.0.0.1:8009",
        "127.0.0.14 127.0.0.14:80",
        "127.0.0.15-82 127.0.0.15:82",
    ];
    assert_eq!(nodes, expected);
    assert_eq!((o.name.as_str(), o.database[0].name.as_str()), ("scores", "catalogue"));
    assert_eq!((o.class[0].deadline_ms, o.limits.dial_timeout_ms, o.limits.max_attempts), (7000, 400, 2));
    for (line, word) in [
        (5, "index"),
        (6, "AJP"),
        (7, "https"),
        (8, "index.example"),
        (10, "lbmethod"),
        (13, "another balancer"),
        (14, "stickysession"),
        (15, "ProxyPreserveHost"),
    ] {
        assert!(has_note(&i, line, word), "line {line}: {word}\n{:?}", i.notes);
    }
    assert_eq!(
        OperatorConfig::read(&read_apache(APACHE, Some("other")).unwrap().file).unwrap().node.len(),
        1
    );
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
fn mod_jk_workers_are_imported_as_a_valid_file() {
    let i = read_jk(JK, None).unwrap();
    let o = OperatorConfig::read(&i.file).unwrap();
    let nodes: Vec<String> = o.node.iter().map(|n| format!("{} {} {}", n.id, n.address, n.zone)).collect();
    let expected = ["a 127.0.0.21:8109 kochi-dc", "b 127.0.0.22:8109 default", "c 127.0.0.23:8009 default"];
    assert_eq!(nodes, expected);
    assert_eq!((o.node[1].weight, o.node[2].standing), (2.0, AdminState::Disabled));
    assert_eq!((o.name.as_str(), o.class[0].deadline_ms), ("lb", 9000));
    for (line, word) in [(5, "socket_timeout"), (18, "sticky_session"), (19, "status")] {
        assert!(has_note(&i, line, word), "line {line}: {word}\n{:?}", i.notes);
    }
    assert!(read_jk(JK, Some("none")).is_err() && read_jk("worker.list=", None).is_err());
}

#[test]
fn routing_settings_of_apache_members_are_imported() {
    let text = r#"Define POOL scores
Define NET 127.0.0
UnDefine NOTHING
<Proxy balancer://${POOL}>
    BalancerMember http://${NET}.1 route=a loadfactor=2.5 redirect=b
    BalancerMember http://${NET}.2 route=b status=+H-D retry=0
    BalancerMember http://${NET}.3 route=B status=R lbset=1 retry=30
    BalancerMember http://${NET}.4 route=d status=DS
    BalancerMember http://${NET}.5 route=d status=N redirect=nobody
    BalancerMember http://${NET}.6 status=I loadfactor=-1
    BalancerMember http://${ELSEWHERE}.7
</Proxy>
"#;
    let i = read_apache(text, None).unwrap();
    let o = OperatorConfig::read(&i.file).unwrap();
    assert_eq!(o.name, "scores");
    let ids: Vec<&str> = o.node.iter().map(|n| n.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "B-2", "d", "d-2", "127.0.0.6"]);
    let n = &o.node;
    assert_eq!((n[0].weight, n[0].redirect.as_deref()), (2.5, Some("b")));
    assert_eq!((n[1].spare, n[1].standing, n[1].retry_ms), (Spare::Standby, AdminState::Active, 0));
    assert_eq!((n[2].spare, n[2].set, n[2].retry_ms), (Spare::Hot, 1, 30_000));
    assert_eq!((n[3].standing, n[4].standing), (AdminState::Stopped, AdminState::Draining));
    for (line, word) in [
        (7, "differs only in case from b in line 6"),
        (9, "has the name of d in line 8"),
        (9, "nobody"),
        (10, "status 'I'"),
        (10, "loadfactor=-1"),
        (11, "ELSEWHERE"),
    ] {
        assert!(has_note(&i, line, word), "line {line}: {word}\n{:?}", i.notes);
    }
    // The same source gives the same result.
    assert_eq!(read_apache(text, None).unwrap(), i);
}

#[test]
fn routing_settings_of_mod_jk_workers_are_imported() {
    let text = "worker.list=lb
worker.template.type=ajp13
worker.template.lbfactor=4
worker.near.reference=worker.template
worker.near.host=127.0.0.1
worker.near.redirect=far
worker.far.reference=worker.template
worker.far.host=127.0.0.2
worker.far.distance=2
worker.far.activation=d
worker.off.host=127.0.0.3
worker.off.activation=S
worker.old.host=127.0.0.4
worker.old.disabled=True
worker.odd.host=127.0.0.5
worker.odd.activation=asleep
worker.lb.type=lb
worker.lb.balance_workers=near far off old odd
worker.lb.recover_time=20
";
    let i = read_jk(text, None).unwrap();
    let o = OperatorConfig::read(&i.file).unwrap();
    let n = &o.node;
    assert_eq!((n[0].weight, n[0].redirect.as_deref(), n[0].retry_ms), (4.0, Some("far"), 20_000));
    assert_eq!((n[1].weight, n[1].set, n[1].standing), (4.0, 2, AdminState::Disabled));
    let states: Vec<AdminState> = n[2..].iter().map(|n| n.standing).collect();
    assert_eq!(states, [AdminState::Stopped, AdminState::Disabled, AdminState::Active]);
    assert!(has_note(&i, 15, "asleep"), "{:?}", i.notes);
    assert!(
        i.notes.iter().all(|n| !n.text.contains("template")),
        "a template is reported as unused: {:?}",
        i.notes
    );
}

#[test]
fn malformed_sources_do_not_panic() {
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
        "Define",
        "Define A ${A}\nBalancerMember balancer://${A} http://127.0.0.1 status=+ loadfactor= lbset=-1 retry=x",
        "BalancerMember balancer://x http://127.0.0.1 redirect= route=",
    ] {
        let _ = (read_apache(text, None), read_jk(text, None));
    }
}
