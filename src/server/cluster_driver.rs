//! Exchanges state with the cluster, and applies it to this broker.

use super::broker::Broker;
use super::frontend::{Frontend, FrontendContext};
use crate::admin::AdminResponse;
use crate::api::Nanos;
use crate::hot_restart::HotRestart;

impl<F: Frontend> Broker<F> {
    /// What the cluster tells, and what it is told.
    pub(super) fn drive_cluster(&mut self, now: Nanos) {
        let Some(cluster) = &mut self.cluster else { return };
        let started = self.clock.now();
        // Until what is on disk is known, as beside a process before this one, there is nobody to be told.
        if cluster.effect().is_some() {
            for (key, latest) in self.frontend.membership_mut().take_hints() {
                cluster.note(key, latest, now);
            }
        }
        cluster.tick(now, &mut self.net);
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        while let Some((id, hints)) = cluster.heard() {
            self.frontend.membership_mut().on_hint(&id, hints, &mut context);
        }
        let mut pause_change = None;
        if let Some(effect) = cluster.effect() {
            if !std::mem::replace(&mut self.applied.overrides_compared, true) {
                // What an earlier process handed over was told to the cluster too: its disk has the later word.
                self.applied.suspended = self.overrides.out().map(str::to_owned).collect();
                self.applied.paused = self.overrides.pause.is_some_and(|w| w.out);
            }
            for id in effect.out.symmetric_difference(&self.applied.suspended) {
                let suspended = effect.out.contains(id);
                let _ = self.frontend.membership_mut().set_suspended(id, suspended, true, &mut context);
                self.overrides.server(id, suspended, now);
                self.hot_restart.iter_mut().for_each(HotRestart::publish_now);
                tracing::info!("server {id} is {} by hand", if suspended { "out" } else { "put back" });
            }
            if effect.out != self.applied.suspended {
                self.applied.suspended = effect.out.clone();
            }
            if effect.paused != self.applied.paused {
                self.applied.paused = effect.paused;
                pause_change = Some(effect.paused);
            }
        }
        for (caller, result) in cluster.take_replies() {
            let response = match result {
                Ok(confirmation) => AdminResponse::Yes(confirmation),
                Err(reason) => AdminResponse::No(reason),
            };
            if let Some(admin_server) = &mut self.admin_server {
                admin_server.answer(caller, &response, &mut self.net);
            }
        }
        cluster.spent(self.clock.now().saturating_sub(started));
        match pause_change {
            Some(true) => {
                self.overrides.pause(true, now);
                tracing::info!("paused by hand: {} queries are open", self.engine.open_queries());
                self.drain.pause(now);
            }
            Some(false) => {
                self.overrides.pause(false, now);
                tracing::info!("resumed by hand");
                self.drain.resume();
            }
            None => {}
        }
    }
}
