//! Exchanges state with the cluster, and applies its changes to this broker.

use super::broker::Broker;
use super::cluster_state::{AppliedClusterState, StateChanges};
use super::frontend::{Frontend, FrontendContext};
use crate::admin::AdminResponse;
use crate::api::Nanos;

impl<F: Frontend> Broker<F> {
    /// Exchanges hints and state with the cluster, and applies what changed. Does nothing without a cluster.
    pub(super) fn drive_cluster(&mut self, now: Nanos) {
        if self.cluster.is_none() {
            return;
        }
        let started = self.clock.now();
        self.exchange_hints(now);
        let changes = self.take_cluster_changes();
        for change in changes.suspensions {
            self.apply_suspension(&change.id, change.suspended, now);
        }
        self.answer_cluster_commands();
        if let Some(cluster) = &mut self.cluster {
            cluster.record_turn_time(self.clock.now().saturating_sub(started));
        }
        if let Some(paused) = changes.paused {
            self.set_paused(paused, now);
        }
    }

    fn exchange_hints(&mut self, now: Nanos) {
        let Some(cluster) = &mut self.cluster else { return };
        // Nothing can be recorded until the state has been read from disk, nor while the previous process
        // still holds that state.
        if cluster.derived_state().is_some() {
            for (key, latest) in self.frontend.membership_mut().take_hints() {
                cluster.record_hint(key, latest, now);
            }
        }
        cluster.tick(now, &mut self.net);
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        while let Some((id, hints)) = cluster.next_hint() {
            self.frontend.membership_mut().on_hint(&id, hints, &mut context);
        }
    }

    fn take_cluster_changes(&mut self) -> StateChanges {
        let Some(state) = self.cluster.as_ref().and_then(|cluster| cluster.derived_state()) else {
            return StateChanges::default();
        };
        let overrides = &self.overrides;
        self.applied.get_or_insert_with(|| AppliedClusterState::from_overrides(overrides)).update(state)
    }

    /// Answers the callers whose commands have been written to disk or rejected.
    fn answer_cluster_commands(&mut self) {
        let Some(cluster) = &mut self.cluster else { return };
        for (caller, result) in cluster.take_replies() {
            let response = match result {
                Ok(confirmation) => AdminResponse::Success(confirmation),
                Err(reason) => AdminResponse::Failure(reason),
            };
            if let Some(admin_server) = &mut self.admin_server {
                admin_server.respond(caller, &response, &mut self.net);
            }
        }
    }
}
