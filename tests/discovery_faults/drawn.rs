//! Random scenarios, generated from a seed: combinations of faults beyond the listed ones.
//!
//! They stay within what a broker can handle: after any time from which the drain may count as reported, at
//! most one call fails, and no outage hides a lost report.

use super::judge::Mode;
use super::scenarios::{NEVER_MS, Reload, Scenario, outage_of};
use super::scripted_discovery::Call;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use std::time::Duration;

/// Longest time from the end of an outage to the drain, ms.
const MAX_DRAIN_DELAY_MS: u64 = 1_500;

struct ScenarioGenerator(Pcg64Mcg);

impl ScenarioGenerator {
    fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.0.next_u64() % (most - least + 1)
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.between(1, n) == 1
    }

    /// A call that fails or is slow.
    fn fault(&mut self) -> Call {
        match self.between(0, 8) {
            0 => Call::Reset,
            1 => Call::RefusedAtOnce,
            2 => Call::Busy,
            3 => Call::Unanswered,
            4 => Call::HeadOnly,
            5 => Call::CutInList,
            6 => Call::StalledInList,
            7 => Call::SplitInNumbers(self.between(1, 60)),
            _ => Call::Delayed(self.between(50, 900)),
        }
    }

    /// A watch that loses the report of the drain, or ends or goes silent before it.
    fn lost_watch(&mut self) -> Call {
        match self.between(0, 3) {
            0 => Call::EndedInsteadOfReport(self.between(0, 400)),
            1 => Call::ResetInsteadOfReport(self.between(0, 400)),
            2 => Call::SilentAfterList,
            _ => Call::EndedAfterList(self.between(300, 2_500)),
        }
    }

    fn outage(&mut self) -> Scenario {
        let from = if self.one_in(3) { 0 } else { self.between(300, 3_000) };
        let until = from + self.between(300, 11_000);
        let call = if self.one_in(2) { Call::Reset } else { Call::RefusedAtOnce };
        let calls = if from == 0 { vec![self.fault()] } else { vec![Call::Normal, self.fault()] };
        let drain = until + self.between(0, MAX_DRAIN_DELAY_MS);
        let scenario = Scenario::new(Mode::OnRequest, drain, &calls);
        Scenario { outage: Some(outage_of(from, until, call)), ..scenario }
    }

    fn lost_report(&mut self) -> Scenario {
        let calls = [self.lost_watch(), self.fault()];
        Scenario::new(Mode::OnRequest, self.between(400, 3_000), &calls)
    }

    fn pushed(&mut self) -> Scenario {
        let calls = [Call::EndedAfterList(self.between(300, 1_500)), self.fault()];
        let faults: &[Call] = if calls[1] == Call::Busy { &calls[..1] } else { &calls };
        Scenario::new(Mode::Pushed, self.between(400, 3_000), faults)
    }

    fn reload(&mut self) -> Scenario {
        let reload_ms = self.between(800, 4_000);
        let at = Duration::from_millis(reload_ms);
        let complete_after = self.one_in(3).then(|| Duration::from_millis(self.between(100, 1_200)));
        let mut reloads =
            vec![Reload { at, calls: vec![self.fault()], file_is_complete_after: complete_after }];
        if complete_after.is_none() && self.one_in(2) {
            let at = at + Duration::from_millis(self.between(50, 1_000));
            reloads.push(Reload { at, calls: vec![self.fault()], file_is_complete_after: None });
        }
        let is_down = self.one_in(2);
        let outage = outage_of(if is_down { 300 } else { NEVER_MS }, NEVER_MS, Call::Reset);
        let drain = reload_ms + self.between(0, 2_500);
        let scenario = Scenario::new(Mode::OnRequest, drain, &[]);
        Scenario { reloads, outage: Some(outage), ..scenario }
    }
}

/// The scenario generated from a seed.
pub fn scenario(seed: u64) -> Scenario {
    let mut generator = ScenarioGenerator(Pcg64Mcg::seed_from_u64(seed));
    let scenario = match generator.between(0, 3) {
        0 => generator.outage(),
        1 => generator.lost_report(),
        2 => generator.pushed(),
        _ => generator.reload(),
    };
    let rejects_parts = generator.one_in(4) && scenario.drain_at > Duration::from_secs(1);
    let is_paused = generator.one_in(2);
    Scenario { seed, rejects_parts, is_paused, ..scenario }
}
