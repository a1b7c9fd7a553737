//! A discovery service that treats each call as a script says, and records what its list counts as reported.

use super::judge::Reports;
use pebbleturn_lab::standins::{listen, read_http};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What becomes of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A watch as it should be.
    Sound,
    /// The same, with an answer that begins so many milliseconds late, as in a queue.
    Late(u64),
    /// One list, then nothing: the connection stays open.
    SilentAfterList,
    /// One list, then the end of the watch after so many milliseconds, whatever there is to report.
    EndedAfterList(u64),
    /// One list, and a watch that ends, or is reset, in place of reporting the drain: that counts as written when it
    /// was made, so many milliseconds earlier.
    EndedInPlaceOfReport(u64),
    ResetInPlaceOfReport(u64),
    /// A watch that reports the drain, and ends so many milliseconds later.
    EndedAfterReport(u64),
    /// The connection is reset at once.
    Reset,
    /// Nothing is ever answered.
    Unanswered,
    /// 503 after 2 s, as from a queue that is too long.
    Busy,
    /// The head of an answer, and then nothing.
    HeadOnly,
    /// Half of a list, then a reset.
    CutInList,
    /// Half of a list, then nothing.
    StalledInList,
    /// A list in pieces, so many milliseconds apart.
    Pieces(u64),
    /// A list in pieces, so many milliseconds apart, each of which ends within a number.
    CutInNumbers(u64),
    /// 503 at once, as from a service that is down behind its address.
    RefusedAtOnce,
    /// The whole list as it was before the drain, with its version of then, and no word of a change: an instance that lags
    /// behind.
    OlderList,
    /// The changes since the version asked for, of an instance that counts its versions anew: none. The drain comes as
    /// a change of its own.
    CountsAnew,
}

/// A time in which discovery can't be reached.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from: Duration,
    pub until: Duration,
    /// What calls meet meanwhile.
    pub call: Call,
}

impl Outage {
    fn is_on(&self, now: Duration) -> bool {
        (self.from..self.until).contains(&now)
    }
}

/// Time in a queue after which a call is refused.
const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Time between two empty lines of a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How often a watch looks whether there is something to report.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than any scenario.
const FOREVER: Duration = Duration::from_secs(60);
/// Pieces in which a list is written.
const PIECES: usize = 5;

/// The list: node 1 drains once that was said.
#[derive(Debug)]
pub struct Directory {
    pub servers: Vec<SocketAddr>,
    pub drained: Mutex<bool>,
    pub reports: Reports,
}

/// The version before the drain, and the one with it.
const VERSIONS: (u64, u64) = (7, 8);

/// How a call of `CountsAnew` numbers the list.
const VERSIONS_COUNTED_ANEW: (u64, u64) = (2, 3);
/// Time after a new configuration in which the discovery of the old one closes its connections.
const CLOSES_AFTER_MOVE: Duration = Duration::from_millis(1500);

impl Directory {
    /// A list of these servers, none of which drains.
    pub fn new(servers: Vec<SocketAddr>) -> Directory {
        Directory { servers, drained: Mutex::default(), reports: Reports::default() }
    }

    pub fn drain(&self) {
        let mut drained = self.drained.lock().unwrap();
        *drained = true;
        self.reports.changed(Instant::now());
    }

    /// The list in discovery's form. As real ones do, a whole list leaves out who drains.
    fn list(&self) -> (String, bool) {
        let drained = *self.drained.lock().unwrap();
        (self.list_as_of(drained), drained)
    }

    /// The whole list before the drain, or with it.
    fn list_as_of(&self, drained: bool) -> String {
        let named = self.servers.iter().enumerate().filter(|(n, _)| !(drained && *n == 1));
        let lines: Vec<String> = named
            .map(|(n, addr)| {
                format!(
                    r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"k","cell":{n},"state":"Ready","weight":1.0,"started_ms":0}}"#
                )
            })
            .collect();
        let version = if drained { VERSIONS.1 } else { VERSIONS.0 };
        format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n", lines.join(","))
    }
}

/// A discovery service at an address of its own.
pub struct Service {
    pub addr: SocketAddr,
    state: Arc<State>,
}

