//! One broker on the platform: the poll loop with the exchange between its two sides.

use super::{Carried, Clients, LinkLimits, News, Roster, Servers};
use crate::api::Nanos;
use crate::config::{self, ConfigError, Platform};
use crate::core::{Exchange, Work};
use crate::net::{Clock, NetEvent, Pool, Reactor, signals};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

const CLIENTS: u8 = 0;
const SERVERS: u8 = 1;
const ROSTER: u8 = 2;

/// Descriptors kept for what is neither a client nor a shard server.
const SPARE: usize = 32;
/// Most buffers at once: with 72 KiB each, 54 MiB.
const BUFFERS: usize = 768;
/// How long new connections are taken after the signal to end.
const KEEP_ACCEPTING: Nanos = 700_000_000;

/// Why a broker can't go on.
#[derive(Debug)]
pub enum BrokerError {
    /// It was told something unusable.
    Config(ConfigError),
    /// The system refused something that it can't do without.
    Io(&'static str, io::Error),
}

impl std::fmt::Display for BrokerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BrokerError::Config(e) => e.fmt(f),
            BrokerError::Io(what, e) => write!(f, "{what}: {e}"),
        }
    }
}

impl std::error::Error for BrokerError {}

impl From<ConfigError> for BrokerError {
    fn from(e: ConfigError) -> Self {
        BrokerError::Config(e)
    }
}

/// A broker, ready to run.
pub struct Broker {
    clock: Clock,
    net: Reactor,
    exchange: Exchange<Carried, String>,
    clients: Clients,
    servers: Servers,
    roster: Roster,
    listening: SocketAddr,
    /// When the signal to end came, and whether the listener is closed.
    draining: Option<Nanos>,
    closed: bool,
}

impl Broker {
    /// Builds a broker and starts to listen.
    pub fn new(told: Platform) -> Result<Broker, BrokerError> {
        let (settings, names) = config::settings(&told.params).map_err(ConfigError)?;
        let clock = Clock::start();
        let now = clock.now();
        // Guards the limit on descriptors: clients and shard servers have half of the rest each.
        let half = (told.sockets - SPARE) / 2;
        let fail = |what| move |e| BrokerError::Io(what, e);
        let mut net = Reactor::new(Pool::new(BUFFERS), half).map_err(fail("poll"))?;
        let limits = LinkLimits {
            streams: told.params.streams(),
            dial_timeout: told.params.dial_timeout(),
            idle: told.params.idle(),
            most: half,
        };
        let deadlines = settings.classes.iter().map(|c| c.deadline).collect();
        let mut servers = Servers::new(SERVERS, limits);
        let mut roster = Roster::new(ROSTER, told.discovery, names.clone());
        let clients = Clients::new(names, deadlines, settings.shards);
        let mut exchange = Exchange::new(settings, told.seed, now).map_err(|e| ConfigError(e.to_string()))?;
        if let Some(list) = told.known {
            roster.take_in(list, &mut servers);
            Broker::pass_news(&mut roster, &mut exchange);
        }
        // The list of servers is in before the first client can come.
        exchange.run(now);
        let listening = net.listen(told.listen, CLIENTS).map_err(fail("listen"))?;
        log::info!("{} listens at {listening}", told.name);
        Ok(Broker {
            clock,
            net,
            exchange,
            clients,
            servers,
            roster,
            listening,
            draining: None,
            closed: false,
        })
    }

    /// Where clients connect.
    pub fn listening(&self) -> SocketAddr {
        self.listening
    }

    fn pass_news(roster: &mut Roster, exchange: &mut Exchange<Carried, String>) {
        for news in roster.take_news() {
            match news {
                News::Listed { full, lines } => exchange.listed(full, lines),
                News::Failed => exchange.list_failed(),
            }
        }
    }

    /// Serves until a signal to end has come and all that was taken is answered.
    pub fn run(mut self) -> Result<(), BrokerError> {
        let pipe = signals().map_err(|e| BrokerError::Io("signals", e))?;
        self.net.watch_signals(pipe).map_err(|e| BrokerError::Io("signals", e))?;
        let mut events = Vec::new();
        while !self.finished() {
            let timeout = self.due().map(|t| Duration::from_nanos(t.saturating_sub(self.clock.now())));
            self.net.wait(timeout, &mut events).map_err(|e| BrokerError::Io("poll", e))?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.event(event, now);
            }
            self.turn(now);
        }
        log::info!("ended: all that was taken is answered");
        Ok(())
    }

    fn event(&mut self, event: NetEvent, now: Nanos) {
        let (net, exchange) = (&mut self.net, &mut self.exchange);
        let owner = match event {
            NetEvent::Accepted { owner, .. }
            | NetEvent::Connected { owner, .. }
            | NetEvent::Readable { owner, .. }
            | NetEvent::Flushed { owner, .. }
            | NetEvent::Broken { owner, .. } => owner,
            NetEvent::Signal => {
                if self.draining.is_none() {
                    log::info!("draining: {} queries are open", exchange.open_queries());
                    self.draining = Some(now);
                    self.clients.drain();
                }
                return;
            }
        };
        match owner {
            CLIENTS => self.clients.event(event, now, net, exchange),
            SERVERS => self.servers.event(event, now, net, exchange),
            _ => self.roster.event(event, now, net, &mut self.servers),
        }
    }

    /// All that time alone brings, and the work that follows from it.
    fn turn(&mut self, now: Nanos) {
        let (net, exchange) = (&mut self.net, &mut self.exchange);
        self.servers.tick(now, net, exchange);
        self.roster.tick(now, net);
        self.clients.sweep(now, net);
        Broker::pass_news(&mut self.roster, exchange);
        exchange.run(now);
        while let Some(work) = exchange.next_work() {
            match work {
                Work::Call { replica, parts } => self.servers.call(replica, parts, now, net, exchange),
                Work::GiveUp { attempt, .. } => self.servers.give_up(attempt, net),
                Work::Finish { query, answer } => self.clients.finish(query, answer, now, net, exchange),
                Work::Watch => self.roster.watch(now, net),
                // Shard servers on this port answer no probes.
                Work::Probe { replica } => exchange.probed(replica, true, 0, None),
            }
        }
        if self.draining.is_some_and(|t| now >= t + KEEP_ACCEPTING) {
            if !self.closed {
                self.closed = true;
                self.net.stop_listening(CLIENTS);
            }
            self.clients.close_idle(now, &mut self.net, &mut self.exchange);
        }
    }

    fn finished(&self) -> bool {
        self.closed && self.clients.is_empty()
    }

    fn due(&self) -> Option<Nanos> {
        let drain = self.draining.filter(|_| !self.closed).map(|t| t + KEEP_ACCEPTING);
        let sweep = (!self.clients.is_empty()).then(|| self.clients.next_sweep());
        [self.exchange.due(), self.servers.due(), self.roster.due(), drain, sweep].into_iter().flatten().min()
    }
}
