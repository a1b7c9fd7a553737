//! One broker: the poll loop, with the exchange between the two sides of a front.

use crate::admin::{self, AdminRequest, AdminResponse, AdminServer, CommandOptions};
use crate::api::Nanos;
use crate::cluster::{self, Cluster};
use crate::config::{ClusterConfig, ConfigError};
use crate::engine::{EngineAction, QueryEngine, QueryOutcome};
use crate::hot_restart::coordination::QuotaShare;
use crate::hot_restart::state::{Overrides, ProcessStage};
use crate::hot_restart::{HotRestart, LocalState, ResourceUsage};
use crate::membership::UnknownNode;
use crate::metrics;
use crate::net::{Clock, ConnId, NetEvent, PollLoop, Signal, Signals, Waker};
use crate::replication::{CommandValue, FactKey};
use crate::server::drain::{DrainPhase, DrainState};
use crate::server::membership_driver::MembershipDriver;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two looks for connections that wait for nothing, while such are closed.
const LOOK: Nanos = 20_000_000;

/// Why a broker can't start or go on.
#[derive(Debug)]
pub enum BrokerError {
    /// It was told something unusable.
    Config(ConfigError),
    /// The system refused something that it can't do without.
    Io(&'static str, io::Error),
}

impl BrokerError {
    /// For `map_err`: what was being done.
    pub fn io(what: &'static str) -> impl Fn(io::Error) -> BrokerError {
        move |e| BrokerError::Io(what, e)
    }
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

/// What is at hand while a front works.
pub struct FrontendContext<'a, Q, V> {
    /// The time.
    pub now: Nanos,
    /// The sockets.
    pub net: &'a mut PollLoop,
    /// The exchange.
    pub engine: &'a mut QueryEngine<Q, V>,
}

/// A front: a client side and a server side that meet only in the exchange.
pub trait Frontend {
    /// What a query carries.
    type Query;
    /// The value of a part.
    type Value;

    /// Something happened on a socket of the front's.
    fn on_event(&mut self, event: NetEvent, hands: &mut FrontendContext<Self::Query, Self::Value>);
    /// Time has gone by.
    fn tick(&mut self, hands: &mut FrontendContext<Self::Query, Self::Value>);
    /// The exchange wants something done.
    fn perform(
        &mut self,
        work: EngineAction<Self::Query, Self::Value>,
        hands: &mut FrontendContext<Self::Query, Self::Value>,
    );
    /// When `tick` is next worth calling.
    fn next_deadline(&self) -> Option<Nanos>;
    /// Whether it is ready for clients, for those who ask that.
    fn set_ready(&mut self, ready: bool);
    /// How clients are to be treated from now on.
    fn set_drain_phase(&mut self, step: DrainPhase);
    /// The word to read its configuration again has come. Whatever it finds, it goes on serving.
    fn reload(&mut self, hands: &mut FrontendContext<Self::Query, Self::Value>);
    /// Clients are sent away: whoever waits for nothing is to be closed.
    fn close_idle(&mut self, hands: &mut FrontendContext<Self::Query, Self::Value>);
    /// Owners of the listeners.
    fn listeners(&self) -> &[u8];
    /// No client is connected.
    fn is_empty(&self) -> bool;
    /// The classes' names in the order of the settings.
    fn class_names(&self) -> Vec<String>;
    /// Who is there to take parts.
    fn membership(&self) -> &MembershipDriver;
    /// See `membership`.
    fn membership_mut(&mut self) -> &mut MembershipDriver;
    /// From now on it keeps to so many descriptors.
    fn limit_descriptors(&mut self, descriptors: usize, net: &mut PollLoop);
    /// Ids of open queries that must not be taken twice.
    fn open_ids(&self) -> Vec<String>;
    /// Ids that another process has in use.
    fn reserve_ids(&mut self, ids: &[String], now: Nanos);
}

/// Time between two lines that tell how queries ended.
const TALLY: Nanos = 60_000_000_000;

/// How queries ended since the last such line.
#[derive(Default)]
struct QueryStats {
    told: Nanos,
    whole: u64,
    partial: u64,
    refused: u64,
    failed: u64,
}

impl QueryStats {
    fn count<V>(&mut self, answer: &QueryOutcome<V>) {
        match answer {
            QueryOutcome::Answered(a) if a.complete => self.whole += 1,
            QueryOutcome::Answered(_) => self.partial += 1,
            QueryOutcome::Rejected { .. } => self.refused += 1,
            QueryOutcome::Failed => self.failed += 1,
        }
    }

