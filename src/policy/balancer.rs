//! The state of one broker's policy, and its rounds.

use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const SCAN_INTERVAL_OBJECTIVES: f64 = 0.01;
const INITIAL_OVERRUN_MULTIPLE: f64 = 1.5;

const POLL_BACKOFF_INITIAL_SHARE: f64 = 0.05;
const POLL_BACKOFF_MAX_SHARE: f64 = 0.5;

/// The policy of one broker.
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) rng: Pcg64Mcg,
    pub(super) now: Nanos,
    scan_interval: Nanos,
    pub(super) deadline_margin: Nanos,
    pub(super) replicas: BTreeMap<ReplicaId, Replica>,
    pub(super) replicas_by_cell: Vec<Vec<ReplicaId>>,
    pub(super) fleet: FleetLatency,
    pub(super) queries: BTreeMap<u64, Query>,
    pub(super) jobs: HashMap<RequestId, u64>,
    pub(super) in_flight: HashMap<(RequestId, u32), SentAttempt>,
    pub(super) recent: RecentRequests,
    pub(super) quotas: Vec<TenantQuota>,
    pub(super) usual_timeouts: Vec<UsualTimeout>,
    pub(super) mean_parts: Vec<f64>,
    pub(super) overrun_multiple: f64,
    pub(super) tracked_requests: usize,
    /// When a query that had its whole objective left was last rejected.
    pub(super) last_overload_at: Option<Nanos>,
    /// The lease of the endpoint list, while that list is not confirmed.
    pub(super) list_lease: Option<ListLease>,
    pub(super) poll_at: Option<Nanos>,
    pub(super) poll_backoff: f64,
    pub(super) timer_at: Option<Nanos>,
}

impl Balancer {
    /// Creates the policy of a broker with an empty endpoint list. `seed` determines all random choices.
    ///
    /// # Errors
    ///
    /// The settings can't be used.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let objective = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1) as f64;
        let scan_interval = ((objective * SCAN_INTERVAL_OBJECTIVES) as Nanos).max(settings.round_interval);
        let poll_backoff = settings.max_poll_interval as f64 * POLL_BACKOFF_INITIAL_SHARE;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first_poll = now + (poll_backoff * uniform(&mut rng)) as Nanos;
        let quota = |t: &Tenant| TenantQuota { tokens: t.quota_per_s, refilled_at: now };
        Ok(Balancer {
            rng,
            now,
            scan_interval,
            deadline_margin: 2 * scan_interval.max(1) + 2 * settings.round_interval,
            replicas: BTreeMap::new(),
            replicas_by_cell: vec![Vec::new(); settings.cells as usize],
            fleet: FleetLatency::new(objective, now),
            queries: BTreeMap::new(),
            jobs: HashMap::new(),
            in_flight: HashMap::new(),
            recent: RecentRequests::default(),
            quotas: settings.tenants.iter().map(quota).collect(),
            usual_timeouts: vec![UsualTimeout::default(); settings.classes.len()],
            mean_parts: vec![1.0; settings.classes.len()],
            overrun_multiple: INITIAL_OVERRUN_MULTIPLE,
            tracked_requests: 0,
            last_overload_at: None,
            list_lease: None,
            poll_at: (settings.discovery == Discovery::Polled).then_some(first_poll),
            poll_backoff,
            timer_at: None,
            settings,
        })
    }

    /// Processes the events up to `now`, then decides, and appends the actions to `actions` in order.
    pub fn round(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.fleet.decay(now.saturating_sub(self.now));
        self.now = self.now.max(now);
        for event in events {
            self.on_event(event, actions);
        }
        self.fleet.update(self.replicas.values().filter(|r| r.listed).map(|r| r.light_load_latency));
        self.recent.expire(self.now, &self.settings);
        self.tracked_requests = self.queries.values().map(|q| 1 + q.parts.len()).sum();
        actions.extend(self.poll_at.take_if(|t| *t <= self.now).map(|_| Action::WatchEndpoints));
        self.check_replicas(actions);
        for job in self.queries.keys().copied().collect::<Vec<u64>>() {
            self.advance_query(job, actions);
        }
        self.schedule_timer(actions);
    }

    /// Number of listed replicas that are ejected: these get trial parts at most.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.replicas.values().filter(|r| r.listed && r.ejected.is_some()).count()
    }

    fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { full, entries } => self.on_endpoint_list(*full, entries),
            Event::WatchFailed => {
                let backoff = self.poll_backoff * (0.5 + uniform(&mut self.rng));
                let max_backoff = self.settings.max_poll_interval as f64 * POLL_BACKOFF_MAX_SHARE;
                self.poll_backoff = (self.poll_backoff * 2.0).min(max_backoff);
                self.poll_at = Some(self.now + backoff as Nanos);
            }
            Event::ListUnconfirmed { since, lease_end, proof_lifetime } => {
                let (unconfirmed_since, expires_at) = (*since, *lease_end);
                let proof_lifetime = *proof_lifetime;
                self.list_lease = Some(ListLease { unconfirmed_since, expires_at, proof_lifetime });
            }
            Event::ListConfirmed => self.list_lease = None,
            Event::Query { .. } => self.on_query(event),
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
                let Some(&job) = self.jobs.get(query) else { return };
                self.remove_query(job, actions);
            }
            Event::HealthChecked { replica, ok, utilization, .. } => {
                let Some(r) = self.replicas.get_mut(replica) else { return };
                r.utilization = utilization.or(r.utilization);
                r.on_trial = *ok;
            }
            Event::WarmedUp { replica } => {
                _ = self.replicas.entry(*replica).and_modify(|r| r.warming_since = None)
            }
            Event::RetryBudget(budget) => self.settings.retry_budget = *budget,
            Event::TimerFired => self.timer_at = None,
        }
    }

    fn on_endpoint_list(&mut self, full: bool, entries: &[ReplicaEntry]) {
        // No poll is scheduled, so this list is the response to one: the watch works again.
        if self.poll_at.is_none() {
            self.poll_backoff = self.settings.max_poll_interval as f64 * POLL_BACKOFF_INITIAL_SHARE;
        }
        for r in self.replicas.values_mut() {
            r.listed &= !full;
            r.removed |= full;
        }
        let light_load_latency = INITIAL_LATENCY_OBJECTIVES * self.fleet.objective;
        let new_replica = || Replica { light_load_latency, latency_ratio: 1.0, ..Replica::default() };
        for entry in entries {
            let r = self.replicas.entry(entry.replica).or_insert_with(new_replica);
            r.cell = entry.cell;
            r.weight = entry.weight;
            r.listed = entry.state == ReplicaState::Active;
            r.removed = entry.state == ReplicaState::Removed;
            let is_recent = |t: &Nanos| t.saturating_add(self.settings.slow_start_time) > self.now;
            if entry.started.filter(is_recent) > r.warming_since {
                r.start_warming(entry.started);
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

    fn advance_query(&mut self, job: u64, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&job) else { return };
        let (query, class) = (q.id, self.settings.classes[q.class].clone());
        if !q.admitted {
            if q.step == 0 && !self.admit(job) {
                self.remove_query(job, actions);
                return actions.push(self.rejection(query));
            }
            self.grant_allowance(job);
        }
        if !self.finish_query(job, &class, actions) {
            for index in 0..self.queries[&job].parts.len() {
                self.advance_part(PartKey { job, index }, &class, actions);
            }
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

pub(super) fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
