//! A discovery service that handles each call by a script, and records the events from which its list counts
//! as reported.

use super::judge::Reports;
use pebbleturn_lab::standins::{listen, read_http};
use socket2::SockRef;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How discovery handles one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A watch without faults.
    Normal,
    /// The same, with an answer that begins this many milliseconds late, as after waiting in a queue.
    Delayed(u64),
    /// One list, then nothing: the connection stays open.
    SilentAfterList,
    /// One list, then the end of the watch after this many milliseconds, even if there is a change to report.
    EndedAfterList(u64),
    /// One list, and a watch that ends, or is reset, instead of reporting the drain. The report counts as
    /// written when the list changed, this many milliseconds before the end.
    EndedInsteadOfReport(u64),
    ResetInsteadOfReport(u64),
    /// A watch that reports the drain, and ends this many milliseconds later.
    EndedAfterReport(u64),
    /// The connection is reset at once.
    Reset,
    /// The call is never answered.
    Unanswered,
    /// 503 after 2 s, as from an overfull queue.
    Busy,
    /// The head of a response, and then nothing.
    HeadOnly,
    /// Half of a list, then a reset.
    CutInList,
    /// Half of a list, then nothing.
    StalledInList,
    /// A list in pieces, this many milliseconds apart.
    ListInPieces(u64),
    /// A list in pieces, this many milliseconds apart, each of which ends within a number.
    SplitInNumbers(u64),
    /// 503 at once, as from a proxy whose service is down.
    RefusedAtOnce,
    /// The full list from before the drain, with the version of that time, and no change after it: an
    /// instance that lags behind.
    OlderList,
    /// No changes since the requested version, from an instance that restarted its version numbers. The drain
    /// follows as a separate change.
    VersionsRestarted,
}

/// A time in which discovery can't be reached.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub from: Duration,
    pub until: Duration,
    /// How calls are handled meanwhile.
    pub call: Call,
}

impl Outage {
    fn is_on(&self, now: Duration) -> bool {
        (self.from..self.until).contains(&now)
    }
}

/// Time in a queue after which a call is refused.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a list after which a watch sends an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two checks of the list for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than any scenario.
const HOLD_OPEN_TIME: Duration = Duration::from_secs(60);
/// Pieces in which `Call::ListInPieces` writes a list.
const PIECES: usize = 5;

/// The list of servers; server 1 drains once `drain` is called.
#[derive(Debug)]
pub struct Directory {
    pub servers: Vec<SocketAddr>,
    pub drained: Mutex<bool>,
    pub reports: Reports,
}

/// The versions of the list before the drain and with it.
const VERSIONS: (u64, u64) = (7, 8);

/// The same two versions with `Call::VersionsRestarted`.
const RESTARTED_VERSIONS: (u64, u64) = (2, 3);
/// Time from a new configuration until the discovery of the old one closes its watches.
const WATCH_CLOSE_DELAY: Duration = Duration::from_millis(1500);

impl Directory {
    /// A list of these servers, none of which drains.
    pub fn new(servers: Vec<SocketAddr>) -> Directory {
        Directory { servers, drained: Mutex::default(), reports: Reports::default() }
    }

    pub fn drain(&self) {
        let mut drained = self.drained.lock().unwrap();
        *drained = true;
        self.reports.list_changed(Instant::now());
    }

    /// The list as discovery writes it, and whether it contains the drain. As in production, a full list
    /// leaves out a draining server.
    fn list(&self) -> (String, bool) {
        let drained = *self.drained.lock().unwrap();
        (self.list_as_of(drained), drained)
    }

