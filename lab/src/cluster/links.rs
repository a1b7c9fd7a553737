//! The links between the brokers of a cluster under test: a proxy that forwards every datagram and
//! connection, and injects faults.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing is forwarded; open connections stay open and stall.
    pub cut: bool,
    /// Shares of datagrams that are lost, arrive twice, or have one bit flipped, from 0 to 1.
    pub loss: f64,
    pub duplication: f64,
    pub corruption: f64,
    /// Longest delay, ms. Each datagram gets a random delay up to it, which reorders them. On connections,
    /// each read is delayed by half of it.
    pub max_delay_ms: u64,
    /// Limit on connections, bytes/s. 0: no limit.
    pub bytes_per_s: u64,
}

/// One direction of a link.
#[derive(Clone)]
struct Direction {
    fault: Arc<Mutex<Fault>>,
    bytes: Arc<AtomicU64>,
}

impl Direction {
    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap()
    }
}

/// All links of a cluster, by sender and receiver.
pub struct Links {
    /// The address at which the sender reaches the receiver.
    addresses: BTreeMap<(usize, usize), SocketAddr>,
    directions: BTreeMap<(usize, usize), Direction>,
    sockets: BTreeMap<(usize, usize), UdpSocket>,
    real: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
}

/// Binds a TCP and a UDP socket to the same free port.
fn bind_tcp_and_udp() -> (TcpListener, UdpSocket, SocketAddr) {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = tcp.local_addr().unwrap();
        if let Ok(udp) = UdpSocket::bind(at) {
            return (tcp, udp, at);
        }
    }
}

/// How often a forwarding thread checks for changed faults and for the end of the test.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Links {
    /// Links between all brokers that listen at these addresses.
    pub fn between(real: &[SocketAddr], seed: u64) -> Links {
        let (mut addresses, mut directions, mut sockets) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        let stop = Arc::new(AtomicBool::new(false));
        let mut listeners = BTreeMap::new();
        let pairs =
            (0..real.len()).flat_map(|a| (0..real.len()).map(move |b| (a, b))).filter(|(a, b)| a != b);
        for pair in pairs.clone() {
            let (tcp, udp, at) = bind_tcp_and_udp();
            addresses.insert(pair, at);
            sockets.insert(pair, udp);
            listeners.insert(pair, tcp);
            directions.insert(pair, Direction { fault: Arc::default(), bytes: Arc::default() });
        }
        for (a, b) in pairs {
            // Datagrams from `a` are received here, and sent on from the address at which `b` reaches `a`.
            let receiver = sockets[&(a, b)].try_clone().unwrap();
            let out = sockets[&(b, a)].try_clone().unwrap();
            let (to, direction, stop_datagrams) = (real[b], directions[&(a, b)].clone(), stop.clone());
            let rng = Pcg32::new(seed ^ ((a * 64 + b) as u64), 7);
            std::thread::spawn(move || {
                forward_datagrams(&receiver, &out, to, &direction, rng, &stop_datagrams)
            });
            let (forward, backward) = (directions[&(a, b)].clone(), directions[&(b, a)].clone());
            let (listener, to, stop_connections) =
                (listeners.remove(&(a, b)).unwrap(), real[b], stop.clone());
            std::thread::spawn(move || {
                forward_connections(&listener, to, &forward, &backward, &stop_connections)
            });
        }
        Links { addresses, directions, sockets, real: real.to_vec(), stop }
    }

    /// The address at which `from` reaches `to`.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[&(from, to)]
    }

    /// Sets the faults of one direction.
    pub fn set(&self, from: usize, to: usize, fault: Fault) {
        if let Some(d) = self.directions.get(&(from, to)) {
            *d.fault.lock().unwrap() = fault;
        }
    }

    /// Cuts or heals one direction.
    pub fn set_cut(&self, from: usize, to: usize, cut: bool) {
        if let Some(d) = self.directions.get(&(from, to)) {
            d.fault.lock().unwrap().cut = cut;
        }
    }

    /// Sets the faults of all links.
    pub fn set_all(&self, fault: Fault) {
        self.directions.keys().for_each(|(a, b)| self.set(*a, *b, fault));
    }

    /// Cuts all links between the brokers in `one` and the others, in both directions.
    pub fn split(&self, one: &[usize]) {
        for (a, b) in self.directions.keys().filter(|(a, b)| one.contains(a) != one.contains(b)) {
            self.set_cut(*a, *b, true);
        }
    }

    /// Sends a datagram to `to` from the address at which `to` reaches `from`.
    pub fn inject(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.sockets[&(to, from)].send_to(bytes, self.real[to]);
    }

    /// Bytes forwarded so far.
    pub fn bytes(&self) -> u64 {
        self.directions.values().map(|d| d.bytes.load(Ordering::Relaxed)).sum()
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn random_fraction(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}

fn forward_datagrams(
    receiver: &UdpSocket,
    out: &UdpSocket,
    to: SocketAddr,
    d: &Direction,
    mut rng: Pcg32,
    stop: &AtomicBool,
) {
    let _ = receiver.set_read_timeout(Some(POLL_INTERVAL));
    let mut delayed: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        if let Ok((n, _)) = receiver.recv_from(&mut buffer) {
            // Read after the datagram arrived: the fault may have changed while the thread waited for it.
            let fault = d.fault();
            let copies = if random_fraction(&mut rng) < fault.duplication { 2 } else { 1 };
            for _ in 0..copies {
                if fault.cut || random_fraction(&mut rng) < fault.loss {
                    continue;
                }
                let mut bytes = buffer[..n].to_vec();
                if random_fraction(&mut rng) < fault.corruption {
                    let at = rng.next_u32() as usize % n.max(1);
                    bytes[at] ^= 1 << (rng.next_u32() % 8);
                }
                let delay = Duration::from_millis(u64::from(rng.next_u32()) % (fault.max_delay_ms + 1));
                delayed.push((Instant::now() + delay, bytes));
            }
        }
        let now = Instant::now();
        let mut i = 0;
        while i < delayed.len() {
            if delayed[i].0 <= now {
                let (_, bytes) = delayed.swap_remove(i);
                d.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                let _ = out.send_to(&bytes, to);
            } else {
                i += 1;
            }
        }
    }
}

