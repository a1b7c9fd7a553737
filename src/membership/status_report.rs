//! What a kept list says, for people and programs.

use super::merged_view::MergedView;
use super::snapshot::Snapshot;
use super::{NodeState, staleness};
use crate::api::Nanos;
use serde::Serialize;
use std::fmt;

/// A kept list as it stands now.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReport {
    /// How often discovery was seen to count anew, and its version.
    pub epoch: u32,
    /// See `epoch`.
    pub version: u64,
    /// Seconds since the list as a whole was last known to hold; none: never.
    pub age_s: Option<f64>,
    /// Mean time between two changes of one node, stated and learned, hours.
    pub changes_every_h: f64,
    /// The nodes by id.
    pub nodes: Vec<StatusEntry>,
}

/// One node.
#[derive(Clone, Debug, Serialize)]
pub struct StatusEntry {
    /// Its id.
    pub id: String,
    /// Where it is.
    pub addr: Option<std::net::SocketAddr>,
    /// Its cell.
    pub cell: u32,
    /// Its state: gone, too, where a whole list left it out.
    pub state: NodeState,
    /// Seconds since it was last confirmed; none: never.
    pub age_s: Option<f64>,
    /// How far it is trusted, from 0 to 1. Nodes that drain or are gone are not.
    pub trust: f64,
    /// Seconds since its drain, or that it is gone, was learnt.
    pub learnt_s: Option<f64>,
}

fn since(then: Nanos, now: Nanos) -> f64 {
    now.saturating_sub(then) as f64 / 1e9
}

impl StatusReport {
    /// What these generations of one list say together, with the stated time between two changes of a node.
    pub fn new(lists: &[Snapshot], now: Nanos, stated: Nanos) -> StatusReport {
        let mut belief = MergedView::default();
        lists.iter().for_each(|l| l.merge_into(&mut belief));
        let synced = lists.iter().filter_map(|l| l.synced).max();
        let mean = lists.last().map_or(stated as f64, |l| l.rate.mean_interval(stated));
        let stamps = belief.directory_records().map(|k| (k.source_version.epoch, k.source_version.version));
        let (epoch, version) = stamps.max().unwrap_or((0, 0));
        let confirmed = |id: &str| {
            let nodes = lists.iter().flat_map(|l| &l.nodes).filter(|n| n.record.id == id);
            nodes.filter_map(|n| n.confirmed).max().max(synced)
        };
        let entry = |id: &str| {
            let view = belief.view(id)?;
            let ready = view.state == NodeState::Ready;
            let age = confirmed(id);
            Some(StatusEntry {
                id: id.to_owned(),
                addr: view.versioned.record.addr,
                cell: view.versioned.record.cell,
                state: view.state,
                age_s: age.map(|t| since(t, now)),
                trust: age
                    .filter(|_| ready)
                    .map_or(0.0, |t| staleness::trust_at_age(now.saturating_sub(t), mean)),
                learnt_s: (!ready).then(|| since(view.learned, now)),
            })
        };
        let nodes = belief.ids().filter_map(entry).collect();
        let age_s = synced.map(|t| since(t, now));
        StatusReport { epoch, version, age_s, changes_every_h: mean / 3_600e9, nodes }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = |a: Option<f64>| a.map_or("never".to_owned(), |s| format!("{s:.1} s"));
        writeln!(
            f,
            "version {} (count {}), last known to hold: {} ago",
            self.version,
            self.epoch,
            age(self.age_s)
        )?;
        writeln!(f, "a node changes every {:.1} h", self.changes_every_h)?;
        writeln!(
            f,
            "{:<24} {:<22} {:>5} {:<12} {:>12} {:>6} {:>12}",
            "id", "address", "cell", "state", "confirmed", "trust", "learnt"
        )?;
        for n in &self.nodes {
            let addr = n.addr.map_or("-".to_owned(), |a| a.to_string());
            let learnt = n.learnt_s.map_or("-".to_owned(), |s| age(Some(s)));
            writeln!(
                f,
                "{:<24} {addr:<22} {:>5} {:<12} {:>12} {:>6.3} {learnt:>12}",
                n.id,
                n.cell,
                format!("{:?}", n.state),
                age(n.age_s),
                n.trust
            )?;
        }
        Ok(())
    }
}
