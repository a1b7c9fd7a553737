//! The event loop of a broker: waits for events, dispatches them to their handlers, and carries out the
//! resulting actions.

use super::broker::Broker;
use super::drain::{DrainPhase, IDLE_SCAN_INTERVAL};
use super::error::BrokerError;
use super::frontend::{Frontend, FrontendContext};
use crate::admin::{self, AdminServer};
use crate::api::Nanos;
use crate::cluster::{self, Cluster};
use crate::engine::EngineAction;
use crate::net::{NetEvent, Signal, Signals, Waker};
use std::time::Duration;

impl<F: Frontend> Broker<F> {
    /// Handles these signals from now on.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to watch them.
    pub fn handle_signals(&mut self, signals: Signals) -> Result<(), BrokerError> {
        self.net.watch_signals(signals).map_err(BrokerError::io("watch signals"))
    }

    /// A handle with which another thread can begin a graceful shutdown of this broker.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to create the poll loop's waker.
    pub fn shutdown_handle(&mut self) -> Result<Waker, BrokerError> {
        self.net.waker().map_err(BrokerError::io("create the waker"))
    }

    /// Serves until a graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// If the operating system refuses to wait for events.
    pub fn run(mut self) -> Result<(), BrokerError> {
        let mut events = Vec::new();
        while !self.is_finished() || self.keeps_watch_for_successor() {
            let timeout =
                self.next_deadline().map(|t| Duration::from_nanos(t.saturating_sub(self.clock.now())));
            self.net.wait(timeout, &mut events).map_err(BrokerError::io("wait for events"))?;
            let now = self.clock.now();
            for event in events.drain(..) {
                self.on_event(event, now);
            }
            self.run_once(now);
            if self.cluster.is_some() {
                let iteration = self.clock.now().saturating_sub(now);
                self.longest_iteration = self.longest_iteration.max(iteration);
            }
        }
        self.publish_final_state(self.clock.now());
        tracing::info!("graceful shutdown is complete");
        Ok(())
    }

    fn on_event(&mut self, event: NetEvent, now: Nanos) {
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        match event {
            NetEvent::Signal(Signal::Shutdown) => {
                if !self.drain.is_shutting_down() {
                    let open_queries = self.engine.open_queries();
                    tracing::info!(open_queries, "graceful shutdown begins");
                }
                self.drain.begin_shutdown(now);
            }
            NetEvent::Signal(Signal::Reload) => {
                self.frontend.reload(&mut context);
                self.cluster.iter_mut().for_each(Cluster::start_reload);
            }
            _ if event.owner() == Some(admin::OWNER) => {
                if let Some(admin_server) = &mut self.admin_server {
                    admin_server.on_event(event, now, &mut self.net);
                    self.handle_admin_requests(now);
                }
            }
            _ if event.owner() == Some(cluster::OWNER) => {
                if let Some(cluster) = &mut self.cluster {
                    let started = self.clock.now();
                    cluster.on_event(event, now, &mut self.net);
                    cluster.record_turn_time(self.clock.now().saturating_sub(started));
                }
            }
            _ => self.frontend.on_event(event, &mut context),
        }
    }

    /// Runs the work that is due at this time, and carries out the actions of the query engine.
    fn run_once(&mut self, now: Nanos) {
        self.observe_hot_restart(now);
        self.confirm_commands(now);
        self.drive_cluster(now);
        self.update_drain_phase(now);
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        context.net.tick(now);
        if let Some(admin_server) = &mut self.admin_server {
            admin_server.tick(now, context.net);
        }
        self.frontend.tick(&mut context);
        context.engine.advance(now);
        while let Some(action) = context.engine.next_action() {
            if let EngineAction::Respond { outcome, .. } = &action {
                self.query_stats.record(outcome);
            }
            self.frontend.perform(action, &mut context);
        }
        self.wall_clock_monitor.check(now, || self.clock.wall_clock_lead());
        self.query_stats.log_if_due(now, context.engine.open_queries(), context.engine.attempts_in_flight());
    }

    /// Notifies the frontend of the drain phase, and closes listeners and idle connections when that is due.
    fn update_drain_phase(&mut self, now: Nanos) {
        let (phase, previous) = (self.drain.phase(now), self.drain_phase);
        let caught_up = self.cluster.as_ref().is_none_or(Cluster::is_ready);
        self.frontend.set_ready(caught_up && self.drain.is_ready(now));
        if phase != previous {
            self.drain_phase = phase;
            self.frontend.set_drain_phase(phase);
            // The next tick of the frontend notifies the clients that expect a notification; idle connections
            // are closed after that.
            self.next_idle_scan = now + IDLE_SCAN_INTERVAL;
        }
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        if !self.listeners_closed && self.drain.stop_listening_at().is_some_and(|t| t <= now) {
            self.listeners_closed = true;
            for owner in self.frontend.listeners() {
                context.net.stop_listening(*owner, self.drain.has_successor());
            }
            // Queries that are accepted from now on must be answered before the process may be killed.
            context.engine.set_shutdown_deadline(self.drain.answer_by(now));
        }
        if phase >= DrainPhase::ClosingIdle && now >= self.next_idle_scan {
            self.next_idle_scan = now + IDLE_SCAN_INTERVAL;
            self.frontend.close_idle(&mut context);
        }
    }

    /// Whether a graceful shutdown is complete. A connection that was just accepted is still served, but a
    /// peer that does not read its response can't keep the process running beyond the exit deadline.
    fn is_finished(&self) -> bool {
        let overdue = self.drain.exit_by().is_some_and(|t| self.clock.now() >= t);
        self.listeners_closed && (overdue || (self.frontend.is_empty() && !self.net.is_busy()))
    }

    fn next_deadline(&self) -> Option<Nanos> {
        // Without clients there are no connections to close.
        let idle = self.drain_phase >= DrainPhase::ClosingIdle
            && !self.drain.is_shutting_down()
            && self.frontend.is_empty();
        let drain = self.drain.next_deadline(self.clock.now()).filter(|_| !idle);
        let admin_server = self.admin_server.as_ref().and_then(AdminServer::next_deadline);
        let hot_restart = self.hot_restart.as_ref().map(|h| h.next_deadline(self.clock.now()));
        let cluster = self.cluster.as_ref().map(|c| c.next_deadline(self.clock.now()));
        let confirmations = self.command_confirmations.next_deadline(self.clock.now());
        [
            confirmations,
            self.engine.next_deadline(),
            self.frontend.next_deadline(),
            self.net.next_deadline(),
            drain,
            admin_server,
            hot_restart,
            cluster,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