    fn tell(&mut self, now: Nanos, open: usize, out: usize) {
        let QueryStats { told, whole, partial, refused, failed } = *self;
        if now >= told + TALLY && whole + partial + refused + failed > 0 {
            tracing::info!(
                "queries: {whole} whole, {partial} partial, {refused} refused, {failed} failed; \
                 {open} open with {out} attempts out"
            );
            *self = QueryStats { told: now, ..QueryStats::default() };
        }
    }
}

/// A broker, ready to run.
pub struct Broker<F: Frontend> {
    clock: Clock,
    net: PollLoop,
    exchange: QueryEngine<F::Query, F::Value>,
    front: F,
    leave: DrainState,
    /// The step that the front was told, whether the listeners are closed, and when to look for idle clients again.
    step: DrainPhase,
    closed: bool,
    look: Nanos,
    /// The second address, where there is one.
    desk: Option<AdminServer>,
    class_names: Vec<String>,
    /// What staff have said, here or to another process at this address.
    words: Overrides,
    /// The other processes at this address, where there may be any, and the share that was told the front.
    handover: Option<HotRestart>,
    share: Option<QuotaShare>,
    /// Its place in a cluster, where it has one, and what of it holds here already.
    cluster: Option<Cluster>,
    held: AppliedClusterState,
    tally: QueryStats,
}

/// What a cluster's words have come to mean for this broker.
#[derive(Default)]
struct AppliedClusterState {
    out: BTreeSet<String>,
    paused: bool,
    /// The words on disk were compared with what an earlier process handed over.
    compared: bool,
    /// The longest turn of the loop, ns.
    longest_turn: Nanos,
}

impl<F: Frontend> Broker<F> {
    /// Puts a broker together.
    pub fn new(
        clock: Clock,
        net: PollLoop,
        exchange: QueryEngine<F::Query, F::Value>,
        front: F,
    ) -> Broker<F> {
        let longest = exchange.settings().classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let tally = QueryStats { told: clock.now(), ..QueryStats::default() };
        let class_names = front.class_names();
        let (leave, step, closed, look, desk) =
            (DrainState::new(longest), DrainPhase::Serving, false, 0, None);
        let (words, handover, share) = (Overrides::default(), None, None);
        let (cluster, held) = (None, AppliedClusterState::default());
        Broker {
            clock,
            net,
            exchange,
            front,
            leave,
            step,
            closed,
            look,
            desk,
            class_names,
            words,
            handover,
            share,
            cluster,
            held,
            tally,
        }
    }

    /// Others may serve at this address too: the one before, and one day the one after. `words` is what the one before
    /// was told by staff.
    pub fn join_hot_restart(&mut self, handover: HotRestart, words: Overrides) {
        let now = self.clock.now();
        if words.pause.is_some_and(|w| w.active) {
            self.leave.pause(now);
        }
        self.leave.share_address();
        (self.handover, self.words) = (Some(handover), words);
        self.others(now);
    }

    /// It belongs to a cluster from now on.
    pub fn join_cluster(&mut self, told: &ClusterConfig, name: &str) -> Result<(), BrokerError> {
        let now = self.clock.now();
        let cluster = Cluster::open(told, name, now, &mut self.net).map_err(BrokerError::io("cluster"))?;
        self.cluster = Some(cluster);
        self.peers(now);
        Ok(())
    }

