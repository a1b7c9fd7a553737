// Case 1: a node's answer that comes twice is given to another client's search.

#[path = "../standins/common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const NODES: usize = 12;
const CLIENTS: usize = 12;
const RUN_MS: u64 = 20_000;
/// Work of one search in one partition at a node with two cores.
const WORK_MS: [u64; 2] = [120, 170];
/// One in so many answers of the first node, one of twelve, comes twice.
const TWICE_ONE_IN: u64 = 10;

/// A node that answers each search with up to three records, which name the search and the partition.
fn node(number: usize, record: Record, twice: bool, sent_twice: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let cores = Arc::new(Cores::new(2));
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let (cores, record, sent_twice) = (cores.clone(), record.clone(), sent_twice.clone());
            std::thread::spawn(move || {
                let mut numbers = Numbers(0x9e37_79b9 + (number * 1000 + n) as u64);
                serve(stream, number, &record, &cores, &mut numbers, twice, &sent_twice)
            });
        }
    });
    addr
}

fn serve(
    mut stream: TcpStream,
    number: usize,
    record: &Record,
    cores: &Cores,
    numbers: &mut Numbers,
    twice: bool,
    sent_twice: &AtomicUsize,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    loop {
        let request = read_http(&mut stream)?;
        let target = request.first.split(' ').nth(1)?.to_owned();
        let partition = target.strip_prefix("/part-")?.split('?').next()?.to_owned();
        let query = parameter(&target, "query")?;
        // The search's term, as the broker writes it: cql.serverChoice = "term".
        let term = query.split('"').nth(1)?.to_owned();
        cores.work(WORK_MS[0] + numbers.below(WORK_MS[1] - WORK_MS[0]));
        let wanted: usize = parameter(&target, "maximumRecords")?.parse().ok()?;
        let texts: Vec<String> = (1..=wanted.min(3)).map(|n| format!("{term}/{partition}/{n}")).collect();
        let answer = sru_response(3, &texts);
        // Nothing else waits on this connection: the broker sends one search at a time on each.
        let again = twice && numbers.below(TWICE_ONE_IN) == 0;
        if again {
            sent_twice.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("node {number}: answer to {term}, partition {partition}, and a second copy"));
            stream.write_all(&[answer.clone(), answer].concat()).ok()?;
        } else {
            record.line(&format!("node {number}: answer to {term}, partition {partition}"));
            stream.write_all(&answer).ok()?;
        }
    }
}

/// The outcome counts of the clients.
#[derive(Default)]
struct Counts {
    asked: AtomicUsize,
    served: AtomicUsize,
    other: AtomicUsize,
    foreign: AtomicUsize,
}

fn client(number: usize, addr: SocketAddr, record: Record, counts: Arc<Counts>) {
    let mut numbers = Numbers(77 + number as u64);
    let mut stream: Option<TcpStream> = None;
    let mut n = 0;
    while record.ms() < RUN_MS {
        n += 1;
        let term = format!("c{number}q{n}");
        let mut connection = match stream.take().or_else(|| TcpStream::connect(addr).ok()) {
            Some(connection) => connection,
            None => continue,
        };
        let _ = connection.set_read_timeout(Some(Duration::from_secs(6)));
        // Three in four name a composition and go to 4 partitions, the others to all 24.
        let query = if n % 4 == 0 { term.clone() } else { format!("music.compositionId%20exact%20{term}") };
        let request = format!(
            "GET /scores?version=1.1&operation=searchRetrieve&query={query}&maximumRecords=6 HTTP/1.1\r\n\
             Host: catalogue\r\n\r\n"
        );
        record.line(&format!("client {number}: search {term}"));
        counts.asked.fetch_add(1, Ordering::SeqCst);
        if connection.write_all(request.as_bytes()).is_err() {
            continue;
        }
        let Some(answer) = read_http(&mut connection) else {
            record.line(&format!("client {number}: {term}: no answer"));
            counts.other.fetch_add(1, Ordering::SeqCst);
            continue;
        };
        let texts = record_texts(&answer.body);
        let foreign: Vec<&String> = texts.iter().filter(|t| t.split('/').next() != Some(&term)).collect();
        if !answer.first.contains(" 200") {
            counts.other.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("client {number}: {term}: {}", answer.first));
        } else if foreign.is_empty() {
            counts.served.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("client {number}: {term}: {}, {} records", answer.first, texts.len()));
        } else {
            counts.foreign.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("client {number}: {term}: BROKEN: records of other searches: {foreign:?}"));
        }
        if !answer.head.to_ascii_lowercase().contains("connection: close") {
            stream = Some(connection);
        }
        sleep(200 + numbers.below(400));
    }
}

fn main() {
    let args = args();
    let record = args.record.clone();
    let sent_twice = Arc::new(AtomicUsize::new(0));
    let nodes: Vec<SocketAddr> = (0..NODES)
        .map(|n| node(n, record.clone(), args.trouble && n == 0, sent_twice.clone()))
        .collect();
    let listen = free_addrs(1)[0];
    // The deployment of the brief on loopback addresses: 12 nodes that speak SRU, 24 partitions, each held by 4
    // nodes in a ring. All limits are the defaults.
    let mut file = format!(
        "name = \"kochi-catalogue\"\nzone = \"kochi-dc\"\nbrokers = 2\n[partitions]\ncount = 24\ncells = {NODES}\n\
         holders = 4\ndatabase = \"part-{{partition}}\"\nkey_index = \"music.compositionid\"\nper_key = 4\n\
         [[class]]\nname = \"score-lookup\"\naim_ms = 2000\ndeadline_ms = 4000\nworth = 1.0\nlate_worth = 0.3\n\
         floor = 1.0\n[[database]]\nname = \"scores\"\nclass = \"score-lookup\"\n\
         [[listener]]\nprotocol = \"sru\"\nlisten = \"{listen}\"\n"
    );
    for (n, addr) in nodes.iter().enumerate() {
        let zone = if n % 2 == 0 { "kochi-dc" } else { "thrissur-dc" };
        file += &format!(
            "[[node]]\nid = \"node-{n}\"\nprotocol = \"sru\"\naddress = \"{addr}\"\nzone = \"{zone}\"\ncell = {n}\n"
        );
    }
    let path = format!("{}/catalogue.toml", args.tmp);
    std::fs::write(&path, file).unwrap();
    let mut broker = Broker::start(&args, &format!("serve catalogue {path}"), &[], "broker.log");
    std::fs::write(format!("{}/broker.pid", args.tmp), broker.0.id().to_string()).unwrap();
    wait_ready(listen, &record);
    record.line("the broker is ready");
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, counts) = (record.clone(), counts.clone());
            std::thread::spawn(move || client(n, listen, record, counts))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if broker.has_ended() {
        record.say("the broker has ended by itself");
    }
    drop(broker);
    let count = |n: &AtomicUsize| n.load(Ordering::SeqCst);
    let (served, foreign) = (count(&counts.served), count(&counts.foreign));
    record.say(&format!(
        "{} searches: {served} served with their own records, {foreign} with records of other searches, {} \
         refused, failed or without an answer; {} answers came twice",
        count(&counts.asked),
        count(&counts.other),
        count(&sent_twice)
    ));
    if foreign > 0 {
        record.say("BROKEN: lost (a request was served with what was made for another one)");
        std::process::exit(1);
    }
    if served == 0 {
        cannot_run(&record, "nothing was served");
    }
}
