//! The state of one broker's decisions, and its rounds.

use super::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};

const SCAN_INTERVAL_OBJECTIVES: f64 = 0.01;
const INITIAL_OVERRUN_MULTIPLE: f64 = 1.5;

/// One broker's decisions.
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) rng: Pcg64Mcg,
    pub(super) now: Nanos,
    /// Time before its deadline at which a query ends.
    pub(super) deadline_margin: Nanos,
    pub(super) replicas: BTreeMap<ReplicaId, Replica>,
    pub(super) replicas_by_cell: Vec<Vec<ReplicaId>>,
    pub(super) fleet: FleetLatency,
    pub(super) queries: BTreeMap<u64, Query>,
    pub(super) jobs: HashMap<RequestId, u64>,
    pub(super) in_flight: HashMap<(RequestId, u32), InFlightAttempt>,
    pub(super) recent: RecentRequests,
    pub(super) quotas: Vec<TenantQuota>,
    pub(super) usual_timeouts: Vec<UsualTimeout>,
    pub(super) mean_parts: Vec<f64>,
    /// Multiple of its expected latency within which most queries end.
    pub(super) overrun_multiple: f64,
    pub(super) tracked_requests: usize,
    /// When a query was last rejected that had its whole objective left.
    pub(super) last_overload_at: Option<Nanos>,
    pub(super) poll_at: Option<Nanos>,
    pub(super) poll_backoff: f64,
    pub(super) timer_at: Option<Nanos>,
}

impl Balancer {
    /// A broker that knows no replica yet; unusable settings are an error. `seed` sets all random choices.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let objective = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1) as f64;
        let scan_interval =
            ((objective * SCAN_INTERVAL_OBJECTIVES) as Nanos).max(settings.round_interval).max(1);
        let poll_backoff = settings.max_poll_interval as f64 * POLL_BACKOFF_INITIAL_SHARE;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first_poll = now + (poll_backoff * uniform(&mut rng)) as Nanos;
        let quota = |t: &Tenant| TenantQuota { tokens: t.quota_per_s, refilled_at: now };
        Ok(Balancer {
            rng,
            now,
            deadline_margin: 2 * scan_interval + 2 * settings.round_interval,
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
            poll_at: (settings.discovery == Discovery::Polled).then_some(first_poll),
            poll_backoff,
            timer_at: None,
            settings,
        })
    }

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

    /// Number of listed replicas that are ejected: these get trial parts at most.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.replicas.values().filter(|r| r.listed && r.ejected.is_some()).count()
    }

    fn advance_query(&mut self, job: u64, actions: &mut Vec<Action>) {
        let q = &self.queries[&job];
        let class = self.settings.classes[q.class].clone();
        if !q.admitted {
            if q.step == 0 && !self.admit(job) {
                return self.reject(job, actions);
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
        let objective = self.fleet.objective;
        let interval = ((objective * SCAN_INTERVAL_OBJECTIVES) as Nanos).max(self.settings.round_interval);
        let in_flight = (!self.queries.is_empty()).then_some(self.now + interval);
        let ejected = (self.ejected() > 0).then_some(self.now + 4 * interval);
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
