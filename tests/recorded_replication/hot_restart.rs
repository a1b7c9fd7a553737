//! Processes at one address that take over from each other: their shares of the limits, operators' overrides,
//! and the drain of their clients.
//!
//! Recorded: each published state (its bytes), each view of the peers, every lease, share and deadline, and
//! every step of a drain.

use super::digest::{
    AtLeast, MILLISECOND, Recorder, Recording, SECOND, assert_recorded, one_in, pick, random,
};
use pebbleturn::hot_restart::coordination::{
    Coordination, PeerProcess, QuotaShare, ResourceUsage, SharedLimits,
};
use pebbleturn::hot_restart::state::{Overrides, ProcessStage, ProcessState};
use pebbleturn::server::drain::{DrainPhase, DrainState};
use rand_pcg::Pcg32;

/// Digests of the code before it was refactored.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x2a56_1449_519d_cfd3 },
    Recording { seed: 2, digest: 0xe427_968e_a6d7_0bf0 },
    Recording { seed: 3, digest: 0x4a35_f2c0_eafa_6983 },
];

const EVENTS: usize = 6_000;
const LIMITS: SharedLimits =
    SharedLimits { descriptors: 1_200, max_in_flight: 400, retry_budget_window: 10 * SECOND };
const LONGEST_DEADLINE: u64 = 4 * SECOND;
/// Maximum number of processes that run at the same time.
const MAX_RUNNING: usize = 3;
/// Maximum number of processes that are visible, including dead ones.
const MAX_VISIBLE: usize = 5;
/// A number of overrides above the limit.
const MANY_OVERRIDES: u64 = 4_200;

struct Process {
    serial: u64,
    alive: bool,
    coordination: Coordination,
    overrides: Overrides,
    stage: ProcessStage,
    drain: DrainState,
    descriptors: usize,
    in_flight: usize,
    /// The state that it last published, as bytes.
    published_state: Vec<u8>,
}

impl Process {
    fn as_peer(&self) -> PeerProcess {
        PeerProcess {
            serial: self.serial,
            alive: self.alive,
            state: ProcessState::decode(&self.published_state).ok(),
        }
    }
}

struct Scenario {
    random: Pcg32,
    recorder: Recorder,
    now: u64,
    next_serial: u64,
    processes: Vec<Process>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let (recorder, now) = (Recorder::new(), 1_000 * SECOND);
        Scenario { random: random(seed), recorder, now, next_serial: 1, processes: Vec::new() }
    }

    fn event(&mut self) {
        self.now += pick(&mut self.random, 200) as u64 * MILLISECOND;
        let running: Vec<usize> = (0..self.processes.len()).filter(|n| self.processes[*n].alive).collect();
        if running.is_empty() || (running.len() < MAX_RUNNING && one_in(&mut self.random, 40)) {
            return self.start();
        }
        let at = running[pick(&mut self.random, running.len())];
        match pick(&mut self.random, 40) {
            0 => self.crash(at),
            1 => self.begin_shutdown(at),
            2 => self.pause(at),
            3 => self.resume(at),
            4..=6 => self.change_override(at),
            7..=9 => self.serve(at),
            10..=16 => self.change_usage(at),
            17..=26 => self.publish_state(at),
            _ => self.observe_peers(at),
        }
        self.record_process(at);
    }

    fn peers(&self, serial: u64) -> Vec<PeerProcess> {
        let peers = self.processes.iter().filter(|process| process.serial != serial);
        peers.map(Process::as_peer).collect()
    }

    fn start(&mut self) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let peers = self.peers(serial);
        let mut overrides = Overrides::default();
        for peer in &peers {
            put_overrides(&mut self.recorder, &peer.effective_overrides());
            overrides.merge(&peer.effective_overrides());
        }
        let mut drain = DrainState::new(LONGEST_DEADLINE);
        if one_in(&mut self.random, 2) {
            drain.share_address();
        }
        let coordination = Coordination::new(serial, LIMITS, peers, self.now);
        self.recorder.count("start");
        self.recorder.put_usize(coordination.descriptor_lease());
        self.processes.push(Process {
            serial,
            alive: true,
            coordination,
            overrides,
            stage: ProcessStage::Starting,
            drain,
            descriptors: 0,
            in_flight: 0,
            published_state: Vec::new(),
        });
        let excess = self.processes.len().saturating_sub(MAX_VISIBLE);
        self.processes.drain(..excess);
    }

    fn crash(&mut self, at: usize) {
        self.processes[at].alive = false;
        self.recorder.count("crash");
    }

    fn begin_shutdown(&mut self, at: usize) {
        self.processes[at].drain.begin_shutdown(self.now);
        self.processes[at].stage = ProcessStage::Draining;
        self.recorder.count("end");
    }

    fn pause(&mut self, at: usize) {
        self.processes[at].drain.pause(self.now);
        self.processes[at].overrides.set_paused(true, self.now);
        self.recorder.count("pause");
    }

    fn resume(&mut self, at: usize) {
        self.processes[at].drain.resume();
        self.processes[at].overrides.set_paused(false, self.now);
        self.recorder.count("resume");
    }

    fn change_override(&mut self, at: usize) {
        let server = format!("server-{}", pick(&mut self.random, 12));
        let suspended = one_in(&mut self.random, 2);
        // The clock may go back between two processes.
        let clock = self.now - pick(&mut self.random, 3) as u64 * SECOND;
        self.processes[at].overrides.set_server_suspended(&server, suspended, clock);
        self.recorder.count("word");
        put_overrides(&mut self.recorder, &self.processes[at].overrides);
    }

    fn serve(&mut self, at: usize) {
        if self.processes[at].stage == ProcessStage::Starting {
            self.processes[at].stage = ProcessStage::Serving;
            self.recorder.count("serve");
        }
    }

    fn change_usage(&mut self, at: usize) {
        let share = self.processes[at].coordination.quota_share(self.now);
        put_share(&mut self.recorder, share);
        self.processes[at].descriptors = pick(&mut self.random, share.descriptors + 1);
        self.processes[at].in_flight = pick(&mut self.random, share.max_in_flight + 1);
    }

    fn publish_state(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let lease = process.coordination.descriptor_lease();
        let state = ProcessState {
            written_at: self.now,
            stage: process.stage,
            overrides: process.overrides.clone(),
            descriptor_lease: lease,
            in_flight: process.in_flight,
            open_query_ids: (0..process.in_flight.min(3)).map(|n| format!("query-{n}")).collect(),
            watches_discovery: false,
        };
        process.published_state = state.encode().unwrap();
        self.recorder.count("state");
        self.recorder.put_bytes(&process.published_state);
        process.coordination.on_lease_published(lease);
        if one_in(&mut self.random, 30) {
            process.published_state.pop();
            self.recorder.count("unreadable state");
        }
    }

    fn observe_peers(&mut self, at: usize) {
        let peers = self.peers(self.processes[at].serial);
        let process = &mut self.processes[at];
        for peer in &peers {
            self.recorder.put_bool(process.overrides.merge(&peer.effective_overrides()));
        }
        let usage = ResourceUsage { descriptors: process.descriptors, in_flight: process.in_flight };
        process.coordination.on_peers_observed(peers, usage, self.now);
        self.recorder.count("look");
        self.recorder.put_sequence(process.coordination.peers(), put_peer);
        put_overrides(&mut self.recorder, &process.overrides);
        let share = process.coordination.quota_share(self.now);
        if share.successor_serving && !process.drain.has_successor() {
            process.drain.successor_serves(self.now);
            process.stage = ProcessStage::Draining;
            self.recorder.count("succeeded");
        }
    }

    fn record_process(&mut self, at: usize) {
        let process = &mut self.processes[at];
        self.recorder.put_u64(process.serial);
        self.recorder.put_usize(process.coordination.descriptor_lease());
        put_share(&mut self.recorder, process.coordination.quota_share(self.now));
        self.recorder.put_option(process.coordination.next_deadline(self.now), Recorder::put_u64);
        put_drain(&mut self.recorder, &process.drain, self.now);
        if process.drain.exit_by().is_some_and(|end| end <= self.now) {
            process.alive = false;
            self.recorder.count("ended");
        }
    }

    /// Above the limit, the oldest overrides that restore a server are dropped first.
    fn exceed_override_limit(&mut self) {
        let mut overrides = Overrides::default();
        for n in 0..MANY_OVERRIDES {
            let suspended = one_in(&mut self.random, 3);
            overrides.set_server_suspended(&format!("server-{n}"), suspended, self.now + n);
        }
        put_overrides(&mut self.recorder, &overrides);
    }
}

