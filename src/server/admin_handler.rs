//! Carries out the requests of the admin endpoint.

use super::broker::Broker;
use super::frontend::Frontend;
use crate::admin::{AdminRequest, AdminResponse, AdminServer, CommandOptions};
use crate::api::Nanos;
use crate::cluster::{Cluster, CommandError};
use crate::membership::UnknownNode;
use crate::metrics::Gauges;
use crate::net::ConnId;
use crate::replication::{CommandValue, FactKey};

/// Why a request failed. The text is sent to the caller.
#[derive(Debug, thiserror::Error)]
enum AdminError {
    #[error("this broker has no peers")]
    NoPeers,
    #[error("this process ends")]
    ShuttingDown,
    #[error("{0} was never listed")]
    UnknownNode(String),
    #[error("{0} is no broker of this cluster")]
    UnknownBroker(String),
    /// A broker that removed itself would stop exchanging state at once, so the removal would not reach any
    /// peer.
    #[error("{0} is this broker: say it at another one")]
    RemovesItself(String),
    #[error("this fact can't be set by a command")]
    NoSuchCommand,
    #[error("for= needs a cluster: without one a word holds until the next")]
    ExpiryNeedsCluster,
    #[error("{0}")]
    Cluster(CommandError),
}

/// An operator's command to the whole cluster.
struct ClusterCommand {
    key: FactKey,
    value: CommandValue,
    options: CommandOptions,
}

impl ClusterCommand {
    /// The cluster command that a request stands for, or the request itself if it is not a cluster command. A
    /// request that names no broker applies to this one, `own_name`.
    fn from_request(request: AdminRequest, own_name: &str) -> Result<ClusterCommand, AdminRequest> {
        let pause = |broker: Option<String>| FactKey::Pause(broker.unwrap_or_else(|| own_name.to_owned()));
        let (key, value, options) = match request {
            AdminRequest::Suspend(id, options) => (FactKey::Server(id), CommandValue::Set, options),
            AdminRequest::Restore(id, options) => (FactKey::Server(id), CommandValue::Clear, options),
            AdminRequest::Pause(broker, options) => (pause(broker), CommandValue::Set, options),
            AdminRequest::Resume(broker, options) => (pause(broker), CommandValue::Clear, options),
            AdminRequest::Remove(broker, options) => (FactKey::Removed(broker), CommandValue::Set, options),
            AdminRequest::Admit(broker, options) => (FactKey::Removed(broker), CommandValue::Clear, options),
            other => return Err(other),
        };
        Ok(ClusterCommand { key, value, options })
    }
}

impl<F: Frontend> Broker<F> {
    /// Handles the requests that have arrived.
    pub(super) fn handle_admin_requests(&mut self, now: Nanos) {
        while let Some((conn, request)) = self.admin_server.as_mut().and_then(AdminServer::next_request) {
            let response = self.handle_admin_request(request, conn, now);
            if let (Some(admin_server), Some(response)) = (&mut self.admin_server, response) {
                admin_server.respond(conn, &response, &mut self.net);
            }
        }
    }

    /// Returns the response, if it can be sent at once. A command to the cluster is answered once it is on
    /// disk, and a command that also applies to other processes at this address once they can read it.
    fn handle_admin_request(
        &mut self,
        mut request: AdminRequest,
        caller: ConnId,
        now: Nanos,
    ) -> Option<AdminResponse> {
        let failure = |error: AdminError| AdminResponse::Failure(error.to_string());
        if let Some(cluster) = &self.cluster {
            match ClusterCommand::from_request(request, cluster.name()) {
                Ok(command) => return self.record_command(command, caller, now).err().map(failure),
                Err(other) => request = other,
            }
        }
        let is_shared_override = self.hot_restart.is_some() && is_override(&request);
        match self.carry_out_locally(request, now) {
            Ok(response) if is_shared_override => {
                self.command_confirmations.add(caller, response, now);
                None
            }
            Ok(response) => Some(response),
            Err(error) => Some(failure(error)),
        }
    }

    /// Records a command in the state of the cluster.
    fn record_command(
        &mut self,
        command: ClusterCommand,
        caller: ConnId,
        now: Nanos,
    ) -> Result<(), AdminError> {
        let confirmation = self.check_command(&command)?;
        let Some(cluster) = &mut self.cluster else { return Err(AdminError::NoPeers) };
        let ClusterCommand { key, value, options } = command;
        cluster
            .record_command(key, value, options, caller, confirmation, now)
            .map_err(AdminError::Cluster)?;
        self.drive_cluster(now);
        Ok(())
    }

    /// Checks that the node or broker that a command names exists; returns the text of its confirmation.
    fn check_command(&self, command: &ClusterCommand) -> Result<String, AdminError> {
        let Some(cluster) = &self.cluster else { return Err(AdminError::NoPeers) };
        let known = cluster.knows(&command.key);
        match &command.key {
            FactKey::Server(id) if known || self.frontend.membership().knows(id) => Ok(id.clone()),
            FactKey::Server(id) => Err(AdminError::UnknownNode(id.clone())),
            FactKey::Removed(name) if name == cluster.name() && command.value == CommandValue::Set => {
                Err(AdminError::RemovesItself(name.clone()))
            }
            FactKey::Pause(name) | FactKey::Removed(name) if known || cluster.is_broker(name) => {
                Ok(name.clone())
            }
            FactKey::Pause(name) | FactKey::Removed(name) => Err(AdminError::UnknownBroker(name.clone())),
            _ => Err(AdminError::NoSuchCommand),
        }
    }