    /// Answers at this second address from now on; tells where.
    pub fn listen_admin(&mut self, addr: SocketAddr) -> Result<SocketAddr, BrokerError> {
        let desk = AdminServer::open(addr, &mut self.net).map_err(BrokerError::io("listen for operation"))?;
        let listening = self.desk.insert(desk).listening();
        tracing::info!("calls for operation are taken at {listening}");
        Ok(listening)
    }

    /// Does from now on what these signals tell.
    pub fn handle_signals(&mut self, signals: Signals) -> Result<(), BrokerError> {
        self.net.watch_signals(signals).map_err(BrokerError::io("signals"))
    }

    /// Something by which another thread can tell this broker to end in an orderly way.
    pub fn shutdown_handle(&mut self) -> Result<Waker, BrokerError> {
        self.net.waker().map_err(BrokerError::io("waker"))
    }

    /// Serves until the word to end has come and all that was taken is answered.
    pub fn run(mut self) -> Result<(), BrokerError> {
        let mut events = Vec::new();
        while !self.finished() {
            let timeout =
                self.next_deadline().map(|t| Duration::from_nanos(t.saturating_sub(self.clock.now())));
            self.net.wait(timeout, &mut events).map_err(BrokerError::io("poll"))?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.on_event(event, now);
            }
            self.turn(now);
            if self.cluster.is_some() {
                self.held.longest_turn = self.held.longest_turn.max(self.clock.now().saturating_sub(now));
            }
        }
        tracing::info!("ended: all that was taken is answered");
        Ok(())
    }

    fn on_event(&mut self, event: NetEvent, now: Nanos) {
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        match event {
            NetEvent::Signal(Signal::End) if self.leave.is_shutting_down() => {}
            NetEvent::Signal(Signal::End) => {
                tracing::info!("draining: {} queries are open", self.exchange.open_queries());
                self.leave.begin_shutdown(now);
            }
            NetEvent::Signal(Signal::Reload) => {
                self.front.reload(&mut hands);
                self.cluster.iter_mut().for_each(Cluster::start_reload);
            }
            _ if event.owner() == Some(admin::OWNER) => {
                if let Some(desk) = &mut self.desk {
                    desk.on_event(event, now, &mut self.net);
                    self.calls(now);
                }
            }
            _ if event.owner() == Some(cluster::OWNER) => {
                if let Some(cluster) = &mut self.cluster {
                    let begun = self.clock.now();
                    cluster.on_event(event, now, &mut self.net);
                    cluster.record_turn_time(self.clock.now().saturating_sub(begun));
                }
            }
            _ => self.front.on_event(event, &mut hands),
        }
    }

    /// Carries out the calls that have come.
    fn calls(&mut self, now: Nanos) {
        while let Some((conn, call)) = self.desk.as_mut().and_then(AdminServer::next_request) {
            let reply = self.call(call, conn, now);
            if let (Some(desk), Some(reply)) = (&mut self.desk, reply) {
                desk.answer(conn, &reply, &mut self.net);
            }
        }
    }

    /// The answer; none where it comes once a word is on disk.
    fn call(&mut self, call: AdminRequest, caller: ConnId, now: Nanos) -> Option<AdminResponse> {
        if self.cluster.is_some() {
            let said = match call {
                AdminRequest::Suspend(id, aside) => {
                    self.say(FactKey::Server(id), CommandValue::Out, aside, caller, now)
                }
                AdminRequest::Restore(id, aside) => {
                    self.say(FactKey::Server(id), CommandValue::Back, aside, caller, now)
                }
                AdminRequest::Pause(name, aside) => {
                    self.say(self.pause_of(name), CommandValue::Out, aside, caller, now)
                }
                AdminRequest::Resume(name, aside) => {
                    self.say(self.pause_of(name), CommandValue::Back, aside, caller, now)
                }
                AdminRequest::Remove(name, aside) => {
                    self.say(FactKey::Removed(name), CommandValue::Out, aside, caller, now)
                }
                AdminRequest::Admit(name, aside) => {
                    self.say(FactKey::Removed(name), CommandValue::Back, aside, caller, now)
                }
                other => return Some(self.answer(other, now)),
            };
            return said.err().map(AdminResponse::No);
        }
        Some(self.answer(call, now))
    }

