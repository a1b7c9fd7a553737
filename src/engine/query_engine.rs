//! The exchange: the one object where client side and server side meet.
//!
//! The client side hands in queries and gets exactly one final answer to each. The server side takes calls
//! and reports one outcome for each attempt. Between them, the exchange runs the decision module's rounds.

use super::messages::*;
use crate::api::*;
use crate::metrics::{Metrics, QueryResult};
use crate::policy::Balancer;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// Time before a client's end at which a query still open is failed by the exchange itself.
const ANSWER_MARGIN: Nanos = 15_000_000;
/// Most endings of attempts that wait to be taken.
const MAX_ATTEMPT_ENDS: usize = 4096;

struct Part<V> {
    id: RequestId,
    request: PartRequest,
    sent_attempts: u32,
    /// When each attempt was begun that may have run.
    started: Vec<(u32, Nanos)>,
    value: Option<V>,
}

struct Query<Q, V> {
    class: usize,
    key: Option<u64>,
    accepted_at: Nanos,
    end: Nanos,
    parts: Vec<Part<V>>,
    payload: Rc<Q>,
}

struct AttemptInFlight {
    query: u64,
    part: RequestId,
    number: u32,
    replica: ReplicaId,
    sent: Nanos,
    due: Nanos,
    /// It waits at the server side for a connection: nothing of it has left.
    is_queued: bool,
}

/// Queries, parts and attempts between the two sides. `Q` is what a query carries, `V` a part's value.
pub struct QueryEngine<Q, V> {
    balancer: Balancer,
    settings: Settings,
    next_id: u64,
    queries: HashMap<u64, Query<Q, V>>,
    /// The query of each part that is held.
    parts: HashMap<RequestId, u64>,
    attempts: BTreeMap<AttemptId, AttemptInFlight>,
    attempt_ids: HashMap<(RequestId, u32), AttemptId>,
    /// Time-attempts of attempts and ends of queries.
    attempt_timeouts: BTreeSet<(Nanos, AttemptId)>,
    query_deadlines: BTreeSet<(Nanos, u64)>,
    /// The cell of each server that is listed, and whether it takes new work.
    placements: HashMap<ReplicaId, (u32, bool)>,
    events: Vec<Event>,
    policy_actions: Vec<Action>,
    actions: VecDeque<EngineAction<Q, V>>,
    last_round: Option<Nanos>,
    wake_at: Option<Nanos>,
    in_flight: usize,
    /// Most queries and parts that are held.
    max_in_flight: usize,
    /// The latest time that was told.
    now: Nanos,
    /// When the last query must be over.
    shutdown_deadline: Nanos,
    /// How attempts ended, for whoever minds membership.
    attempt_ends: VecDeque<AttemptEnd>,
    metrics: Metrics,
}

