//! All decisions of a root. Its interface (settings, events, actions, ids) is `src/api.rs`.
//!
//! Each part goes to a replica of its shard drawn with odds that fall as this root's mean latency there
//! rises; chosen safe parts go at once to two. The rest keeps that going under failure and keeps the rules.

use crate::api::*;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Load above which a replica takes part in no twin. Design page (the paper's third, raised).
const GATE: f64 = 0.5;
/// Twins per safe part of the last second. Design page.
const TWIN_SHARE: f64 = 0.1;
/// Window of the twin budget, ns. Design page.
const TWIN_WINDOW: Nanos = 1_000_000_000;
/// Latency an unheard root starts from, share of the class's aim. Ours: a part is a small piece of a query.
const START_SHARE: f64 = 0.1;
/// Steepness of the odds: they fall as latency to this power. Ours: leans hard, yet never excludes.
const LEAN: f64 = 6.0;
/// Weight of a new sample in a mean. Ours: about the last five answers count.
const SMOOTH: f64 = 0.2;
/// A sample counts as at most so many times the mean. Ours: one costly part must not condemn a replica.
const CLIP: f64 = 4.0;
/// An answer counts in the fleet's latency as at most so many times that. Ours: lost answers are not load.
const FLEET_CLIP: f64 = 2.0;
/// Parts added to both sides when latency is scaled by own parts out. Ours: others send there too.
const OTHERS: f64 = 1.0;
/// Time in which an unused ratio drifts to one: in shortest aims, or in mean times between two answers of one
/// replica if that is longer. Ours: a healed one is retried, yet what was heard lasts to the next part.
const FORGET: (f64, f64) = (2.0, 3.0);
/// Memory of the fleet's latency, in shortest aims, and answers that light load counts for in it. Ours: load
/// changes within seconds, and a root that hears nothing takes the fleet as light.
const RECENT: (f64, f64) = (1.5, 2.0);
/// Weight of a new gap between answers. Ours: a few dozen answers show the rate.
const GAP: f64 = 0.02;
/// Rise of a light-load mean per sample, share. Ours: slow, so it stays a light-load figure.
const LIGHT_RISE: f64 = 0.005;
/// A part is tried elsewhere when out for so many times the latency expected. Ours: past most honest tails.
const LATE: f64 = 2.5;
/// Further attempts per query and part taken above which no part gets a second copy. Ours: the rule's free
/// attempts, times many roots, would be much of the load.
const COPY_SHARE: f64 = 0.1;
/// A part is lost once out for so many means of its replica while a later one was answered. Ours: past the
/// costliest parts.
const LOST: f64 = 10.0;
/// Weight of a part in its replica's share of lost and failed ones, the share that is chance, and the time in
/// which it fades while unused, in shortest aims. Ours: two in a few dozen answers are more than chance.
const LOSS: (f64, f64, f64) = (0.05, 0.05, 4.0);
/// What a lost part costs, in shortest aims: one that can be tried again, and any other. Ours: the time until
/// that, and its query.
const LOSS_COST: (f64, f64) = (0.3, 1.0);
/// A replica unheard for so many fleet means since a send is suspect. Ours: beyond ordinary pauses.
const SILENT: f64 = 5.0;
/// First and longest wait before an ejected replica is tried again, in shortest aims. Ours.
const PROBE_BACKOFF: (f64, f64) = (0.2, 1.0);
/// Share of queries whose time should lie within the learned multiple of what was expected. Ours.
const QUANTILE: f64 = 0.7;
/// Bounds of that multiple and its change a query. Ours: keep one odd spell from closing or opening the door.
const TAIL: (f64, f64, f64) = (0.4, 2.5, 0.1);
/// The multiple before anything was learned. Ours: the middle of what was seen.
const TAIL_START: f64 = 1.5;
/// Share of its aim that a query of the least worth for its parts may use. Ours: they are refused first.
const ADMIT_LOW: f64 = 0.75;
/// Share of the stated fall multiple that a cold replica may be filled to. Ours: leaves as much to chance.
const COLD_FILL: f64 = 0.5;
/// Late worth below which a query ends at its aim. Ours: waiting holds room and buys a twentieth.
const LATE_KEEP: f64 = 0.2;
/// Two client times this close are the same, share. Ours: network time differs a little.
const SAME: f64 = 0.01;
/// Share of the room for queries and parts above which late ones are let go. Ours: just before others bounce.
const ROOM: f64 = 0.9;
/// What a sum of weights may fall short by. The wire allows ten times this.
const EPSILON: f64 = 1e-5;
/// Rounds between looks at what is out, share of the shortest aim. Ours.
const LOOK: f64 = 0.01;
/// Mean wait advised to refused clients, in shortest aims. Ours: queues move on, the aim can still be made.
const RETRY_AFTER: f64 = 0.25;
/// Waits before asking for the list again, shares of the time it must be asked in. Ours: no storm.
const ASK: (f64, f64) = (0.05, 0.5);

/// What this root knows of one replica.
#[derive(Default)]
struct Replica {
    cell: u32,
    weight: f64,
    listed: bool,
    gone: bool,
    /// Mean latency over the fleet's, the mean number of own parts out it was seen under, and the light-load
    /// mean, ns.
    ratio: f64,
    depth: f64,
    light: f64,
    used: Nanos,
    /// Share of its parts that were lost while others were answered, or failed.
    lost: f64,
    out: u32,
    /// Latest send that was answered.
    newest: Nanos,
    /// First send not followed by any answer.
    unheard: Option<Nanos>,
    /// Connections that broke since the last answer.
    broken: u32,
    /// Set while it is taken to be down or silent: when to try again, and the wait after that.
    ejected: Option<Ejected>,
    /// Start of the cold time, and parts it may be sent now.
    cold: Option<Nanos>,
    allowance: f64,
    busy: Option<f64>,
}

struct Ejected {
    again: Nanos,
    wait: f64,
    /// A probe was answered: one part may be tried.
    trial: bool,
    /// Connections failed: its process was gone, so it comes back cold.
    down: bool,
}

struct Attempt {
    replica: ReplicaId,
    sent: Nanos,
    expected: f64,
    open: bool,
    /// Proved never to have run.
    unrun: bool,
}

struct Part {
    id: RequestId,
    shard: u32,
    weight: f64,
    step: u32,
    attempts: Vec<Attempt>,
    done: bool,
}

struct Query {
    id: RequestId,
    class: usize,
    tenant: Option<usize>,
    taken: Nanos,
    /// Latency expected of the slowest part when it was taken.
    expected: f64,
    aim: Nanos,
    /// Until when parts are worth sending.
    useful: Nanos,
    end: Nanos,
    expect: u32,
    step: u32,
    whole: bool,
    /// Its time has been compared with what was expected.
    judged: bool,
    placed: bool,
    parts: Vec<Part>,
}

/// A query's job and the place of one of its parts.
type Spot = Option<(u64, usize)>;

/// An attempt whose end has not been heard.
struct Out {
    job: u64,
    part: usize,
    replica: ReplicaId,
    sent: Nanos,
    depth: u32,
}

/// One root's decisions.
pub struct Balancer {
    cfg: Settings,
    rng: Pcg64Mcg,
    now: Nanos,
    /// Shortest aim, ns: the measure of time here.
    pace: f64,
    margin: Nanos,
    replicas: BTreeMap<ReplicaId, Replica>,
    cells: Vec<Vec<ReplicaId>>,
    /// Latency of the fleet of late, ns, and what it is made of: sum and number of answers, fading with time.
    fleet_mean: f64,
    recent: (f64, f64),
    queries: BTreeMap<u64, Query>,
    jobs: HashMap<RequestId, u64>,
    outs: HashMap<(RequestId, u32), Out>,
    safe_parts: VecDeque<Nanos>,
    twins: VecDeque<Nanos>,
    taken: VecDeque<Nanos>,
    extras: VecDeque<Nanos>,
    quota: Vec<(f64, Nanos)>,
    /// Per class, the time clients usually leave this root, by majority vote; first tries show it.
    usual: Vec<(Nanos, u32)>,
    /// Per class, the mean number of parts.
    sizes: Vec<f64>,
    /// Multiple of what was expected within which most queries end.
    tail: f64,
    /// Mean time between answers, the time of the last, and the time after which means are forgotten; ns.
    gap: f64,
    answered: Nanos,
    forget: f64,
    /// Queries and parts held.
    held: usize,
    /// When a query was last refused that had its whole aim left.
    refused: Option<Nanos>,
    ask_at: Option<Nanos>,
    ask_wait: f64,
    wake_at: Option<Nanos>,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.check()?;
        let pace = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1) as f64;
        let look = ((pace * LOOK) as Nanos).max(settings.round_interval).max(1);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let jitter = uniform(&mut rng);
        let (ask, first) =
            (settings.discovery == Discovery::Polled, settings.max_poll_interval as f64 * ASK.0);
        Ok(Balancer {
            rng,
            now,
            pace,
            margin: 2 * look + 2 * settings.round_interval,
            replicas: BTreeMap::new(),
            cells: vec![Vec::new(); settings.cells as usize],
            fleet_mean: pace * START_SHARE,
            recent: (0.0, 0.0),
            queries: BTreeMap::new(),
            jobs: HashMap::new(),
            outs: HashMap::new(),
            safe_parts: VecDeque::new(),
            twins: VecDeque::new(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            quota: settings.tenants.iter().map(|t| (t.quota_per_s, now)).collect(),
            usual: vec![(0, 0); settings.classes.len()],
            sizes: vec![1.0; settings.classes.len()],
            tail: TAIL_START,
            gap: 0.0,
            answered: now,
            forget: FORGET.0 * pace,
            held: 0,
            refused: None,
            ask_at: ask.then(|| now + (first * jitter) as Nanos),
            ask_wait: first,
            wake_at: None,
            cfg: settings,
        })
    }

    /// Takes in all that was heard at `now`, then decides. Actions are added to `acts` in order.
    pub fn round(&mut self, now: Nanos, events: &[Event], acts: &mut Vec<Action>) {
        let fade = (-(now.saturating_sub(self.now) as f64) / (RECENT.0 * self.pace)).exp();
        self.recent = (self.recent.0 * fade, self.recent.1 * fade);
        self.now = self.now.max(now);
        for e in events {
            self.hear(e, acts);
        }
        let listed = self.replicas.values().filter(|r| r.listed).count() as f64;
        self.forget = (FORGET.0 * self.pace).max(FORGET.1 * self.gap * listed);
        self.fleet_mean = self.mean_of_fleet();
        self.trim();
        self.held = self.queries.values().map(|q| 1 + q.parts.len()).sum();
        if self.ask_at.is_some_and(|t| t <= self.now) {
            self.ask_at = None;
            acts.push(Action::WatchEndpoints);
        }
        self.mind_replicas(acts);
        let jobs: Vec<u64> = self.queries.keys().copied().collect();
        for job in jobs {
            self.decide(job, acts);
        }
        self.set_wake(acts);
    }

    // ---- hearing ----

    fn hear(&mut self, event: &Event, acts: &mut Vec<Action>) {
        match event {
            Event::EndpointList { full, entries: lines } => self.hear_list(*full, lines),
            Event::WatchFailed => {
                let wait = self.ask_wait * (0.5 + uniform(&mut self.rng));
                self.ask_wait = (self.ask_wait * 2.0).min(self.cfg.max_poll_interval as f64 * ASK.1);
                self.ask_at = Some(self.now + wait as Nanos);
            }
            Event::Query { query, job, class, tenant, time_left: ttl, parts, work, is_retry: again } => {
                let Some(c) = self.cfg.classes.get(*class) else { return };
                let stretch = (c.objective_per_work * work.unwrap_or(0) as f64) as Nanos;
                let end = self.now + ttl.saturating_sub(self.margin);
                let spent = spent(&mut self.usual[*class], c, *ttl, *again);
                let aim = (c.latency_objective + stretch).min(c.deadline).saturating_sub(spent);
                let aim = (self.now + aim.saturating_sub(self.margin)).min(end);
                let q = Query {
                    useful: if c.late_weight < LATE_KEEP { aim } else { end },
                    id: *query,
                    taken: self.now,
                    expected: 0.0,
                    class: *class,
                    tenant: *tenant,
                    aim,
                    end,
                    expect: *parts,
                    step: 0,
                    whole: true,
                    judged: false,
                    placed: false,
                    parts: Vec::new(),
                };
                self.queries.insert(*job, q);
                self.jobs.insert(*query, *job);
                self.taken.push_back(self.now);
            }
            Event::Part { part, job, shard, weight } => {
                self.taken.push_back(self.now);
                let Some(q) = self.queries.get_mut(job) else { return };
                let (id, shard, weight, step) = (*part, *shard, *weight, q.step);
                q.parts.push(Part { id, shard, weight, step, attempts: Vec::new(), done: false });
                if self.cfg.classes[q.class].idempotency == Idempotency::Idempotent {
                    self.safe_parts.push_back(self.now);
                }
            }
            Event::AttemptEnded { part, attempt, latency, outcome, utilization: busy, .. } => {
                self.hear_end((*part, *attempt), *latency, *outcome, *busy, acts)
            }
            Event::ClientDisconnected { query } => {
                if let Some(job) = self.jobs.get(query).copied() {
                    self.close(job, acts);
                }
            }
            Event::HealthChecked { replica, ok, utilization: busy, .. } => {
                let Some(r) = self.replicas.get_mut(replica) else { return };
                r.busy = busy.or(r.busy);
                if let Some(ejected) = &mut r.ejected {
                    ejected.trial = *ok;
                }
            }
            Event::WarmedUp { replica } => {
                if let Some(r) = self.replicas.get_mut(replica) {
                    r.cold = None;
                }
            }
            Event::RetryBudget(budget) => self.cfg.retry_budget = *budget,
            Event::TimerFired => self.wake_at = None,
        }
    }

    fn hear_list(&mut self, full: bool, lines: &[ReplicaEntry]) {
        // An answer to a call: the watch stands.
        if self.ask_at.is_none() {
            self.ask_wait = self.cfg.max_poll_interval as f64 * ASK.0;
        }
        if full {
            for r in self.replicas.values_mut() {
                r.listed = false;
                r.gone = true;
            }
        }
        for line in lines {
            let start = START_SHARE * self.pace;
            let new = || Replica { light: start, ratio: 1.0, ..Replica::default() };
            let r = self.replicas.entry(line.replica).or_insert_with(new);
            r.cell = line.cell;
            r.weight = line.weight;
            r.listed = line.state == ReplicaState::Active;
            r.gone = line.state == ReplicaState::Removed;
            // Guards rule 4: what has started lately is cold until its stated time is over.
            if let Some(t) = line.started.filter(|t| t.saturating_add(self.cfg.slow_start_time) > self.now)
                && r.cold.is_none_or(|c| c < t)
            {
                r.cold = Some(t);
                // One part tells what a new one is like.
                r.allowance = if r.used == 0 { 1.0 } else { 0.0 };
                if r.ejected.is_some() {
                    r.ejected = None;
                    r.unheard = None;
                    r.ratio = 1.0;
                }
            }
        }
        // What is gone never comes back under its number.
        self.replicas.retain(|_, r| !r.gone || r.out > 0);
        for c in &mut self.cells {
            c.clear();
        }
        for (id, r) in &self.replicas {
            if let Some(c) = self.cells.get_mut(r.cell as usize).filter(|_| r.listed) {
                c.push(*id);
            }
        }
    }

    fn hear_end(
        &mut self,
        (id, n): (RequestId, u32),
        lat: Nanos,
        how: Outcome,
        busy: Option<f64>,
        acts: &mut Vec<Action>,
    ) {
        let Some(o) = self.outs.remove(&(id, n)) else { return };
        let (now, pace, fleet, forget) = (self.now, self.pace, self.fleet_mean, self.forget);
        let fade = (forget, FORGET.0 * pace);
        if let Some(r) = self.replicas.get_mut(&o.replica) {
            r.out = r.out.saturating_sub(1);
            r.busy = busy.or(r.busy);
            // Overtaken by later sends: the part is costly, not the replica slow. It teaches no more.
            let age = (now - o.sent) as f64;
            let mean = fleet * r.drifted(now, forget);
            let most = if r.newest > o.sent && age > 2.0 * mean { mean } else { f64::INFINITY };
            // Guards against whatever answers some parts fast and fails the rest or never answers them: that
            // is no load, yet no health.
            let overdue = r.newest > o.sent && age > LOST * mean;
            match how {
                Outcome::Ok => r.lost -= LOSS.0 * r.lost,
                Outcome::Error | Outcome::InvalidResponse => r.lost += LOSS.0 * (1.0 - r.lost),
                Outcome::TimedOut | Outcome::Cancelled if overdue => r.lost += LOSS.0 * (1.0 - r.lost),
                _ => {}
            }
            let seen = match how {
                Outcome::Ok => {
                    self.gap += GAP * ((now - self.answered) as f64 - self.gap);
                    self.answered = now;
                    r.newest = r.newest.max(o.sent);
                    r.unheard = None;
                    r.broken = 0;
                    if r.ejected.take().is_some_and(|b| b.down) && r.cold.is_none() {
                        r.cold = Some(now);
                        r.allowance = 0.0;
                    }
                    Some((lat as f64).min(most))
                }
                // The age of what never came is a lower bound on latency.
                // What was never sent says nothing of its replica.
                Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
                    if r.out == 0 && age < mean * LATE {
                        r.unheard = None;
                    }
                    (age > mean).then_some(age.min(most))
                }
                // May be load: some slowness, yet not seconds after a few in a row. What turns a part away
                // answers at once, but does not serve: speed must not draw more parts there.
                Outcome::Error | Outcome::InvalidResponse | Outcome::Rejected => {
                    r.unheard = None;
                    let most =
                        if how == Outcome::Rejected { f64::INFINITY } else { mean.max(SILENT * fleet) };
                    r.sample((mean * CLIP).min(most), o.depth as f64, fleet, now, fade);
                    None
                }
                // One broken connection is no dead process: peers close what stood idle.
                // A dead one refuses the next.
                Outcome::ConnectionReset if r.broken == 0 => {
                    r.broken = 1;
                    r.unheard = r.unheard.filter(|_| r.out > 0);
                    None
                }
                Outcome::ConnectFailed | Outcome::ConnectionReset => {
                    r.fail(now, pace, true);
                    None
                }
            };
            if let Some(lat) = seen {
                r.sample(lat, o.depth as f64, fleet, now, fade);
                self.recent = (self.recent.0 + lat.min(FLEET_CLIP * fleet), self.recent.1 + 1.0);
            }
        }
        let Some(q) = self.queries.get_mut(&o.job) else { return };
        let Some(part) = q.parts.get_mut(o.part).filter(|p| p.id == id) else { return };
        let Some(t) = part.attempts.get_mut(n as usize) else { return };
        (t.open, t.unrun) =
            (false, matches!(how, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent));
        if how == Outcome::Ok && !part.done {
            part.done = true;
            if self.cfg.may_cancel {
                // A trial runs on: its answer is what tells that a replica has healed.
                let ejected =
                    |t: &Attempt| self.replicas.get(&t.replica).is_some_and(|r| r.ejected.is_some());
                for (k, _) in part.attempts.iter().enumerate().filter(|(_, t)| t.open && !ejected(t)) {
                    acts.push(Action::Cancel { part: id, attempt: k as u32 });
                }
            }
        }
    }

    // ---- the list and the replicas ----

    /// Drops what has left its window. Extras are kept a tick longer, what they are held against a tick less.
    fn trim(&mut self) {
        let over = |v: &mut VecDeque<Nanos>, from: Nanos| {
            while v.front().is_some_and(|t| *t <= from) {
                v.pop_front();
            }
        };
        let window = self.cfg.retry_budget.map_or(TWIN_WINDOW, |b| b.window);
        over(&mut self.safe_parts, self.now.saturating_sub(TWIN_WINDOW));
        over(&mut self.twins, self.now.saturating_sub(TWIN_WINDOW));
        over(&mut self.taken, (self.now + self.cfg.round_interval).saturating_sub(window));
        over(&mut self.extras, self.now.saturating_sub(window + 2 * self.cfg.round_interval));
    }

    /// Finds silent replicas and asks ejected ones how they are.
    fn mind_replicas(&mut self, acts: &mut Vec<Action>) {
        let (now, pace) = (self.now, self.pace);
        let silent = (SILENT * self.fleet_mean).max(0.2 * pace);
        for (id, r) in self.replicas.iter_mut().filter(|(_, r)| r.listed) {
            if r.cold.is_some_and(|t| t + self.cfg.slow_start_time <= now) {
                r.cold = None;
            }
            // Guards against whatever takes parts and answers none: hung, silent, cut off.
            if r.ejected.is_none() && r.unheard.is_some_and(|t| (now - t) as f64 > silent) {
                r.fail(now, pace, false);
            }
            if let Some(ejected) = &mut r.ejected
                && ejected.again <= now
                && !ejected.trial
            {
                ejected.wait = (ejected.wait * 2.0).min(PROBE_BACKOFF.1 * pace);
                ejected.again = now + ejected.wait as Nanos;
                if self.cfg.may_health_check {
                    acts.push(Action::HealthCheck { replica: *id });
                } else {
                    ejected.trial = true;
                }
            }
        }
    }

    /// Latency of the fleet of late. A root that hears little drifts back to light load: else one that
    /// refuses all, and so hears nothing new, would refuse for ever.
    fn mean_of_fleet(&self) -> f64 {
        let listed = self.replicas.values().filter(|r| r.listed);
        let (sum, n) = listed.fold((0.0, 0.0), |(sum, n), r| (sum + r.light, n + 1.0));
        let light = if n > 0.0 { sum / n } else { self.fleet_mean };
        (self.recent.0 + RECENT.1 * light) / (self.recent.1 + RECENT.1)
    }

    /// Listed replicas that get nothing for now but trials.
    pub fn ejected(&self) -> usize {
        self.replicas.values().filter(|r| r.listed && r.ejected.is_some()).count()
    }

    // ---- deciding ----

    fn decide(&mut self, job: u64, acts: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&job) else { return };
        let (query, step) = (q.id, q.step);
        let class = self.cfg.classes[q.class].clone();
        if !q.placed {
            if step == 0 && !self.worth_taking(job) {
                self.close(job, acts);
                let refusal = self.refusal(query);
                acts.push(refusal);
                return;
            }
            self.queries.get_mut(&job).unwrap().placed = true;
            self.earn_allowance(job);
        }
        if self.finish(job, &class, acts) {
            return;
        }
        for i in 0..self.queries[&job].parts.len() {
            self.send_part(job, i, &class, acts);
        }
    }

    /// Unsent parts of the query, beside `i`, that one call to this replica could take along.
    fn sharers(&self, job: u64, i: usize, id: ReplicaId) -> Vec<usize> {
        if self.cfg.call_work == 0 || self.cfg.parts_per_call < 2 {
            return Vec::new();
        }
        let q = &self.queries[&job];
        let (cell, n) = (self.replicas[&id].cell, self.cfg.cells);
        let held = |p: &Part| (cell + n - p.shard % n) % n < self.cfg.span;
        let most = self.cfg.parts_per_call as usize - 1;
        let ripe =
            |k: usize, p: &Part| k != i && !p.done && p.step == q.step && p.attempts.is_empty() && held(p);
        q.parts.iter().enumerate().filter(|(k, p)| ripe(*k, p)).map(|(k, _)| k).take(most).collect()
    }

    /// Ends the query if it can or must be. Guards rules 1 and 5.
    fn finish(&mut self, job: u64, class: &Class, acts: &mut Vec<Action>) -> bool {
        let (now, full) = (self.now, self.held as f64 > ROOM * self.cfg.max_in_flight as f64);
        let q = &self.queries[&job];
        let here: Vec<&Part> = q.parts.iter().filter(|p| p.step == q.step).collect();
        let share: f64 = here.iter().filter(|p| p.done).map(|p| p.weight).sum();
        let all = here.iter().all(|p| p.done) && here.len() >= q.expect as usize && !here.is_empty();
        let whole = if q.step == 0 { all || share + EPSILON >= class.complete_share } else { all && q.whole };
        let floor = if class.min_answer_share < class.complete_share {
            class.min_answer_share
        } else {
            class.complete_share
        };
        let empty = here.is_empty();
        let enough = if q.step == 0 || class.min_answer_share < class.complete_share {
            share + EPSILON >= floor
        } else {
            all
        };
        let late = now >= q.aim;
        let spent = |p: &&Part| {
            p.done
                || (p.attempts.iter().all(|t| !t.open)
                    && (now >= q.useful
                        || p.attempts.len() >= self.cfg.max_attempts as usize
                        || !self.may_repeat(p, class)
                        || self.holders(p.shard).is_empty()))
        };
        // Nothing is out, nothing more will be sent: waiting on would only keep the client from asking again.
        let stuck = !all && here.iter().all(spent);
        let harmless = class.idempotency == Idempotency::Idempotent
            || here.iter().all(|p| p.attempts.iter().all(|t| t.unrun));
        let over = (whole || late) && !q.judged;
        if over {
            self.queries.get_mut(&job).unwrap().judged = true;
            self.learn_tail(job);
        }
        let q = self.queries.get_mut(&job).unwrap();
        if (whole || (q.step > 0 && all) || ((late || stuck) && enough)) && !empty {
            let (query, step) = (q.id, q.step);
            acts.push(Action::Answer { query, complete: whole });
            if step == 0 && class.fetch_parts > 0 {
                q.step = 1;
                q.whole = whole;
                q.placed = false;
                q.expect = 1;
                return true;
            }
            self.close(job, acts);
            return true;
        }
        // Late answers are worth waiting for only while they keep nothing else out.
        let hopeless = late && full;
        if now >= q.end || hopeless || (stuck && !empty) {
            let (query, refuse) = (q.id, stuck && harmless && now < q.end);
            self.close(job, acts);
            acts.push(if refuse { self.refusal(query) } else { Action::Fail { query } });
            return true;
        }
        false
    }

    /// A refusal, with the time after which the client does well to come back.
    fn refusal(&mut self, query: RequestId) -> Action {
        let most = if self.cfg.may_send_retry_after { self.cfg.max_retry_after } else { 0 };
        let wait = (2.0 * uniform(&mut self.rng) * RETRY_AFTER * self.pace) as Nanos;
        Action::Reject { query, retry_after: wait.min(most) }
    }

    /// Whether a new query can be answered in its aim as things stand.
    fn worth_taking(&mut self, job: u64) -> bool {
        let q = &self.queries[&job];
        let class = &self.cfg.classes[q.class];
        let size = &mut self.sizes[q.class];
        *size += SMOOTH * (q.parts.len() as f64 - *size);
        let density = |(c, n): (&Class, &f64)| c.priority_weight / n.max(1.0);
        let top = self.cfg.classes.iter().zip(&self.sizes).map(density).fold(f64::MIN_POSITIVE, f64::max);
        let mut rank = density((class, &self.sizes[q.class])) / top;
        if let Some((level, at)) = q.tenant.and_then(|t| self.quota.get_mut(t)) {
            let rate = self.cfg.tenants[q.tenant.unwrap()].quota_per_s / self.cfg.brokers.max(1) as f64;
            *level = (*level + rate * (self.now - *at) as f64 / 1e9).min(rate.max(1.0));
            *at = self.now;
            if *level >= 1.0 {
                *level -= 1.0;
            } else {
                rank *= self.cfg.over_quota_weight;
            }
        }
        let hope = (ADMIT_LOW + (1.0 - ADMIT_LOW) * rank) / self.tail;
        let left = (q.aim - self.now) as f64 * hope;
        // A shard whose replicas all refuse connections can't be asked; clients do better to come back.
        let gone = |id: &ReplicaId| self.replicas[id].ejected.as_ref().is_some_and(|b| b.down && !b.trial);
        let dead = q.parts.iter().filter(|p| self.holders(p.shard).iter().all(gone));
        if dead.map(|p| p.weight).sum::<f64>()
            > 1.0 - class.min_answer_share.min(class.complete_share) + EPSILON
        {
            return false;
        }
        let best = |p: &Part| {
            let sound = self.holders(p.shard).into_iter().filter(|id| self.replicas[id].ejected.is_none());
            sound.map(|id| self.expect(id)).reduce(f64::min)
        };
        let slowest = q.parts.iter().filter_map(best).fold(0.0, f64::max);
        // A try with little of its aim left is no sign of load.
        if slowest > left.max(class.latency_objective as f64 * hope) {
            self.refused = Some(self.now);
        }
        self.queries.get_mut(&job).unwrap().expected = slowest;
        slowest <= left
    }

    /// Learns how far queries overrun what was expected of their slowest part.
    fn learn_tail(&mut self, job: u64) {
        let q = &self.queries[&job];
        let over = (self.now - q.taken) as f64 > q.expected * self.tail;
        let step = if over { QUANTILE } else { QUANTILE - 1.0 };
        self.tail = (self.tail * (1.0 + TAIL.2 * step)).clamp(TAIL.0, TAIL.1);
    }

    /// Every part taken lets each cold replica have a part of its fair share. Guards rule 4.
    fn earn_allowance(&mut self, job: u64) {
        let (now, cfg) = (self.now, &self.cfg);
        let share = |cold: Option<Nanos>| {
            let age = cold.map_or(1.0, |t| (now - t.min(now)) as f64 / cfg.slow_start_time.max(1) as f64);
            cfg.slow_start_share + (1.0 - cfg.slow_start_share) * age.min(1.0)
        };
        let parts = self.queries[&job].parts.len() as f64;
        let listed = self.replicas.values().filter(|r| r.listed);
        let (n, can) = listed.fold((0.0, 0.0), |(n, can), r| (n + 1.0, can + share(r.cold)));
        // A share of what all can do now; a full load on a cold fleet still keeps to 0.8 of the multiple.
        let whole = f64::max(can, COLD_FILL / 0.8 * n);
        for r in self.replicas.values_mut().filter(|r| r.listed && r.cold.is_some()) {
            let fill = (COLD_FILL * cfg.overload_multiple).max(1.0) * share(r.cold);
            r.allowance = (r.allowance + fill * parts / whole.max(1.0)).min(2.0);
        }
    }

    fn holders(&self, shard: u32) -> Vec<ReplicaId> {
        let n = self.cfg.cells;
        (0..self.cfg.span.min(n))
            .flat_map(|j| self.cells[((shard + j) % n) as usize].iter().copied())
            .collect()
    }

    /// Latency expected of one more part: the mean, forgotten with time, scaled by own parts out; at least
    /// the time since which nothing was heard.
    fn expect(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        let mean = self.fleet_mean * r.drifted(self.now, self.forget);
        let scaled = mean * (r.out as f64 + 1.0 + OTHERS) / (r.depth + 1.0 + OTHERS);
        let silence = r.unheard.map_or(0.0, |t| (self.now - t) as f64);
        scaled.max(silence)
    }

    /// Share of a replica's parts that is lost beyond chance, faded while it is unused.
    fn loss(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        let idle = (self.now - r.used.min(self.now)) as f64;
        (r.lost * (-idle / (LOSS.2 * self.pace)).exp() - LOSS.1).max(0.0)
    }

    /// Busy share where told, else one minus light-load over current latency.
    fn load(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        r.busy.unwrap_or_else(|| 1.0 - r.light / self.expect(id).max(1.0))
    }

    /// The weighted draw. Ejected and unduly pushed cold replicas stay out; if all others are out too, the
    /// ejected come back in, since then it is rather the view that is bad.
    /// For a first attempt of part `.1` of query `.0`, latency counts by its cost a part in a shared call.
    fn draw(&mut self, shard: u32, avoid: &[ReplicaId], spread: bool, first: Spot) -> Option<ReplicaId> {
        let call = self.cfg.call_work as f64;
        let work = (self.fleet_mean - call).max(call / 2.0);
        let cost = |id: ReplicaId| match first {
            Some((job, i)) if call > 0.0 => {
                (call / (1 + self.sharers(job, i, id).len()) as f64 + work) / (call + work)
            }
            _ => 1.0,
        };
        let mut ids = self.holders(shard);
        ids.retain(|id| !avoid.contains(id) && self.replicas[id].open());
        let sound: Vec<ReplicaId> =
            ids.iter().copied().filter(|id| self.replicas[id].ejected.is_none()).collect();
        let pool = if sound.is_empty() && spread { ids } else { sound };
        // What all lose is no reason to choose.
        let least = pool.iter().map(|id| self.loss(*id)).fold(f64::INFINITY, f64::min);
        let again = first.is_some_and(|(job, _)| {
            self.cfg.classes[self.queries[&job].class].idempotency != Idempotency::NonIdempotent
                && self.cfg.max_attempts > 1
        });
        let lost = self.pace * if again { LOSS_COST.0 } else { LOSS_COST.1 };
        let price = |id: ReplicaId| self.expect(id) * cost(id) + (self.loss(id) - least) * lost;
        let odds = |id: &ReplicaId| self.replicas[id].weight * (self.pace / price(*id).max(1.0)).powf(LEAN);
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

    fn send_part(&mut self, job: u64, i: usize, class: &Class, acts: &mut Vec<Action>) {
        let q = &self.queries[&job];
        let p = &q.parts[i];
        if p.done
            || p.step != q.step
            || self.now >= q.useful
            || p.attempts.len() >= self.cfg.max_attempts as usize
        {
            return;
        }
        let shard = p.shard;
        let open = p.attempts.iter().filter(|t| t.open).count();
        if p.attempts.is_empty() {
            let copies = class.idempotency == Idempotency::Idempotent
                && self.cfg.may_hedge
                && self.cfg.max_attempts > 1;
            let trial = self.trial(shard);
            let plain = trial.filter(|_| !copies);
            let Some(first) = plain.or_else(|| self.draw(shard, &[], true, Some((job, i)))) else { return };
            self.send(job, i, first, acts);
            // Where a call costs work beside its parts, unsent parts that the same replica holds go along.
            for k in self.sharers(job, i, first) {
                if self.replicas[&first].open() {
                    self.send(job, k, first, acts);
                }
            }
            match trial.filter(|t| *t != first && copies) {
                // A replica that was ejected is found again with a second copy, which risks no part.
                Some(t) if self.may_double() => self.send(job, i, t, acts),
                _ if copies => self.twin(job, i, first, acts),
                _ => {}
            }
            return;
        }
        let used: Vec<ReplicaId> = p.attempts.iter().map(|t| t.replica).collect();
        if open > 0 {
            // Late: try elsewhere while the first still runs, unless there is no time for it.
            // A root that refused for load a moment ago spends no work twice, but for what is lost.
            let pressed = self.refused.is_some_and(|t| (self.now - t) as f64 <= self.pace);
            let lost = |t: &Attempt| {
                let r = &self.replicas[&t.replica];
                let mean = self.fleet_mean * r.drifted(self.now, self.forget);
                r.ejected.is_some() || (r.newest > t.sent && (self.now - t.sent) as f64 > LOST * mean)
            };
            let sick = p.attempts.iter().filter(|t| t.open).all(lost);
            let over = |t: &Attempt| (self.now - t.sent) as f64 / t.expected.max(1.0);
            let least = p.attempts.iter().filter(|t| t.open).map(over).fold(f64::INFINITY, f64::min);
            let late = least > if sick { 1.0 } else { LATE } && (sick || !pressed);
            let end = (if self.now < q.aim { q.aim } else { q.end }) as f64;
            // What is lost runs nowhere: another try is no second copy, and their share is not its bound.
            let room = if sick { self.may_extra() } else { open == 1 && self.may_double() };
            if !late || !self.cfg.may_hedge || !self.may_repeat(p, class) || !room {
                return;
            }
            let Some(other) = self.draw(shard, &used, false, None) else { return };
            let light = sick || self.load(other) < GATE;
            if light && self.now as f64 + self.expect(other) < end {
                self.send(job, i, other, acts);
            }
            return;
        }
        // Three tries can be turned away within milliseconds: the last one waits until queues have moved on.
        let up = |t: &Attempt| t.unrun && self.replicas.get(&t.replica).is_some_and(|r| r.ejected.is_none());
        let last = p.attempts.len() + 1 >= self.cfg.max_attempts as usize && p.attempts.iter().all(up);
        let since = p.attempts.last().map_or(0, |t| self.now - t.sent) as f64;
        let soon = q.aim as f64 <= self.now as f64 + 2.0 * self.fleet_mean;
        let early = last && since < self.fleet_mean && !soon;
        if early || !self.may_repeat(p, class) || !self.may_extra() {
            return;
        }
        if let Some(other) = self.draw(shard, &used, true, None).or_else(|| self.draw(shard, &[], true, None))
        {
            self.send(job, i, other, acts);
        }
    }

    /// A holder of the shard that was ejected and is due for one part.
    fn trial(&self, shard: u32) -> Option<ReplicaId> {
        self.holders(shard).into_iter().find(|id| {
            let r = &self.replicas[id];
            r.open() && r.ejected.as_ref().is_some_and(|b| b.trial)
        })
    }

    /// Guards rule 2.
    fn may_repeat(&self, p: &Part, class: &Class) -> bool {
        let ran = p.attempts.iter().find(|t| !t.unrun);
        match (class.idempotency, ran) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotencyKey { window }, Some(t)) => {
                self.now + 2 * self.cfg.round_interval < t.sent + window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// Guards rule 6. The count runs a little long and what it is held against a little short.
    fn may_extra(&self) -> bool {
        let Some(b) = self.cfg.retry_budget else { return true };
        self.extras.len() as f64 + 1.0 <= b.free + b.share * self.taken.len() as f64
    }

    /// Whether one more part may be run twice: further attempts stay in proportion to this root's own parts.
    fn may_double(&self) -> bool {
        self.may_extra() && self.extras.len() as f64 <= COPY_SHARE * self.taken.len() as f64
    }

    /// The twin: at once, on a second replica, while both read as light and the budgets allow.
    fn twin(&mut self, job: u64, i: usize, first: ReplicaId, acts: &mut Vec<Action>) {
        let due = self.twins.len() as f64 + 1.0 <= TWIN_SHARE * self.safe_parts.len() as f64;
        let shard = self.queries[&job].parts[i].shard;
        // The budget goes to parts drawn to a replica slower than most: those are what a query waits for.
        let fit = due && self.load(first) < GATE && self.expect(first) >= self.fleet_mean;
        if fit
            && self.may_double()
            && let Some(second) = self.draw(shard, &[first], false, None)
            && self.load(second) < GATE
        {
            self.twins.push_back(self.now);
            self.send(job, i, second, acts);
        }
    }

    fn send(&mut self, job: u64, i: usize, replica: ReplicaId, acts: &mut Vec<Action>) {
        let (now, expected) = (self.now, self.expect(replica));
        let q = self.queries.get_mut(&job).unwrap();
        let p = &mut q.parts[i];
        let n = p.attempts.len() as u32;
        let r = self.replicas.get_mut(&replica).unwrap();
        self.outs.insert((p.id, n), Out { job, part: i, replica, sent: now, depth: r.out });
        p.attempts.push(Attempt { replica, sent: now, expected, open: true, unrun: false });
        r.out += 1;
        r.unheard.get_or_insert(now);
        if let Some(ejected) = &mut r.ejected {
            ejected.trial = false;
        }
        if r.cold.is_some() {
            r.allowance -= 1.0;
        }
        if n > 0 {
            self.extras.push_back(now);
        }
        // Servers that drop what has run out of time are told when that is.
        let timeout = (q.useful + self.margin).saturating_sub(now).max(self.cfg.round_interval);
        acts.push(Action::Send { part: p.id, replica, timeout });
    }

    /// Forgets a query; what is still out for it is withdrawn.
    fn close(&mut self, job: u64, acts: &mut Vec<Action>) {
        let Some(q) = self.queries.remove(&job) else { return };
        self.jobs.remove(&q.id);
        if self.cfg.may_cancel {
            for p in q.parts.iter().filter(|p| !p.done) {
                for (k, _) in p.attempts.iter().enumerate().filter(|(_, t)| t.open) {
                    acts.push(Action::Cancel { part: p.id, attempt: k as u32 });
                }
            }
        }
    }

    fn set_wake(&mut self, acts: &mut Vec<Action>) {
        let look = ((self.pace * LOOK) as Nanos).max(self.cfg.round_interval);
        let busy = !self.queries.is_empty();
        let ejected = self.replicas.values().any(|r| r.listed && r.ejected.is_some());
        let times = [busy.then_some(self.now + look), self.ask_at, ejected.then_some(self.now + 4 * look)];
        if let Some(t) = times.into_iter().flatten().min()
            && self.wake_at.is_none_or(|w| w > t || w <= self.now)
        {
            self.wake_at = Some(t);
            acts.push(Action::SetTimer { after: (t - self.now).max(1) });
        }
    }
}

impl Replica {
    /// Takes in one latency, seen with so many own parts out at its sending.
    /// What it replaces counts the less, the older it is: five answers may take a root many seconds.
    fn sample(&mut self, lat: f64, depth: f64, fleet: f64, now: Nanos, fade: (f64, f64)) {
        let old = self.drifted(now, fade.0);
        let weight = SMOOTH.max(1.0 - (-((now - self.used.min(now)) as f64) / fade.1).exp());
        self.ratio = old + weight * ((lat / fleet).min(old * CLIP) - old);
        self.depth += SMOOTH * (depth - self.depth);
        let m = fleet * self.ratio;
        self.light = if m < self.light { m } else { self.light * (1.0 + LIGHT_RISE) };
        self.used = now;
    }

    /// The ratio as it drifts to the fleet's while unused.
    fn drifted(&self, now: Nanos, forget: f64) -> f64 {
        let keep = (-((now - self.used.min(now)) as f64) / forget).exp();
        1.0 + (self.ratio - 1.0) * keep
    }

    /// Whether rule 4 lets one more part go there.
    fn open(&self) -> bool {
        self.cold.is_none() || self.allowance >= 1.0
    }

    fn fail(&mut self, now: Nanos, pace: f64, down: bool) {
        let wait = PROBE_BACKOFF.0 * pace;
        let ejected =
            self.ejected.get_or_insert(Ejected { again: now + wait as Nanos, wait, trial: false, down });
        ejected.trial = false;
        ejected.down |= down;
    }
}

/// Time a client's earlier tries have used up. Where a try is not left the usual time, it is left all there
/// is, so what is missing from the deadline is gone. Guards against working for aims that have passed. One
/// left less than the aim is rather impatient: it is served if it can be, and load alone refuses it.
fn spent(usual: &mut (Nanos, u32), class: &Class, ttl: Nanos, again: bool) -> Nanos {
    let same = (ttl.abs_diff(usual.0) as f64) < SAME * class.deadline as f64;
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