    /// The full list before the drain, or with it.
    fn list_as_of(&self, drained: bool) -> String {
        let listed = self.servers.iter().enumerate().filter(|(n, _)| !(drained && *n == 1));
        let lines: Vec<String> = listed
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

/// A discovery service with its own address.
pub struct ScriptedDiscovery {
    pub addr: SocketAddr,
    availability: Arc<Availability>,
}

/// Whether a service can be reached.
struct Availability {
    started: Instant,
    outage: Option<Outage>,
    retired_at: Mutex<Option<Instant>>,
}

impl Availability {
    /// How calls are handled now, if the service can't be reached.
    fn fault(&self) -> Option<Call> {
        if self.retired_at.lock().unwrap().is_some() {
            return Some(Call::Reset);
        }
        self.outage.filter(|outage| outage.is_on(self.started.elapsed())).map(|outage| outage.call)
    }

    /// Whether watches end now.
    fn ends_watches(&self) -> bool {
        match *self.retired_at.lock().unwrap() {
            Some(at) => at.elapsed() > WATCH_CLOSE_DELAY,
            None => self.outage.is_some_and(|outage| outage.is_on(self.started.elapsed())),
        }
    }
}

impl ScriptedDiscovery {
    /// Starts it: each call takes the next step of the script, and is handled normally once the script is
    /// over. Calls in an outage take no step.
    pub fn start(directory: Arc<Directory>, script: Vec<Call>, outage: Option<Outage>) -> ScriptedDiscovery {
        let availability =
            Arc::new(Availability { started: Instant::now(), outage, retired_at: Mutex::default() });
        let (shared, calls) = (availability.clone(), AtomicUsize::new(0));
        let addr = listen(move |mut stream| {
            let next = || script.get(calls.fetch_add(1, Ordering::SeqCst)).copied().unwrap_or(Call::Normal);
            let call = shared.fault().unwrap_or_else(next);
            if call == Call::Reset {
                directory.reports.call_failed(Instant::now());
                return reset(&stream);
            }
            read_http(&mut stream)?;
            serve(stream, call, &WatchContext { directory: &directory, availability: &shared })
        });
        ScriptedDiscovery { addr, availability }
    }

    /// Called when a new configuration names another service: this one resets new calls, and ends its watches
    /// after `WATCH_CLOSE_DELAY`.
    pub fn retire(&self) {
        *self.availability.retired_at.lock().unwrap() = Some(Instant::now());
    }
}

/// What a watch depends on.
struct WatchContext<'a> {
    directory: &'a Directory,
    availability: &'a Availability,
}

fn serve(mut stream: TcpStream, call: Call, context: &WatchContext) -> Option<()> {
    let directory = context.directory;
    let fail_after = |after: Duration| {
        std::thread::sleep(after);
        directory.reports.call_failed(Instant::now());
    };
    match call {
        Call::Normal => watch(stream, context),
        Call::Delayed(ms) => {
            std::thread::sleep(Duration::from_millis(ms));
            watch(stream, context)
        }
        Call::SilentAfterList => {
            write_head(&mut stream)?;
            write_list(&mut stream, directory, Duration::ZERO)?;
            directory.reports.watch_fell_silent(Instant::now());
            keep_open(stream)
        }
        Call::EndedAfterList(ms) => {
            write_head(&mut stream)?;
            write_list(&mut stream, directory, Duration::ZERO)?;
            fail_after(Duration::from_millis(ms));
            stream.write_all(b"0\r\n\r\n").ok()
        }
        Call::EndedAfterReport(ms) => {
            write_head(&mut stream)?;
            write_list(&mut stream, directory, Duration::ZERO)?;
            while !directory.list().1 {
                std::thread::sleep(POLL_INTERVAL);
            }
            write_list(&mut stream, directory, Duration::ZERO)?;
            std::thread::sleep(Duration::from_millis(ms));
            stream.write_all(b"0\r\n\r\n").ok()
        }
        Call::EndedInsteadOfReport(ms) => {
            write_list_and_lose_report(&mut stream, directory, Duration::from_millis(ms))?;
            stream.write_all(b"0\r\n\r\n").ok()
        }
        Call::ResetInsteadOfReport(ms) => {
            write_list_and_lose_report(&mut stream, directory, Duration::from_millis(ms))?;
            reset(&stream)
        }
        Call::Reset => reset(&stream),
        Call::Unanswered => {
            fail_after(Duration::ZERO);
            keep_open(stream)
        }
        Call::Busy => {
            fail_after(QUEUE_TIMEOUT);
            write!(stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()
        }
        Call::HeadOnly => {
            fail_after(Duration::ZERO);
            write_head(&mut stream)?;
            keep_open(stream)
        }
        Call::CutInList => {
            write_half_list(&mut stream, directory)?;
            // Lets the data arrive before the reset.
            std::thread::sleep(POLL_INTERVAL);
            reset(&stream)
        }
        Call::StalledInList => {
            write_half_list(&mut stream, directory)?;
            keep_open(stream)
        }
        Call::ListInPieces(ms) => {
            write_head(&mut stream)?;
            write_list(&mut stream, directory, Duration::from_millis(ms))?;
            report_changes(stream, context, true)
        }
        Call::SplitInNumbers(ms) => {
            write_head(&mut stream)?;
            let (text, drained) = directory.list();
            directory.reports.list_written(Instant::now(), drained);
            for piece in text.split_inclusive("1.") {
                write_chunk(&mut stream, piece)?;
                std::thread::sleep(Duration::from_millis(ms));
            }
            report_changes(stream, context, drained)
        }
        Call::RefusedAtOnce => {
            fail_after(Duration::ZERO);
            write!(stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()
        }
        Call::OlderList => {
            write_head(&mut stream)?;
            write_chunk(&mut stream, &directory.list_as_of(false))?;
            report_changes(stream, context, true)
        }
        Call::VersionsRestarted => {
            write_head(&mut stream)?;
            write_chunk(&mut stream, &changes(RESTARTED_VERSIONS.0, ""))?;
            while !directory.list().1 {
                std::thread::sleep(POLL_INTERVAL);
            }
            directory.reports.list_written(Instant::now(), true);
            let drained =
                r#"{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"k","cell":1,"state":"Terminating"}"#;
            write_chunk(&mut stream, &changes(RESTARTED_VERSIONS.1, drained))?;
            report_changes(stream, context, true)
        }
    }
}

/// A line with changes of the list.
fn changes(version: u64, servers: &str) -> String {
    format!("{{\"version\":{version},\"full\":false,\"servers\":[{servers}]}}\n")
}

pub fn write_head(stream: &mut TcpStream) -> Option<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()
}

pub fn write_chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).ok()
}

