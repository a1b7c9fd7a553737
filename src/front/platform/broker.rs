//! The platform's front as a whole.

use super::{Carried, Clients, LinkLimits, News, Roster, Servers};
use crate::api::Nanos;
use crate::broker::{Broker, BrokerError, Front, Hands};
use crate::config::{self, ConfigError, Platform};
use crate::core::{Exchange, Work};
use crate::front::places::Places;
use crate::net::{Clock, NetEvent, Pool, Reactor};
use std::net::SocketAddr;
use std::path::PathBuf;

const CLIENTS: u8 = 0;
const SERVERS: u8 = 1;
const ROSTER: u8 = 2;

/// Descriptors kept for what is neither a client nor a shard server.
const SPARE: usize = 32;
/// Part of the descriptors that clients who have asked may hold. Clients keep to a third of them: this leaves
/// room for those that come next.
const CLIENTS_KEPT: usize = 4;
/// Longest silence of a shard server's connection that is still called on, whatever the aims.
const SILENT: Nanos = 4_000_000_000;
/// Time without a request after which a client's connection is closed.
const IDLE: Nanos = 60_000_000_000;
/// Part of the memory that buffers may take.
const BUFFERS: usize = 4;

/// The platform's port: clients, shard servers and discovery.
pub struct PlatformFront {
    clients: Clients,
    servers: Servers,
    roster: Roster,
    /// What is read again when the word comes.
    file: Option<PathBuf>,
}

/// Builds a broker that listens; tells where.
pub fn broker(told: Platform) -> Result<(Broker<PlatformFront>, SocketAddr), BrokerError> {
    let (settings, names) = config::settings(&told.params).map_err(ConfigError)?;
    let clock = Clock::start();
    let now = clock.now();
    // Guards the limit on descriptors: what connections to shard servers may take is not given to clients.
    let to_servers = (told.sockets - SPARE) / 4;
    let most = told.sockets - SPARE - to_servers;
    let mut net = Reactor::new(Pool::within((told.memory_mb << 20) / BUFFERS), most)
        .map_err(BrokerError::io("poll"))?;
    let limits = LinkLimits {
        streams: told.params.streams(),
        dial_timeout: told.params.dial_timeout(),
        idle: told.params.idle(),
        silent: settings.classes.iter().map(|c| c.aim).min().unwrap_or(SILENT).min(SILENT),
        most: to_servers,
    };
    let mut servers = Servers::new(SERVERS, limits);
    let mut roster = Roster::new(ROSTER, told.discovery, names.clone());
    let clients = Clients::new(names, settings.shards, Places::new(most, told.sockets / CLIENTS_KEPT, IDLE));
    let mut exchange = Exchange::new(settings, told.seed, now).map_err(|e| ConfigError(e.to_string()))?;
    if let Some(list) = told.known {
        roster.take_in(list, &mut servers);
        pass_news(&mut roster, &mut exchange);
    }
    // The list of servers is in before the first client can come.
    exchange.run(now);
    let listening = net.listen(told.listen, CLIENTS).map_err(BrokerError::io("listen"))?;
    log::info!("{} listens at {listening}", told.name);
    let front = PlatformFront { clients, servers, roster, file: told.file };
    Ok((Broker::new(clock, net, exchange, front), listening))
}

fn pass_news(roster: &mut Roster, exchange: &mut Exchange<Carried, String>) {
    for news in roster.take_news() {
        match news {
            News::Listed { full, lines } => exchange.listed(full, lines),
            News::Failed => exchange.list_failed(),
        }
    }
}

impl Front for PlatformFront {
    type Query = Carried;
    type Value = String;

    fn event(&mut self, event: NetEvent, hands: &mut Hands<Carried, String>) {
        match event.owner() {
            Some(CLIENTS) => self.clients.event(event, hands),
            Some(SERVERS) => self.servers.event(event, hands),
            Some(ROSTER) => self.roster.event(event, hands.now, hands.net, &mut self.servers),
            _ => {}
        }
    }

    fn tick(&mut self, hands: &mut Hands<Carried, String>) {
        self.servers.tick(hands);
        self.roster.tick(hands.now, hands.net);
        self.clients.tick(hands);
        pass_news(&mut self.roster, hands.exchange);
    }

    fn work(&mut self, work: Work<Carried, String>, hands: &mut Hands<Carried, String>) {
        match work {
            Work::Call { replica, parts } => self.servers.call(replica, parts, hands),
            Work::GiveUp { attempt, .. } => self.servers.give_up(attempt, hands.net),
            Work::Finish { query, answer } => self.clients.finish(query, answer, hands),
            Work::Watch => {
                self.roster.watch(hands.now, hands.net);
                pass_news(&mut self.roster, hands.exchange);
            }
            // Shard servers on this port are not probed; the settings forbid it.
            Work::Probe { replica } => hands.exchange.probed(replica, false, 0, None),
        }
    }

    fn due(&self) -> Option<Nanos> {
        [self.servers.due(), self.roster.due(), self.clients.due()].into_iter().flatten().min()
    }

    fn drain(&mut self) {
        self.clients.drain();
    }

    fn leave(&mut self) {
        self.clients.leave();
    }

    /// Discovery alone may move while the broker serves; all else holds from the start to the end.
    fn reload(&mut self, hands: &mut Hands<Carried, String>) {
        let Some(file) = &self.file else { return };
        match Platform::from_file(file) {
            Ok(told) => self.roster.move_to(told.discovery, hands.now, hands.net),
            // Guards the service against a file that is half written or wrong: what it was told before stays.
            Err(e) => log::error!("the configuration stays as it was: {e}"),
        }
        pass_news(&mut self.roster, hands.exchange);
    }

    fn close_idle(&mut self, hands: &mut Hands<Carried, String>) {
        self.clients.close_idle(hands);
    }

    fn listeners(&self) -> &[u8] {
        &[CLIENTS]
    }

    fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }
}
