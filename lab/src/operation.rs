//! Cost and response times of the admin endpoint and of upgrades, measured on processes of the real program
//! with the laboratory's stand-ins.

use crate::running::{Load, Process, Site, until};
use serde::Serialize;
use std::fmt;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// Clients that send queries in a closed loop at full load.
const CLIENTS: usize = 24;
/// Admin requests for each of `Times`.
const CALLS: usize = 200;
/// Queries in one round of the comparison of CPU time, and rounds of each configuration.
const QUERIES: u64 = 6_000;
const ROUNDS: usize = 3;

/// Response times of admin requests, ms.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Times {
    pub median: f64,
    pub highest: f64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Admin requests without load, at full load, and at full load beside a thousand idle connections.
    pub idle: Times,
    /// See `idle`.
    pub loaded: Times,
    /// See `idle`.
    pub crowded: Times,
    /// Upgrades, complete answers meanwhile, and queries whose connection was closed without a response.
    pub upgrades: usize,
    /// See `upgrades`.
    pub served: u64,
    /// See `upgrades`.
    pub at_the_door: u64,
    /// Queries refused meanwhile.
    pub refused: u64,
    /// CPU time of a query, us: without an admin address, with one, with one whose metrics are fetched ten
    /// times a second, and with hot restart too. Each is the median of its rounds; the rounds of the
    /// configurations alternate.
    pub cpu_plain: f64,
    /// See `cpu_plain`.
    pub cpu_address: f64,
    /// See `cpu_plain`.
    pub cpu_figures: f64,
    /// See `cpu_plain`.
    pub cpu_all: f64,
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (what, t) in
            [("idle", self.idle), ("full load", self.loaded), ("and 1000 idle callers", self.crowded)]
        {
            writeln!(f, "call, {what}: median {:.2} ms, highest {:.2} ms", t.median, t.highest)?;
        }
        let Measured { upgrades, served, at_the_door, refused, .. } = self;
        writeln!(
            f,
            "{upgrades} upgrades: {served} queries served, {refused} refused, {at_the_door} ended at the door"
        )?;
        write!(f, "processor time of a query: {:.1} us", self.cpu_plain)?;
        for (what, cpu) in [
            ("a second address", self.cpu_address),
            ("figures fetched", self.cpu_figures),
            ("a hand-over too", self.cpu_all),
        ] {
            write!(f, "; with {what} {cpu:.1} us ({:+.1} %)", 100.0 * (cpu / self.cpu_plain - 1.0))?;
        }
        Ok(())
    }
}

fn response_times(process: &Process) -> Times {
    let mut times: Vec<f64> = Vec::with_capacity(CALLS);
    for n in 0..CALLS {
        let start = Instant::now();
        process.expect_success_or_metrics(if n % 2 == 0 { "STATUS" } else { "METRICS" });
        times.push(start.elapsed().as_secs_f64() * 1e3);
        std::thread::sleep(Duration::from_millis(2));
    }
    times.sort_by(f64::total_cmp);
    Times { median: times[CALLS / 2], highest: times[CALLS - 1] }
}

/// CPU time of a query at this process, us; with or without regular requests for its metrics.
fn cpu_per_query(site: &Site, process: &Process, fetches_metrics: bool) -> f64 {
    let load = Load::start(site, CLIENTS);
    load.wait_for_more(QUERIES / 10);
    let (ticks, from) = (process.cpu_ticks(), load.served());
    until("the round's queries are served", || {
        if fetches_metrics {
            process.expect_success_or_metrics("METRICS");
        }
        std::thread::sleep(Duration::from_millis(100));
        load.served() >= from + QUERIES
    });
    let used = (process.cpu_ticks() - ticks) as f64 * 1e4;
    let per_query = used / (load.served() - from) as f64;
    load.stop();
    per_query
}

fn median(mut v: Vec<f64>) -> f64 {
    v.sort_by(f64::total_cmp);
    v[v.len() / 2]
}

/// Runs all measurements, with this many upgrades.
pub fn measure(program: &Path, upgrades: usize) -> Measured {
    let site = Site::new(program);
    let mut process = site.start();
    let idle = response_times(&process);
    let load = Load::start(&site, CLIENTS);
    load.wait_for_more(1000);
    let loaded = response_times(&process);
    let callers: Vec<TcpStream> =
        (0..1000).filter_map(|_| TcpStream::connect(process.admin_address).ok()).collect();
    let crowded = response_times(&process);
    drop(callers);
    let (before, refused) = (load.served(), load.refused());
    for _ in 0..upgrades {
        let new = site.start();
        process.wait_for_exit();
        load.wait_for_more(100);
        process = new;
    }
    let (served, refused) = (load.served() - before, load.refused() - refused);
    let at_the_door = load.stop();
    drop(process);
    let mut cpu_of = [const { Vec::new() }; 4];
    for _ in 0..ROUNDS {
        for (kind, rounds) in cpu_of.iter_mut().enumerate() {
            let site = Site::new(program);
            rounds.push(cpu_per_query(&site, &site.start_with_options(kind > 0, kind > 2), kind > 1));
        }
    }
    let [cpu_plain, cpu_address, cpu_figures, cpu_all] = cpu_of.map(median);
    Measured {
        idle,
        loaded,
        crowded,
        upgrades,
        served,
        at_the_door,
        refused,
        cpu_plain,
        cpu_address,
        cpu_figures,
        cpu_all,
    }
}
