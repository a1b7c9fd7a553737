//! The catalogue's front as a whole.

use super::clients::Clients;
use super::nodes::Nodes;
use super::plan::{PartValue, Sought};
use crate::api::{Listed, Nanos, ReplicaId, Standing};
use crate::broker::{Broker, BrokerError, Front, Hands};
use crate::config::{ConfigError, Operator, Protocol};
use crate::core::{Exchange, Work};
use crate::net::{Clock, NetEvent, Pool, Reactor};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;

const SRU: u8 = 0;
const Z3950: u8 = 1;
const NODES: u8 = 2;

/// Descriptors kept for what is neither a client nor a node.
const SPARE: usize = 32;
/// Memory that buffers may take, bytes.
const BUFFERS: usize = 48 << 20;

/// The catalogue's port: clients and index nodes, each of them speaking SRU or Z39.50.
pub struct CatalogueFront {
    clients: Clients,
    nodes: Nodes,
}

/// Builds a broker that listens; tells where, listener by listener.
pub fn broker(told: Operator) -> Result<(Broker<CatalogueFront>, Vec<SocketAddr>), BrokerError> {
    let clock = Clock::start();
    let now = clock.now();
    let seed = RandomState::new().build_hasher().finish();
    let mut exchange = Exchange::new(told.settings(), seed, now).map_err(|e| ConfigError(e.to_string()))?;
    let lines = told.node.iter().zip(0..).map(|(n, number)| Listed {
        replica: ReplicaId(number),
        zone: told.zone_number(&n.zone),
        cell: n.cell,
        standing: Standing::In,
        started: None,
    });
    exchange.listed(true, lines.collect());
    exchange.run(now);
    // Guards the limit on descriptors: what connections to nodes may take is not given to clients.
    let to_nodes = told.node.len() * told.limits.connections_per_node;
    let clients = told.limits.sockets.saturating_sub(SPARE + to_nodes);
    if clients < 8 {
        let what = "limits: the connections to nodes leave no sockets for clients";
        return Err(ConfigError(what.into()).into());
    }
    let most = told.limits.sockets - SPARE;
    let mut net = Reactor::new(Pool::within(BUFFERS), most - to_nodes).map_err(BrokerError::io("poll"))?;
    let mut listening = Vec::new();
    for l in &told.listener {
        let owner = if l.protocol == Protocol::Sru { SRU } else { Z3950 };
        let at = net.listen(l.listen, owner).map_err(BrokerError::io("listen"))?;
        log::info!("{} listens at {at} for {:?}", told.name, l.protocol);
        listening.push(at);
    }
    let nodes = Nodes::new(NODES, &told.node, &told.partitions.database, told.limits.clone());
    let front = CatalogueFront { clients: Clients::new(told, SRU, most - to_nodes), nodes };
    Ok((Broker::new(clock, net, exchange, front), listening))
}

impl Front for CatalogueFront {
    type Query = Sought;
    type Value = PartValue;

    fn event(&mut self, event: NetEvent, hands: &mut Hands<Sought, PartValue>) {
        match event.owner() {
            Some(NODES) => self.nodes.event(event, hands),
            Some(_) => self.clients.event(event, hands),
            None => {}
        }
    }

    fn tick(&mut self, hands: &mut Hands<Sought, PartValue>) {
        self.nodes.tick(hands);
        self.clients.tick(hands);
    }

    fn work(&mut self, work: Work<Sought, PartValue>, hands: &mut Hands<Sought, PartValue>) {
        match work {
            Work::Call { replica, parts } => self.nodes.call(replica, parts, hands),
            Work::GiveUp { replica, attempt } => self.nodes.give_up(replica, attempt, hands.now),
            Work::Finish { query, answer } => self.clients.finish(query, answer, hands),
            // The list of nodes is the operator's file, and nodes are not probed.
            Work::Watch | Work::Probe { .. } => {}
        }
    }

    fn due(&self) -> Option<Nanos> {
        [self.nodes.due(), self.clients.due()].into_iter().flatten().min()
    }

    fn drain(&mut self) {
        self.clients.drain();
    }

    fn leave(&mut self) {
        self.clients.leave();
    }

    fn reload(&mut self, _: &mut Hands<Sought, PartValue>) {
        log::info!("the operator's file is read at the start only; nothing is changed");
    }

    fn close_idle(&mut self, hands: &mut Hands<Sought, PartValue>) {
        self.clients.close_idle(hands);
        if self.clients.is_empty() {
            self.nodes.farewell(hands.net);
        }
    }

    fn listeners(&self) -> &[u8] {
        &[SRU, Z3950]
    }

    fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }
}
