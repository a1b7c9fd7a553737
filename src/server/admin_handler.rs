//! Carries out the requests of the admin endpoint.

use super::broker::Broker;
use super::frontend::{Frontend, FrontendContext};
use crate::admin::{AdminRequest, AdminResponse, AdminServer, CommandOptions};
use crate::api::Nanos;
use crate::cluster::Cluster;
use crate::hot_restart::HotRestart;
use crate::membership::UnknownNode;
use crate::metrics;
use crate::net::ConnId;
use crate::replication::{CommandValue, FactKey};

impl<F: Frontend> Broker<F> {
    /// Carries out the calls that have come.
    pub(super) fn calls(&mut self, now: Nanos) {
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
        cluster.say(key, value, aside, caller, yes, now).map_err(|e| e.to_string())?;
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
                    AdminRequest::Peers => cluster.peers(now, longest),
                    AdminRequest::State => cluster.state(now),
                    _ => cluster.conflicts(now),
                };
                AdminResponse::Figures(told.to_string())
            }
            AdminRequest::Pause(Some(_), _)
            | AdminRequest::Resume(Some(_), _)
            | AdminRequest::Remove(..)
            | AdminRequest::Admit(..) => AdminResponse::No("this broker has no peers".into()),
            AdminRequest::Pause(None, _) => {
                self.words.pause(true, now);
                self.handover.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("paused by hand: {} queries are open", self.exchange.open_queries());
                self.leave.pause(now);
                AdminResponse::Yes("clients are sent away".into())
            }
            AdminRequest::Resume(..) if self.leave.is_shutting_down() => {
                AdminResponse::No("this process ends".into())
            }
            AdminRequest::Resume(None, _) => {
                self.words.pause(false, now);
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
                self.words.server(id, out, now);
                self.handover.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("server {id} is {} by hand", if out { "out" } else { "put back" });
                AdminResponse::Yes(id.to_owned())
            }
            Err(UnknownNode) => AdminResponse::No(format!("{id} was never listed")),
        }
    }
}
