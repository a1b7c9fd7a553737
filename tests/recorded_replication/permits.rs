//! Proposers that change the table of permits through a majority of voters, over a network that loses, doubles and
//! reorders messages.
//!
//! Recorded: every ask, answer, stage and table, and every reason for which a guard refused a change. Not recorded: the
//! text of refusals, which holds names of Rust variants.

use super::digest::{AtLeast, Recorder, Recording, SECOND, assert_recorded, one_in, pick, random};
use pebbleturn::maintenance::{
    Acceptor, Ballot, CellRing, MaintenancePhase, PermitError, PermitRequest, PermitRules, Permits, Proposer,
    ProposerState, Request, Response,
};
use rand_pcg::Pcg32;

/// Recorded before names and structure were changed.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x2bd7_87e8_ac6e_b9e1 },
    Recording { seed: 2, digest: 0x2540_fcad_c9e9_0fc4 },
    Recording { seed: 3, digest: 0x9db6_a221_cd36_3bb9 },
];

const EVENTS: usize = 12_000;
const VOTERS: usize = 3;
const PROPOSERS: usize = 3;
const MACHINES: u32 = 6;
const STEPS: [MaintenancePhase; 4] = [
    MaintenancePhase::Draining,
    MaintenancePhase::Drained,
    MaintenancePhase::UnderMaintenance,
    MaintenancePhase::WarmingUp,
];

