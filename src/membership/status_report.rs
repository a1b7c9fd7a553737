//! The contents of stored snapshots as a report, printed as a table or as JSON.

use super::merged_view::MergedView;
use super::snapshot::Snapshot;
use super::{NodeState, staleness};
use crate::api::Nanos;
use serde::Serialize;
use std::fmt;

/// The merged contents of a stored list of nodes, with ages and trust at one point in time.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// Number of times that discovery's versions were reset.
    pub epoch: u32,
    /// Version of discovery's list.
    pub version: u64,
    /// Seconds since the list as a whole was last known to be current; none: never.
    pub age_s: Option<f64>,
    /// Mean time between two changes of one node, from the configured estimate and observed changes, hours.
    pub changes_every_h: f64,
    /// The nodes, ordered by id.
    pub nodes: Vec<StatusEntry>,
}

/// One node of the report.
#[derive(Clone, Debug, Serialize)]
pub struct StatusEntry {
    /// Its id.
    pub id: String,
    /// Its address.
    pub addr: Option<std::net::SocketAddr>,
    /// Its cell.
    pub cell: u32,
    /// Its state; also gone if a full list omitted it.
    pub state: NodeState,
    /// Seconds since it was last confirmed; none: never.
    pub age_s: Option<f64>,
    /// Probability that its record still holds, from 0 to 1; 0 for nodes that are terminating or gone.
    pub trust: f64,
    /// Seconds since it was learned that it is terminating or gone.
    #[serde(rename = "learnt_s")]
    pub learned_s: Option<f64>,
}

fn seconds_since(then: Nanos, now: Nanos) -> f64 {
    now.saturating_sub(then) as f64 / 1e9
}

fn format_age(age: Option<f64>) -> String {
    age.map_or("never".to_owned(), |seconds| format!("{seconds:.1} s"))
}

impl StatusReport {
    /// The merged contents of all generations of one stored list; `estimate` is the configured mean time
    /// between two changes of a node, ns.
    #[must_use]
    pub fn new(snapshots: &[Snapshot], now: Nanos, estimate: Nanos) -> StatusReport {
        let mut view = MergedView::default();
        snapshots.iter().for_each(|snapshot| snapshot.merge_into(&mut view));
        let last_confirmed = snapshots.iter().filter_map(|snapshot| snapshot.last_confirmed).max();
        let mean = snapshots.last().map_or(estimate as f64, |last| last.rate.mean_interval(estimate));
        let versions = view.directory_records().map(|r| (r.source_version.epoch, r.source_version.version));
        let (epoch, version) = versions.max().unwrap_or((0, 0));
        let confirmed = |id: &str| {
            let nodes = snapshots.iter().flat_map(|s| &s.nodes).filter(|node| node.record.id == id);
            nodes.filter_map(|node| node.confirmed).max().max(last_confirmed)
        };
        let entry = |id: &str| {
            let node = view.view(id)?;
            let ready = node.state == NodeState::Ready;
            let confirmed = confirmed(id);
            let trust = |at: Nanos| staleness::trust_at_age(now.saturating_sub(at), mean);
            Some(StatusEntry {
                id: id.to_owned(),
                addr: node.versioned.record.addr,
                cell: node.versioned.record.cell,
                state: node.state,
                age_s: confirmed.map(|at| seconds_since(at, now)),
                trust: confirmed.filter(|_| ready).map_or(0.0, trust),
                learned_s: (!ready).then(|| seconds_since(node.learned, now)),
            })
        };
        let nodes = view.ids().filter_map(entry).collect();
        let age_s = last_confirmed.map(|at| seconds_since(at, now));
        StatusReport { epoch, version, age_s, changes_every_h: mean / 3_600e9, nodes }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "version {} (count {}), last known to hold: {} ago",
            self.version,
            self.epoch,
            format_age(self.age_s)
        )?;
        writeln!(f, "a node changes every {:.1} h", self.changes_every_h)?;
        writeln!(
            f,
            "{:<24} {:<22} {:>5} {:<12} {:>12} {:>6} {:>12}",
            "id", "address", "cell", "state", "confirmed", "trust", "learnt"
        )?;
        for node in &self.nodes {
            let addr = node.addr.map_or("-".to_owned(), |addr| addr.to_string());
            let learned = node.learned_s.map_or("-".to_owned(), |s| format_age(Some(s)));
            writeln!(
                f,
                "{:<24} {addr:<22} {:>5} {:<12} {:>12} {:>6.3} {learned:>12}",
                node.id,
                node.cell,
                format!("{:?}", node.state),
                format_age(node.age_s),
                node.trust
            )?;
        }
        Ok(())
    }
}
