//! Observes the other processes at this address, and publishes the state of this one.

use super::broker::Broker;
use super::frontend::{Frontend, FrontendContext};
use crate::api::Nanos;
use crate::hot_restart::state::ProcessStage;
use crate::hot_restart::{HotRestart, LocalState, ResourceUsage};

impl<F: Frontend> Broker<F> {
    /// Observes the other processes at this address, applies their commands and this process's share of the
    /// limits, and publishes the state of this one. Does nothing until that is due.
    pub(super) fn observe_hot_restart(&mut self, now: Nanos) {
        if !self.hot_restart.as_ref().is_some_and(|hot_restart| hot_restart.is_due(now)) {
            return;
        }
        let usage = ResourceUsage { descriptors: self.net.descriptors(), in_flight: self.engine.in_flight() };
        let open_query_ids = self.frontend.open_ids();
        self.merge_peer_states(usage, now);
        self.apply_quota_share(now);
        self.publish_state(usage.in_flight, open_query_ids, now);
    }

    /// Adopts what the other processes have been told: the operator's commands and the endpoint lists, and the ids
    /// of their open queries.
    fn merge_peer_states(&mut self, usage: ResourceUsage, now: Nanos) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let Some(observed) = hot_restart.observe(usage, now) else { return };
        for list in &observed.snapshots {
            self.frontend.membership_mut().merge_peer_list(list, now);
        }
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        let mut pause_change = None;
        let mut ids_open_at_peers = Vec::new();
        for peer in observed.reports {
            let previous = self.overrides.clone();
            if self.overrides.merge(&peer.overrides) {
                for (id, command) in &self.overrides.servers {
                    if previous.servers.get(id) != Some(command) {
                        self.frontend.membership_mut().apply_suspension(id, command.active, &mut context);
                    }
                }
                pause_change = self.overrides.pause.filter(|c| previous.pause != Some(*c)).or(pause_change);
            }
            ids_open_at_peers.extend(peer.open_query_ids);
        }
        self.frontend.set_ids_open_at_peers(ids_open_at_peers, now);
        match pause_change {
            Some(command) if command.active => self.drain.pause(now),
            Some(_) => self.drain.resume(),
            None => {}
        }
    }

    /// Applies this process's share of the limits, and begins the shutdown once another process serves.
    fn apply_quota_share(&mut self, now: Nanos) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        let share = hot_restart.quota_share(now);
        let previous = self.quota_share.replace(share);
        if previous != Some(share) {
            self.frontend.limit_descriptors(share.descriptors, &mut self.net);
            self.engine.limit_in_flight(share.max_in_flight);
            self.engine.set_free_retries(share.free_retries);
        }
        if share.successor_serving && !previous.is_some_and(|previous| previous.successor_serving) {
            let open_queries = self.engine.open_queries();
            tracing::info!(open_queries, "another process serves at this address");
            self.drain.successor_serves(now);
        }
    }

    /// Whether this process has to stay although it has no clients left: its watch on discovery is the only one
    /// of the broker until the process that took over has one, or until this one may be killed.
    pub(super) fn keeps_watch_for_successor(&mut self) -> bool {
        let now = self.clock.now();
        let may_stay = self.drain.may_stay_until().is_some_and(|until| now < until);
        let keeps = may_stay
            && self.frontend.membership().watches_discovery()
            && self.hot_restart.as_ref().is_some_and(HotRestart::successor_lacks_watch);
        if keeps && !std::mem::replace(&mut self.is_kept_for_watch, true) {
            tracing::info!("process stays for its watch on discovery: the new one has none yet");
        }
        keeps
    }

    fn publish_state(&mut self, in_flight: usize, open_query_ids: Vec<String>, now: Nanos) {
        let Some(hot_restart) = &mut self.hot_restart else { return };
        hot_restart.set_stage(if self.drain.is_shutting_down() {
            ProcessStage::Draining
        } else {
            ProcessStage::Serving
        });
        let membership = self.frontend.membership();
        let state = LocalState {
            in_flight,
            open_query_ids,
            overrides: &self.overrides,
            snapshot_revision: membership.list_revision(),
            watches_discovery: membership.watches_discovery(),
        };
        if let Some(update) = hot_restart.publish(state, || membership.snapshot(now), now) {
            self.command_confirmations.on_published(update);
        }
    }

    /// Publishes what this process has learned since it last did, before it ends.
    pub(super) fn publish_final_state(&mut self, now: Nanos) {
        let in_flight = self.engine.in_flight();
        let open_query_ids = self.frontend.open_ids();
        self.publish_state(in_flight, open_query_ids, now);
    }

    /// Responds to the commands that have been written, or whose response is due.
    pub(super) fn confirm_commands(&mut self, now: Nanos) {
        let (Some(admin_server), Some(hot_restart)) = (&mut self.admin_server, &self.hot_restart) else {
            return;
        };
        for (caller, response) in
            self.command_confirmations.take_due(now, |update| hot_restart.is_written(update))
        {
            admin_server.respond(caller, &response, &mut self.net);
        }
    }
}