fn forward_connections(
    listener: &TcpListener,
    to: SocketAddr,
    forward: &Direction,
    backward: &Direction,
    stop: &Arc<AtomicBool>,
) {
    listener.set_nonblocking(true).unwrap();
    while !stop.load(Ordering::Relaxed) {
        let Ok((one, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        let _ = one.set_nonblocking(false);
        let (forward, backward, stop) = (forward.clone(), backward.clone(), stop.clone());
        std::thread::spawn(move || {
            // Over a cut link, connections are accepted here and passed on only once it is healed.
            while forward.fault().cut || backward.fault().cut {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                std::thread::sleep(POLL_INTERVAL);
            }
            let Ok(other) = TcpStream::connect(to) else { return };
            let pair = (one.try_clone(), other.try_clone());
            let (Ok(incoming_reader), Ok(outgoing_reader)) = pair else { return };
            let stop_backward = stop.clone();
            let backward_thread =
                std::thread::spawn(move || forward_stream(outgoing_reader, one, &backward, &stop_backward));
            forward_stream(incoming_reader, other, &forward, &stop);
            let _ = backward_thread.join();
        });
    }
}

fn forward_stream(mut from: TcpStream, mut to: TcpStream, d: &Direction, stop: &AtomicBool) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = vec![0; 16 * 1024];
    while !stop.load(Ordering::Relaxed) {
        let fault = d.fault();
        if fault.cut {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        let max_read = if fault.bytes_per_s > 0 {
            (fault.bytes_per_s / 50).clamp(1, buffer.len() as u64) as usize
        } else {
            buffer.len()
        };
        match from.read(&mut buffer[..max_read]) {
            Ok(0) => break,
            Ok(n) => {
                std::thread::sleep(Duration::from_millis(fault.max_delay_ms / 2));
                if fault.bytes_per_s > 0 {
                    std::thread::sleep(Duration::from_millis(20));
                }
                while d.fault().cut && !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(POLL_INTERVAL);
                }
                d.bytes.fetch_add(n as u64, Ordering::Relaxed);
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