    fn pause_of(&self, name: Option<String>) -> FactKey {
        let own = self.cluster.as_ref().map_or("", Cluster::name);
        FactKey::Pause(name.unwrap_or_else(|| own.to_owned()))
    }

    /// Staff say something to the whole cluster.
    fn say(
        &mut self,
        key: FactKey,
        value: CommandValue,
        aside: CommandOptions,
        caller: ConnId,
        now: Nanos,
    ) -> Result<(), String> {
        let Some(cluster) = &mut self.cluster else { return Err("this broker has no peers".into()) };
        let known = cluster.knows(&key);
        let yes = match &key {
            FactKey::Server(id) if known || self.front.membership().knows(id) => id.clone(),
            FactKey::Server(id) => return Err(format!("{id} was never listed")),
            // It would stop talking at once, and nobody would hear of it.
            FactKey::Removed(name) if name == cluster.name() && value == CommandValue::Out => {
                return Err(format!("{name} is this broker: say it at another one"));
            }
            FactKey::Pause(name) | FactKey::Removed(name) if known || cluster.is_broker(name) => name.clone(),
            FactKey::Pause(name) | FactKey::Removed(name) => {
                return Err(format!("{name} is no broker of this cluster"));
            }
            _ => return Err("nothing is said of that by hand".into()),
        };
        cluster.record_command(key, value, aside, caller, yes, now).map_err(|e| e.to_string())?;
        self.peers(now);
        Ok(())
    }

    fn answer(&mut self, call: AdminRequest, now: Nanos) -> AdminResponse {
        match call {
            AdminRequest::Status if self.leave.is_shutting_down() => {
                AdminResponse::No("this process ends".into())
            }
            AdminRequest::Status if self.leave.is_paused() => AdminResponse::Yes("paused".into()),
            AdminRequest::Status => AdminResponse::Yes("serving".into()),
            AdminRequest::Metrics => {
                let (pool_size, out) = self.front.membership().counts();
                let (active, ejected) = (self.exchange.open_queries(), self.exchange.ejected());
                let at_once = metrics::Gauges { active, pool_size, pool_ejected: out + ejected };
                AdminResponse::Figures(self.exchange.metrics().line(&self.class_names, at_once))
            }
            AdminRequest::Clients => AdminResponse::Yes(self.net.accepted().to_string()),
            AdminRequest::Out(id) => match self.front.membership().replica(&id) {
                Some(replica) => AdminResponse::Yes(self.exchange.in_flight_at(replica).to_string()),
                None => AdminResponse::No(format!("{id} was never listed")),
            },
            AdminRequest::Suspend(_, aside)
            | AdminRequest::Restore(_, aside)
            | AdminRequest::Pause(_, aside)
            | AdminRequest::Resume(_, aside)
                if aside.holds.is_some() =>
            {
                AdminResponse::No("for= needs a cluster: without one a word holds until the next".into())
            }
            AdminRequest::Suspend(id, _) => self.by_hand(&id, true, now),
            AdminRequest::Restore(id, _) => self.by_hand(&id, false, now),
            AdminRequest::Peers | AdminRequest::State | AdminRequest::Conflicts => {
                let longest = self.held.longest_turn;
                let Some(cluster) = &self.cluster else {
                    return AdminResponse::No("this broker has no peers".into());
                };
                let told = match call {
                    AdminRequest::Peers => cluster.peers_report(now, longest),
                    AdminRequest::State => cluster.state_report(now),
                    _ => cluster.conflicts_report(now),
                };
                AdminResponse::Figures(told.to_string())
            }
            AdminRequest::Pause(Some(_), _)
            | AdminRequest::Resume(Some(_), _)
            | AdminRequest::Remove(..)
            | AdminRequest::Admit(..) => AdminResponse::No("this broker has no peers".into()),
            AdminRequest::Pause(None, _) => {
                self.words.set_paused(true, now);
                self.handover.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("paused by hand: {} queries are open", self.exchange.open_queries());
                self.leave.pause(now);
                AdminResponse::Yes("clients are sent away".into())
            }
            AdminRequest::Resume(..) if self.leave.is_shutting_down() => {
                AdminResponse::No("this process ends".into())
            }
            AdminRequest::Resume(None, _) => {
                self.words.set_paused(false, now);
                self.handover.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("resumed by hand");
                self.leave.resume();
                AdminResponse::Yes("clients are welcome".into())
            }
        }
    }

