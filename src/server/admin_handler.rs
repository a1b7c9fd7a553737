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
    pub(super) fn handle_admin_requests(&mut self, now: Nanos) {
        while let Some((conn, request)) = self.admin_server.as_mut().and_then(AdminServer::next_request) {
            let response = self.handle_admin_request(request, conn, now);
            if let (Some(admin_server), Some(response)) = (&mut self.admin_server, response) {
                admin_server.answer(conn, &response, &mut self.net);
            }
        }
    }

    /// The answer; none where it comes once a word is on disk.
    fn handle_admin_request(
        &mut self,
        request: AdminRequest,
        caller: ConnId,
        now: Nanos,
    ) -> Option<AdminResponse> {
        if self.cluster.is_some() {
            let recorded = match request {
                AdminRequest::Suspend(id, options) => {
                    self.record_command(FactKey::Server(id), CommandValue::Out, options, caller, now)
                }
                AdminRequest::Restore(id, options) => {
                    self.record_command(FactKey::Server(id), CommandValue::Back, options, caller, now)
                }
                AdminRequest::Pause(name, options) => {
                    self.record_command(self.pause_key(name), CommandValue::Out, options, caller, now)
                }
                AdminRequest::Resume(name, options) => {
                    self.record_command(self.pause_key(name), CommandValue::Back, options, caller, now)
                }
                AdminRequest::Remove(name, options) => {
                    self.record_command(FactKey::Removed(name), CommandValue::Out, options, caller, now)
                }
                AdminRequest::Admit(name, options) => {
                    self.record_command(FactKey::Removed(name), CommandValue::Back, options, caller, now)
                }
                other => return Some(self.answer(other, now)),
            };
            return recorded.err().map(AdminResponse::No);
        }
        Some(self.answer(request, now))
    }

    fn pause_key(&self, name: Option<String>) -> FactKey {
        let own_name = self.cluster.as_ref().map_or("", Cluster::name);
        FactKey::Pause(name.unwrap_or_else(|| own_name.to_owned()))
    }

    /// Staff say something to the whole cluster.
    fn record_command(
        &mut self,
        key: FactKey,
        value: CommandValue,
        options: CommandOptions,
        caller: ConnId,
        now: Nanos,
    ) -> Result<(), String> {
        let Some(cluster) = &mut self.cluster else { return Err("this broker has no peers".into()) };
        let known = cluster.knows(&key);
        let confirmation = match &key {
            FactKey::Server(id) if known || self.frontend.membership().knows(id) => id.clone(),
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
        cluster.say(key, value, options, caller, confirmation, now).map_err(|e| e.to_string())?;
        self.drive_cluster(now);
        Ok(())
    }

    fn answer(&mut self, request: AdminRequest, now: Nanos) -> AdminResponse {
        match request {
            AdminRequest::Status if self.drain.is_shutting_down() => {
                AdminResponse::No("this process ends".into())
            }
            AdminRequest::Status if self.drain.is_paused() => AdminResponse::Yes("paused".into()),
            AdminRequest::Status => AdminResponse::Yes("serving".into()),
            AdminRequest::Metrics => {
                let (pool_size, suspended) = self.frontend.membership().counts();
                let (active, ejected) = (self.engine.open_queries(), self.engine.ejected());
                let gauges = metrics::Gauges { active, pool_size, pool_ejected: suspended + ejected };
                AdminResponse::Figures(self.engine.metrics().line(&self.class_names, gauges))
            }
            AdminRequest::Clients => AdminResponse::Yes(self.net.accepted().to_string()),
            AdminRequest::Out(id) => match self.frontend.membership().replica(&id) {
                Some(replica) => AdminResponse::Yes(self.engine.in_flight_at(replica).to_string()),
                None => AdminResponse::No(format!("{id} was never listed")),
            },
            AdminRequest::Suspend(_, options)
            | AdminRequest::Restore(_, options)
            | AdminRequest::Pause(_, options)
            | AdminRequest::Resume(_, options)
                if options.holds.is_some() =>
            {
                AdminResponse::No("for= needs a cluster: without one a word holds until the next".into())
            }
            AdminRequest::Suspend(id, _) => self.set_suspended(&id, true, now),
            AdminRequest::Restore(id, _) => self.set_suspended(&id, false, now),
            AdminRequest::Peers | AdminRequest::State | AdminRequest::Conflicts => {
                let longest_iteration = self.applied.longest_iteration;
                let Some(cluster) = &self.cluster else {
                    return AdminResponse::No("this broker has no peers".into());
                };
                let report = match request {
                    AdminRequest::Peers => cluster.peers(now, longest_iteration),
                    AdminRequest::State => cluster.state(now),
                    _ => cluster.conflicts(now),
                };
                AdminResponse::Figures(report.to_string())
            }
            AdminRequest::Pause(Some(_), _)
            | AdminRequest::Resume(Some(_), _)
            | AdminRequest::Remove(..)
            | AdminRequest::Admit(..) => AdminResponse::No("this broker has no peers".into()),
            AdminRequest::Pause(None, _) => {
                self.overrides.pause(true, now);
                self.hot_restart.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("paused by hand: {} queries are open", self.engine.open_queries());
                self.drain.pause(now);
                AdminResponse::Yes("clients are sent away".into())
            }
            AdminRequest::Resume(..) if self.drain.is_shutting_down() => {
                AdminResponse::No("this process ends".into())
            }
            AdminRequest::Resume(None, _) => {
                self.overrides.pause(false, now);
                self.hot_restart.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("resumed by hand");
                self.drain.resume();
                AdminResponse::Yes("clients are welcome".into())
            }
        }
    }

    fn set_suspended(&mut self, id: &str, suspended: bool, now: Nanos) -> AdminResponse {
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        match self.frontend.membership_mut().set_suspended(id, suspended, false, &mut context) {
            Ok(()) => {
                self.overrides.server(id, suspended, now);
                self.hot_restart.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("server {id} is {} by hand", if suspended { "out" } else { "put back" });
                AdminResponse::Yes(id.to_owned())
            }
            Err(UnknownNode) => AdminResponse::No(format!("{id} was never listed")),
        }
    }
}
