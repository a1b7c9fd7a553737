//! What each event changes in the state.

use super::*;

pub(super) const POLL_BACKOFF_INITIAL_SHARE: f64 = 0.05;
const POLL_BACKOFF_MAX_SHARE: f64 = 0.5;
const WAIT_MIN_LATE_WEIGHT: f64 = 0.2;

impl Balancer {
    pub(super) fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { full, entries } => self.on_endpoint_list(*full, entries),
            Event::WatchFailed => {
                let backoff = self.poll_backoff * (0.5 + uniform(&mut self.rng));
                let longest = self.settings.max_poll_interval as f64 * POLL_BACKOFF_MAX_SHARE;
                self.poll_backoff = (self.poll_backoff * 2.0).min(longest);
                self.poll_at = Some(self.now + backoff as Nanos);
            }
            Event::Query { job, .. } => self.on_query(*job, event),
            Event::Part { part, job, shard, weight } => self.on_part(*job, *part, *shard, *weight),
            Event::AttemptEnded { part, attempt, latency, outcome, utilization, .. } => {
                let Some(ended) = self.in_flight.remove(&(*part, *attempt)) else { return };
                if let Some(r) = self.replicas.get_mut(&ended.replica) {
                    r.in_flight = r.in_flight.saturating_sub(1);
                    r.utilization = utilization.or(r.utilization);
                }
                self.record_outcome(&ended, *latency, *outcome);
                self.end_attempt(&ended, *outcome, actions);
            }
            Event::ClientDisconnected { query } => {
                if let Some(job) = self.jobs.get(query).copied() {
                    self.remove_query(job, actions);
                }
            }
            Event::HealthChecked { replica, ok, utilization, .. } => {
                let Some(r) = self.replicas.get_mut(replica) else { return };
                r.utilization = utilization.or(r.utilization);
                r.on_trial = *ok;
            }
            Event::WarmedUp { replica } => {
                self.replicas.entry(*replica).and_modify(|r| r.warming_since = None);
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
        let deadline = self.now + time_left.saturating_sub(self.deadline_margin);
        let spent = self.usual_timeouts[*class].time_spent(c, *time_left, *is_retry);
        let extension = (c.objective_per_work * work.unwrap_or(0) as f64) as Nanos;
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
        for r in self.replicas.values_mut() {
            r.listed &= !full;
            r.removed |= full;
        }
        let light_load_latency = INITIAL_LATENCY_OBJECTIVES * self.fleet.objective;
        let unknown = || Replica { light_load_latency, latency_ratio: 1.0, ..Replica::default() };
        for entry in entries {
            let r = self.replicas.entry(entry.replica).or_insert_with(unknown);
            r.cell = entry.cell;
            r.weight = entry.weight;
            r.listed = entry.state == ReplicaState::Active;
            r.removed = entry.state == ReplicaState::Removed;
            let lately = |t: &Nanos| t.saturating_add(self.settings.slow_start_time) > self.now;
            if let Some(started) = entry.started.filter(lately) {
                r.start_warming(started);
            }
        }
        self.replicas.retain(|_, r| !r.removed || r.in_flight > 0);
        self.replicas_by_cell.iter_mut().for_each(Vec::clear);
        for (id, r) in self.replicas.iter().filter(|(_, r)| r.listed) {
            if let Some(cell) = self.replicas_by_cell.get_mut(r.cell as usize) {
                cell.push(*id);
            }
        }
    }

    fn record_outcome(&mut self, ended: &InFlightAttempt, latency: Nanos, outcome: Outcome) {
        let (now, fleet) = (self.now, &mut self.fleet);
        let Some(r) = self.replicas.get_mut(&ended.replica) else { return };
        let age = (now - ended.sent_at) as f64;
        let mean = r.mean_latency(now, fleet);
        // Overtaken by later sends, the part is costly rather than the replica slow.
        let overtaken = r.newest_answered_send > ended.sent_at;
        let lost = overtaken && age > LOST_LATENCY_MULTIPLE * mean;
        let limit = if overtaken && age > 2.0 * mean { mean } else { f64::INFINITY };
        let failed = matches!(outcome, Outcome::Error | Outcome::InvalidResponse);
        let lost = lost && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        if failed || lost || outcome == Outcome::Ok {
            r.fault_rate += FAULT_EWMA_WEIGHT * (f64::from(failed || lost) - r.fault_rate);
        }
        let mut sample = None;
        match outcome {
            Outcome::Ok => {
                fleet.record_answer(now);
                r.on_answer(ended.sent_at, now);
                sample = Some(latency as f64);
            }
            // Without an answer, the age is a lower bound; what was never sent shows nothing.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
                if r.in_flight == 0 && age < mean * RETRY_LATENCY_MULTIPLE {
                    r.unanswered_since = None;
                }
                sample = (age > mean).then_some(age);
            }
            // Perhaps load: a fast failure must not draw parts, nor a few of them read as seconds.
            Outcome::Error | Outcome::InvalidResponse | Outcome::Rejected => {
                r.unanswered_since = None;
                let silence = mean.max(SILENCE_LATENCY_MULTIPLE * fleet.mean);
                let longest = if failed { silence } else { f64::INFINITY };
                let sample = (mean * SAMPLE_CLIP_MULTIPLE).min(longest);
                r.record_latency(sample, ended.others_in_flight, fleet, now);
            }
            // One broken connection may have been idle; a dead process refuses the next.
            Outcome::ConnectionReset if !r.connection_broke => {
                r.connection_broke = true;
                r.unanswered_since = r.unanswered_since.filter(|_| r.in_flight > 0);
            }
            Outcome::ConnectFailed | Outcome::ConnectionReset => r.eject(now, fleet.objective, true),
        }
        if let Some(sample) = sample.map(|s| s.min(limit)) {
            r.record_latency(sample, ended.others_in_flight, fleet, now);
            fleet.record_latency(sample);
        }
    }

    /// Records the end of an attempt at its part; the first answer cancels the other attempts.
    fn end_attempt(&mut self, ended: &InFlightAttempt, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get_mut(&ended.part.job) else { return };
        let Some(p) = q.parts.get_mut(ended.part.index).filter(|p| p.id == ended.part_id) else { return };
        let Some(a) = p.attempts.get_mut(ended.number as usize) else { return };
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        a.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        if outcome == Outcome::Ok && !p.answered {
            p.answered = true;
            // A trial runs on: its answer shows that a replica has recovered.
            let ejected = |id: &ReplicaId| self.replicas.get(id).is_some_and(|r| r.ejected.is_some());
            let others = p.in_flight().filter(|(_, a)| self.settings.may_cancel && !ejected(&a.replica));
            actions.extend(others.map(|(n, _)| Action::Cancel { part: p.id, attempt: n as u32 }));
        }
    }
}
