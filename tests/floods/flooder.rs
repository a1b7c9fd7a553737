//! Clients that write many requests at a time, and read and drop all responses.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Requests in one write.
const REQUESTS_PER_WRITE: usize = 300;

/// The text of one request, by the number of its client and its own number at that client.
pub type RequestText = fn(client: usize, number: usize) -> Vec<u8>;

/// Some clients that send at full speed until this is dropped.
pub struct Flood {
    stop: Arc<AtomicBool>,
    streams: Vec<TcpStream>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    /// Starts `clients` clients. Each sends `opening` first, if it is not empty.
    pub fn start(addr: SocketAddr, clients: usize, opening: &[u8], request: RequestText) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let mut flood = Flood { stop: stop.clone(), streams: Vec::new(), threads: Vec::new() };
        for client in 0..clients {
            let mut stream = TcpStream::connect(addr).unwrap();
            stream.write_all(opening).unwrap();
            let reader = stream.try_clone().unwrap();
            flood.streams.push(stream.try_clone().unwrap());
            flood.threads.push(std::thread::spawn(move || read_all(reader)));
            let stop = stop.clone();
            flood.threads.push(std::thread::spawn(move || write_until(&stop, stream, client, request)));
        }
        flood
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for stream in &self.streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn read_all(mut stream: TcpStream) {
    let mut sink = vec![0; 1 << 16];
    while stream.read(&mut sink).is_ok_and(|n| n > 0) {}
}

fn write_until(stop: &AtomicBool, mut stream: TcpStream, client: usize, request: RequestText) {
    for first in (0..).step_by(REQUESTS_PER_WRITE) {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let numbers = first..first + REQUESTS_PER_WRITE;
        let block: Vec<u8> = numbers.flat_map(|number| request(client, number)).collect();
        match stream.write_all(&block) {
            Ok(()) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}
