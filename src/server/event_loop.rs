//! The event loop of a broker: waits for events, passes them on, and carries out what follows.

use super::broker::Broker;
use super::drain::DrainPhase;
use super::error::BrokerError;
use super::frontend::{Frontend, FrontendContext};
use crate::admin::{self, AdminServer};
use crate::api::Nanos;
use crate::cluster::{self, Cluster};
use crate::engine::EngineAction;
use crate::net::{NetEvent, Signal};
use std::time::Duration;

/// Time between two looks for connections that wait for nothing, while such are closed.
const LOOK: Nanos = 20_000_000;

impl<F: Frontend> Broker<F> {
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
                self.cluster.iter_mut().for_each(Cluster::reload);
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
                    cluster.event(event, now, &mut self.net);
                    cluster.spent(self.clock.now().saturating_sub(begun));
                }
            }
            _ => self.front.on_event(event, &mut hands),
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
        let peers = self.cluster.as_ref().map(|c| c.due(self.clock.now()));
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
