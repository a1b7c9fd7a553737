// Helpers that the cases share: a log of what happened, processes, HTTP messages, nodes that speak SRU.
// Standard library only; each case is one program that is built by review/build.sh.
#![allow(dead_code)]

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The log of a case, `record.txt`: one line for each event, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }

    pub fn ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let _ = writeln!(self.0.1.lock().unwrap(), "{:8.3} {text}", ms as f64 / 1000.0);
    }

    /// A line of the log that is printed too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// What run.sh passes: the root of the project, the `run` command of the deploy file, a temporary folder, the
/// path of record.txt, and whether the disruption happens.
pub struct Args {
    pub root: String,
    pub run: String,
    pub tmp: String,
    pub record: Record,
    pub trouble: bool,
}

pub fn args() -> Args {
    let mut words = std::env::args().skip(1);
    let mut next = || words.next().expect("usage: case ROOT RUN TMP RECORD");
    let (root, run, tmp, record) = (next(), next(), next(), next());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    Args { root, run, tmp, record: Record::create(&record), trouble }
}

/// Ends the case if it can't run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(&format!("the case could not run: {why}"));
    std::process::exit(2)
}

pub fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Addresses on loopback that are free now.
pub fn free_addrs(n: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..n).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().unwrap()).collect()
}

/// A broker, started by the deploy file's `run` command from the root. It is killed when this is dropped.
pub struct Broker(pub Child);

impl Broker {
    pub fn start(args: &Args, arguments: &str, env: &[(&str, String)], log: &str) -> Broker {
        let log = File::create(format!("{}/{log}", args.tmp)).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{} {arguments}", args.run)).current_dir(&args.root);
        command.env("TMPDIR", &args.tmp).envs(env.iter().map(|(k, v)| (*k, v.as_str())));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Broker(command.spawn().expect("the broker's command"))
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One HTTP message: its first line, its headers as sent, and its body.
pub struct Message {
    pub first: String,
    pub head: String,
    pub body: Vec<u8>,
}

/// Reads one HTTP message with a Content-Length or without a body. None at the end of the connection.
pub fn read_http(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Message { first: head.lines().next().unwrap_or("").to_owned(), head, body })
}

/// Sends a GET on a connection of its own and returns the first line of the response.
pub fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n").ok()?;
    Some(read_http(&mut stream)?.first)
}

/// Waits until the broker is ready, for 15 s at most.
pub fn wait_ready(addr: SocketAddr, record: &Record) {
    for _ in 0..300 {
        if get(addr, "/-/ready").is_some_and(|l| l.contains(" 200")) {
            return;
        }
        sleep(50);
    }
    cannot_run(record, "the broker was not ready within 15 s");
}

/// One call of the second address; returns its answer.
pub fn operate(addr: SocketAddr, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.trim().to_owned())
}

/// The cores of a node: so many searches run at once, the others wait.
pub struct Cores(Mutex<usize>, Condvar);

impl Cores {
    pub fn new(cores: usize) -> Cores {
        Cores(Mutex::new(cores), Condvar::new())
    }

    pub fn work(&self, ms: u64) {
        let mut free = self.1.wait_while(self.0.lock().unwrap(), |free| *free == 0).unwrap();
        *free -= 1;
        drop(free);
        sleep(ms);
        *self.0.lock().unwrap() += 1;
        self.1.notify_one();
    }
}

/// Numbers in a fixed sequence (xorshift), so that each run sends the same requests.
pub struct Numbers(pub u64);

impl Numbers {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

/// The value of a parameter in a request target, percent-decoded.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
    let (mut out, bytes, mut i) = (Vec::new(), value.as_bytes(), 0);
    while i < bytes.len() {
        match bytes[i] {
            b'%' => {
                out.push(u8::from_str_radix(value.get(i + 1..i + 3)?, 16).ok()?);
                i += 2;
            }
            b'+' => out.push(b' '),
            b => out.push(b),
        }
        i += 1;
    }
    String::from_utf8(out).ok()
}

/// A searchRetrieve response of `total` hits with one record for each text.
pub fn sru_response(total: usize, texts: &[String]) -> Vec<u8> {
    let mut out = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<searchRetrieveResponse \
         xmlns=\"http://www.loc.gov/zing/srw/\"><version>1.1</version><numberOfRecords>{total}</numberOfRecords>"
    );
    if !texts.is_empty() {
        out += "<records>";
        for text in texts {
            out += &format!(
                "<record><recordSchema>info:srw/schema/1/marcxml-v1.1</recordSchema>\
                 <recordPacking>xml</recordPacking><recordData>\
                 <record xmlns=\"http://www.loc.gov/MARC21/slim\"><leader>00000ccm a2200000 a 4500</leader>\
                 <controlfield tag=\"001\">{text}</controlfield></record></recordData></record>"
            );
        }
        out += "</records>";
    }
    out += "</searchRetrieveResponse>";
    let mut message = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nContent-Length: {}\r\n\r\n",
        out.len()
    )
    .into_bytes();
    message.extend_from_slice(out.as_bytes());
    message
}

/// The texts of the records in a searchRetrieve response.
pub fn record_texts(body: &[u8]) -> Vec<String> {
    let body = String::from_utf8_lossy(body);
    let pieces = body.split("<controlfield tag=\"001\">").skip(1);
    pieces.filter_map(|p| Some(p.split_once('<')?.0.to_owned())).collect()
}