impl<Q, V> QueryEngine<Q, V> {
    /// An exchange with nothing in it.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        let (metrics, max_in_flight) =
            (Metrics::new(settings.classes.len()), settings.max_in_flight as usize);
        Ok(QueryEngine {
            balancer: Balancer::new(settings.clone(), seed, now)?,
            settings,
            next_id: 1,
            queries: HashMap::new(),
            parts: HashMap::new(),
            attempts: BTreeMap::new(),
            attempt_ids: HashMap::new(),
            attempt_timeouts: BTreeSet::new(),
            query_deadlines: BTreeSet::new(),
            placements: HashMap::new(),
            events: Vec::new(),
            policy_actions: Vec::new(),
            actions: VecDeque::new(),
            last_round: None,
            wake_at: Some(now),
            in_flight: 0,
            max_in_flight,
            now,
            shutdown_deadline: Nanos::MAX,
            attempt_ends: VecDeque::new(),
            metrics,
        })
    }

    /// The settings it works by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How queries ended, and how many attempts were written.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// So many attempts are written whole by now that were not before.
    pub fn attempts_written(&mut self, attempts: u64) {
        self.metrics.tried(attempts);
    }

    /// Servers that take work and get none, by the decision module's choice.
    pub fn ejected(&self) -> usize {
        self.balancer.ejected()
    }

    /// Queries that have no final answer yet.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Attempts whose outcome is awaited.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Attempts at one server whose outcome is awaited.
    pub fn in_flight_at(&self, replica: ReplicaId) -> usize {
        self.attempts.values().filter(|o| o.replica == replica).count()
    }

    /// Queries and parts that are held.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// From now on at most so many queries and parts are held; the settings' number at most.
    pub fn limit_in_flight(&mut self, open: usize) {
        self.max_in_flight = open.min(self.settings.max_in_flight as usize);
    }

    /// Whether the free part of the attempts' budget is this process's, or still another's.
    pub fn set_free_retries(&mut self, own: bool) {
        let budget =
            self.settings.retry_budget.map(|b| RetryBudget { free: if own { b.free } else { 0.0 }, ..b });
        self.events.push(Event::RetryBudget(budget));
    }

    /// All queries end by then, whatever their clients' time: those that are open and those that are taken from now on.
    ///
    /// Guards the one final answer against the end of the program: what that finds open has none.
    pub fn end_all_by(&mut self, by: Nanos) {
        self.shutdown_deadline = by;
        let later = self.query_deadlines.split_off(&(by.saturating_add(1), 0));
        for (_, job) in later {
            if let Some(q) = self.queries.get_mut(&job) {
                q.end = by;
                self.query_deadlines.insert((by, job));
            }
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    // ---- client side ----

    /// Takes a query in; its final answer comes as `Work::Finish`. Beyond `max_open` it is refused at once.
    pub fn submit(&mut self, now: Nanos, ask: QueryRequest<Q>) -> Result<QueryId, Overloaded> {
        let size = 1 + ask.parts.len();
        // Guards the limit on what is held: a query that is not taken costs nothing and may come again.
        if self.in_flight + size > self.max_in_flight {
            self.metrics.ended(ask.class, QueryResult::Shed);
            return Err(self.overloaded());
        }
        let job = self.next_id();
        let end = (now + ask.time_left.saturating_sub(ANSWER_MARGIN)).min(self.shutdown_deadline);
        // Less than the aim is left where the program ends before: that is no client's doing, and nothing is sent on
        // that can't be finished by then.
        let left = (end + ANSWER_MARGIN).saturating_sub(now);
        let cut = left < ask.time_left
            && self.settings.classes.get(ask.class).is_some_and(|c| left < c.latency_objective);
        let (ttl, again) = if cut { (left, false) } else { (ask.time_left, ask.is_retry) };
        let work = ask.parts.iter().filter_map(|p| p.work).reduce(|a, b| a + b);
        self.events.push(Event::Query {
            query: RequestId(job.into()),
            job,
            class: ask.class,
            tenant: ask.tenant,
            time_left: ttl,
            parts: ask.parts.len() as u32,
            work,
            is_retry: again,
        });
        let mut parts = Vec::with_capacity(ask.parts.len());
        for p in ask.parts {
            let id = RequestId(self.next_id().into());
            self.events.push(Event::Part { part: id, job, shard: p.shard, weight: p.weight });
            self.parts.insert(id, job);
            parts.push(Part { id, request: p, sent_attempts: 0, started: Vec::new(), value: None });
        }
        self.in_flight += size;
        self.query_deadlines.insert((end, job));
        let (class, key, payload) = (ask.class, ask.key, ask.payload);
        let query = Query { class, key, accepted_at: now, end, parts, payload };
        self.queries.insert(job, query);
        Ok(QueryId(job))
    }

    /// What a client is told for whom there is no room.
    pub fn overloaded(&mut self) -> Overloaded {
        // Spread, so that those who were refused together don't come back together.
        let spread = (self.next_id().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as f64 / f64::from(u32::MAX);
        let most = if self.settings.may_send_retry_after { self.settings.max_retry_after } else { 0 };
        Overloaded { retry_after: (most as f64 * (0.25 + 0.5 * spread)) as Nanos }
    }

    /// The client is gone: all that its query held is freed, and no final answer comes.
    pub fn client_disconnected(&mut self, query: QueryId) {
        if let Some(q) = self.remove_query(query.0) {
            let (ms, n) = (self.now.saturating_sub(q.accepted_at) / 1_000_000, q.parts.len());
            let sent = q.parts.iter().filter(|p| p.sent_attempts > 0).count();
            let (job, class) = (query.0, q.class);
            tracing::debug!(
                "query {job} of class {class} ended after {ms} ms: its client went, {sent} of {n} parts sent"
            );
            self.events.push(Event::ClientDisconnected { query: RequestId(query.0.into()) });
        }
    }

    fn remove_query(&mut self, job: u64) -> Option<Query<Q, V>> {
        let q = self.queries.remove(&job)?;
        self.query_deadlines.remove(&(q.end, job));
        self.in_flight -= 1 + q.parts.len();
        for p in &q.parts {
            self.parts.remove(&p.id);
        }
        Some(q)
    }

    fn finish(&mut self, job: u64, answer: impl FnOnce(Query<Q, V>) -> QueryOutcome<V>) {
        // Guards the one final answer: a query that is not held has had its own.
        if let Some(q) = self.remove_query(job) {
            let (class, accepted_at, n) = (q.class, q.accepted_at, q.parts.len());
            let sent = q.parts.iter().filter(|p| p.sent_attempts > 0).count();
            let answer = answer(q);
            self.metrics.ended(
                class,
                match &answer {
                    QueryOutcome::Answered(_) => QueryResult::Ok,
                    QueryOutcome::Rejected { .. } => QueryResult::Shed,
                    QueryOutcome::Failed => QueryResult::Error,
                },
            );
            let ms = self.now.saturating_sub(accepted_at) / 1_000_000;
            tracing::debug!(
                "query {job} of class {class} ended after {ms} ms: {}, {sent} of {n} parts sent",
                answer.label()
            );
            self.actions.push_back(EngineAction::Respond { query: QueryId(job), outcome: answer });
        }
    }

    // ---- server side ----

    /// This attempt waits for a connection; `begin` is to be asked before the first byte of it is written.
    pub fn attempt_queued(&mut self, attempt: AttemptId) {
        self.attempts.entry(attempt).and_modify(|o| o.is_queued = true);
    }

    /// Whether an attempt that is about to be written is still to be: what was true when it was chosen may not be by
    /// then. If so, it counts as begun; if not, it is over, and its server side forgets it.
    ///
    /// Guards against passing on what a client left behind while it waited, against sends to a server that was told to
    /// drain meanwhile, and against a second run of what may not be run twice, or no longer.
    pub fn begin_attempt(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let Some(out) = self.attempts.get_mut(&attempt) else { return false };
        out.is_queued = false;
        let takes_work = self.placements.get(&out.replica).is_some_and(|(_, takes)| *takes);
        let query = self.queries.get_mut(&out.query);
        let class = query.as_ref().map(|q| self.settings.classes[q.class].idempotency);
        let part = query.and_then(|q| q.parts.iter_mut().find(|p| p.id == out.part));
        let may = part.filter(|p| {
            let first = p.started.iter().map(|(_, t)| *t).min();
            let again = match (class, first) {
                (_, None) | (Some(Idempotency::Idempotent), _) => true,
                (Some(Idempotency::IdempotencyKey { window }), Some(t)) => {
                    now + 2 * self.settings.round_interval < t + window
                }
                (Some(Idempotency::NonIdempotent) | None, Some(_)) => false,
            };
            p.value.is_none() && takes_work && again && now < out.due
        });
        if let Some(part) = may {
            part.started.push((out.number, now));
            return true;
        }
        if let Some(out) = self.remove_attempt(attempt) {
            self.report_end(now, &out, Outcome::NotSent, None);
        }
        false
    }

    /// The outcome of an attempt. What comes late, twice or for a given-up attempt is dropped.
    pub fn attempt_ended(&mut self, now: Nanos, attempt: AttemptId, end: AttemptOutcome<V>) {
        let Some(out) = self.remove_attempt(attempt) else { return };
        let mut outcome = end.outcome;
        if outcome == Outcome::Ok {
            let part =
                self.queries.get_mut(&out.query).and_then(|q| q.parts.iter_mut().find(|p| p.id == out.part));
            match (part, end.value) {
                (Some(p), Some(value)) => p.value = p.value.take().or(Some(value)),
                // Guards honest answers: without a value the part is not in.
                (_, None) => outcome = Outcome::Error,
                (None, _) => {}
            }
        }
        self.report_end(now, &out, outcome, end.utilization);
    }

    fn report_end(&mut self, now: Nanos, out: &AttemptInFlight, outcome: Outcome, busy: Option<f64>) {
        // What never left has not run, whatever ended the wait for it.
        let waited = out.is_queued && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        let outcome = if waited { Outcome::NotSent } else { outcome };
        let unrun = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        let part =
            self.queries.get_mut(&out.query).and_then(|q| q.parts.iter_mut().find(|p| p.id == out.part));
        if let Some(part) = part.filter(|_| unrun) {
            part.started.retain(|(number, _)| *number != out.number);
        }
        // Guards memory where nobody takes them.
        if self.attempt_ends.len() >= MAX_ATTEMPT_ENDS {
            self.attempt_ends.pop_front();
        }
        let ms = |t: Nanos| t / 1_000_000;
        tracing::debug!(
            "attempt {} of part {} of query {} at server {} ended after {} ms of {}: {outcome:?}, {busy:?} busy",
            out.number,
            out.part.0,
            out.query,
            out.replica.0,
            ms(now.saturating_sub(out.sent)),
            ms(out.due.saturating_sub(out.sent))
        );
        self.attempt_ends.push_back(AttemptEnd {
            replica: out.replica,
            outcome,
            latency: now.saturating_sub(out.sent),
        });
        self.events.push(Event::AttemptEnded {
            part: out.part,
            replica: out.replica,
            attempt: out.number,
            latency: now.saturating_sub(out.sent),
            outcome,
            utilization: busy,
        });
    }

    fn remove_attempt(&mut self, attempt: AttemptId) -> Option<AttemptInFlight> {
        let out = self.attempts.remove(&attempt)?;
        self.attempt_timeouts.remove(&(out.due, attempt));
        self.attempt_ids.remove(&(out.part, out.number));
        Some(out)
    }

    /// How the next attempt ended that nobody has been told of.
    pub fn next_attempt_end(&mut self) -> Option<AttemptEnd> {
        self.attempt_ends.pop_front()
    }

    /// News of the list of servers.
    pub fn update_endpoints(&mut self, full: bool, lines: Vec<ReplicaEntry>) {
        if full {
            self.placements.clear();
        }
        for line in &lines {
            match line.state {
                ReplicaState::Removed => self.placements.remove(&line.replica),
                ReplicaState::Active => self.placements.insert(line.replica, (line.cell, true)),
                ReplicaState::Draining => self.placements.insert(line.replica, (line.cell, false)),
            };
        }
        self.events.push(Event::EndpointList { full, entries: lines });
    }

    /// A server that was taken to have started lately is as fast as one that did long ago.
    pub fn replica_warmed_up(&mut self, replica: ReplicaId) {
        self.events.push(Event::WarmedUp { replica });
    }

    /// A call for the list failed, or the watch broke.
    pub fn watch_failed(&mut self) {
        self.events.push(Event::WatchFailed);
    }

    /// A probe's answer.
    pub fn health_checked(&mut self, replica: ReplicaId, ok: bool, latency: Nanos, busy: Option<f64>) {
        self.events.push(Event::HealthChecked { replica, ok, latency, utilization: busy });
    }

    // ---- time ----

    /// When `run` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let earliest = self.last_round.map_or(0, |t| t + self.settings.round_interval);
        let events = (!self.events.is_empty()).then_some(earliest);
        let wake = self.wake_at.map(|t| t.max(earliest));
        let timer = self.attempt_timeouts.first().map(|(t, _)| *t);
        let end = self.query_deadlines.first().map(|(t, _)| *t);
        [events, wake, timer, end].into_iter().flatten().min()
    }

    /// Lets timers run out and, if one is due, holds a round. `next` then gives the work.
    pub fn advance(&mut self, now: Nanos) {
        self.now = now;
        while let Some((_, attempt)) = self.attempt_timeouts.first().copied().filter(|(t, _)| *t <= now) {
            let Some(out) = self.remove_attempt(attempt) else { break };
            self.actions.push_back(EngineAction::CancelAttempt { replica: out.replica, attempt });
            self.report_end(now, &out, Outcome::TimedOut, None);
        }
        // Guards the client's time: whatever the module does, each query ends before that is over.
        while let Some((_, job)) = self.query_deadlines.first().copied().filter(|(t, _)| *t <= now) {
            let expired_outcome = self.expired_outcome(job);
            self.finish(job, |_| expired_outcome);
            self.events.push(Event::ClientDisconnected { query: RequestId(job.into()) });
        }
        let woken = self.wake_at.is_some_and(|t| t <= now);
        let early = self.last_round.is_some_and(|t| now < t + self.settings.round_interval);
        if early || (self.events.is_empty() && !woken) {
            return;
        }
        if woken {
            self.wake_at = None;
            self.events.push(Event::TimerFired);
        }
        self.last_round = Some(now);
        let events = std::mem::take(&mut self.events);
        let mut policy_actions = std::mem::take(&mut self.policy_actions);
        self.balancer.round(now, &events, &mut policy_actions);
        let mut calls: Vec<(ReplicaId, Vec<AttemptRequest<Q>>)> = Vec::new();
        for act in policy_actions.drain(..) {
            self.apply(now, act, &mut calls);
        }
        self.policy_actions = policy_actions;
        let most = self.settings.parts_per_call.max(1) as usize;
        for (replica, mut parts) in calls {
            while !parts.is_empty() {
                let rest = parts.split_off(parts.len().min(most));
                self.actions.push_back(EngineAction::Call { replica, parts });
                parts = rest;
            }
        }
    }

    /// What is told of a query whose time is over: where it is the program's time and not the client's, and to ask again
    /// is harmless, that it was refused.
    fn expired_outcome(&mut self, job: u64) -> QueryOutcome<V> {
        let safe = |q: &Query<Q, V>| self.settings.classes[q.class].idempotency == Idempotency::Idempotent;
        let never_ran = |q: &Query<Q, V>| q.parts.iter().all(|p| p.sent_attempts == 0);
        match self.queries.get(&job) {
            Some(q) if q.end == self.shutdown_deadline && (safe(q) || never_ran(q)) => {
                QueryOutcome::Rejected { retry_after: self.overloaded().retry_after }
            }
            _ => QueryOutcome::Failed,
        }
    }

    /// The next piece of work, if there is any.
    pub fn next_action(&mut self) -> Option<EngineAction<Q, V>> {
        self.actions.pop_front()
    }

    fn apply(&mut self, now: Nanos, act: Action, calls: &mut Vec<(ReplicaId, Vec<AttemptRequest<Q>>)>) {
        match act {
            Action::Send { part, replica, timeout } => self.send(now, part, replica, timeout, calls),
            Action::Cancel { part, attempt } => {
                let Some(id) = self.attempt_ids.get(&(part, attempt)).copied() else { return };
                let Some(out) = self.remove_attempt(id) else { return };
                // A copy that was not handed on yet just stays here.
                let unsent = calls.iter_mut().find_map(|(_, parts)| {
                    parts.iter().position(|d| d.attempt == id).map(|i| parts.remove(i))
                });
                if unsent.is_none() {
                    self.actions.push_back(EngineAction::CancelAttempt { replica: out.replica, attempt: id });
                }
                let outcome = if unsent.is_none() { Outcome::Cancelled } else { Outcome::NotSent };
                self.report_end(now, &out, outcome, None);
            }
            Action::Answer { query, complete: whole } => {
                let classes = self.settings.classes.clone();
                self.finish(query.0 as u64, |q| answer(q, whole, &classes));
            }
            Action::Reject { query, retry_after: wait } => {
                let most = if self.settings.may_send_retry_after { self.settings.max_retry_after } else { 0 };
                self.finish(query.0 as u64, |_| QueryOutcome::Rejected { retry_after: wait.min(most) });
            }
            Action::Fail { query } => self.finish(query.0 as u64, |_| QueryOutcome::Failed),
            Action::HealthCheck { replica } => self.actions.push_back(EngineAction::HealthCheck { replica }),
            Action::WatchEndpoints => self.actions.push_back(EngineAction::WatchEndpoints),
            Action::SetTimer { after } => {
                let at = now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |t| t.min(at)));
            }
        }
    }

    fn send(
        &mut self,
        now: Nanos,
        part: RequestId,
        replica: ReplicaId,
        timeout: Nanos,
        calls: &mut Vec<(ReplicaId, Vec<AttemptRequest<Q>>)>,
    ) {
        let job = self.parts.get(&part).copied().unwrap_or(0);
        let attempt = AttemptId(self.next_id());
        let (span, n) = (self.settings.span, self.settings.cells);
        let cell = self.placements.get(&replica).copied();
        let q = self.queries.get_mut(&job);
        let Some((q, i)) = q.and_then(|q| q.parts.iter().position(|p| p.id == part).map(|i| (q, i))) else {
            tracing::error!("the module sent a part that is over");
            return;
        };
        let p = &mut q.parts[i];
        let number = p.sent_attempts;
        p.sent_attempts += 1;
        // Guards the rule that only a holder of its shard is sent a part, and the cap on attempts.
        let holds = cell.is_some_and(|(c, _)| (c + n - p.request.shard % n) % n < span);
        let over = now >= q.end || p.sent_attempts > self.settings.max_attempts;
        let due = (now + timeout).min(q.end);
        let out = AttemptInFlight { query: job, part, number, replica, sent: now, due, is_queued: false };
        if !holds || over {
            return self.report_end(now, &out, Outcome::NotSent, None);
        }
        let (shard, timeout) = (p.request.shard, due - now);
        let dispatch = AttemptRequest { attempt, shard, timeout, key: q.key, payload: q.payload.clone() };
        match calls.iter_mut().find(|(r, _)| *r == replica) {
            Some((_, parts)) => parts.push(dispatch),
            None => calls.push((replica, vec![dispatch])),
        }
        self.attempt_timeouts.insert((due, attempt));
        self.attempt_ids.insert((part, number), attempt);
        self.attempts.insert(attempt, out);
    }
}

/// The answer from the parts that are in. Guards honest answers: none under the floor, and whole only if so.
fn answer<Q, V>(q: Query<Q, V>, whole: bool, classes: &[Class]) -> QueryOutcome<V> {
    const ROUNDING: f64 = 1e-4;
    let asked = q.parts.len();
    let share: f64 = q.parts.iter().filter(|p| p.value.is_some()).map(|p| p.request.weight).sum();
    let all = q.parts.iter().all(|p| p.value.is_some());
    let (need, floor) = classes
        .get(q.class)
        .map_or((1.0, 1.0), |c| (c.complete_share, c.min_answer_share.min(c.complete_share)));
    if !all && share + ROUNDING < floor {
        tracing::error!("the module answered from {share} of a query's parts, under the floor of {floor}");
        return QueryOutcome::Failed;
    }
    let whole = whole && (all || share + ROUNDING >= need);
    let parts = q.parts.into_iter();
    let values =
        parts.filter_map(|p| p.value.map(|value| ShardValue { shard: p.request.shard, value })).collect();
    QueryOutcome::Answered(Answer { complete: whole, values, requested_parts: asked })
}
