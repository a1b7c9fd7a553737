//! Follows the other processes at this address, and publishes the state of this one.

use super::broker::Broker;
use super::frontend::{Frontend, FrontendContext};
use crate::api::Nanos;
use crate::hot_restart::ResourceUsage;
use crate::hot_restart::state::ProcessStage;

impl<F: Frontend> Broker<F> {
    /// Hears of the other processes at this address, and tells them how this one stands.
    pub(super) fn others(&mut self, now: Nanos) {
        let Some(handover) = self.handover.as_mut().filter(|h| h.is_due(now)) else { return };
        let holds = ResourceUsage {
            descriptors: self.net.descriptors(),
            held: self.exchange.in_flight(),
            open_ids: self.front.open_ids(),
        };
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        let mut paused = None;
        for peer in handover.observe(&holds, now).unwrap_or(&[]) {
            let before = self.words.clone();
            if self.words.merge(&peer.words()) {
                for (id, word) in
                    self.words.servers.iter().filter(|(id, w)| before.servers.get(*id) != Some(w))
                {
                    let _ = self.front.membership_mut().set_suspended(id, word.out, true, &mut hands);
                }
                paused = self.words.pause.filter(|w| before.pause != Some(*w)).or(paused);
            }
            if let Some(state) = &peer.state {
                self.front.reserve_ids(&state.open_ids, now);
            }
        }
        match paused {
            Some(word) if word.out => self.leave.pause(now),
            Some(_) => self.leave.resume(),
            None => {}
        }
        let share = handover.share(now);
        let was = self.share.replace(share);
        if was != Some(share) {
            self.front.limit_descriptors(share.descriptors, hands.net);
            hands.engine.limit_in_flight(share.open);
            hands.engine.set_free_retries(share.free_tries);
        }
        if share.succeeded && !was.is_some_and(|w| w.succeeded) {
            tracing::info!(
                "another process serves at this address: {} queries are open",
                hands.engine.open_queries()
            );
            self.leave.successor_serves(now);
        }
        handover.set_stage(if self.leave.is_shutting_down() {
            ProcessStage::Leaving
        } else {
            ProcessStage::Serving
        });
        let members = self.front.membership();
        handover.publish(holds, &self.words, members.version(), || members.snapshot(now), now);
    }
}
