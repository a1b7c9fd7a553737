//! The events of a round, one after the other.

use super::balancer::{Balancer, POLL_BACKOFF_INITIAL_SHARE};
use super::latency_estimate::INITIAL_LATENCY_OBJECTIVES;
use super::replica::Replica;
use super::request::{Part, Query};
use crate::api::*;

/// Longest backoff of polls for the endpoint list, as a share of the longest poll interval.
const POLL_BACKOFF_MAX_SHARE: f64 = 0.5;
/// Weight of late answers below which a query ends at its objective: waiting takes room and gains little.
const WAIT_MIN_LATE_WEIGHT: f64 = 0.2;

impl Balancer {
    pub(super) fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { full, entries } => self.on_endpoint_list(*full, entries),
            Event::WatchFailed => {
                let backoff = self.poll_backoff * (0.5 + self.uniform());
                let longest = self.settings.max_poll_interval as f64 * POLL_BACKOFF_MAX_SHARE;
                self.poll_backoff = (self.poll_backoff * 2.0).min(longest);
                self.poll_at = Some(self.now + backoff as Nanos);
            }
            Event::Query { job, .. } => self.on_query(*job, event),
            Event::Part { part, job, shard, weight } => self.on_part(*job, *part, *shard, *weight),
            Event::AttemptEnded { part, attempt, latency, outcome, utilization, .. } => {
                let Some(ended) = self.in_flight.remove(&(*part, *attempt)) else { return };
                self.record_outcome(&ended, *latency, *outcome, *utilization);
                self.end_attempt(&ended, (*part, *attempt), *outcome, actions);
            }
            Event::ClientDisconnected { query } => {
                if let Some(job) = self.jobs.get(query).copied() {
                    self.remove_query(job, actions);
                }
            }
            Event::HealthChecked { replica, ok, utilization, .. } => {
                let Some(r) = self.replicas.get_mut(replica) else { return };
                r.utilization = utilization.or(r.utilization);
                if let Some(ejection) = &mut r.ejected {
                    ejection.on_trial = *ok;
                }
            }
            Event::WarmedUp { replica } => {
                if let Some(r) = self.replicas.get_mut(replica) {
                    r.warming_since = None;
                }
            }
            Event::RetryBudget(budget) => self.settings.retry_budget = *budget,
            Event::TimerFired => self.timer_at = None,
        }
    }

    fn on_query(&mut self, job: u64, event: &Event) {
        let Event::Query { query, class, tenant, time_left, parts, work, is_retry, .. } = event else {
            return;
        };
        let Some(c) = self.settings.classes.get(*class) else { return };
        let extension = (c.objective_per_work * work.unwrap_or(0) as f64) as Nanos;
        let deadline = self.now + time_left.saturating_sub(self.deadline_margin);
        let spent = self.usual_timeouts[*class].time_already_spent(c, *time_left, *is_retry);
        let objective = (c.latency_objective + extension).min(c.deadline).saturating_sub(spent);
        let objective_at = (self.now + objective.saturating_sub(self.deadline_margin)).min(deadline);
        let query_state = Query {
            id: *query,
            class: *class,
            tenant: *tenant,
            received_at: self.now,
            expected_latency: 0.0,
            objective_at,
            send_until: if c.late_weight < WAIT_MIN_LATE_WEIGHT { objective_at } else { deadline },
            deadline,
            expected_parts: *parts,
            step: 0,
            complete: true,
            overrun_recorded: false,
            admitted: false,
            parts: Vec::new(),
        };
        self.queries.insert(job, query_state);
        self.jobs.insert(*query, job);
        self.recent.requests.push_back(self.now);
    }

    fn on_part(&mut self, job: u64, id: RequestId, shard: u32, weight: f64) {
        self.recent.requests.push_back(self.now);
        let Some(q) = self.queries.get_mut(&job) else { return };
        q.parts.push(Part { id, shard, weight, step: q.step, attempts: Vec::new(), answered: false });
        if self.settings.classes[q.class].idempotency == Idempotency::Idempotent {
            self.recent.idempotent_parts.push_back(self.now);
        }
    }

    fn on_endpoint_list(&mut self, full: bool, entries: &[ReplicaEntry]) {
        // No poll is due: this answers one, so the watch works again.
        if self.poll_at.is_none() {
            self.poll_backoff = self.settings.max_poll_interval as f64 * POLL_BACKOFF_INITIAL_SHARE;
        }
        for r in self.replicas.values_mut().filter(|_| full) {
            r.listed = false;
            r.removed = true;
        }
        let light_load_latency = INITIAL_LATENCY_OBJECTIVES * self.objective;
        for entry in entries {
            let new = || Replica { light_load_latency, latency_ratio: 1.0, ..Replica::default() };
            let r = self.replicas.entry(entry.replica).or_insert_with(new);
            r.cell = entry.cell;
            r.weight = entry.weight;
            r.listed = entry.state == ReplicaState::Active;
            r.removed = entry.state == ReplicaState::Removed;
            if let Some(started) = entry.started {
                r.start_warming(started, self.now, self.settings.slow_start_time);
            }
        }
        // Ids of removed replicas are not used again.
        self.replicas.retain(|_, r| !r.removed || r.in_flight > 0);
        self.replicas_by_cell.iter_mut().for_each(Vec::clear);
        for (id, r) in self.replicas.iter().filter(|(_, r)| r.listed) {
            if let Some(cell) = self.replicas_by_cell.get_mut(r.cell as usize) {
                cell.push(*id);
            }
        }
    }
}
