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
const GUARD: Nanos = 15_000_000;
/// Most endings of attempts that wait to be taken.
const MOST_OUTCOMES: usize = 4096;

struct Part<V> {
    id: RequestId,
    ask: PartRequest,
    attempts: u32,
    /// When each attempt was begun that may have run.
    begun: Vec<(u32, Nanos)>,
    value: Option<V>,
}

struct Query<Q, V> {
    class: usize,
    key: Option<u64>,
    taken: Nanos,
    end: Nanos,
    parts: Vec<Part<V>>,
    payload: Rc<Q>,
}

struct Out {
    query: u64,
    part: RequestId,
    number: u32,
    replica: ReplicaId,
    sent: Nanos,
    due: Nanos,
    /// It waits at the server side for a connection: nothing of it has left.
    waits: bool,
}

/// Queries, parts and attempts between the two sides. `Q` is what a query carries, `V` a part's value.
pub struct QueryEngine<Q, V> {
    balancer: Balancer,
    settings: Settings,
    next_id: u64,
    queries: HashMap<u64, Query<Q, V>>,
    /// The query of each part that is held.
    parts: HashMap<RequestId, u64>,
    outs: BTreeMap<AttemptId, Out>,
    by_part: HashMap<(RequestId, u32), AttemptId>,
    /// Time-outs of attempts and ends of queries.
    timers: BTreeSet<(Nanos, AttemptId)>,
    ends: BTreeSet<(Nanos, u64)>,
    /// The cell of each server that is listed, and whether it takes new work.
    cells: HashMap<ReplicaId, (u32, bool)>,
    heard: Vec<Event>,
    acts: Vec<Action>,
    work: VecDeque<EngineAction<Q, V>>,
    last_round: Option<Nanos>,
    wake: Option<Nanos>,
    held: usize,
    /// Most queries and parts that are held.
    room: usize,
    /// The latest time that was told.
    now: Nanos,
    /// When the last query must be over.
    end_by: Nanos,
    /// How attempts ended, for whoever minds membership.
    outcomes: VecDeque<AttemptEnd>,
    figures: Metrics,
}

