//! Settings that some deployments have and others lack.

use super::*;
use pebbleturn_lab::standins::*;
use std::io::Write;

/// A query counts against the quota of its owner. The worth of queries over quota is negative here, so that
/// they are rejected whatever the load.
#[test]
fn query_counts_against_the_quota_of_its_tenant() {
    let script = NodeScript::default();
    let nodes: Vec<_> =
        (0..3).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let tenants = r#""over_share_worth":-30.0,"tenants":[{"name":"small","quota_per_s":0.000001},{"name":"large","quota_per_s":1000.0}],"tick_ns""#;
    let config = platform_config(&nodes, 100, None).replace(r#""tick_ns""#, tenants);
    let s = start_platform_broker(&config, script);
    let ask = |n: usize, owner: &str| {
        let mut c = s.client();
        let body = r#"{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"t"}"#;
        write!(
            c.stream,
            "POST /api HTTP/1.1\r\nReq-Id: t-{n}\r\nReq-Kind: most\r\n{owner}Req-Deadline: 9000m\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .unwrap();
        let (head, _) = read_http(&mut c.stream).unwrap();
        head.split(' ').nth(1).unwrap().to_owned()
    };
    assert_eq!(ask(1, "Req-Owner: large\r\n"), "200");
    assert_eq!(ask(2, "Req-Owner: small\r\n"), "503");
    assert_eq!(ask(3, "Req-Owner: large\r\n"), "200");
    // Queries without a tenant, or of an unknown one, have no quota.
    assert_eq!(ask(4, ""), "200");
    assert_eq!(ask(5, "Req-Owner: unheard-of\r\n"), "200");
}