/// Whether a service can be reached.
struct State {
    started: Instant,
    outage: Option<Outage>,
    moved_away: Mutex<Option<Instant>>,
}

impl State {
    /// What calls meet now, if the service can't be reached.
    fn fault(&self) -> Option<Call> {
        if self.moved_away.lock().unwrap().is_some() {
            return Some(Call::Reset);
        }
        self.outage.filter(|outage| outage.is_on(self.started.elapsed())).map(|outage| outage.call)
    }

    /// Whether watches end now.
    fn ends_watches(&self) -> bool {
        match *self.moved_away.lock().unwrap() {
            Some(at) => at.elapsed() > CLOSES_AFTER_MOVE,
            None => self.outage.is_some_and(|outage| outage.is_on(self.started.elapsed())),
        }
    }
}

impl Service {
    /// Starts it: each call takes the next step of the script, and is sound once that is over. Calls in an outage
    /// take no step.
    pub fn start(directory: Arc<Directory>, script: Vec<Call>, outage: Option<Outage>) -> Service {
        let state = Arc::new(State { started: Instant::now(), outage, moved_away: Mutex::default() });
        let (served, calls) = (state.clone(), AtomicUsize::new(0));
        let addr = listen(move |mut stream| {
            let next = || script.get(calls.fetch_add(1, Ordering::SeqCst)).copied().unwrap_or(Call::Sound);
            let call = served.fault().unwrap_or_else(next);
            if call == Call::Reset {
                directory.reports.call_failed(Instant::now());
                return reset(&stream);
            }
            read_http(&mut stream)?;
            serve(stream, call, &Watched { directory: &directory, service: &served })
        });
        Service { addr, state }
    }

    /// A new configuration names another service: this one takes no new call, and ends its watches a little later.
    pub fn move_away(&self) {
        *self.state.moved_away.lock().unwrap() = Some(Instant::now());
    }
}

/// What a watch looks at.
struct Watched<'a> {
    directory: &'a Directory,
    service: &'a State,
}

fn serve(mut stream: TcpStream, call: Call, watched: &Watched) -> Option<()> {
    let directory = watched.directory;
    let fails = |after: Duration| {
        std::thread::sleep(after);
        directory.reports.call_failed(Instant::now());
    };
    match call {
        Call::Sound => watch(stream, watched),
        Call::Late(ms) => {
            std::thread::sleep(Duration::from_millis(ms));
            watch(stream, watched)
        }
        Call::SilentAfterList => {
            head(&mut stream)?;
            write_list(&mut stream, directory, Duration::ZERO)?;
            directory.reports.fell_silent(Instant::now());
            keep_open(stream)
        }
        Call::EndedAfterList(ms) => {
            head(&mut stream)?;
            write_list(&mut stream, directory, Duration::ZERO)?;
            fails(Duration::from_millis(ms));
            stream.write_all(b"0\r\n\r\n").ok()
        }
        Call::EndedAfterReport(ms) => {
            head(&mut stream)?;
            write_list(&mut stream, directory, Duration::ZERO)?;
            while !directory.list().1 {
                std::thread::sleep(LOOK_INTERVAL);
            }
            write_list(&mut stream, directory, Duration::ZERO)?;
            std::thread::sleep(Duration::from_millis(ms));
            stream.write_all(b"0\r\n\r\n").ok()
        }
        Call::EndedInPlaceOfReport(ms) => {
            list_and_lost_report(&mut stream, directory, Duration::from_millis(ms))?;
            stream.write_all(b"0\r\n\r\n").ok()
        }
        Call::ResetInPlaceOfReport(ms) => {
            list_and_lost_report(&mut stream, directory, Duration::from_millis(ms))?;
            reset(&stream)
        }
        Call::Reset => reset(&stream),
        Call::Unanswered => {
            fails(Duration::ZERO);
            keep_open(stream)
        }
        Call::Busy => {
            fails(QUEUE_LIMIT);
            write!(stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()
        }
        Call::HeadOnly => {
            fails(Duration::ZERO);
            head(&mut stream)?;
            keep_open(stream)
        }
        Call::CutInList => {
            write_half(&mut stream, directory)?;
            // What was written arrives before the reset does.
            std::thread::sleep(LOOK_INTERVAL);
            reset(&stream)
        }
        Call::StalledInList => {
            write_half(&mut stream, directory)?;
            keep_open(stream)
        }
        Call::Pieces(ms) => {
            head(&mut stream)?;
            write_list(&mut stream, directory, Duration::from_millis(ms))?;
            report_changes(stream, watched, true)
        }
        Call::CutInNumbers(ms) => {
            head(&mut stream)?;
            let (text, drained) = directory.list();
            directory.reports.written(Instant::now(), drained);
            for piece in text.split_inclusive("1.") {
                chunk(&mut stream, piece)?;
                std::thread::sleep(Duration::from_millis(ms));
            }
            report_changes(stream, watched, drained)
        }
        Call::RefusedAtOnce => {
            fails(Duration::ZERO);
            write!(stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()
        }
        Call::OlderList => {
            head(&mut stream)?;
            chunk(&mut stream, &directory.list_as_of(false))?;
            report_changes(stream, watched, true)
        }
        Call::CountsAnew => {
            head(&mut stream)?;
            chunk(&mut stream, &changes(VERSIONS_COUNTED_ANEW.0, ""))?;
            while !directory.list().1 {
                std::thread::sleep(LOOK_INTERVAL);
            }
            directory.reports.written(Instant::now(), true);
            let drained =
                r#"{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"k","cell":1,"state":"Terminating"}"#;
            chunk(&mut stream, &changes(VERSIONS_COUNTED_ANEW.1, drained))?;
            report_changes(stream, watched, true)
        }
    }
}

/// Changes of the list, as a line.
fn changes(version: u64, servers: &str) -> String {
    format!("{{\"version\":{version},\"full\":false,\"servers\":[{servers}]}}\n")
}

pub fn head(stream: &mut TcpStream) -> Option<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()
}

pub fn chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).ok()
}