    fn by_hand(&mut self, id: &str, out: bool, now: Nanos) -> AdminResponse {
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        match self.front.membership_mut().set_suspended(id, out, false, &mut hands) {
            Ok(()) => {
                self.words.set_server_suspended(id, out, now);
                self.handover.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("server {id} is {} by hand", if out { "out" } else { "put back" });
                AdminResponse::Yes(id.to_owned())
            }
            Err(UnknownNode) => AdminResponse::No(format!("{id} was never listed")),
        }
    }

    /// What the cluster tells, and what it is told.
    fn peers(&mut self, now: Nanos) {
        let Some(cluster) = &mut self.cluster else { return };
        let begun = self.clock.now();
        // Until what is on disk is known, as beside a process before this one, there is nobody to be told.
        if cluster.derived_state().is_some() {
            for (key, latest) in self.front.membership_mut().take_hints() {
                cluster.record_hint(key, latest, now);
            }
        }
        cluster.tick(now, &mut self.net);
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        while let Some((id, heard)) = cluster.next_hint() {
            self.front.membership_mut().on_hint(&id, heard, &mut hands);
        }
        let mut paused = None;
        if let Some(effect) = cluster.derived_state() {
            if !std::mem::replace(&mut self.held.compared, true) {
                // What an earlier process handed over was told to the cluster too: its disk has the later word.
                self.held.out = self.words.suspended_servers().map(str::to_owned).collect();
                self.held.paused = self.words.pause.is_some_and(|w| w.active);
            }
            for id in effect.out.symmetric_difference(&self.held.out) {
                let out = effect.out.contains(id);
                let _ = self.front.membership_mut().set_suspended(id, out, true, &mut hands);
                self.words.set_server_suspended(id, out, now);
                self.handover.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("server {id} is {} by hand", if out { "out" } else { "put back" });
            }
            if effect.out != self.held.out {
                self.held.out = effect.out.clone();
            }
            if effect.paused != self.held.paused {
                self.held.paused = effect.paused;
                paused = Some(effect.paused);
            }
        }
        for (caller, reply) in cluster.take_replies() {
            let reply = match reply {
                Ok(yes) => AdminResponse::Yes(yes),
                Err(why) => AdminResponse::No(why),
            };
            if let Some(desk) = &mut self.desk {
                desk.answer(caller, &reply, &mut self.net);
            }
        }
        cluster.record_turn_time(self.clock.now().saturating_sub(begun));
        match paused {
            Some(true) => {
                self.words.set_paused(true, now);
                tracing::info!("paused by hand: {} queries are open", self.exchange.open_queries());
                self.leave.pause(now);
            }
            Some(false) => {
                self.words.set_paused(false, now);
                tracing::info!("resumed by hand");
                self.leave.resume();
            }
            None => {}
        }
    }

    /// All that time alone brings, and the work that follows from it.
    fn turn(&mut self, now: Nanos) {
        self.others(now);
        self.peers(now);
        self.update_drain_phase(now);
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        hands.net.tick(now);
        if let Some(desk) = &mut self.desk {
            desk.tick(now, hands.net);
        }
        self.front.tick(&mut hands);
        hands.engine.advance(now);
        while let Some(work) = hands.engine.next_action() {
            if let EngineAction::Respond { outcome: answer, .. } = &work {
                self.tally.count(answer);
            }
            self.front.perform(work, &mut hands);
        }
        self.tally.tell(now, hands.engine.open_queries(), hands.engine.attempts_in_flight());
    }

