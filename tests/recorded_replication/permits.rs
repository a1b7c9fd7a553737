//! Proposers that change the table of permits through a majority of acceptors, over a network that loses,
//! duplicates and reorders messages.
//!
//! Recorded: every request, response, proposer state and table, and the reason for each rejected change. Not
//! recorded: the text of rejections, which contains names of Rust variants.

use super::digest::{AtLeast, Recorder, Recording, SECOND, assert_recorded, one_in, pick, random};
use pebbleturn::maintenance::{
    Acceptor, Ballot, CellRing, MaintenancePhase, PermitError, PermitRequest, PermitRules, Permits, Proposer,
    ProposerState, Request, Response,
};
use rand_pcg::Pcg32;

/// Digests of the code before it was refactored.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x2bd7_87e8_ac6e_b9e1 },
    Recording { seed: 2, digest: 0x2540_fcad_c9e9_0fc4 },
    Recording { seed: 3, digest: 0x9db6_a221_cd36_3bb9 },
];

const EVENTS: usize = 12_000;
const ACCEPTORS: usize = 3;
const PROPOSERS: usize = 3;
const MACHINES: u32 = 6;
const PHASES: [MaintenancePhase; 4] = [
    MaintenancePhase::Draining,
    MaintenancePhase::Drained,
    MaintenancePhase::UnderMaintenance,
    MaintenancePhase::WarmingUp,
];

#[derive(Clone)]
enum Message {
    Request { proposer: usize, acceptor: usize, request: Request<Permits> },
    Response { proposer: usize, acceptor: usize, response: Response<Permits> },
}

#[derive(Default)]
struct ProposerProcess {
    round: u64,
    attempt: Option<Proposer<Permits>>,
}

struct Scenario {
    random: Pcg32,
    recorder: Recorder,
    now: u64,
    rules: PermitRules,
    acceptors: Vec<Acceptor<Permits>>,
    proposers: Vec<ProposerProcess>,
    messages: Vec<Message>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let cells = (0..MACHINES).map(|cell| (format!("machine-{cell}"), cell)).collect();
        Scenario {
            random: random(seed),
            recorder: Recorder::new(),
            now: SECOND,
            rules: PermitRules {
                max_permits: 2,
                cells,
                ring: CellRing { cells: MACHINES, cells_per_partition: 2 },
                min_holders: 1,
            },
            acceptors: vec![Acceptor::default(); ACCEPTORS],
            proposers: (0..PROPOSERS).map(|_| ProposerProcess::default()).collect(),
            messages: Vec::new(),
        }
    }

    fn event(&mut self) {
        self.now += pick(&mut self.random, 1_000) as u64;
        match pick(&mut self.random, 32) {
            0..=2 => self.begin(),
            3 => self.restart_acceptor(),
            4 => self.lose_message(),
            5 => self.duplicate_message(),
            _ => self.deliver(),
        }
    }

    fn begin(&mut self) {
        let at = pick(&mut self.random, PROPOSERS);
        if self.proposers[at].attempt.is_some() && !one_in(&mut self.random, 16) {
            return;
        }
        let proposer = &mut self.proposers[at];
        proposer.round += 1;
        let ballot = Ballot { round: proposer.round, proposer: at as u64 };
        let (mut attempt, request) = Proposer::begin(ballot, ACCEPTORS);
        if one_in(&mut self.random, 8) {
            let early = attempt.propose(Permits::default());
            self.recorder.put_serialized(&early);
        }
        self.recorder.count("attempt");
        self.recorder.put_serialized(&attempt.ballot());
        self.proposers[at].attempt = Some(attempt);
        self.send_to_all(at, &request);
    }

    fn send_to_all(&mut self, proposer: usize, request: &Request<Permits>) {
        self.recorder.put_serialized(request);
        let messages =
            (0..ACCEPTORS).map(|acceptor| Message::Request { proposer, acceptor, request: request.clone() });
        self.messages.extend(messages);
    }

    /// An acceptor restarts from its state on disk.
    fn restart_acceptor(&mut self) {
        let acceptor = pick(&mut self.random, ACCEPTORS);
        let disk = postcard::to_allocvec(&self.acceptors[acceptor]).unwrap();
        self.recorder.put_bytes(&disk);
        self.acceptors[acceptor] = postcard::from_bytes(&disk).unwrap();
        self.recorder.put_serialized(&self.acceptors[acceptor].accepted_value());
        self.recorder.count("voter restart");
    }

    fn take_message(&mut self) -> Option<Message> {
        if self.messages.is_empty() {
            return None;
        }
        let at = pick(&mut self.random, self.messages.len());
        Some(self.messages.swap_remove(at))
    }

    fn lose_message(&mut self) {
        if self.take_message().is_some() {
            self.recorder.count("lost");
        }
    }

    fn duplicate_message(&mut self) {
        if let Some(message) = self.take_message() {
            self.messages.push(message.clone());
            self.messages.push(message);
            self.recorder.count("doubled");
        }
    }

    fn deliver(&mut self) {
        match self.take_message() {
            Some(Message::Request { proposer, acceptor, request }) => {
                let response = self.acceptors[acceptor].on_request(&request);
                put_response(&mut self.recorder, &response);
                self.messages.push(Message::Response { proposer, acceptor, response });
            }
            Some(Message::Response { proposer, acceptor, response }) => {
                self.on_response(proposer, acceptor, &response)
            }
            None => {}
        }
    }

    fn on_response(&mut self, at: usize, acceptor: usize, response: &Response<Permits>) {
        let Some(mut attempt) = self.proposers[at].attempt.take() else { return };
        attempt.on_response(acceptor as u64, response);
        put_proposer_state(&mut self.recorder, attempt.state());
        match attempt.state().clone() {
            ProposerState::Preparing | ProposerState::Proposing(_) => {
                self.proposers[at].attempt = Some(attempt)
            }
            ProposerState::Prepared(table) => self.propose(at, attempt, table.unwrap_or_default()),
            ProposerState::Chosen(_) => {}
            ProposerState::Preempted(round) => {
                self.proposers[at].round = self.proposers[at].round.max(round);
            }
        }
    }

    /// Proposes a changed table. If the change is rejected, proposes the table as it was read, or nothing.
    fn propose(&mut self, at: usize, mut attempt: Proposer<Permits>, table: Permits) {
        let next = self.change(&table, &format!("broker-{at}"));
        self.recorder.put_bool(next.is_ok());
        let next = match next {
            Ok(next) => next,
            Err(error) => {
                put_permit_error(&mut self.recorder, &error);
                if one_in(&mut self.random, 2) {
                    return;
                }
                table
            }
        };
        let request = attempt.propose(next).unwrap();
        self.proposers[at].attempt = Some(attempt);
        self.send_to_all(at, &request);
    }

    fn change(&mut self, table: &Permits, broker: &str) -> Result<Permits, PermitError> {
        // One more machine than there are: the last one is not in the list.
        let machine = format!("machine-{}", pick(&mut self.random, MACHINES as usize + 1));
        let current = table.active().find(|(id, _)| *id == machine).map(|(_, permit)| permit.clone());
        let stale = u64::from(one_in(&mut self.random, 8));
        let fence = current
            .as_ref()
            .map_or(table.last_fencing_token(), |permit| permit.fencing_token.saturating_sub(stale));
        let next_phase =
            current.as_ref().map_or(MaintenancePhase::Drained, |permit| following_phase(permit.phase));
        let grants = current.is_none() && !one_in(&mut self.random, 8);
        let choice = if grants { 0 } else { pick(&mut self.random, 16) };
        match choice {
            0 => {
                let request = PermitRequest { machine: &machine, order: "order", broker };
                table.grant(&request, &self.rules, self.now)
            }
            1 | 2 => table.advance(&machine, fence, PHASES[pick(&mut self.random, PHASES.len())], self.now),
            3..=5 => table.release(&machine, fence),
            6 => table.force_release(&machine, fence),
            _ => table.advance(&machine, fence, next_phase, self.now),
        }
    }
}