/// Writes the list in one piece, or in several with this time between them.
fn write_list(stream: &mut TcpStream, directory: &Directory, between: Duration) -> Option<()> {
    let (text, drained) = directory.list();
    directory.reports.written(Instant::now(), drained);
    if between.is_zero() {
        return chunk(stream, &text);
    }
    for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES)) {
        chunk(stream, std::str::from_utf8(piece).unwrap())?;
        std::thread::sleep(between);
    }
    Some(())
}

fn write_half(stream: &mut TcpStream, directory: &Directory) -> Option<()> {
    head(stream)?;
    let (text, drained) = directory.list();
    directory.reports.written(Instant::now(), drained);
    chunk(stream, &text[..text.len() / 2])
}

/// Writes the list as it is; the report of the drain is written too, but does not arrive.
fn list_and_lost_report(stream: &mut TcpStream, directory: &Directory, stands_on: Duration) -> Option<()> {
    head(stream)?;
    write_list(stream, directory, Duration::ZERO)?;
    while !directory.list().1 {
        std::thread::sleep(LOOK_INTERVAL);
    }
    directory.reports.written(Instant::now(), true);
    std::thread::sleep(stands_on);
    Some(())
}

fn watch(mut stream: TcpStream, watched: &Watched) -> Option<()> {
    head(&mut stream)?;
    let (_, drained) = watched.directory.list();
    write_list(&mut stream, watched.directory, Duration::ZERO)?;
    report_changes(stream, watched, drained)
}

/// Reports the drain once it is there, and empty lines meanwhile.
fn report_changes(mut stream: TcpStream, watched: &Watched, mut reported: bool) -> Option<()> {
    let mut last_line = Instant::now();
    loop {
        std::thread::sleep(LOOK_INTERVAL);
        if watched.service.ends_watches() {
            return Some(());
        }
        if !reported && watched.directory.list().1 {
            reported = true;
            write_list(&mut stream, watched.directory, Duration::ZERO)?;
            last_line = Instant::now();
        } else if last_line.elapsed() >= HEARTBEAT_INTERVAL {
            chunk(&mut stream, "\n")?;
            last_line = Instant::now();
        }
    }
}

fn keep_open(stream: TcpStream) -> Option<()> {
    std::thread::sleep(FOREVER);
    drop(stream);
    None
}

/// A close that the peer sees as a reset.
fn reset(stream: &TcpStream) -> Option<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok()
}