    /// Hears of the other processes at this address, and tells them how this one stands.
    fn others(&mut self, now: Nanos) {
        let Some(handover) = self.handover.as_mut().filter(|h| h.is_due(now)) else { return };
        let holds =
            ResourceUsage { descriptors: self.net.descriptors(), in_flight: self.exchange.in_flight() };
        let open_query_ids = self.front.open_ids();
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        let mut paused = None;
        for peer in handover.observe(holds, now).unwrap_or(&[]) {
            let before = self.words.clone();
            if self.words.merge(&peer.effective_overrides()) {
                for (id, word) in
                    self.words.servers.iter().filter(|(id, w)| before.servers.get(*id) != Some(w))
                {
                    let _ = self.front.membership_mut().set_suspended(id, word.active, true, &mut hands);
                }
                paused = self.words.pause.filter(|w| before.pause != Some(*w)).or(paused);
            }
            if let Some(state) = &peer.state {
                self.front.reserve_ids(&state.open_query_ids, now);
            }
        }
        match paused {
            Some(word) if word.active => self.leave.pause(now),
            Some(_) => self.leave.resume(),
            None => {}
        }
        let share = handover.quota_share(now);
        let was = self.share.replace(share);
        if was != Some(share) {
            self.front.limit_descriptors(share.descriptors, hands.net);
            hands.engine.limit_in_flight(share.max_in_flight);
            hands.engine.set_free_retries(share.free_retries);
        }
        if share.successor_serving && !was.is_some_and(|w| w.successor_serving) {
            tracing::info!(
                "another process serves at this address: {} queries are open",
                hands.engine.open_queries()
            );
            self.leave.successor_serves(now);
        }
        handover.set_stage(if self.leave.is_shutting_down() {
            ProcessStage::Draining
        } else {
            ProcessStage::Serving
        });
        let members = self.front.membership();
        let state = LocalState {
            in_flight: holds.in_flight,
            open_query_ids,
            overrides: &self.words,
            snapshot_version: members.version(),
        };
        handover.publish(state, || members.snapshot(now), now);
    }

    /// Tells the front how clients are to be treated from now on.
    fn update_drain_phase(&mut self, now: Nanos) {
        let (step, was) = (self.leave.phase(now), self.step);
        let caught_up = self.cluster.as_ref().is_none_or(Cluster::is_ready);
        self.front.set_ready(caught_up && self.leave.is_ready(now));
        if step != was {
            self.step = step;
            self.front.set_drain_phase(step);
            // Its next tick says goodbye to those who must be told.
            self.look = now + LOOK;
        }
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        if !self.closed && self.leave.stop_listening_at().is_some_and(|t| t <= now) {
            self.closed = true;
            for owner in self.front.listeners() {
                hands.net.stop_listening(*owner, self.leave.has_successor());
            }
            // What is taken from now on must be answered before this program may be killed.
            hands.engine.end_all_by(self.leave.answer_by(now));
        }
        if step >= DrainPhase::ClosingIdle && now >= self.look {
            self.look = now + LOOK;
            self.front.close_idle(&mut hands);
        }
    }

    /// Guards the end of a drain: a connection that was just accepted is still served, and a peer that does not
    /// read its answer can't keep the program.
    fn finished(&self) -> bool {
        let late = self.leave.exit_by().is_some_and(|t| self.clock.now() >= t);
        self.closed && (late || (self.front.is_empty() && !self.net.is_busy()))
    }

    fn next_deadline(&self) -> Option<Nanos> {
        // While nobody is connected there is nobody to close.
        let gone =
            self.step >= DrainPhase::ClosingIdle && !self.leave.is_shutting_down() && self.front.is_empty();
        let leave = self.leave.next_deadline(self.clock.now()).filter(|_| !gone);
        let desk = self.desk.as_ref().and_then(AdminServer::next_deadline);
        let others = self.handover.as_ref().map(|h| h.next_deadline(self.clock.now()));
        let peers = self.cluster.as_ref().map(|c| c.next_deadline(self.clock.now()));
        [
            self.exchange.next_deadline(),
            self.front.next_deadline(),
            self.net.next_deadline(),
            leave,
            desk,
            others,
            peers,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
