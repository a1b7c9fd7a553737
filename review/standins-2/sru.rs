//! Stand-ins of the catalogue: index nodes and a client that speak SRU, and the operator's file.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A search that a node has received.
#[derive(Clone, Debug)]
pub struct Search {
    /// When its first byte came.
    pub at: u64,
    pub node: usize,
    pub term: String,
}

/// How a node treats a search.
#[derive(Clone, Copy, Debug, Default)]
pub struct Treatment {
    /// Time until the answer, ms.
    pub delay: u64,
    /// Whether an interim answer (102) is sent at once, as HTTP allows at any time.
    pub interim: bool,
}

pub type Treat = Arc<dyn Fn(usize, u64) -> Treatment + Send + Sync>;

/// The index nodes: all searches that they received, in order.
pub struct Nodes {
    pub addrs: Vec<SocketAddr>,
    pub searches: Arc<Mutex<Vec<Search>>>,
}

/// Starts nodes. Each connection serves one request after another, in order. Each search has three hits, whose
/// control field 001 names the term that was searched for.
pub fn nodes(count: usize, record: &Arc<Record>, treat: Treat) -> Nodes {
    let searches = Arc::new(Mutex::new(Vec::new()));
    let mut addrs = Vec::new();
    for node in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a node");
        addrs.push(listener.local_addr().unwrap());
        let (record, treat, searches) = (record.clone(), treat.clone(), searches.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, treat, searches) = (record.clone(), treat.clone(), searches.clone());
                thread::spawn(move || serve(node, stream, &record, &treat, &searches));
            }
        });
    }
    Nodes { addrs, searches }
}

fn serve(
    node: usize,
    mut stream: TcpStream,
    record: &Record,
    treat: &Treat,
    searches: &Mutex<Vec<Search>>,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let mut first_byte = (!buffer.is_empty()).then(|| record.now());
        let end = loop {
            if let Some(end) = find(&buffer, b"\r\n\r\n") {
                break end;
            }
            let mut bytes = [0; 8192];
            let n = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
            first_byte.get_or_insert_with(|| record.now());
            buffer.extend_from_slice(&bytes[..n]);
        };
        let head = String::from_utf8_lossy(&buffer[..end]).to_string();
        buffer.drain(..end + 4);
        let target = head.split(' ').nth(1)?.to_owned();
        let (path, query) = target.split_once('?')?;
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.clone().find(|(n, _)| *n == name).map(|(_, v)| percent_decode(v)).unwrap_or_default()
        };
        let cql = value("query");
        let term = cql.split('"').nth(1).unwrap_or("?").to_owned();
        let (start, maximum) = (value("startRecord"), value("maximumRecords"));
        let (start, maximum) = (start.parse().unwrap_or(1), maximum.parse().unwrap_or(0));
        let partition = path.trim_start_matches('/').to_owned();
        let at = first_byte.unwrap_or_else(|| record.now());
        searches.lock().unwrap().push(Search { at, node, term: term.clone() });
        record.note_at(at, format!("ran: node {node} received the search {term} in {partition}"));
        let treatment = treat(node, at);
        if treatment.interim {
            record.note(format!("sent: node {node} sent 102 for {term} in {partition}"));
            stream.write_all(b"HTTP/1.1 102 Processing\r\n\r\n").ok()?;
        }
        thread::sleep(Duration::from_millis(treatment.delay));
        let body = answer(&term, &partition, start, maximum);
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).ok()?;
        record.note(format!("sent: node {node} answered {term} in {partition}"));
    }
}

const HITS: u64 = 3;

fn answer(term: &str, partition: &str, start: u64, maximum: u64) -> String {
    let records: String = (start..=HITS)
        .take(maximum as usize)
        .map(|n| {
            format!(
                "<record><recordSchema>info:srw/schema/1/marcxml-v1.1</recordSchema><recordPacking>xml</recordPacking>\
                 <recordData><record xmlns=\"http://www.loc.gov/MARC21/slim\"><leader>00000nam a2200000 a 4500</leader>\
                 <controlfield tag=\"001\">{term}/{partition}/{n}</controlfield></record></recordData>\
                 <recordPosition>{n}</recordPosition></record>"
            )
        })
        .collect();
    let records = if records.is_empty() { records } else { format!("<records>{records}</records>") };
    format!(
        "<?xml version=\"1.0\"?><searchRetrieveResponse xmlns=\"http://www.loc.gov/zing/srw/\">\
         <version>1.1</version><numberOfRecords>{HITS}</numberOfRecords>{records}</searchRetrieveResponse>"
    )
}

/// The target of a search for a term.
pub fn target(term: &str) -> String {
    target_in("scores", term)
}

/// The target of a search for a term in a database.
pub fn target_in(database: &str, term: &str) -> String {
    format!(
        "/{database}?version=1.1&operation=searchRetrieve&query=dc.title%20%3D%20%22{term}%22&maximumRecords=10"
    )
}

/// The terms that the records of an answer name, without repetitions.
pub fn terms(body: &str) -> Vec<String> {
    let fields = body.split("tag=\"001\">").skip(1).filter_map(|rest| rest.split('<').next());
    let mut terms: Vec<String> = fields.filter_map(|f| f.split('/').next()).map(str::to_owned).collect();
    terms.sort();
    terms.dedup();
    terms
}

/// The operator's file: limits, classes and databases as in `deploy/catalogue.toml`, one listener for SRU.
pub fn operator_file(
    client: SocketAddr,
    nodes: &[SocketAddr],
    partitions: u32,
    holders: u32,
    further: &str,
) -> String {
    let entries: String = nodes
        .iter()
        .enumerate()
        .map(|(n, addr)| {
            format!(
                "[[node]]\nid = \"node-{n}\"\nprotocol = \"sru\"\naddress = \"{addr}\"\nzone = \"kochi-dc\"\ncell = {n}\n"
            )
        })
        .collect();
    format!(
        "name = \"kochi-catalogue\"\nzone = \"kochi-dc\"\nbrokers = 2\n{further}\n\
         [limits]\nmax_open = 400\nsockets = 1024\nmax_attempts = 3\nsecond_copies = true\n\
         max_retry_after_ms = 2000\ntick_ms = 5\nrecords = 50\npage = 8\nresult_sets = 16\nsession_idle_s = 300\n\
         dial_timeout_ms = 250\nconnections_per_node = 4\nnode_idle_s = 30\n\
         [partitions]\ncount = {partitions}\ncells = {}\nholders = {holders}\ndatabase = \"part-{{partition}}\"\n\
         [[class]]\nname = \"score-lookup\"\naim_ms = 2000\ndeadline_ms = 4000\nworth = 1.0\nlate_worth = 0.3\nfloor = 1.0\n\
         [[class]]\nname = \"catalogue-search\"\naim_ms = 3000\ndeadline_ms = 7500\nworth = 2.0\nlate_worth = 0.3\nfloor = 1.0\n\
         [[database]]\nname = \"scores\"\nclass = \"score-lookup\"\n[[database]]\nname = \"all\"\nclass = \"catalogue-search\"\n\
         [[listener]]\nprotocol = \"sru\"\nlisten = \"{client}\"\n{entries}",
        nodes.len()
    )
}
