//! The state of one broker's decisions.

use super::admission::{TenantQuota, UsualTimeout};
use super::latency_estimate::FleetLatency;
use super::replica::Replica;
use super::request::{InFlightAttempt, Query};
use super::retry::RecentRequests;
use crate::api::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// Longest time between rounds while queries are in flight, in shortest objectives.
const SCAN_INTERVAL_OBJECTIVES: f64 = 0.01;
/// First backoff of polls for the endpoint list, as a share of the longest poll interval.
pub(super) const POLL_BACKOFF_INITIAL_SHARE: f64 = 0.05;
/// Multiple of its expected latency within which most queries end, before anything was learned.
const INITIAL_OVERRUN_MULTIPLE: f64 = 1.5;

/// One broker's decisions.
pub struct Balancer {
    pub(super) settings: Settings,
    rng: Pcg64Mcg,
    pub(super) now: Nanos,
    /// Shortest latency objective, ns: the unit of time spans here.
    pub(super) objective: f64,
    /// Time before a deadline at which a query ends, and between two scans of what is in flight.
    pub(super) deadline_margin: Nanos,
    pub(super) scan_interval: Nanos,
    pub(super) replicas: BTreeMap<ReplicaId, Replica>,
    pub(super) replicas_by_cell: Vec<Vec<ReplicaId>>,
    pub(super) fleet: FleetLatency,
    pub(super) queries: BTreeMap<u64, Query>,
    pub(super) jobs: HashMap<RequestId, u64>,
    pub(super) in_flight: HashMap<(RequestId, u32), InFlightAttempt>,
    pub(super) recent: RecentRequests,
    pub(super) quotas: Vec<TenantQuota>,
    /// For each class, the time-out that clients usually send, and the mean number of parts.
    pub(super) usual_timeouts: Vec<UsualTimeout>,
    pub(super) mean_parts: Vec<f64>,
    /// Multiple of its expected latency within which most queries end.
    pub(super) overrun_multiple: f64,
    /// Number of queries and parts without an end.
    pub(super) tracked_requests: usize,
    /// When a query was last rejected that had its whole objective left.
    pub(super) last_overload_at: Option<Nanos>,
    pub(super) poll_at: Option<Nanos>,
    pub(super) poll_backoff: f64,
    pub(super) timer_at: Option<Nanos>,
}

impl Balancer {
    /// A broker that knows no replica yet; all its random choices follow from `seed`.
    ///
    /// # Errors
    /// Settings that [`Settings::check`] finds unusable.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let objective = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1) as f64;
        let scan_interval = ((objective * SCAN_INTERVAL_OBJECTIVES) as Nanos).max(settings.round_interval);
        let poll_backoff = settings.max_poll_interval as f64 * POLL_BACKOFF_INITIAL_SHARE;
        let mut balancer = Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            objective,
            deadline_margin: 2 * scan_interval.max(1) + 2 * settings.round_interval,
            scan_interval,
            replicas: BTreeMap::new(),
            replicas_by_cell: vec![Vec::new(); settings.cells as usize],
            fleet: FleetLatency::new(objective, now),
            queries: BTreeMap::new(),
            jobs: HashMap::new(),
            in_flight: HashMap::new(),
            recent: RecentRequests::default(),
            quotas: settings.tenants.iter().map(|t| TenantQuota::new(t.quota_per_s, now)).collect(),
            usual_timeouts: vec![UsualTimeout::default(); settings.classes.len()],
            mean_parts: vec![1.0; settings.classes.len()],
            overrun_multiple: INITIAL_OVERRUN_MULTIPLE,
            tracked_requests: 0,
            last_overload_at: None,
            poll_at: None,
            poll_backoff,
            timer_at: None,
            settings,
        };
        let first_poll = now + (poll_backoff * balancer.uniform()) as Nanos;
        balancer.poll_at = (balancer.settings.discovery == Discovery::Polled).then_some(first_poll);
        Ok(balancer)
    }

    /// Number of listed replicas that are ejected: these get single trial parts at most.
    #[must_use]
    pub fn ejected(&self) -> usize {
        self.replicas.values().filter(|r| r.listed && r.ejected.is_some()).count()
    }

    /// A random number in [0, 1).
    pub(super) fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
