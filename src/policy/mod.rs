//! All decisions of a root. Its interface (settings, events, actions, ids) is `src/api.rs`.
//!
//! Each part goes to a replica of its shard drawn with odds that fall as this root's mean latency there
//! rises; chosen safe parts go at once to two. The rest keeps that going under failure and keeps the rules.

use crate::api::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Load above which a replica takes part in no twin. Design page (the paper's third, raised).
const HEDGE_MAX_LOAD: f64 = 0.5;
/// Twins per safe part of the last second. Design page.
const HEDGE_BUDGET_RATIO: f64 = 0.1;
/// Window of the twin budget, ns. Design page.
const HEDGE_WINDOW_NS: Nanos = 1_000_000_000;
/// Latency an unheard root starts from, share of the class's aim. Ours: a part is a small piece of a query.
const INITIAL_LATENCY_OBJECTIVES: f64 = 0.1;
/// Steepness of the odds: they fall as latency to this power. Ours: leans hard, yet never excludes.
const SELECTION_EXPONENT: f64 = 6.0;
/// Weight of a new sample in a mean. Ours: about the last five answers count.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// A sample counts as at most so many times the mean. Ours: one costly part must not condemn a replica.
const SAMPLE_CLIP_MULTIPLE: f64 = 4.0;
/// An answer counts in the fleet's latency as at most so many times that. Ours: lost answers are not load.
const FLEET_SAMPLE_CLIP_MULTIPLE: f64 = 2.0;
/// Parts added to both sides when latency is scaled by own parts out. Ours: others send there too.
const ASSUMED_OTHERS_IN_FLIGHT: f64 = 1.0;
/// Time in which an unused ratio drifts to one: in shortest aims, or in mean times between two answers of one
/// replica if that is longer. Ours: a healed one is retried, yet what was heard lasts to the next part.
const FORGET: (f64, f64) = (2.0, 3.0);
/// Memory of the fleet's latency, in shortest aims, and answers that light load counts for in it. Ours: load
/// changes within seconds, and a root that hears nothing takes the fleet as light.
const RECENT: (f64, f64) = (1.5, 2.0);
/// Weight of a new gap between answers. Ours: a few dozen answers show the rate.
const GAP_EWMA_WEIGHT: f64 = 0.02;
/// Rise of a light-load mean per sample, share. Ours: slow, so it stays a light-load figure.
const LIGHT_LOAD_RISE: f64 = 0.005;
/// A part is tried elsewhere when out for so many times the latency expected. Ours: past most honest tails.
const RETRY_LATENCY_MULTIPLE: f64 = 2.5;
/// Further attempts per query and part taken above which no part gets a second copy. Ours: the rule's free
/// attempts, times many roots, would be much of the load.
const DUPLICATE_BUDGET_RATIO: f64 = 0.1;
/// A part is lost once out for so many means of its replica while a later one was answered. Ours: past the
/// costliest parts.
const LOST_LATENCY_MULTIPLE: f64 = 10.0;
/// Weight of a part in its replica's share of lost and failed ones, the share that is chance, and the time in
/// which it fades while unused, in shortest aims. Ours: two in a few dozen answers are more than chance.
const LOSS: (f64, f64, f64) = (0.05, 0.05, 4.0);
/// What a lost part costs, in shortest aims: one that can be tried again, and any other. Ours: the time until
/// that, and its query.
const LOSS_COST: (f64, f64) = (0.3, 1.0);
/// A replica unheard for so many fleet means since a send is suspect. Ours: beyond ordinary pauses.
const SILENCE_LATENCY_MULTIPLE: f64 = 5.0;
/// First and longest wait before an ejected replica is tried again, in shortest aims. Ours.
const PROBE_BACKOFF: (f64, f64) = (0.2, 1.0);
/// Share of queries whose time should lie within the learned multiple of what was expected. Ours.
const OVERRUN_QUANTILE: f64 = 0.7;
/// Bounds of that multiple and its change a query. Ours: keep one odd spell from closing or opening the door.
const TAIL: (f64, f64, f64) = (0.4, 2.5, 0.1);
/// The multiple before anything was learned. Ours: the middle of what was seen.
const OVERRUN_INITIAL: f64 = 1.5;
/// Share of its aim that a query of the least worth for its parts may use. Ours: they are refused first.
const LEAST_ADMISSION_SHARE: f64 = 0.75;
/// Share of the stated fall multiple that a cold replica may be filled to. Ours: leaves as much to chance.
const SLOW_START_FILL: f64 = 0.5;
/// Late worth below which a query ends at its aim. Ours: waiting holds room and buys a twentieth.
const KEEP_LATE_MIN_WEIGHT: f64 = 0.2;
/// Two client times this close are the same, share. Ours: network time differs a little.
const SAME_TIMEOUT_TOLERANCE: f64 = 0.01;
/// Share of the room for queries and parts above which late ones are let go. Ours: just before others bounce.
const PRESSURE_SHARE: f64 = 0.9;
/// What a sum of weights may fall short by. The wire allows ten times this.
const WEIGHT_SUM_TOLERANCE: f64 = 1e-5;
/// Rounds between looks at what is out, share of the shortest aim. Ours.
const SCAN_INTERVAL_OBJECTIVES: f64 = 0.01;
/// Mean wait advised to refused clients, in shortest aims. Ours: queues move on, the aim can still be made.
const RETRY_AFTER_OBJECTIVES: f64 = 0.25;
/// Waits before asking for the list again, shares of the time it must be asked in. Ours: no storm.
const ASK: (f64, f64) = (0.05, 0.5);

/// What this root knows of one replica.
#[derive(Default)]
struct Replica {
    cell: u32,
    weight: f64,
    listed: bool,
    removed: bool,
    /// Mean latency over the fleet's, the mean number of own parts out it was seen under, and the light-load
    /// mean, ns.
    latency_ratio: f64,
    mean_in_flight: f64,
    light_load_latency: f64,
    updated_at: Nanos,
    /// Share of its parts that were lost while others were answered, or failed.
    fault_rate: f64,
    in_flight: u32,
    /// Latest send that was answered.
    newest_answered_send: Nanos,
    /// First send not followed by any answer.
    unanswered_since: Option<Nanos>,
    /// Connections that broke since the last answer.
    connection_resets: u32,
    /// Set while it is taken to be down or silent: when to try again, and the wait after that.
    ejected: Option<Ejection>,
    /// Start of the cold time, and parts it may be sent now.
    warming_since: Option<Nanos>,
    allowance: f64,
    utilization: Option<f64>,
}

struct Ejection {
    probe_at: Nanos,
    probe_backoff: f64,
    /// A probe was answered: one part may be tried.
    on_trial: bool,
    /// Connections failed: its process was gone, so it comes back cold.
    process_down: bool,
}

struct Attempt {
    replica: ReplicaId,
    sent_at: Nanos,
    expected_latency: f64,
    in_flight: bool,
    /// Proved never to have run.
    never_ran: bool,
}

struct Part {
    id: RequestId,
    shard: u32,
    weight: f64,
    step: u32,
    attempts: Vec<Attempt>,
    answered: bool,
}

struct Query {
    id: RequestId,
    class: usize,
    tenant: Option<usize>,
    received_at: Nanos,
    /// Latency expected of the slowest part when it was taken.
    expected_latency: f64,
    objective_at: Nanos,
    /// Until when parts are worth sending.
    send_until: Nanos,
    deadline: Nanos,
    expected_parts: u32,
    step: u32,
    complete: bool,
    /// Its time has been compared with what was expected.
    overrun_recorded: bool,
    admitted: bool,
    parts: Vec<Part>,
}

/// A query's job and the place of one of its parts.
type PartReference = Option<(u64, usize)>;

/// An attempt whose end has not been heard.
struct InFlightAttempt {
    job: u64,
    part: usize,
    replica: ReplicaId,
    sent_at: Nanos,
    in_flight_before: u32,
}

/// One root's decisions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Nanos,
    /// Shortest aim, ns: the measure of time here.
    shortest_objective: f64,
    deadline_margin: Nanos,
    replicas: BTreeMap<ReplicaId, Replica>,
    replicas_by_cell: Vec<Vec<ReplicaId>>,
    /// Latency of the fleet of late, ns, and what it is made of: sum and number of answers, fading with time.
    fleet_latency: f64,
    recent: (f64, f64),
    queries: BTreeMap<u64, Query>,
    jobs_by_query: HashMap<RequestId, u64>,
    in_flight: HashMap<(RequestId, u32), InFlightAttempt>,
    idempotent_parts: VecDeque<Nanos>,
    hedges: VecDeque<Nanos>,
    requests: VecDeque<Nanos>,
    retries: VecDeque<Nanos>,
    quota: Vec<(f64, Nanos)>,
    /// Per class, the time clients usually leave this root, by majority vote; first tries show it.
    usual_timeouts: Vec<(Nanos, u32)>,
    /// Per class, the mean number of parts.
    mean_parts: Vec<f64>,
    /// Multiple of what was expected within which most queries end.
    overrun_multiple: f64,
    /// Mean time between answers, the time of the last, and the time after which means are forgotten; ns.
    mean_answer_gap: f64,
    last_answer_at: Nanos,
    ratio_decay: f64,
    /// Queries and parts held.
    tracked_requests: usize,
    /// When a query was last refused that had its whole aim left.
    last_overload_rejection: Option<Nanos>,
    poll_at: Option<Nanos>,
    poll_backoff: f64,
    timer_at: Option<Nanos>,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let pace = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1) as f64;
        let look = ((pace * SCAN_INTERVAL_OBJECTIVES) as Nanos).max(settings.round_interval).max(1);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let jitter = uniform(&mut rng);
        let (ask, first) =
            (settings.discovery == Discovery::Polled, settings.max_poll_interval as f64 * ASK.0);
        Ok(Balancer {
            rng,
            now,
            shortest_objective: pace,
            deadline_margin: 2 * look + 2 * settings.round_interval,
            replicas: BTreeMap::new(),
            replicas_by_cell: vec![Vec::new(); settings.cells as usize],
            fleet_latency: pace * INITIAL_LATENCY_OBJECTIVES,
            recent: (0.0, 0.0),
            queries: BTreeMap::new(),
            jobs_by_query: HashMap::new(),
            in_flight: HashMap::new(),
            idempotent_parts: VecDeque::new(),
            hedges: VecDeque::new(),
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            quota: settings.tenants.iter().map(|t| (t.quota_per_s, now)).collect(),
            usual_timeouts: vec![(0, 0); settings.classes.len()],
            mean_parts: vec![1.0; settings.classes.len()],
            overrun_multiple: OVERRUN_INITIAL,
            mean_answer_gap: 0.0,
            last_answer_at: now,
            ratio_decay: FORGET.0 * pace,
            tracked_requests: 0,
            last_overload_rejection: None,
            poll_at: ask.then(|| now + (first * jitter) as Nanos),
            poll_backoff: first,
            timer_at: None,
            settings,
        })
    }

    /// Takes in all that was heard at `now`, then decides. Actions are added to `acts` in order.
    pub fn round(&mut self, now: Nanos, events: &[Event], acts: &mut Vec<Action>) {
        let fade = (-(now.saturating_sub(self.now) as f64) / (RECENT.0 * self.shortest_objective)).exp();
        self.recent = (self.recent.0 * fade, self.recent.1 * fade);
        self.now = self.now.max(now);
        for e in events {
            self.on_event(e, acts);
        }
        let listed = self.replicas.values().filter(|r| r.listed).count() as f64;
        self.ratio_decay = (FORGET.0 * self.shortest_objective).max(FORGET.1 * self.mean_answer_gap * listed);
        self.fleet_latency = self.smoothed_fleet_latency();
        self.expire_windows();
        self.tracked_requests = self.queries.values().map(|q| 1 + q.parts.len()).sum();
        if self.poll_at.is_some_and(|t| t <= self.now) {
            self.poll_at = None;
            acts.push(Action::WatchEndpoints);
        }
        self.check_replicas(acts);
        let jobs: Vec<u64> = self.queries.keys().copied().collect();
        for job in jobs {
            self.advance_query(job, acts);
        }
        self.schedule_timer(acts);
    }

    // ---- hearing ----

    fn on_event(&mut self, event: &Event, acts: &mut Vec<Action>) {
        match event {
            Event::EndpointList { full, entries: lines } => self.on_endpoint_list(*full, lines),
            Event::WatchFailed => {
                let wait = self.poll_backoff * (0.5 + uniform(&mut self.rng));
                self.poll_backoff =
                    (self.poll_backoff * 2.0).min(self.settings.max_poll_interval as f64 * ASK.1);
                self.poll_at = Some(self.now + wait as Nanos);
            }
            Event::Query { query, job, class, tenant, time_left: ttl, parts, work, is_retry: again } => {
                let Some(c) = self.settings.classes.get(*class) else { return };
                let stretch = (c.objective_per_work * work.unwrap_or(0) as f64) as Nanos;
                let end = self.now + ttl.saturating_sub(self.deadline_margin);
                let spent = time_spent_on_earlier_tries(&mut self.usual_timeouts[*class], c, *ttl, *again);
                let aim = (c.latency_objective + stretch).min(c.deadline).saturating_sub(spent);
                let aim = (self.now + aim.saturating_sub(self.deadline_margin)).min(end);
                let q = Query {
                    send_until: if c.late_weight < KEEP_LATE_MIN_WEIGHT { aim } else { end },
                    id: *query,
                    received_at: self.now,
                    expected_latency: 0.0,
                    class: *class,
                    tenant: *tenant,
                    objective_at: aim,
                    deadline: end,
                    expected_parts: *parts,
                    step: 0,
                    complete: true,
                    overrun_recorded: false,
                    admitted: false,
                    parts: Vec::new(),
                };
                self.queries.insert(*job, q);
                self.jobs_by_query.insert(*query, *job);
                self.requests.push_back(self.now);
            }
            Event::Part { part, job, shard, weight } => {
                self.requests.push_back(self.now);
                let Some(q) = self.queries.get_mut(job) else { return };
                let (id, shard, weight, step) = (*part, *shard, *weight, q.step);
                q.parts.push(Part { id, shard, weight, step, attempts: Vec::new(), answered: false });
                if self.settings.classes[q.class].idempotency == Idempotency::Idempotent {
                    self.idempotent_parts.push_back(self.now);
                }
            }
            Event::AttemptEnded { part, attempt, latency, outcome, utilization: busy, .. } => {
                self.on_attempt_ended((*part, *attempt), *latency, *outcome, *busy, acts)
            }
            Event::ClientDisconnected { query } => {
                if let Some(job) = self.jobs_by_query.get(query).copied() {
                    self.remove_query(job, acts);
                }
            }
            Event::HealthChecked { replica, ok, utilization: busy, .. } => {
                let Some(r) = self.replicas.get_mut(replica) else { return };
                r.utilization = busy.or(r.utilization);
                if let Some(ejected) = &mut r.ejected {
                    ejected.on_trial = *ok;
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

    fn on_endpoint_list(&mut self, full: bool, lines: &[ReplicaEntry]) {
        // An answer to a call: the watch stands.
        if self.poll_at.is_none() {
            self.poll_backoff = self.settings.max_poll_interval as f64 * ASK.0;
        }
        if full {
            for r in self.replicas.values_mut() {
                r.listed = false;
                r.removed = true;
            }
        }
        for line in lines {
            let start = INITIAL_LATENCY_OBJECTIVES * self.shortest_objective;
            let new = || Replica { light_load_latency: start, latency_ratio: 1.0, ..Replica::default() };
            let r = self.replicas.entry(line.replica).or_insert_with(new);
            r.cell = line.cell;
            r.weight = line.weight;
            r.listed = line.state == ReplicaState::Active;
            r.removed = line.state == ReplicaState::Removed;
            // Guards rule 4: what has started lately is cold until its stated time is over.
            if let Some(t) =
                line.started.filter(|t| t.saturating_add(self.settings.slow_start_time) > self.now)
                && r.warming_since.is_none_or(|c| c < t)
            {
                r.warming_since = Some(t);
                // One part tells what a new one is like.
                r.allowance = if r.updated_at == 0 { 1.0 } else { 0.0 };
                if r.ejected.is_some() {
                    r.ejected = None;
                    r.unanswered_since = None;
                    r.latency_ratio = 1.0;
                }
            }
        }
        // What is gone never comes back under its number.
        self.replicas.retain(|_, r| !r.removed || r.in_flight > 0);
        for c in &mut self.replicas_by_cell {
            c.clear();
        }
        for (id, r) in &self.replicas {
            if let Some(c) = self.replicas_by_cell.get_mut(r.cell as usize).filter(|_| r.listed) {
                c.push(*id);
            }
        }
    }

    fn on_attempt_ended(
        &mut self,
        (id, n): (RequestId, u32),
        lat: Nanos,
        how: Outcome,
        busy: Option<f64>,
        acts: &mut Vec<Action>,
    ) {
        let Some(o) = self.in_flight.remove(&(id, n)) else { return };
        let (now, pace, fleet, forget) =
            (self.now, self.shortest_objective, self.fleet_latency, self.ratio_decay);
        let fade = (forget, FORGET.0 * pace);
        if let Some(r) = self.replicas.get_mut(&o.replica) {
            r.in_flight = r.in_flight.saturating_sub(1);
            r.utilization = busy.or(r.utilization);
            // Overtaken by later sends: the part is costly, not the replica slow. It teaches no more.
            let age = (now - o.sent_at) as f64;
            let mean = fleet * r.decayed_ratio(now, forget);
            let most =
                if r.newest_answered_send > o.sent_at && age > 2.0 * mean { mean } else { f64::INFINITY };
            // Guards against whatever answers some parts fast and fails the rest or never answers them: that
            // is no load, yet no health.
            let overdue = r.newest_answered_send > o.sent_at && age > LOST_LATENCY_MULTIPLE * mean;
            match how {
                Outcome::Ok => r.fault_rate -= LOSS.0 * r.fault_rate,
                Outcome::Error | Outcome::InvalidResponse => r.fault_rate += LOSS.0 * (1.0 - r.fault_rate),
                Outcome::TimedOut | Outcome::Cancelled if overdue => {
                    r.fault_rate += LOSS.0 * (1.0 - r.fault_rate)
                }
                _ => {}
            }
            let seen = match how {
                Outcome::Ok => {
                    self.mean_answer_gap +=
                        GAP_EWMA_WEIGHT * ((now - self.last_answer_at) as f64 - self.mean_answer_gap);
                    self.last_answer_at = now;
                    r.newest_answered_send = r.newest_answered_send.max(o.sent_at);
                    r.unanswered_since = None;
                    r.connection_resets = 0;
                    if r.ejected.take().is_some_and(|b| b.process_down) && r.warming_since.is_none() {
                        r.warming_since = Some(now);
                        r.allowance = 0.0;
                    }
                    Some((lat as f64).min(most))
                }
                // The age of what never came is a lower bound on latency.
                // What was never sent says nothing of its replica.
                Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
                    if r.in_flight == 0 && age < mean * RETRY_LATENCY_MULTIPLE {
                        r.unanswered_since = None;
                    }
                    (age > mean).then_some(age.min(most))
                }
                // May be load: some slowness, yet not seconds after a few in a row. What turns a part away
                // answers at once, but does not serve: speed must not draw more parts there.
                Outcome::Error | Outcome::InvalidResponse | Outcome::Rejected => {
                    r.unanswered_since = None;
                    let most = if how == Outcome::Rejected {
                        f64::INFINITY
                    } else {
                        mean.max(SILENCE_LATENCY_MULTIPLE * fleet)
                    };
                    r.record_latency(
                        (mean * SAMPLE_CLIP_MULTIPLE).min(most),
                        o.in_flight_before as f64,
                        fleet,
                        now,
                        fade,
                    );
                    None
                }
                // One broken connection is no dead process: peers close what stood idle.
                // A dead one refuses the next.
                Outcome::ConnectionReset if r.connection_resets == 0 => {
                    r.connection_resets = 1;
                    r.unanswered_since = r.unanswered_since.filter(|_| r.in_flight > 0);
                    None
                }
                Outcome::ConnectFailed | Outcome::ConnectionReset => {
                    r.eject(now, pace, true);
                    None
                }
            };
            if let Some(lat) = seen {
                r.record_latency(lat, o.in_flight_before as f64, fleet, now, fade);
                self.recent =
                    (self.recent.0 + lat.min(FLEET_SAMPLE_CLIP_MULTIPLE * fleet), self.recent.1 + 1.0);
            }
        }
        let Some(q) = self.queries.get_mut(&o.job) else { return };
        let Some(part) = q.parts.get_mut(o.part).filter(|p| p.id == id) else { return };
        let Some(t) = part.attempts.get_mut(n as usize) else { return };
        (t.in_flight, t.never_ran) =
            (false, matches!(how, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent));
        if how == Outcome::Ok && !part.answered {
            part.answered = true;
            if self.settings.may_cancel {
                // A trial runs on: its answer is what tells that a replica has healed.
                let ejected =
                    |t: &Attempt| self.replicas.get(&t.replica).is_some_and(|r| r.ejected.is_some());
                for (k, _) in part.attempts.iter().enumerate().filter(|(_, t)| t.in_flight && !ejected(t)) {
                    acts.push(Action::Cancel { part: id, attempt: k as u32 });
                }
            }
        }
    }

    // ---- the list and the replicas ----

    /// Drops what has left its window. Extras are kept a tick longer, what they are held against a tick less.
    fn expire_windows(&mut self) {
        let over = |v: &mut VecDeque<Nanos>, from: Nanos| {
            while v.front().is_some_and(|t| *t <= from) {
                v.pop_front();
            }
        };
        let window = self.settings.retry_budget.map_or(HEDGE_WINDOW_NS, |b| b.window);
        over(&mut self.idempotent_parts, self.now.saturating_sub(HEDGE_WINDOW_NS));
        over(&mut self.hedges, self.now.saturating_sub(HEDGE_WINDOW_NS));
        over(&mut self.requests, (self.now + self.settings.round_interval).saturating_sub(window));
        over(&mut self.retries, self.now.saturating_sub(window + 2 * self.settings.round_interval));
    }

    /// Finds silent replicas and asks ejected ones how they are.
    fn check_replicas(&mut self, acts: &mut Vec<Action>) {
        let (now, pace) = (self.now, self.shortest_objective);
        let silent = (SILENCE_LATENCY_MULTIPLE * self.fleet_latency).max(0.2 * pace);
        for (id, r) in self.replicas.iter_mut().filter(|(_, r)| r.listed) {
            if r.warming_since.is_some_and(|t| t + self.settings.slow_start_time <= now) {
                r.warming_since = None;
            }
            // Guards against whatever takes parts and answers none: hung, silent, cut off.
            if r.ejected.is_none() && r.unanswered_since.is_some_and(|t| (now - t) as f64 > silent) {
                r.eject(now, pace, false);
            }
            if let Some(ejected) = &mut r.ejected
                && ejected.probe_at <= now
                && !ejected.on_trial
            {
                ejected.probe_backoff = (ejected.probe_backoff * 2.0).min(PROBE_BACKOFF.1 * pace);
                ejected.probe_at = now + ejected.probe_backoff as Nanos;
                if self.settings.may_health_check {
                    acts.push(Action::HealthCheck { replica: *id });
                } else {
                    ejected.on_trial = true;
                }
            }
        }
    }

    /// Latency of the fleet of late. A root that hears little drifts back to light load: else one that
    /// refuses all, and so hears nothing new, would refuse for ever.
    fn smoothed_fleet_latency(&self) -> f64 {
        let listed = self.replicas.values().filter(|r| r.listed);
        let (sum, n) = listed.fold((0.0, 0.0), |(sum, n), r| (sum + r.light_load_latency, n + 1.0));
        let light = if n > 0.0 { sum / n } else { self.fleet_latency };
        (self.recent.0 + RECENT.1 * light) / (self.recent.1 + RECENT.1)
    }

    /// Listed replicas that get nothing for now but trials.
    pub fn ejected(&self) -> usize {
        self.replicas.values().filter(|r| r.listed && r.ejected.is_some()).count()
    }

    // ---- deciding ----

    fn advance_query(&mut self, job: u64, acts: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&job) else { return };
        let (query, step) = (q.id, q.step);
        let class = self.settings.classes[q.class].clone();
        if !q.admitted {
            if step == 0 && !self.admit(job) {
                self.remove_query(job, acts);
                let refusal = self.rejection(query);
                acts.push(refusal);
                return;
            }
            self.queries.get_mut(&job).unwrap().admitted = true;
            self.grant_slow_start_allowance(job);
        }
        if self.finish_query(job, &class, acts) {
            return;
        }
        for i in 0..self.queries[&job].parts.len() {
            self.advance_part(job, i, &class, acts);
        }
    }

    /// Unsent parts of the query, beside `i`, that one call to this replica could take along.
    fn parts_sharing_call(&self, job: u64, i: usize, id: ReplicaId) -> Vec<usize> {
        if self.settings.call_work == 0 || self.settings.parts_per_call < 2 {
            return Vec::new();
        }
        let q = &self.queries[&job];
        let (cell, n) = (self.replicas[&id].cell, self.settings.cells);
        let held = |p: &Part| (cell + n - p.shard % n) % n < self.settings.span;
        let most = self.settings.parts_per_call as usize - 1;
        let ripe = |k: usize, p: &Part| {
            k != i && !p.answered && p.step == q.step && p.attempts.is_empty() && held(p)
        };
        q.parts.iter().enumerate().filter(|(k, p)| ripe(*k, p)).map(|(k, _)| k).take(most).collect()
    }

    /// Ends the query if it can or must be. Guards rules 1 and 5.
    fn finish_query(&mut self, job: u64, class: &Class, acts: &mut Vec<Action>) -> bool {
        let (now, full) =
            (self.now, self.tracked_requests as f64 > PRESSURE_SHARE * self.settings.max_in_flight as f64);
        let q = &self.queries[&job];
        let here: Vec<&Part> = q.parts.iter().filter(|p| p.step == q.step).collect();
        let share: f64 = here.iter().filter(|p| p.answered).map(|p| p.weight).sum();
        let all =
            here.iter().all(|p| p.answered) && here.len() >= q.expected_parts as usize && !here.is_empty();
        let whole = if q.step == 0 {
            all || share + WEIGHT_SUM_TOLERANCE >= class.complete_share
        } else {
            all && q.complete
        };
        let floor = if class.min_answer_share < class.complete_share {
            class.min_answer_share
        } else {
            class.complete_share
        };
        let empty = here.is_empty();
        let enough = if q.step == 0 || class.min_answer_share < class.complete_share {
            share + WEIGHT_SUM_TOLERANCE >= floor
        } else {
            all
        };
        let late = now >= q.objective_at;
        let spent = |p: &&Part| {
            p.answered
                || (p.attempts.iter().all(|t| !t.in_flight)
                    && (now >= q.send_until
                        || p.attempts.len() >= self.settings.max_attempts as usize
                        || !self.may_execute_again(p, class)
                        || self.replicas_of_shard(p.shard).is_empty()))
        };
        // Nothing is out, nothing more will be sent: waiting on would only keep the client from asking again.
        let stuck = !all && here.iter().all(spent);
        let harmless = class.idempotency == Idempotency::Idempotent
            || here.iter().all(|p| p.attempts.iter().all(|t| t.never_ran));
        let over = (whole || late) && !q.overrun_recorded;
        if over {
            self.queries.get_mut(&job).unwrap().overrun_recorded = true;
            self.record_overrun(job);
        }
        let q = self.queries.get_mut(&job).unwrap();
        if (whole || (q.step > 0 && all) || ((late || stuck) && enough)) && !empty {
            let (query, step) = (q.id, q.step);
            acts.push(Action::Answer { query, complete: whole });
            if step == 0 && class.fetch_parts > 0 {
                q.step = 1;
                q.complete = whole;
                q.admitted = false;
                q.expected_parts = 1;
                return true;
            }
            self.remove_query(job, acts);
            return true;
        }
        // Late answers are worth waiting for only while they keep nothing else out.
        let hopeless = late && full;
        if now >= q.deadline || hopeless || (stuck && !empty) {
            let (query, refuse) = (q.id, stuck && harmless && now < q.deadline);
            self.remove_query(job, acts);
            acts.push(if refuse { self.rejection(query) } else { Action::Fail { query } });
            return true;
        }
        false
    }

    /// A refusal, with the time after which the client does well to come back.
    fn rejection(&mut self, query: RequestId) -> Action {
        let most = if self.settings.may_send_retry_after { self.settings.max_retry_after } else { 0 };
        let wait = (2.0 * uniform(&mut self.rng) * RETRY_AFTER_OBJECTIVES * self.shortest_objective) as Nanos;
        Action::Reject { query, retry_after: wait.min(most) }
    }

    /// Whether a new query can be answered in its aim as things stand.
    fn admit(&mut self, job: u64) -> bool {
        let q = &self.queries[&job];
        let class = &self.settings.classes[q.class];
        let size = &mut self.mean_parts[q.class];
        *size += LATENCY_EWMA_WEIGHT * (q.parts.len() as f64 - *size);
        let density = |(c, n): (&Class, &f64)| c.priority_weight / n.max(1.0);
        let top =
            self.settings.classes.iter().zip(&self.mean_parts).map(density).fold(f64::MIN_POSITIVE, f64::max);
        let mut rank = density((class, &self.mean_parts[q.class])) / top;
        if let Some((level, at)) = q.tenant.and_then(|t| self.quota.get_mut(t)) {
            let rate =
                self.settings.tenants[q.tenant.unwrap()].quota_per_s / self.settings.brokers.max(1) as f64;
            *level = (*level + rate * (self.now - *at) as f64 / 1e9).min(rate.max(1.0));
            *at = self.now;
            if *level >= 1.0 {
                *level -= 1.0;
            } else {
                rank *= self.settings.over_quota_weight;
            }
        }
        let hope = (LEAST_ADMISSION_SHARE + (1.0 - LEAST_ADMISSION_SHARE) * rank) / self.overrun_multiple;
        let left = (q.objective_at - self.now) as f64 * hope;
        // A shard whose replicas all refuse connections can't be asked; clients do better to come back.
        let gone = |id: &ReplicaId| {
            self.replicas[id].ejected.as_ref().is_some_and(|b| b.process_down && !b.on_trial)
        };
        let dead = q.parts.iter().filter(|p| self.replicas_of_shard(p.shard).iter().all(gone));
        if dead.map(|p| p.weight).sum::<f64>()
            > 1.0 - class.min_answer_share.min(class.complete_share) + WEIGHT_SUM_TOLERANCE
        {
            return false;
        }
        let best = |p: &Part| {
            let sound =
                self.replicas_of_shard(p.shard).into_iter().filter(|id| self.replicas[id].ejected.is_none());
            sound.map(|id| self.expected_latency(id)).reduce(f64::min)
        };
        let slowest = q.parts.iter().filter_map(best).fold(0.0, f64::max);
        // A try with little of its aim left is no sign of load.
        if slowest > left.max(class.latency_objective as f64 * hope) {
            self.last_overload_rejection = Some(self.now);
        }
        self.queries.get_mut(&job).unwrap().expected_latency = slowest;
        slowest <= left
    }

    /// Learns how far queries overrun what was expected of their slowest part.
    fn record_overrun(&mut self, job: u64) {
        let q = &self.queries[&job];
        let over = (self.now - q.received_at) as f64 > q.expected_latency * self.overrun_multiple;
        let step = if over { OVERRUN_QUANTILE } else { OVERRUN_QUANTILE - 1.0 };
        self.overrun_multiple = (self.overrun_multiple * (1.0 + TAIL.2 * step)).clamp(TAIL.0, TAIL.1);
    }

    /// Every part taken lets each cold replica have a part of its fair share. Guards rule 4.
    fn grant_slow_start_allowance(&mut self, job: u64) {
        let (now, cfg) = (self.now, &self.settings);
        let share = |cold: Option<Nanos>| {
            let age = cold.map_or(1.0, |t| (now - t.min(now)) as f64 / cfg.slow_start_time.max(1) as f64);
            cfg.slow_start_share + (1.0 - cfg.slow_start_share) * age.min(1.0)
        };
        let parts = self.queries[&job].parts.len() as f64;
        let listed = self.replicas.values().filter(|r| r.listed);
        let (n, can) = listed.fold((0.0, 0.0), |(n, can), r| (n + 1.0, can + share(r.warming_since)));
        // A share of what all can do now; a full load on a cold fleet still keeps to 0.8 of the multiple.
        let whole = f64::max(can, SLOW_START_FILL / 0.8 * n);
        for r in self.replicas.values_mut().filter(|r| r.listed && r.warming_since.is_some()) {
            let fill = (SLOW_START_FILL * cfg.overload_multiple).max(1.0) * share(r.warming_since);
            r.allowance = (r.allowance + fill * parts / whole.max(1.0)).min(2.0);
        }
    }

    fn replicas_of_shard(&self, shard: u32) -> Vec<ReplicaId> {
        let n = self.settings.cells;
        (0..self.settings.span.min(n))
            .flat_map(|j| self.replicas_by_cell[((shard + j) % n) as usize].iter().copied())
            .collect()
    }

    /// Latency expected of one more part: the mean, forgotten with time, scaled by own parts out; at least
    /// the time since which nothing was heard.
    fn expected_latency(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        let mean = self.fleet_latency * r.decayed_ratio(self.now, self.ratio_decay);
        let scaled = mean * (r.in_flight as f64 + 1.0 + ASSUMED_OTHERS_IN_FLIGHT)
            / (r.mean_in_flight + 1.0 + ASSUMED_OTHERS_IN_FLIGHT);
        let silence = r.unanswered_since.map_or(0.0, |t| (self.now - t) as f64);
        scaled.max(silence)
    }

    /// Share of a replica's parts that is lost beyond chance, faded while it is unused.
    fn excess_fault_rate(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        let idle = (self.now - r.updated_at.min(self.now)) as f64;
        (r.fault_rate * (-idle / (LOSS.2 * self.shortest_objective)).exp() - LOSS.1).max(0.0)
    }

    /// Busy share where told, else one minus light-load over current latency.
    fn load_of(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        r.utilization.unwrap_or_else(|| 1.0 - r.light_load_latency / self.expected_latency(id).max(1.0))
    }

    /// The weighted draw. Ejected and unduly pushed cold replicas stay out; if all others are out too, the
    /// ejected come back in, since then it is rather the view that is bad.
    /// For a first attempt of part `.1` of query `.0`, latency counts by its cost a part in a shared call.
    fn select_replica(
        &mut self,
        shard: u32,
        avoid: &[ReplicaId],
        spread: bool,
        first: PartReference,
    ) -> Option<ReplicaId> {
        let call = self.settings.call_work as f64;
        let work = (self.fleet_latency - call).max(call / 2.0);
        let cost = |id: ReplicaId| match first {
            Some((job, i)) if call > 0.0 => {
                (call / (1 + self.parts_sharing_call(job, i, id).len()) as f64 + work) / (call + work)
            }
            _ => 1.0,
        };
        let mut ids = self.replicas_of_shard(shard);
        ids.retain(|id| !avoid.contains(id) && self.replicas[id].accepts_part());
        let sound: Vec<ReplicaId> =
            ids.iter().copied().filter(|id| self.replicas[id].ejected.is_none()).collect();
        let pool = if sound.is_empty() && spread { ids } else { sound };
        // What all lose is no reason to choose.
        let least = pool.iter().map(|id| self.excess_fault_rate(*id)).fold(f64::INFINITY, f64::min);
        let again = first.is_some_and(|(job, _)| {
            self.settings.classes[self.queries[&job].class].idempotency != Idempotency::NonIdempotent
                && self.settings.max_attempts > 1
        });
        let lost = self.shortest_objective * if again { LOSS_COST.0 } else { LOSS_COST.1 };
        let price = |id: ReplicaId| {
            self.expected_latency(id) * cost(id) + (self.excess_fault_rate(id) - least) * lost
        };
        let odds = |id: &ReplicaId| {
            self.replicas[id].weight
                * (self.shortest_objective / price(*id).max(1.0)).powf(SELECTION_EXPONENT)
        };
        let odds: Vec<f64> = pool.iter().map(odds).collect();
        let mut x = uniform(&mut self.rng) * odds.iter().sum::<f64>();
        for (id, w) in pool.iter().zip(&odds) {
            x -= w;
            if x < 0.0 {
                return Some(*id);
            }
        }
        pool.last().copied()
    }

    fn advance_part(&mut self, job: u64, i: usize, class: &Class, acts: &mut Vec<Action>) {
        let q = &self.queries[&job];
        let p = &q.parts[i];
        if p.answered
            || p.step != q.step
            || self.now >= q.send_until
            || p.attempts.len() >= self.settings.max_attempts as usize
        {
            return;
        }
        let shard = p.shard;
        let open = p.attempts.iter().filter(|t| t.in_flight).count();
        if p.attempts.is_empty() {
            let copies = class.idempotency == Idempotency::Idempotent
                && self.settings.may_hedge
                && self.settings.max_attempts > 1;
            let trial = self.replica_on_trial(shard);
            let plain = trial.filter(|_| !copies);
            let Some(first) = plain.or_else(|| self.select_replica(shard, &[], true, Some((job, i)))) else {
                return;
            };
            self.send_attempt(job, i, first, acts);
            // Where a call costs work beside its parts, unsent parts that the same replica holds go along.
            for k in self.parts_sharing_call(job, i, first) {
                if self.replicas[&first].accepts_part() {
                    self.send_attempt(job, k, first, acts);
                }
            }
            match trial.filter(|t| *t != first && copies) {
                // A replica that was ejected is found again with a second copy, which risks no part.
                Some(t) if self.may_duplicate() => self.send_attempt(job, i, t, acts),
                _ if copies => self.hedge(job, i, first, acts),
                _ => {}
            }
            return;
        }
        let used: Vec<ReplicaId> = p.attempts.iter().map(|t| t.replica).collect();
        if open > 0 {
            // Late: try elsewhere while the first still runs, unless there is no time for it.
            // A root that refused for load a moment ago spends no work twice, but for what is lost.
            let pressed = self
                .last_overload_rejection
                .is_some_and(|t| (self.now - t) as f64 <= self.shortest_objective);
            let lost = |t: &Attempt| {
                let r = &self.replicas[&t.replica];
                let mean = self.fleet_latency * r.decayed_ratio(self.now, self.ratio_decay);
                r.ejected.is_some()
                    || (r.newest_answered_send > t.sent_at
                        && (self.now - t.sent_at) as f64 > LOST_LATENCY_MULTIPLE * mean)
            };
            let sick = p.attempts.iter().filter(|t| t.in_flight).all(lost);
            let over = |t: &Attempt| (self.now - t.sent_at) as f64 / t.expected_latency.max(1.0);
            let least = p.attempts.iter().filter(|t| t.in_flight).map(over).fold(f64::INFINITY, f64::min);
            let late = least > if sick { 1.0 } else { RETRY_LATENCY_MULTIPLE } && (sick || !pressed);
            let end = (if self.now < q.objective_at { q.objective_at } else { q.deadline }) as f64;
            // What is lost runs nowhere: another try is no second copy, and their share is not its bound.
            let room = if sick { self.within_retry_budget() } else { open == 1 && self.may_duplicate() };
            if !late || !self.settings.may_hedge || !self.may_execute_again(p, class) || !room {
                return;
            }
            let Some(other) = self.select_replica(shard, &used, false, None) else { return };
            let light = sick || self.load_of(other) < HEDGE_MAX_LOAD;
            if light && self.now as f64 + self.expected_latency(other) < end {
                self.send_attempt(job, i, other, acts);
            }
            return;
        }
        // Three tries can be turned away within milliseconds: the last one waits until queues have moved on.
        let up =
            |t: &Attempt| t.never_ran && self.replicas.get(&t.replica).is_some_and(|r| r.ejected.is_none());
        let last = p.attempts.len() + 1 >= self.settings.max_attempts as usize && p.attempts.iter().all(up);
        let since = p.attempts.last().map_or(0, |t| self.now - t.sent_at) as f64;
        let soon = q.objective_at as f64 <= self.now as f64 + 2.0 * self.fleet_latency;
        let early = last && since < self.fleet_latency && !soon;
        if early || !self.may_execute_again(p, class) || !self.within_retry_budget() {
            return;
        }
        if let Some(other) = self
            .select_replica(shard, &used, true, None)
            .or_else(|| self.select_replica(shard, &[], true, None))
        {
            self.send_attempt(job, i, other, acts);
        }
    }

    /// A holder of the shard that was ejected and is due for one part.
    fn replica_on_trial(&self, shard: u32) -> Option<ReplicaId> {
        self.replicas_of_shard(shard).into_iter().find(|id| {
            let r = &self.replicas[id];
            r.accepts_part() && r.ejected.as_ref().is_some_and(|b| b.on_trial)
        })
    }

    /// Guards rule 2.
    fn may_execute_again(&self, p: &Part, class: &Class) -> bool {
        let ran = p.attempts.iter().find(|t| !t.never_ran);
        match (class.idempotency, ran) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotencyKey { window }, Some(t)) => {
                self.now + 2 * self.settings.round_interval < t.sent_at + window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Guards rule 6. The count runs a little long and what it is held against a little short.
    fn within_retry_budget(&self) -> bool {
        let Some(b) = self.settings.retry_budget else { return true };
        self.retries.len() as f64 + 1.0 <= b.free + b.share * self.requests.len() as f64
    }

    /// Whether one more part may be run twice: further attempts stay in proportion to this root's own parts.
    fn may_duplicate(&self) -> bool {
        self.within_retry_budget()
            && self.retries.len() as f64 <= DUPLICATE_BUDGET_RATIO * self.requests.len() as f64
    }

    /// The twin: at once, on a second replica, while both read as light and the budgets allow.
    fn hedge(&mut self, job: u64, i: usize, first: ReplicaId, acts: &mut Vec<Action>) {
        let due = self.hedges.len() as f64 + 1.0 <= HEDGE_BUDGET_RATIO * self.idempotent_parts.len() as f64;
        let shard = self.queries[&job].parts[i].shard;
        // The budget goes to parts drawn to a replica slower than most: those are what a query waits for.
        let fit =
            due && self.load_of(first) < HEDGE_MAX_LOAD && self.expected_latency(first) >= self.fleet_latency;
        if fit
            && self.may_duplicate()
            && let Some(second) = self.select_replica(shard, &[first], false, None)
            && self.load_of(second) < HEDGE_MAX_LOAD
        {
            self.hedges.push_back(self.now);
            self.send_attempt(job, i, second, acts);
        }
    }

    fn send_attempt(&mut self, job: u64, i: usize, replica: ReplicaId, acts: &mut Vec<Action>) {
        let (now, expected) = (self.now, self.expected_latency(replica));
        let q = self.queries.get_mut(&job).unwrap();
        let p = &mut q.parts[i];
        let n = p.attempts.len() as u32;
        let r = self.replicas.get_mut(&replica).unwrap();
        self.in_flight.insert(
            (p.id, n),
            InFlightAttempt { job, part: i, replica, sent_at: now, in_flight_before: r.in_flight },
        );
        p.attempts.push(Attempt {
            replica,
            sent_at: now,
            expected_latency: expected,
            in_flight: true,
            never_ran: false,
        });
        r.in_flight += 1;
        r.unanswered_since.get_or_insert(now);
        if let Some(ejected) = &mut r.ejected {
            ejected.on_trial = false;
        }
        if r.warming_since.is_some() {
            r.allowance -= 1.0;
        }
        if n > 0 {
            self.retries.push_back(now);
        }
        // Servers that drop what has run out of time are told when that is.
        let timeout =
            (q.send_until + self.deadline_margin).saturating_sub(now).max(self.settings.round_interval);
        acts.push(Action::Send { part: p.id, replica, timeout });
    }

    /// Forgets a query; what is still out for it is withdrawn.
    fn remove_query(&mut self, job: u64, acts: &mut Vec<Action>) {
        let Some(q) = self.queries.remove(&job) else { return };
        self.jobs_by_query.remove(&q.id);
        if self.settings.may_cancel {
            for p in q.parts.iter().filter(|p| !p.answered) {
                for (k, _) in p.attempts.iter().enumerate().filter(|(_, t)| t.in_flight) {
                    acts.push(Action::Cancel { part: p.id, attempt: k as u32 });
                }
            }
        }
    }

    fn schedule_timer(&mut self, acts: &mut Vec<Action>) {
        let look =
            ((self.shortest_objective * SCAN_INTERVAL_OBJECTIVES) as Nanos).max(self.settings.round_interval);
        let busy = !self.queries.is_empty();
        let ejected = self.replicas.values().any(|r| r.listed && r.ejected.is_some());
        let times = [busy.then_some(self.now + look), self.poll_at, ejected.then_some(self.now + 4 * look)];
        if let Some(t) = times.into_iter().flatten().min()
            && self.timer_at.is_none_or(|w| w > t || w <= self.now)
        {
            self.timer_at = Some(t);
            acts.push(Action::SetTimer { after: (t - self.now).max(1) });
        }
    }
}

impl Replica {
    /// Takes in one latency, seen with so many own parts out at its sending.
    /// What it replaces counts the less, the older it is: five answers may take a root many seconds.
    fn record_latency(&mut self, lat: f64, depth: f64, fleet: f64, now: Nanos, fade: (f64, f64)) {
        let old = self.decayed_ratio(now, fade.0);
        let weight =
            LATENCY_EWMA_WEIGHT.max(1.0 - (-((now - self.updated_at.min(now)) as f64) / fade.1).exp());
        self.latency_ratio = old + weight * ((lat / fleet).min(old * SAMPLE_CLIP_MULTIPLE) - old);
        self.mean_in_flight += LATENCY_EWMA_WEIGHT * (depth - self.mean_in_flight);
        let m = fleet * self.latency_ratio;
        self.light_load_latency =
            if m < self.light_load_latency { m } else { self.light_load_latency * (1.0 + LIGHT_LOAD_RISE) };
        self.updated_at = now;
    }

    /// The ratio as it drifts to the fleet's while unused.
    fn decayed_ratio(&self, now: Nanos, forget: f64) -> f64 {
        let keep = (-((now - self.updated_at.min(now)) as f64) / forget).exp();
        1.0 + (self.latency_ratio - 1.0) * keep
    }

    /// Whether rule 4 lets one more part go there.
    fn accepts_part(&self) -> bool {
        self.warming_since.is_none() || self.allowance >= 1.0
    }

    fn eject(&mut self, now: Nanos, pace: f64, down: bool) {
        let wait = PROBE_BACKOFF.0 * pace;
        let ejected = self.ejected.get_or_insert(Ejection {
            probe_at: now + wait as Nanos,
            probe_backoff: wait,
            on_trial: false,
            process_down: down,
        });
        ejected.on_trial = false;
        ejected.process_down |= down;
    }
}

/// Time a client's earlier tries have used up. Where a try is not left the usual time, it is left all there
/// is, so what is missing from the deadline is gone. Guards against working for aims that have passed. One
/// left less than the aim is rather impatient: it is served if it can be, and load alone refuses it.
fn time_spent_on_earlier_tries(usual: &mut (Nanos, u32), class: &Class, ttl: Nanos, again: bool) -> Nanos {
    let same = (ttl.abs_diff(usual.0) as f64) < SAME_TIMEOUT_TOLERANCE * class.deadline as f64;
    *usual = match *usual {
        (t, n) if same => (t, n + 1),
        (_, 0) => (ttl, 1),
        (t, n) => (t, n - 1),
    };
    if same || usual.1 <= 1 || (ttl < class.latency_objective && !again) {
        0
    } else {
        class.deadline.saturating_sub(ttl)
    }
}

/// A number in [0, 1).
fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