impl<Q, V> QueryEngine<Q, V> {
    /// An exchange with nothing in it.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        let (figures, room) = (Metrics::new(settings.classes.len()), settings.max_in_flight as usize);
        Ok(QueryEngine {
            balancer: Balancer::new(settings.clone(), seed, now)?,
            settings,
            next_id: 1,
            queries: HashMap::new(),
            parts: HashMap::new(),
            outs: BTreeMap::new(),
            by_part: HashMap::new(),
            timers: BTreeSet::new(),
            ends: BTreeSet::new(),
            cells: HashMap::new(),
            heard: Vec::new(),
            acts: Vec::new(),
            work: VecDeque::new(),
            last_round: None,
            wake: Some(now),
            held: 0,
            room,
            now,
            end_by: Nanos::MAX,
            outcomes: VecDeque::new(),
            figures,
        })
    }

    /// The settings it works by.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How queries ended, and how many attempts were written.
    pub fn metrics(&self) -> &Metrics {
        &self.figures
    }

    /// So many attempts are written whole by now that were not before.
    pub fn attempts_written(&mut self, attempts: u64) {
        self.figures.record_attempts(attempts);
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
        self.outs.len()
    }

    /// Attempts at one server whose outcome is awaited.
    pub fn in_flight_at(&self, replica: ReplicaId) -> usize {
        self.outs.values().filter(|o| o.replica == replica).count()
    }

    /// Queries and parts that are held.
    pub fn in_flight(&self) -> usize {
        self.held
    }

    /// From now on at most so many queries and parts are held; the settings' number at most.
    pub fn limit_in_flight(&mut self, open: usize) {
        self.room = open.min(self.settings.max_in_flight as usize);
    }

    /// Whether the free part of the attempts' budget is this process's, or still another's.
    pub fn set_free_retries(&mut self, own: bool) {
        let budget =
            self.settings.retry_budget.map(|b| RetryBudget { free: if own { b.free } else { 0.0 }, ..b });
        self.heard.push(Event::RetryBudget(budget));
    }

    /// All queries end by then, whatever their clients' time: those that are open and those that are taken from now on.
    ///
    /// Guards the one final answer against the end of the program: what that finds open has none.
    pub fn end_all_by(&mut self, by: Nanos) {
        self.end_by = by;
        let later = self.ends.split_off(&(by.saturating_add(1), 0));
        for (_, job) in later {
            if let Some(q) = self.queries.get_mut(&job) {
                q.end = by;
                self.ends.insert((by, job));
            }
        }
    }

    fn fresh(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    // ---- client side ----

    /// Takes a query in; its final answer comes as `Work::Finish`. Beyond `max_open` it is refused at once.
    pub fn submit(&mut self, now: Nanos, ask: QueryRequest<Q>) -> Result<QueryId, Overloaded> {
        let size = 1 + ask.parts.len();
        // Guards the limit on what is held: a query that is not taken costs nothing and may come again.
        if self.held + size > self.room {
            self.figures.record_query(ask.class, QueryResult::Shed);
            return Err(self.overloaded());
        }
        let job = self.fresh();
        let end = (now + ask.time_left.saturating_sub(GUARD)).min(self.end_by);
        // Less than the aim is left where the program ends before: that is no client's doing, and nothing is sent on
        // that can't be finished by then.
        let left = (end + GUARD).saturating_sub(now);
        let cut = left < ask.time_left
            && self.settings.classes.get(ask.class).is_some_and(|c| left < c.latency_objective);
        let (ttl, again) = if cut { (left, false) } else { (ask.time_left, ask.is_retry) };
        let work = ask.parts.iter().filter_map(|p| p.work).reduce(|a, b| a + b);
        self.heard.push(Event::Query {
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
            let id = RequestId(self.fresh().into());
            self.heard.push(Event::Part { part: id, job, shard: p.shard, weight: p.weight });
            self.parts.insert(id, job);
            parts.push(Part { id, ask: p, attempts: 0, begun: Vec::new(), value: None });
        }
        self.held += size;
        self.ends.insert((end, job));
        let (class, key, payload) = (ask.class, ask.key, ask.payload);
        let query = Query { class, key, taken: now, end, parts, payload };
        self.queries.insert(job, query);
        Ok(QueryId(job))
    }

    /// What a client is told for whom there is no room.
    pub fn overloaded(&mut self) -> Overloaded {
        // Spread, so that those who were refused together don't come back together.
        let spread = (self.fresh().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as f64 / f64::from(u32::MAX);
        let most = if self.settings.may_send_retry_after { self.settings.max_retry_after } else { 0 };
        Overloaded { retry_after: (most as f64 * (0.25 + 0.5 * spread)) as Nanos }
    }

    /// The client is gone: all that its query held is freed, and no final answer comes.
    pub fn client_disconnected(&mut self, query: QueryId) {
        if let Some(q) = self.forget(query.0) {
            let (ms, n) = (self.now.saturating_sub(q.taken) / 1_000_000, q.parts.len());
            let sent = q.parts.iter().filter(|p| p.attempts > 0).count();
            let (job, class) = (query.0, q.class);
            tracing::debug!(
                "query {job} of class {class} ended after {ms} ms: its client went, {sent} of {n} parts sent"
            );
            self.heard.push(Event::ClientDisconnected { query: RequestId(query.0.into()) });
        }
    }

    fn forget(&mut self, job: u64) -> Option<Query<Q, V>> {
        let q = self.queries.remove(&job)?;
        self.ends.remove(&(q.end, job));
        self.held -= 1 + q.parts.len();
        for p in &q.parts {
            self.parts.remove(&p.id);
        }
        Some(q)
    }

    fn finish(&mut self, job: u64, answer: impl FnOnce(Query<Q, V>) -> QueryOutcome<V>) {
        // Guards the one final answer: a query that is not held has had its own.
        if let Some(q) = self.forget(job) {
            let (class, taken, n) = (q.class, q.taken, q.parts.len());
            let sent = q.parts.iter().filter(|p| p.attempts > 0).count();
            let answer = answer(q);
            self.figures.record_query(
                class,
                match &answer {
                    QueryOutcome::Answered(_) => QueryResult::Ok,
                    QueryOutcome::Rejected { .. } => QueryResult::Shed,
                    QueryOutcome::Failed => QueryResult::Error,
                },
            );
            let ms = self.now.saturating_sub(taken) / 1_000_000;
            tracing::debug!(
                "query {job} of class {class} ended after {ms} ms: {}, {sent} of {n} parts sent",
                answer.word()
            );
            self.work.push_back(EngineAction::Respond { query: QueryId(job), outcome: answer });
        }
    }

    // ---- server side ----

    /// This attempt waits for a connection; `begin` is to be asked before the first byte of it is written.
    pub fn attempt_queued(&mut self, attempt: AttemptId) {
        self.outs.entry(attempt).and_modify(|o| o.waits = true);
    }

    /// Whether an attempt that is about to be written is still to be: what was true when it was chosen may not be by
    /// then. If so, it counts as begun; if not, it is over, and its server side forgets it.
    ///
    /// Guards against passing on what a client left behind while it waited, against sends to a server that was told to
    /// drain meanwhile, and against a second run of what may not be run twice, or no longer.
    pub fn begin_attempt(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let Some(out) = self.outs.get_mut(&attempt) else { return false };
        out.waits = false;
        let takes_work = self.cells.get(&out.replica).is_some_and(|(_, takes)| *takes);
        let query = self.queries.get_mut(&out.query);
        let class = query.as_ref().map(|q| self.settings.classes[q.class].idempotency);
        let part = query.and_then(|q| q.parts.iter_mut().find(|p| p.id == out.part));
        let may = part.filter(|p| {
            let first = p.begun.iter().map(|(_, t)| *t).min();
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
            part.begun.push((out.number, now));
            return true;
        }
        if let Some(out) = self.remove(attempt) {
            self.tell_end(now, &out, Outcome::NotSent, None);
        }
        false
    }

    /// The outcome of an attempt. What comes late, twice or for a given-up attempt is dropped.
    pub fn attempt_ended(&mut self, now: Nanos, attempt: AttemptId, end: AttemptOutcome<V>) {
        let Some(out) = self.remove(attempt) else { return };
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
        self.tell_end(now, &out, outcome, end.utilization);
    }

    fn tell_end(&mut self, now: Nanos, out: &Out, outcome: Outcome, busy: Option<f64>) {
        // What never left has not run, whatever ended the wait for it.
        let waited = out.waits && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        let outcome = if waited { Outcome::NotSent } else { outcome };
        let unrun = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        let part =
            self.queries.get_mut(&out.query).and_then(|q| q.parts.iter_mut().find(|p| p.id == out.part));
        if let Some(part) = part.filter(|_| unrun) {
            part.begun.retain(|(number, _)| *number != out.number);
        }
        // Guards memory where nobody takes them.
        if self.outcomes.len() >= MOST_OUTCOMES {
            self.outcomes.pop_front();
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
        self.outcomes.push_back(AttemptEnd {
            replica: out.replica,
            outcome,
            latency: now.saturating_sub(out.sent),
        });
        self.heard.push(Event::AttemptEnded {
            part: out.part,
            replica: out.replica,
            attempt: out.number,
            latency: now.saturating_sub(out.sent),
            outcome,
            utilization: busy,
        });
    }

    fn remove(&mut self, attempt: AttemptId) -> Option<Out> {
        let out = self.outs.remove(&attempt)?;
        self.timers.remove(&(out.due, attempt));
        self.by_part.remove(&(out.part, out.number));
        Some(out)
    }

    /// How the next attempt ended that nobody has been told of.
    pub fn next_attempt_end(&mut self) -> Option<AttemptEnd> {
        self.outcomes.pop_front()
    }

    /// News of the list of servers.
    pub fn update_endpoints(&mut self, full: bool, lines: Vec<ReplicaEntry>) {
        if full {
            self.cells.clear();
        }
        for line in &lines {
            match line.state {
                ReplicaState::Removed => self.cells.remove(&line.replica),
                ReplicaState::Active => self.cells.insert(line.replica, (line.cell, true)),
                ReplicaState::Draining => self.cells.insert(line.replica, (line.cell, false)),
            };
        }
        self.heard.push(Event::EndpointList { full, entries: lines });
    }

    /// A server that was taken to have started lately is as fast as one that did long ago.
    pub fn replica_warmed_up(&mut self, replica: ReplicaId) {
        self.heard.push(Event::WarmedUp { replica });
    }

    /// A call for the list failed, or the watch broke.
    pub fn watch_failed(&mut self) {
        self.heard.push(Event::WatchFailed);
    }

    /// A probe's answer.
    pub fn health_checked(&mut self, replica: ReplicaId, ok: bool, latency: Nanos, busy: Option<f64>) {
        self.heard.push(Event::HealthChecked { replica, ok, latency, utilization: busy });
    }

    // ---- time ----

    /// When `run` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let earliest = self.last_round.map_or(0, |t| t + self.settings.round_interval);
        let heard = (!self.heard.is_empty()).then_some(earliest);
        let wake = self.wake.map(|t| t.max(earliest));
        let timer = self.timers.first().map(|(t, _)| *t);
        let end = self.ends.first().map(|(t, _)| *t);
        [heard, wake, timer, end].into_iter().flatten().min()
    }

    /// Lets timers run out and, if one is due, holds a round. `next` then gives the work.
    pub fn advance(&mut self, now: Nanos) {
        self.now = now;
        while let Some((_, attempt)) = self.timers.first().copied().filter(|(t, _)| *t <= now) {
            let Some(out) = self.remove(attempt) else { break };
            self.work.push_back(EngineAction::CancelAttempt { replica: out.replica, attempt });
            self.tell_end(now, &out, Outcome::TimedOut, None);
        }
        // Guards the client's time: whatever the module does, each query ends before that is over.
        while let Some((_, job)) = self.ends.first().copied().filter(|(t, _)| *t <= now) {
            let given_up = self.given_up(job);
            self.finish(job, |_| given_up);
            self.heard.push(Event::ClientDisconnected { query: RequestId(job.into()) });
        }
        let woken = self.wake.is_some_and(|t| t <= now);
        let early = self.last_round.is_some_and(|t| now < t + self.settings.round_interval);
        if early || (self.heard.is_empty() && !woken) {
            return;
        }
        if woken {
            self.wake = None;
            self.heard.push(Event::TimerFired);
        }
        self.last_round = Some(now);
        let heard = std::mem::take(&mut self.heard);
        let mut acts = std::mem::take(&mut self.acts);
        self.balancer.round(now, &heard, &mut acts);
        let mut calls: Vec<(ReplicaId, Vec<AttemptRequest<Q>>)> = Vec::new();
        for act in acts.drain(..) {
            self.act(now, act, &mut calls);
        }
        self.acts = acts;
        let most = self.settings.parts_per_call.max(1) as usize;
        for (replica, mut parts) in calls {
            while !parts.is_empty() {
                let rest = parts.split_off(parts.len().min(most));
                self.work.push_back(EngineAction::Call { replica, parts });
                parts = rest;
            }
        }
    }

    /// What is told of a query whose time is over: where it is the program's time and not the client's, and to ask again
    /// is harmless, that it was refused.
    fn given_up(&mut self, job: u64) -> QueryOutcome<V> {
        let safe = |q: &Query<Q, V>| self.settings.classes[q.class].idempotency == Idempotency::Idempotent;
        let never_ran = |q: &Query<Q, V>| q.parts.iter().all(|p| p.attempts == 0);
        match self.queries.get(&job) {
            Some(q) if q.end == self.end_by && (safe(q) || never_ran(q)) => {
                QueryOutcome::Rejected { retry_after: self.overloaded().retry_after }
            }
            _ => QueryOutcome::Failed,
        }
    }

    /// The next piece of work, if there is any.
    pub fn next_action(&mut self) -> Option<EngineAction<Q, V>> {
        self.work.pop_front()
    }

    fn act(&mut self, now: Nanos, act: Action, calls: &mut Vec<(ReplicaId, Vec<AttemptRequest<Q>>)>) {
        match act {
            Action::Send { part, replica, timeout } => self.send(now, part, replica, timeout, calls),
            Action::Cancel { part, attempt } => {
                let Some(id) = self.by_part.get(&(part, attempt)).copied() else { return };
                let Some(out) = self.remove(id) else { return };
                // A copy that was not handed on yet just stays here.
                let unsent = calls.iter_mut().find_map(|(_, parts)| {
                    parts.iter().position(|d| d.attempt == id).map(|i| parts.remove(i))
                });
                if unsent.is_none() {
                    self.work.push_back(EngineAction::CancelAttempt { replica: out.replica, attempt: id });
                }
                let outcome = if unsent.is_none() { Outcome::Cancelled } else { Outcome::NotSent };
                self.tell_end(now, &out, outcome, None);
            }
            Action::Answer { query, complete: whole } => {
                let classes = self.settings.classes.clone();
                self.finish(query.0 as u64, |q| settle(q, whole, &classes));
            }
            Action::Reject { query, retry_after: wait } => {
                let most = if self.settings.may_send_retry_after { self.settings.max_retry_after } else { 0 };
                self.finish(query.0 as u64, |_| QueryOutcome::Rejected { retry_after: wait.min(most) });
            }
            Action::Fail { query } => self.finish(query.0 as u64, |_| QueryOutcome::Failed),
            Action::HealthCheck { replica } => self.work.push_back(EngineAction::HealthCheck { replica }),
            Action::WatchEndpoints => self.work.push_back(EngineAction::WatchEndpoints),
            Action::SetTimer { after } => {
                let at = now + after;
                self.wake = Some(self.wake.map_or(at, |t| t.min(at)));
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
        let attempt = AttemptId(self.fresh());
        let (span, n) = (self.settings.span, self.settings.cells);
        let cell = self.cells.get(&replica).copied();
        let q = self.queries.get_mut(&job);
        let Some((q, i)) = q.and_then(|q| q.parts.iter().position(|p| p.id == part).map(|i| (q, i))) else {
            tracing::error!("the module sent a part that is over");
            return;
        };
        let p = &mut q.parts[i];
        let number = p.attempts;
        p.attempts += 1;
        // Guards the rule that only a holder of its shard is sent a part, and the cap on attempts.
        let holds = cell.is_some_and(|(c, _)| (c + n - p.ask.shard % n) % n < span);
        let over = now >= q.end || p.attempts > self.settings.max_attempts;
        let due = (now + timeout).min(q.end);
        let out = Out { query: job, part, number, replica, sent: now, due, waits: false };
        if !holds || over {
            return self.tell_end(now, &out, Outcome::NotSent, None);
        }
        let (shard, timeout) = (p.ask.shard, due - now);
        let dispatch = AttemptRequest { attempt, shard, timeout, key: q.key, payload: q.payload.clone() };
        match calls.iter_mut().find(|(r, _)| *r == replica) {
            Some((_, parts)) => parts.push(dispatch),
            None => calls.push((replica, vec![dispatch])),
        }
        self.timers.insert((due, attempt));
        self.by_part.insert((part, number), attempt);
        self.outs.insert(attempt, out);
    }
}

/// The answer from the parts that are in. Guards honest answers: none under the floor, and whole only if so.
fn settle<Q, V>(q: Query<Q, V>, whole: bool, classes: &[Class]) -> QueryOutcome<V> {
    const SHORT: f64 = 1e-4;
    let asked = q.parts.len();
    let share: f64 = q.parts.iter().filter(|p| p.value.is_some()).map(|p| p.ask.weight).sum();
    let all = q.parts.iter().all(|p| p.value.is_some());
    let (need, floor) = classes
        .get(q.class)
        .map_or((1.0, 1.0), |c| (c.complete_share, c.min_answer_share.min(c.complete_share)));
    if !all && share + SHORT < floor {
        tracing::error!("the module answered from {share} of a query's parts, under the floor of {floor}");
        return QueryOutcome::Failed;
    }
    let whole = whole && (all || share + SHORT >= need);
    let parts = q.parts.into_iter();
    let values =
        parts.filter_map(|p| p.value.map(|value| ShardValue { shard: p.ask.shard, value })).collect();
    QueryOutcome::Answered(Answer { complete: whole, values, requested_parts: asked })
}
