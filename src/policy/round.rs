//! One round: events first, then decisions.

use super::balancer::Balancer;
use super::request::PartKey;
use crate::api::*;

impl Balancer {
    /// Takes in the events up to `now`, then decides. Actions are added to `actions` in order.
    pub fn round(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.fleet.decay(now.saturating_sub(self.now));
        self.now = self.now.max(now);
        for event in events {
            self.on_event(event, actions);
        }
        self.fleet.update(self.replicas.values().filter(|r| r.listed).map(|r| r.light_load_latency));
        self.recent.expire(self.now, &self.settings);
        self.tracked_requests = self.queries.values().map(|q| 1 + q.parts.len()).sum();
        if self.poll_at.is_some_and(|t| t <= self.now) {
            self.poll_at = None;
            actions.push(Action::WatchEndpoints);
        }
        self.check_replicas(actions);
        let jobs: Vec<u64> = self.queries.keys().copied().collect();
        for job in jobs {
            self.advance_query(job, actions);
        }
        self.schedule_timer(actions);
    }

    fn advance_query(&mut self, job: u64, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&job) else { return };
        let (query, step, admitted) = (q.id, q.step, q.admitted);
        let class = self.settings.classes[q.class].clone();
        if !admitted {
            if step == 0 && !self.admit(job) {
                self.remove_query(job, actions);
                let rejection = self.rejection(query);
                actions.push(rejection);
                return;
            }
            self.grant_slow_start_allowance(job);
        }
        if self.finish_query(job, &class, actions) {
            return;
        }
        for index in 0..self.queries[&job].parts.len() {
            self.advance_part(PartKey { job, index }, &class, actions);
        }
    }

    fn schedule_timer(&mut self, actions: &mut Vec<Action>) {
        let in_flight = (!self.queries.is_empty()).then_some(self.now + self.scan_interval);
        let ejected = (self.ejected() > 0).then_some(self.now + 4 * self.scan_interval);
        if let Some(t) = [in_flight, self.poll_at, ejected].into_iter().flatten().min()
            && self.timer_at.is_none_or(|set| set > t || set <= self.now)
        {
            self.timer_at = Some(t);
            actions.push(Action::SetTimer { after: (t - self.now).max(1) });
        }
    }
}