    /// Carries out a request that applies to this broker only.
    fn carry_out_locally(&mut self, request: AdminRequest, now: Nanos) -> Result<AdminResponse, AdminError> {
        match request {
            AdminRequest::Status => self.status(),
            AdminRequest::Metrics => Ok(self.metrics_report()),
            AdminRequest::Clients => Ok(AdminResponse::Success(self.net.accepted().to_string())),
            AdminRequest::InFlight(id) => self.attempts_in_flight_at(id),
            AdminRequest::Peers => {
                let report = self.cluster()?.peers_report(now, self.longest_iteration);
                Ok(AdminResponse::Report(report.to_string()))
            }
            AdminRequest::State => Ok(AdminResponse::Report(self.cluster()?.state_report(now).to_string())),
            AdminRequest::Conflicts => {
                Ok(AdminResponse::Report(self.cluster()?.conflicts_report(now).to_string()))
            }
            AdminRequest::Suspend(id, options) => self.suspend_or_restore(id, true, &options, now),
            AdminRequest::Restore(id, options) => self.suspend_or_restore(id, false, &options, now),
            AdminRequest::Pause(broker, options) => self.pause(broker, &options, now),
            AdminRequest::Resume(broker, options) => self.resume(broker, &options, now),
            AdminRequest::Remove(..) | AdminRequest::Admit(..) => Err(AdminError::NoPeers),
        }
    }

    fn cluster(&self) -> Result<&Cluster, AdminError> {
        self.cluster.as_ref().ok_or(AdminError::NoPeers)
    }

    fn status(&self) -> Result<AdminResponse, AdminError> {
        if self.drain.is_shutting_down() {
            return Err(AdminError::ShuttingDown);
        }
        let status = if self.drain.is_paused() { "paused" } else { "serving" };
        Ok(AdminResponse::Success(status.into()))
    }

    fn metrics_report(&self) -> AdminResponse {
        let (pool_size, suspended) = self.frontend.membership().node_counts();
        let gauges = Gauges {
            active: self.engine.open_queries(),
            pool_size,
            pool_ejected: suspended + self.engine.ejected(),
        };
        AdminResponse::Report(self.engine.metrics().to_json_line(&self.class_names, gauges))
    }

    fn attempts_in_flight_at(&self, id: String) -> Result<AdminResponse, AdminError> {
        match self.frontend.membership().replica(&id) {
            Some(replica) => Ok(AdminResponse::Success(self.engine.in_flight_at(replica).to_string())),
            None => Err(AdminError::UnknownNode(id)),
        }
    }

    fn suspend_or_restore(
        &mut self,
        id: String,
        suspended: bool,
        options: &CommandOptions,
        now: Nanos,
    ) -> Result<AdminResponse, AdminError> {
        reject_expiry(options)?;
        match self.set_suspended(&id, suspended, now) {
            Ok(()) => Ok(AdminResponse::Success(id)),
            Err(UnknownNode) => Err(AdminError::UnknownNode(id)),
        }
    }

    fn pause(
        &mut self,
        broker: Option<String>,
        options: &CommandOptions,
        now: Nanos,
    ) -> Result<AdminResponse, AdminError> {
        reject_expiry(options)?;
        reject_other_broker(broker.as_deref())?;
        self.set_paused(true, now);
        self.publish_overrides();
        Ok(AdminResponse::Success("clients are sent away".into()))
    }

    fn resume(
        &mut self,
        broker: Option<String>,
        options: &CommandOptions,
        now: Nanos,
    ) -> Result<AdminResponse, AdminError> {
        reject_expiry(options)?;
        reject_other_broker(broker.as_deref())?;
        if self.drain.is_shutting_down() {
            return Err(AdminError::ShuttingDown);
        }
        self.set_paused(false, now);
        self.publish_overrides();
        Ok(AdminResponse::Success("clients are welcome".into()))
    }
}

/// Whether a request is a command that also applies to the other processes at this address.
fn is_override(request: &AdminRequest) -> bool {
    matches!(
        request,
        AdminRequest::Suspend(..)
            | AdminRequest::Restore(..)
            | AdminRequest::Pause(..)
            | AdminRequest::Resume(..)
    )
}

/// Rejects an expiry: without a cluster, commands have no expiry.
fn reject_expiry(options: &CommandOptions) -> Result<(), AdminError> {
    if options.valid_for_s.is_some() { Err(AdminError::ExpiryNeedsCluster) } else { Ok(()) }
}

/// Rejects the name of a broker: without a cluster, only this broker can be paused or resumed.
fn reject_other_broker(broker: Option<&str>) -> Result<(), AdminError> {
    if broker.is_some() { Err(AdminError::NoPeers) } else { Ok(()) }
}