fn following_phase(phase: MaintenancePhase) -> MaintenancePhase {
    match phase {
        MaintenancePhase::Draining => MaintenancePhase::Drained,
        MaintenancePhase::Drained => MaintenancePhase::UnderMaintenance,
        MaintenancePhase::UnderMaintenance | MaintenancePhase::WarmingUp => MaintenancePhase::WarmingUp,
    }
}

fn put_response(recorder: &mut Recorder, response: &Response<Permits>) {
    recorder.count(match response {
        Response::Promised { .. } => "promised",
        Response::Accepted { .. } => "accepted",
        Response::Rejected { .. } => "refused by a voter",
    });
    recorder.put_serialized(response);
}

fn put_proposer_state(recorder: &mut Recorder, state: &ProposerState<Permits>) {
    match state {
        ProposerState::Preparing => recorder.put_tag(0),
        ProposerState::Prepared(value) => {
            recorder.put_tag(1);
            recorder.put_serialized(value);
        }
        ProposerState::Proposing(value) => {
            recorder.put_tag(2);
            recorder.put_serialized(value);
        }
        ProposerState::Chosen(value) => {
            recorder.count("agreed");
            recorder.put_tag(3);
            recorder.put_serialized(value);
        }
        ProposerState::Preempted(round) => {
            recorder.count("overtaken");
            recorder.put_tag(4);
            recorder.put_u64(*round);
        }
    }
}

fn put_permit_error(recorder: &mut Recorder, error: &PermitError) {
    match error {
        PermitError::LimitReached { active, limit } => {
            recorder.count("too many");
            recorder.put_tag(0);
            recorder.put_usize(*active);
            recorder.put_usize(*limit);
        }
        PermitError::TooFewHolders { partition, remaining } => {
            recorder.count("too few holders");
            recorder.put_tag(1);
            recorder.put_u64(u64::from(*partition));
            recorder.put_usize(*remaining);
        }
        PermitError::AlreadyGranted(fence) => {
            recorder.count("out already");
            recorder.put_tag(2);
            recorder.put_u64(*fence);
        }
        PermitError::UnknownMachine => {
            recorder.count("unknown");
            recorder.put_tag(3);
        }
        PermitError::StaleFencingToken { given, current } => {
            recorder.count("fenced");
            recorder.put_tag(4);
            recorder.put_u64(*given);
            recorder.put_option(*current, Recorder::put_u64);
        }
        PermitError::InvalidTransition { from, to } => {
            recorder.count("out of turn");
            recorder.put_tag(5);
            recorder.put_serialized(&(from, to));
        }
    }
}

#[test]
fn permits_behave_as_recorded() {
    let expected = [
        AtLeast { count: 500, kinds: "promised" },
        AtLeast { count: 100, kinds: "attempt, agreed, accepted" },
        AtLeast { count: 100, kinds: "refused by a voter, voter restart, lost, doubled" },
        AtLeast { count: 20, kinds: "overtaken" },
        AtLeast { count: 5, kinds: "too many, too few holders, unknown, fenced, out of turn" },
        AtLeast { count: 1, kinds: "out already" },
    ];
    assert_recorded(&RECORDINGS, &expected, |seed| {
        let mut scenario = Scenario::new(seed);
        for _ in 0..EVENTS {
            scenario.event();
        }
        scenario.recorder
    });
}
