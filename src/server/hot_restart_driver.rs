//! Follows the other processes at this address, and publishes the state of this one.

use super::broker::Broker;
use super::frontend::{Frontend, FrontendContext};
use crate::api::Nanos;
use crate::hot_restart::ResourceUsage;
use crate::hot_restart::state::ProcessStage;

impl<F: Frontend> Broker<F> {
    /// Hears of the other processes at this address, and tells them how this one stands.
    pub(super) fn observe_hot_restart(&mut self, now: Nanos) {
        let Some(hot_restart) = self.hot_restart.as_mut().filter(|h| h.is_due(now)) else { return };
        let usage = ResourceUsage {
            descriptors: self.net.descriptors(),
            held: self.engine.in_flight(),
            open_ids: self.frontend.open_ids(),
        };
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        let mut pause_change = None;
        for peer in hot_restart.observe(&usage, now).unwrap_or(&[]) {
            let previous = self.overrides.clone();
            if self.overrides.merge(&peer.words()) {
                for (id, command) in
                    self.overrides.servers.iter().filter(|(id, w)| previous.servers.get(*id) != Some(w))
                {
                    let _ = self.frontend.membership_mut().set_suspended(id, command.out, true, &mut context);
                }
                pause_change = self.overrides.pause.filter(|w| previous.pause != Some(*w)).or(pause_change);
            }
            if let Some(state) = &peer.state {
                self.frontend.reserve_ids(&state.open_ids, now);
            }
        }
        match pause_change {
            Some(command) if command.out => self.drain.pause(now),
            Some(_) => self.drain.resume(),
            None => {}
        }
        let share = hot_restart.share(now);
        let previous_share = self.quota_share.replace(share);
        if previous_share != Some(share) {
            self.frontend.limit_descriptors(share.descriptors, context.net);
            context.engine.limit_in_flight(share.open);
            context.engine.set_free_retries(share.free_tries);
        }
        if share.succeeded && !previous_share.is_some_and(|s| s.succeeded) {
            tracing::info!(
                "another process serves at this address: {} queries are open",
                context.engine.open_queries()
            );
            self.drain.successor_serves(now);
        }
        hot_restart.set_stage(if self.drain.is_shutting_down() {
            ProcessStage::Leaving
        } else {
            ProcessStage::Serving
        });
        let membership = self.frontend.membership();
        hot_restart.publish(usage, &self.overrides, membership.version(), || membership.snapshot(now), now);
    }
}
