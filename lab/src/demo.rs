//! A demonstration: stand-in nodes, a broker, and one search over each of the catalogue's protocols.

use crate::standins::{NodeScript, WireProtocol, node, read_apdu, read_http};
use pebbleturn::config::OperatorConfig;
use pebbleturn::frontends::catalogue::apdu::*;
use pebbleturn::frontends::catalogue::marc::Record;
use pebbleturn::frontends::catalogue::search::{Clause, Search};
use pebbleturn::frontends::catalogue::{self, rpn};
use std::error::Error;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// The operator's configuration file of the demonstration, with these nodes.
pub fn operator_file(nodes: &[(SocketAddr, WireProtocol)]) -> String {
    let mut text = String::from(
        "name = \"demo\"\nzone = \"here\"\n[partitions]\ncount = 3\ncells = 3\nholders = 2\n\
         database = \"part-{partition}\"\n[[class]]\nname = \"lookup\"\naim_ms = 2000\ndeadline_ms = 4000\n\
         [[database]]\nname = \"scores\"\nclass = \"lookup\"\n\
         [[listener]]\nprotocol = \"sru\"\nlisten = \"127.0.0.1:0\"\n\
         [[listener]]\nprotocol = \"z3950\"\nlisten = \"127.0.0.1:0\"\n",
    );
    for (n, (addr, wire)) in nodes.iter().enumerate() {
        let protocol = if *wire == WireProtocol::Sru { "sru" } else { "z3950" };
        text += &format!(
            "[[node]]\nid = \"node-{n}\"\nprotocol = \"{protocol}\"\naddress = \"{addr}\"\nzone = \"here\"\ncell = {n}\n"
        );
    }
    text
}

/// Runs the demonstration and prints what a client receives.
pub fn run() -> Result<(), Box<dyn Error + Send + Sync>> {
    let script = NodeScript::default();
    let wires = [WireProtocol::Sru, WireProtocol::Z3950, WireProtocol::Sru];
    let nodes: Vec<(SocketAddr, WireProtocol)> =
        wires.iter().enumerate().map(|(n, w)| (node(*w, n, script.clone()), *w)).collect();
    println!("three stand-in nodes: {nodes:?}");
    let operator = OperatorConfig::read(&operator_file(&nodes))?;
    let (sender, receiver) = std::sync::mpsc::channel();
    let broker = std::thread::spawn(move || -> Result<(), pebbleturn::server::BrokerError> {
        let (mut broker, addrs) = catalogue::broker(operator)?;
        let _ = sender.send((addrs, broker.shutdown_handle()?));
        broker.run()
    });
    let (addrs, shutdown_handle) = receiver.recv()?;
    println!("a broker: SRU at {}, Z39.50 at {}\n", addrs[0], addrs[1]);
    println!("SRU: GET /scores?query=dc.title=raga\n{}\n", search_over_sru(addrs[0])?);
    println!("Z39.50: Search \"raga\" on attribute 4, then Present\n{}", search_over_z3950(addrs[1])?);
    shutdown_handle.wake()?;
    broker.join().map_err(|_| "the broker's thread panicked")??;
    Ok(())
}

/// Status line and body of the response to a search.
pub fn search_over_sru(addr: SocketAddr) -> Result<String, Box<dyn Error + Send + Sync>> {
    let mut stream = TcpStream::connect(addr)?;
    let target = "/scores?version=1.1&operation=searchRetrieve&maximumRecords=9&query=dc.title%3Draga";
    write!(stream, "GET {target} HTTP/1.1\r\nHost: demo\r\n\r\n")?;
    let (head, body) = read_http(&mut stream).ok_or("no answer over SRU")?;
    let status = head.lines().next().unwrap_or_default();
    Ok(format!("{status}\n{body}"))
}

/// The request that opens a session.
pub fn init_request() -> Apdu {
    Apdu::InitRequest(InitRequest {
        reference: None,
        versions: VERSIONS.into(),
        options: OPTIONS.into(),
        preferred_size: 1 << 16,
        largest_record: 1 << 16,
    })
}

/// A search of the database `scores` whose response contains no records.
pub fn search_request() -> Apdu {
    Apdu::SearchRequest(SearchRequest {
        reference: None,
        small_upper: 0,
        large_lower: 1,
        medium_number: 0,
        replace: true,
        result_set: "1".into(),
        databases: vec!["scores".into()],
        element_set: None,
        syntax: Some(USMARC.into()),
        query: Query::Rpn(rpn::write(&Search::Clause(Clause::new(4, "raga")))),
    })
}

/// The number of hits of a search, and a line for each record.
pub fn search_over_z3950(addr: SocketAddr) -> Result<String, Box<dyn Error + Send + Sync>> {
    let mut stream = TcpStream::connect(addr)?;
    let mut exchange = |apdu: Apdu| -> Result<Apdu, Box<dyn Error + Send + Sync>> {
        stream.write_all(&apdu.encode())?;
        read_apdu(&mut stream).ok_or_else(|| "no answer over Z39.50".into())
    };
    exchange(init_request())?;
    let Apdu::SearchResponse(found) = exchange(search_request())? else {
        return Err("no SearchResponse".into());
    };
    let present = PresentRequest {
        reference: None,
        result_set: "1".into(),
        start: 1,
        number: found.count,
        element_set: None,
        syntax: Some(USMARC.into()),
        complex: false,
    };
    let Apdu::PresentResponse(PresentResponse { records: Records::Some(records), .. }) =
        exchange(Apdu::PresentRequest(present))?
    else {
        return Err("no records".into());
    };
    let mut out = format!("{} hits", found.count);
    for r in records {
        let Retrieved::Record { bytes, .. } = r else { continue };
        out += &format!("\n{:?}", Record::from_iso2709(&bytes).map_err(|e| format!("{e:?}"))?.fields);
    }
    Ok(out)
}