#[derive(Clone)]
enum Letter {
    Ask { proposer: usize, voter: usize, ask: Request<Permits> },
    Answer { proposer: usize, voter: usize, answer: Response<Permits> },
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
    voters: Vec<Acceptor<Permits>>,
    proposers: Vec<ProposerProcess>,
    letters: Vec<Letter>,
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
            voters: vec![Acceptor::default(); VOTERS],
            proposers: (0..PROPOSERS).map(|_| ProposerProcess::default()).collect(),
            letters: Vec::new(),
        }
    }

    fn event(&mut self) {
        self.now += pick(&mut self.random, 1_000) as u64;
        match pick(&mut self.random, 32) {
            0..=2 => self.begin(),
            3 => self.restart_voter(),
            4 => self.lose(),
            5 => self.double(),
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
        let (mut attempt, ask) = Proposer::begin(ballot, VOTERS);
        if one_in(&mut self.random, 8) {
            let early = attempt.propose(Permits::default());
            self.recorder.put_stored(&early);
        }
        self.recorder.count("attempt");
        self.recorder.put_stored(&attempt.ballot());
        self.proposers[at].attempt = Some(attempt);
        self.ask_all(at, &ask);
    }

    fn ask_all(&mut self, proposer: usize, ask: &Request<Permits>) {
        self.recorder.put_stored(ask);
        let letters = (0..VOTERS).map(|voter| Letter::Ask { proposer, voter, ask: ask.clone() });
        self.letters.extend(letters);
    }

    /// A voter starts again with what it had on disk.
    fn restart_voter(&mut self) {
        let voter = pick(&mut self.random, VOTERS);
        let disk = postcard::to_allocvec(&self.voters[voter]).unwrap();
        self.recorder.put_bytes(&disk);
        self.voters[voter] = postcard::from_bytes(&disk).unwrap();
        self.recorder.put_stored(&self.voters[voter].accepted_value());
        self.recorder.count("voter restart");
    }

    fn take_letter(&mut self) -> Option<Letter> {
        if self.letters.is_empty() {
            return None;
        }
        let at = pick(&mut self.random, self.letters.len());
        Some(self.letters.swap_remove(at))
    }

    fn lose(&mut self) {
        if self.take_letter().is_some() {
            self.recorder.count("lost");
        }
    }

    fn double(&mut self) {
        if let Some(letter) = self.take_letter() {
            self.letters.push(letter.clone());
            self.letters.push(letter);
            self.recorder.count("doubled");
        }
    }

    fn deliver(&mut self) {
        match self.take_letter() {
            Some(Letter::Ask { proposer, voter, ask }) => {
                let answer = self.voters[voter].on_request(&ask);
                put_answer(&mut self.recorder, &answer);
                self.letters.push(Letter::Answer { proposer, voter, answer });
            }
            Some(Letter::Answer { proposer, voter, answer }) => self.hear(proposer, voter, &answer),
            None => {}
        }
    }

    fn hear(&mut self, at: usize, voter: usize, answer: &Response<Permits>) {
        let Some(mut attempt) = self.proposers[at].attempt.take() else { return };
        attempt.on_response(voter as u64, answer);
        put_stage(&mut self.recorder, attempt.state());
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

    /// Proposes a changed table; where a guard refuses the change, the table as it was read, or nothing.
    fn propose(&mut self, at: usize, mut attempt: Proposer<Permits>, table: Permits) {
        let next = self.change(&table, &format!("broker-{at}"));
        self.recorder.put_bool(next.is_ok());
        let next = match next {
            Ok(next) => next,
            Err(refused) => {
                put_refused(&mut self.recorder, &refused);
                if one_in(&mut self.random, 2) {
                    return;
                }
                table
            }
        };
        let ask = attempt.propose(next).unwrap();
        self.proposers[at].attempt = Some(attempt);
        self.ask_all(at, &ask);
    }

    fn change(&mut self, table: &Permits, broker: &str) -> Result<Permits, PermitError> {
        // One more than there are: no list names the last.
        let machine = format!("machine-{}", pick(&mut self.random, MACHINES as usize + 1));
        let stands = table.active().find(|(id, _)| *id == machine).map(|(_, permit)| permit.clone());
        let stale = u64::from(one_in(&mut self.random, 8));
        let fence = stands
            .as_ref()
            .map_or(table.last_fencing_token(), |permit| permit.fencing_token.saturating_sub(stale));
        let usual = stands.as_ref().map_or(MaintenancePhase::Drained, |permit| usual_next(permit.phase));
        let grants = stands.is_none() && !one_in(&mut self.random, 8);
        let choice = if grants { 0 } else { pick(&mut self.random, 16) };
        match choice {
            0 => {
                let request = PermitRequest { machine: &machine, order: "order", broker };
                table.grant(&request, &self.rules, self.now)
            }
            1 | 2 => table.advance(&machine, fence, STEPS[pick(&mut self.random, STEPS.len())], self.now),
            3..=5 => table.release(&machine, fence),
            6 => table.force_release(&machine, fence),
            _ => table.advance(&machine, fence, usual, self.now),
        }
    }
}

fn usual_next(step: MaintenancePhase) -> MaintenancePhase {
    match step {
        MaintenancePhase::Draining => MaintenancePhase::Drained,
        MaintenancePhase::Drained => MaintenancePhase::UnderMaintenance,
        MaintenancePhase::UnderMaintenance | MaintenancePhase::WarmingUp => MaintenancePhase::WarmingUp,
    }
}

fn put_answer(recorder: &mut Recorder, answer: &Response<Permits>) {
    recorder.count(match answer {
        Response::Promised { .. } => "promised",
        Response::Accepted { .. } => "accepted",
        Response::Rejected { .. } => "refused by a voter",
    });
    recorder.put_stored(answer);
}

fn put_stage(recorder: &mut Recorder, stage: &ProposerState<Permits>) {
    match stage {
        ProposerState::Preparing => recorder.put_tag(0),
        ProposerState::Prepared(value) => {
            recorder.put_tag(1);
            recorder.put_stored(value);
        }
        ProposerState::Proposing(value) => {
            recorder.put_tag(2);
            recorder.put_stored(value);
        }
        ProposerState::Chosen(value) => {
            recorder.count("agreed");
            recorder.put_tag(3);
            recorder.put_stored(value);
        }
        ProposerState::Preempted(round) => {
            recorder.count("overtaken");
            recorder.put_tag(4);
            recorder.put_u64(*round);
        }
    }
}

fn put_refused(recorder: &mut Recorder, refused: &PermitError) {
    match refused {
        PermitError::LimitReached { active: out, limit: most } => {
            recorder.count("too many");
            recorder.put_tag(0);
            recorder.put_usize(*out);
            recorder.put_usize(*most);
        }
        PermitError::TooFewHolders { partition, remaining: left } => {
            recorder.count("too few holders");
            recorder.put_tag(1);
            recorder.put_u64(u64::from(*partition));
            recorder.put_usize(*left);
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
        PermitError::StaleFencingToken { given: named, current: stands } => {
            recorder.count("fenced");
            recorder.put_tag(4);
            recorder.put_u64(*named);
            recorder.put_option(*stands, Recorder::put_u64);
        }
        PermitError::InvalidTransition { from, to } => {
            recorder.count("out of turn");
            recorder.put_tag(5);
            recorder.put_stored(&(from, to));
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
