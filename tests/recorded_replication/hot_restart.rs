//! Processes at one address that take over from each other: shares of the limits, words of staff, and how clients are
//! sent away.
//!
//! Recorded: each state that is left (its bytes), each view of the others, every lease, share and due time, and every
//! step of leaving.

use super::digest::{
    AtLeast, MILLISECOND, Recorder, Recording, SECOND, assert_recorded, one_in, pick, random,
};
use pebbleturn::hot_restart::coordination::{
    Coordination, PeerProcess, QuotaShare, ResourceUsage, SharedLimits,
};
use pebbleturn::hot_restart::state::{Overrides, ProcessStage, ProcessState};
use pebbleturn::server::drain::{DrainPhase, DrainState};
use rand_pcg::Pcg32;

/// Recorded before names and structure were changed.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x2a56_1449_519d_cfd3 },
    Recording { seed: 2, digest: 0xe427_968e_a6d7_0bf0 },
    Recording { seed: 3, digest: 0x4a35_f2c0_eafa_6983 },
];

const EVENTS: usize = 6_000;
const LIMITS: SharedLimits =
    SharedLimits { descriptors: 1_200, max_in_flight: 400, retry_budget_window: 10 * SECOND };
const LONGEST_WAIT: u64 = 4 * SECOND;
/// Processes that run together at most.
const TOGETHER: usize = 3;
/// Processes that are still seen, dead ones among them.
const SEEN: usize = 5;
/// More words than are kept.
const MANY_WORDS: u64 = 4_200;

struct Process {
    serial: u64,
    alive: bool,
    succession: Coordination,
    words: Overrides,
    stage: ProcessStage,
    leave: DrainState,
    descriptors: usize,
    held: usize,
    /// The state that it left last, as bytes.
    left: Vec<u8>,
}

impl Process {
    fn as_peer(&self) -> PeerProcess {
        PeerProcess { serial: self.serial, alive: self.alive, state: ProcessState::decode(&self.left).ok() }
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
        if running.is_empty() || (running.len() < TOGETHER && one_in(&mut self.random, 40)) {
            return self.start();
        }
        let at = running[pick(&mut self.random, running.len())];
        match pick(&mut self.random, 40) {
            0 => self.crash(at),
            1 => self.end(at),
            2 => self.pause(at),
            3 => self.resume(at),
            4..=6 => self.word(at),
            7..=9 => self.serve(at),
            10..=16 => self.demand(at),
            17..=26 => self.leave_state(at),
            _ => self.look(at),
        }
        self.observe(at);
    }

    fn others(&self, serial: u64) -> Vec<PeerProcess> {
        let others = self.processes.iter().filter(|process| process.serial != serial);
        others.map(Process::as_peer).collect()
    }

