//! One discovery for several brokers, which handles their calls one at a time: a call stays in its queue even
//! if its caller gives up, and a refusal ends all calls of its broker, as it does not say to which of them it
//! belongs.

use super::scripted_discovery::{write_chunk, write_head};
use pebbleturn_lab::standins::{listen, read_http};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time in the queue after which a call is refused.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two passes over the queue.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What discovery sends on a call.
#[derive(Clone, Debug)]
enum CallEvent {
    List(String),
    Refused,
    WatchEnds,
}

/// An open call of a broker.
struct OpenCall {
    number: u64,
    events: Sender<CallEvent>,
    is_watch: bool,
}

struct QueuedCall {
    broker: usize,
    number: u64,
    queued_at: Instant,
}

/// What discovery keeps for one broker.
#[derive(Default)]
struct BrokerState {
    list: String,
    open: Vec<OpenCall>,
    /// Times at which a list was written for it.
    written_at: Vec<Instant>,
    calls: usize,
}

#[derive(Default)]
struct State {
    service_time: Duration,
    is_down: bool,
    brokers: Vec<BrokerState>,
    queue: VecDeque<QueuedCall>,
    /// The call being handled, and when it is done.
    in_service: Option<(QueuedCall, Instant)>,
    next_number: u64,
    is_stopped: bool,
}

impl State {
    fn refuse(&mut self, broker: usize) {
        for call in std::mem::take(&mut self.brokers[broker].open) {
            let _ = call.events.send(CallEvent::Refused);
        }
    }

    fn refuse_overdue(&mut self, now: Instant) {
        while let Some(call) = self.queue.pop_front_if(|call| now >= call.queued_at + QUEUE_TIMEOUT) {
            self.refuse(call.broker);
        }
    }

    /// Handles the calls one at a time.
    fn process_queue(&mut self, now: Instant) {
        if let Some((call, _)) = self.in_service.take_if(|(_, done)| *done <= now) {
            self.answer(&call);
        }
        if !self.is_down && self.in_service.is_none() {
            let done = now + self.service_time;
            self.in_service = self.queue.pop_front().map(|call| (call, done));
        }
    }

    /// Writes the list on a call; if that is closed, on the newest open call of its broker.
    fn answer(&mut self, call: &QueuedCall) {
        let broker = &mut self.brokers[call.broker];
        broker.written_at.push(Instant::now());
        let own = broker.open.iter().position(|open| open.number == call.number);
        let Some(index) = own.or(broker.open.len().checked_sub(1)) else { return };
        let list = broker.list.clone();
        let call = &mut broker.open[index];
        call.is_watch = true;
        let _ = call.events.send(CallEvent::List(list));
    }
}

/// Discovery, with a separate address for each broker and each of its configurations.
pub struct SharedDiscovery(Arc<Mutex<State>>);

impl SharedDiscovery {
    /// Starts it; it takes `service_time` for each call.
    pub fn start(brokers: usize, service_time: Duration) -> SharedDiscovery {
        let brokers = (0..brokers).map(|_| BrokerState::default()).collect();
        let state = Arc::new(Mutex::new(State { service_time, brokers, ..State::default() }));
        let served = state.clone();
        std::thread::spawn(move || serve_queue(&served));
        SharedDiscovery(state)
    }

    /// Opens one more address at which a broker can call it.
    pub fn address_for(&self, broker: usize) -> SocketAddr {
        let state = self.0.clone();
        listen(move |mut stream| {
            read_http(&mut stream)?;
            let (sender, events) = channel();
            enqueue(&mut state.lock().unwrap(), broker, sender);
            serve(stream, &events)
        })
    }

    /// Sets the full list of a broker; the lists of the brokers differ only in their addresses.
    pub fn set_list(&self, broker: usize, list: String) {
        self.0.lock().unwrap().brokers[broker].list = list;
    }

    /// Makes it unreachable or reachable: while it is down, calls wait; watches end when it goes down.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.0.lock().unwrap();
        state.is_down = is_down;
        for broker in state.brokers.iter_mut().filter(|_| is_down) {
            for call in broker.open.extract_if(.., |call| call.is_watch) {
                let _ = call.events.send(CallEvent::WatchEnds);
            }
        }
    }

    /// Time of the first list written for a broker since this time.
    pub fn written_since(&self, broker: usize, since: Instant) -> Option<Instant> {
        self.0.lock().unwrap().brokers[broker].written_at.iter().find(|at| **at >= since).copied()
    }

    /// Number of calls of a broker so far.
    pub fn calls(&self, broker: usize) -> usize {
        self.0.lock().unwrap().brokers[broker].calls
    }
}

impl Drop for SharedDiscovery {
    fn drop(&mut self) {
        self.0.lock().unwrap().is_stopped = true;
    }
}

/// Queues a call; refuses it at once if it would wait there for too long.
fn enqueue(state: &mut State, broker: usize, events: Sender<CallEvent>) {
    let number = state.next_number;
    state.next_number += 1;
    state.brokers[broker].calls += 1;
    state.brokers[broker].open.push(OpenCall { number, events, is_watch: false });
    if !state.is_down && state.service_time * state.queue.len() as u32 > QUEUE_TIMEOUT {
        state.refuse(broker);
    } else {
        state.queue.push_back(QueuedCall { broker, number, queued_at: Instant::now() });
    }
}

fn serve_queue(state: &Mutex<State>) {
    loop {
        std::thread::sleep(QUEUE_POLL_INTERVAL);
        let now = Instant::now();
        let mut state = state.lock().unwrap();
        if state.is_stopped {
            return;
        }
        state.refuse_overdue(now);
        state.process_queue(now);
    }
}

/// Writes the events of a call to its connection.
fn serve(mut stream: TcpStream, events: &Receiver<CallEvent>) -> Option<()> {
    let mut has_answered = false;
    loop {
        match events.recv_timeout(HEARTBEAT_INTERVAL) {
            Ok(CallEvent::List(list)) => {
                if !has_answered {
                    write_head(&mut stream)?;
                }
                has_answered = true;
                write_chunk(&mut stream, &list)?;
            }
            Ok(CallEvent::Refused) if !has_answered => {
                return write!(stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok();
            }
            Ok(CallEvent::Refused | CallEvent::WatchEnds) => return stream.write_all(b"0\r\n\r\n").ok(),
            Err(RecvTimeoutError::Timeout) if has_answered => write_chunk(&mut stream, "\n")?,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
    }
}