/// Writes the list in one piece, or in several with this time after each, if it is not zero.
fn write_list(stream: &mut TcpStream, directory: &Directory, between: Duration) -> Option<()> {
    let (text, drained) = directory.list();
    directory.reports.list_written(Instant::now(), drained);
    if between.is_zero() {
        return write_chunk(stream, &text);
    }
    for piece in text.as_bytes().chunks(text.len().div_ceil(PIECES)) {
        write_chunk(stream, std::str::from_utf8(piece).unwrap())?;
        std::thread::sleep(between);
    }
    Some(())
}

fn write_half_list(stream: &mut TcpStream, directory: &Directory) -> Option<()> {
    write_head(stream)?;
    let (text, drained) = directory.list();
    directory.reports.list_written(Instant::now(), drained);
    write_chunk(stream, &text[..text.len() / 2])
}

/// Writes the list as it is. The report of the drain is recorded as written, but does not arrive.
fn write_list_and_lose_report(
    stream: &mut TcpStream,
    directory: &Directory,
    stays_open: Duration,
) -> Option<()> {
    write_head(stream)?;
    write_list(stream, directory, Duration::ZERO)?;
    while !directory.list().1 {
        std::thread::sleep(POLL_INTERVAL);
    }
    directory.reports.list_written(Instant::now(), true);
    std::thread::sleep(stays_open);
    Some(())
}

fn watch(mut stream: TcpStream, context: &WatchContext) -> Option<()> {
    write_head(&mut stream)?;
    let (_, drained) = context.directory.list();
    write_list(&mut stream, context.directory, Duration::ZERO)?;
    report_changes(stream, context, drained)
}

/// Reports the drain once the list contains it, and sends empty lines meanwhile.
fn report_changes(mut stream: TcpStream, context: &WatchContext, mut reported: bool) -> Option<()> {
    let mut last_line = Instant::now();
    loop {
        std::thread::sleep(POLL_INTERVAL);
        if context.availability.ends_watches() {
            return Some(());
        }
        if !reported && context.directory.list().1 {
            reported = true;
            write_list(&mut stream, context.directory, Duration::ZERO)?;
            last_line = Instant::now();
        } else if last_line.elapsed() >= HEARTBEAT_INTERVAL {
            write_chunk(&mut stream, "\n")?;
            last_line = Instant::now();
        }
    }
}

fn keep_open(stream: TcpStream) -> Option<()> {
    std::thread::sleep(HOLD_OPEN_TIME);
    drop(stream);
    None
}

/// Makes the close of the connection a reset.
fn reset(stream: &TcpStream) -> Option<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok()
}