    fn start(&mut self) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let found = self.others(serial);
        let mut words = Overrides::default();
        for peer in &found {
            put_words(&mut self.recorder, &peer.effective_overrides());
            words.merge(&peer.effective_overrides());
        }
        let mut leave = DrainState::new(LONGEST_WAIT);
        if one_in(&mut self.random, 2) {
            leave.share_address();
        }
        let succession = Coordination::new(serial, LIMITS, found, self.now);
        self.recorder.count("start");
        self.recorder.put_usize(succession.descriptor_lease());
        self.processes.push(Process {
            serial,
            alive: true,
            succession,
            words,
            stage: ProcessStage::Starting,
            leave,
            descriptors: 0,
            held: 0,
            left: Vec::new(),
        });
        let gone = self.processes.len().saturating_sub(SEEN);
        self.processes.drain(..gone);
    }

    fn crash(&mut self, at: usize) {
        self.processes[at].alive = false;
        self.recorder.count("crash");
    }

    fn end(&mut self, at: usize) {
        self.processes[at].leave.begin_shutdown(self.now);
        self.processes[at].stage = ProcessStage::Draining;
        self.recorder.count("end");
    }

    fn pause(&mut self, at: usize) {
        self.processes[at].leave.pause(self.now);
        self.processes[at].words.set_paused(true, self.now);
        self.recorder.count("pause");
    }

    fn resume(&mut self, at: usize) {
        self.processes[at].leave.resume();
        self.processes[at].words.set_paused(false, self.now);
        self.recorder.count("resume");
    }

    fn word(&mut self, at: usize) {
        let server = format!("server-{}", pick(&mut self.random, 12));
        let out = one_in(&mut self.random, 2);
        // The clock may have gone back between two processes.
        let clock = self.now - pick(&mut self.random, 3) as u64 * SECOND;
        self.processes[at].words.set_server_suspended(&server, out, clock);
        self.recorder.count("word");
        put_words(&mut self.recorder, &self.processes[at].words);
    }

    fn serve(&mut self, at: usize) {
        if self.processes[at].stage == ProcessStage::Starting {
            self.processes[at].stage = ProcessStage::Serving;
            self.recorder.count("serve");
        }
    }

    fn demand(&mut self, at: usize) {
        let share = self.processes[at].succession.quota_share(self.now);
        put_share(&mut self.recorder, share);
        self.processes[at].descriptors = pick(&mut self.random, share.descriptors + 1);
        self.processes[at].held = pick(&mut self.random, share.max_in_flight + 1);
    }

    fn leave_state(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let lease = process.succession.descriptor_lease();
        let state = ProcessState {
            written_at: self.now,
            stage: process.stage,
            overrides: process.words.clone(),
            descriptor_lease: lease,
            in_flight: process.held,
            open_query_ids: (0..process.held.min(3)).map(|n| format!("query-{n}")).collect(),
        };
        process.left = state.encode().unwrap();
        self.recorder.count("state");
        self.recorder.put_bytes(&process.left);
        process.succession.on_lease_published(lease);
        if one_in(&mut self.random, 30) {
            process.left.pop();
            self.recorder.count("unreadable state");
        }
    }

    fn look(&mut self, at: usize) {
        let others = self.others(self.processes[at].serial);
        let process = &mut self.processes[at];
        for peer in &others {
            self.recorder.put_bool(process.words.merge(&peer.effective_overrides()));
        }
        let usage = ResourceUsage { descriptors: process.descriptors, in_flight: process.held };
        process.succession.on_peers_observed(others, usage, self.now);
        self.recorder.count("look");
        self.recorder.put_sequence(process.succession.peers(), put_peer);
        put_words(&mut self.recorder, &process.words);
        let share = process.succession.quota_share(self.now);
        if share.successor_serving && !process.leave.has_successor() {
            process.leave.successor_serves(self.now);
            process.stage = ProcessStage::Draining;
            self.recorder.count("succeeded");
        }
    }

    fn observe(&mut self, at: usize) {
        let process = &mut self.processes[at];
        self.recorder.put_u64(process.serial);
        self.recorder.put_usize(process.succession.descriptor_lease());
        put_share(&mut self.recorder, process.succession.quota_share(self.now));
        self.recorder.put_option(process.succession.next_deadline(self.now), Recorder::put_u64);
        put_leave(&mut self.recorder, &process.leave, self.now);
        if process.leave.exit_by().is_some_and(|end| end <= self.now) {
            process.alive = false;
            self.recorder.count("ended");
        }
    }

    /// The oldest words that let a server in go first, once there are too many.
    fn too_many_words(&mut self) {
        let mut words = Overrides::default();
        for n in 0..MANY_WORDS {
            let out = one_in(&mut self.random, 3);
            words.set_server_suspended(&format!("server-{n}"), out, self.now + n);
        }
        put_words(&mut self.recorder, &words);
    }
}

fn put_words(recorder: &mut Recorder, words: &Overrides) {
    recorder.put_stored(words);
    recorder.put_sequence(words.suspended_servers(), Recorder::put_str);
}

fn put_peer(recorder: &mut Recorder, peer: &PeerProcess) {
    recorder.put_stored(&(peer.serial, peer.alive, &peer.state));
}

fn put_share(recorder: &mut Recorder, share: QuotaShare) {
    recorder.put_stored(&(
        share.descriptors,
        share.max_in_flight,
        share.free_retries,
        share.successor_serving,
    ));
    if !share.free_retries {
        recorder.count("no free tries");
    }
}

fn put_leave(recorder: &mut Recorder, leave: &DrainState, now: u64) {
    let (tag, kind) = match leave.phase(now) {
        DrainPhase::Serving => (0, "serving"),
        DrainPhase::NotReady => (1, "not ready"),
        DrainPhase::ClosingAfterAnswer => (2, "last answers"),
        DrainPhase::ClosingIdle => (3, "close idle"),
        DrainPhase::ClosingAll => (4, "over"),
    };
    recorder.count(kind);
    recorder.put_tag(tag);
    recorder.put_stored(&(
        leave.is_ready(now),
        leave.has_successor(),
        leave.is_shutting_down(),
        leave.is_paused(),
    ));
    recorder.put_stored(&(leave.stop_listening_at(), leave.answer_by(now)));
    recorder.put_stored(&(leave.exit_by(), leave.next_deadline(now)));
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
        scenario.too_many_words();
        scenario.recorder
    });
}
