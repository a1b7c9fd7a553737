//! Exchanges state with the cluster, and applies it to this broker.

use super::broker::Broker;
use super::frontend::{Frontend, FrontendContext};
use crate::admin::AdminResponse;
use crate::api::Nanos;
use crate::hot_restart::HotRestart;

impl<F: Frontend> Broker<F> {
    /// What the cluster tells, and what it is told.
    pub(super) fn peers(&mut self, now: Nanos) {
        let Some(cluster) = &mut self.cluster else { return };
        let begun = self.clock.now();
        // Until what is on disk is known, as beside a process before this one, there is nobody to be told.
        if cluster.effect().is_some() {
            for (key, latest) in self.front.membership_mut().take_hints() {
                cluster.note(key, latest, now);
            }
        }
        cluster.tick(now, &mut self.net);
        let mut hands = FrontendContext { now, net: &mut self.net, engine: &mut self.exchange };
        while let Some((id, heard)) = cluster.heard() {
            self.front.membership_mut().on_hint(&id, heard, &mut hands);
        }
        let mut paused = None;
        if let Some(effect) = cluster.effect() {
            if !std::mem::replace(&mut self.held.compared, true) {
                // What an earlier process handed over was told to the cluster too: its disk has the later word.
                self.held.out = self.words.out().map(str::to_owned).collect();
                self.held.paused = self.words.pause.is_some_and(|w| w.out);
            }
            for id in effect.out.symmetric_difference(&self.held.out) {
                let out = effect.out.contains(id);
                let _ = self.front.membership_mut().set_suspended(id, out, true, &mut hands);
                self.words.server(id, out, now);
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
        cluster.spent(self.clock.now().saturating_sub(begun));
        match paused {
            Some(true) => {
                self.words.pause(true, now);
                tracing::info!("paused by hand: {} queries are open", self.exchange.open_queries());
                self.leave.pause(now);
            }
            Some(false) => {
                self.words.pause(false, now);
                tracing::info!("resumed by hand");
                self.leave.resume();
            }
            None => {}
        }
    }
}