fn put_overrides(recorder: &mut Recorder, overrides: &Overrides) {
    recorder.put_serialized(overrides);
    recorder.put_sequence(overrides.suspended_servers(), Recorder::put_str);
}

fn put_peer(recorder: &mut Recorder, peer: &PeerProcess) {
    recorder.put_serialized(&(peer.serial, peer.alive, &peer.state));
}

fn put_share(recorder: &mut Recorder, share: QuotaShare) {
    recorder.put_serialized(&(
        share.descriptors,
        share.max_in_flight,
        share.free_retries,
        share.successor_serving,
    ));
    if !share.free_retries {
        recorder.count("no free tries");
    }
}

fn put_drain(recorder: &mut Recorder, drain: &DrainState, now: u64) {
    let (tag, kind) = match drain.phase(now) {
        DrainPhase::Serving => (0, "serving"),
        DrainPhase::NotReady => (1, "not ready"),
        DrainPhase::ClosingAfterAnswer => (2, "last answers"),
        DrainPhase::ClosingIdle => (3, "close idle"),
        DrainPhase::ClosingAll => (4, "over"),
    };
    recorder.count(kind);
    recorder.put_tag(tag);
    recorder.put_serialized(&(
        drain.is_ready(now),
        drain.has_successor(),
        drain.is_shutting_down(),
        drain.is_paused(),
    ));
    recorder.put_serialized(&(drain.stop_listening_at(), drain.answer_by(now)));
    recorder.put_serialized(&(drain.exit_by(), drain.next_deadline(now)));
}

#[test]
fn hot_restart_behaves_as_recorded() {
    let expected = [
        AtLeast { count: 500, kinds: "state, look, no free tries, serving" },
        AtLeast { count: 100, kinds: "word, not ready" },
        AtLeast { count: 20, kinds: "start, serve, succeeded, end, ended" },
        AtLeast { count: 20, kinds: "crash, pause, resume, last answers, close idle, over" },
        AtLeast { count: 5, kinds: "unreadable state" },
    ];
    assert_recorded(&RECORDINGS, &expected, |seed| {
        let mut scenario = Scenario::new(seed);
        for _ in 0..EVENTS {
            scenario.event();
        }
        scenario.exceed_override_limit();
        scenario.recorder
    });
}
