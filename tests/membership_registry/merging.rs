//! Merging: the view does not depend on the order of reports, and drains are not undone by accident.

use crate::fixture::*;
use pebbleturn::Nanos;
use pebbleturn::membership::merged_view::{MergedView, Report, VersionedRecord};
use pebbleturn::membership::snapshot::{self, Snapshot};
use pebbleturn::membership::{NodeRecord, NodeState, SourcePriority, SourceVersion};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

struct ScriptedReport {
    source_version: SourceVersion,
    full: bool,
    after_reset: bool,
    records: Vec<NodeRecord>,
    received: Nanos,
}

/// Random reports about six nodes: from the directory, in three epochs, and from the operator.
fn random_reports(rng: &mut Pcg64Mcg) -> Vec<ScriptedReport> {
    let mut below = |n: u64| rng.next_u64() % n;
    let mut reports: Vec<ScriptedReport> = Vec::new();
    for _ in 0..14 {
        let priority = if below(6) == 0 { SourcePriority::Operator } else { SourcePriority::Directory };
        let (epoch, version) =
            if priority == SourcePriority::Operator { (0, below(9)) } else { (below(3) as u32, below(9)) };
        let source_version = SourceVersion { priority, epoch, version };
        // A source sends one report for each version.
        if reports.iter().any(|report| report.source_version == source_version) {
            continue;
        }
        let received = START_TIME + below(100) * S;
        let records = (0..below(5)).map(|_| {
            let n = below(6) as u32;
            let state = [NodeState::Ready, NodeState::Ready, NodeState::Terminating, NodeState::Gone]
                [below(4) as usize];
            let started = if below(2) == 0 { 0 } else { (START_TIME + below(120) * S) / 1_000_000 };
            endpoint(n, state, started).record()
        });
        let records: Vec<NodeRecord> = records.collect();
        reports.push(ScriptedReport {
            source_version,
            full: below(4) == 0,
            after_reset: epoch > 0 && below(4) == 0,
            records,
            received,
        });
    }
    reports
}

fn merge(reports: &[&ScriptedReport]) -> MergedView {
    let mut view = MergedView::default();
    for scripted in reports {
        let report = Report {
            source_version: scripted.source_version,
            full: scripted.full,
            after_reset: scripted.after_reset,
            received: scripted.received,
        };
        view.apply_report(report, scripted.records.iter().cloned());
    }
    view
}

fn shuffle<T>(rng: &mut Pcg64Mcg, items: &mut [T]) {
    for i in (1..items.len()).rev() {
        items.swap(i, (rng.next_u64() % (i as u64 + 1)) as usize);
    }
}

#[test]
fn reports_in_any_order_merge_to_the_same_view() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..400 {
        let all = random_reports(&mut rng);
        let mut order: Vec<&ScriptedReport> = all.iter().collect();
        let first = merge(&order);
        for _ in 0..4 {
            // Some reports arrive twice.
            let again = all.iter().take(3);
            shuffle(&mut rng, &mut order);
            let order: Vec<&ScriptedReport> = order.iter().copied().chain(again).collect();
            assert_eq!(merge(&order), first);
        }
    }
}

#[test]
fn a_restored_snapshot_merges_to_the_same_view() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    for _ in 0..200 {
        let all: Vec<ScriptedReport> = random_reports(&mut rng)
            .into_iter()
            .filter(|report| report.source_version.priority == SourcePriority::Directory)
            .collect();
        let view = merge(&all.iter().collect::<Vec<_>>());
        let nodes = view.directory_records().map(|versioned: &VersionedRecord| snapshot::SnapshotNode {
            record: versioned.record.clone(),
            epoch: versioned.source_version.epoch,
            version: versioned.source_version.version,
            received: versioned.received,
            after_reset: versioned.after_reset,
            confirmed: None,
        });
        let full_list = view
            .full_list(SourcePriority::Directory)
            .map(|(version, received)| (version.epoch, version.version, received));
        let rate = pebbleturn::membership::staleness::ChangeRate::NONE;
        let stored = Snapshot {
            written: START_TIME,
            last_confirmed: None,
            full_list,
            pruned_up_to: None,
            rate,
            nodes: nodes.collect(),
        };
        let decoded = snapshot::decode(&snapshot::encode(&stored).unwrap()).unwrap();
        let mut restored = MergedView::default();
        decoded.merge_into(&mut restored);
        assert_eq!(restored, view);
    }
}

/// Guards against nodes that stay in use although the directory's latest full list omits them, because the
/// operator names them.
#[test]
fn a_node_that_the_directorys_latest_full_list_omits_is_gone() {
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    let mut named_by_operator = 0;
    for _ in 0..400 {
        let all = random_reports(&mut rng);
        let mut order: Vec<&ScriptedReport> = all.iter().collect();
        shuffle(&mut rng, &mut order);
        let of = |priority| order.iter().filter(move |r| r.source_version.priority == priority);
        let full_lists = of(SourcePriority::Directory).filter(|report| report.full);
        let Some(full_list) = full_lists.map(|report| report.source_version).max() else { continue };
        let view = merge(&order);
        for id in (0..6).map(|n| format!("s-{n}")) {
            let names = |report: &&&ScriptedReport| report.records.iter().any(|record| record.id == id);
            if of(SourcePriority::Directory).any(|r| r.source_version >= full_list && names(&r)) {
                continue;
            }
            named_by_operator += usize::from(of(SourcePriority::Operator).any(|r| names(&r)));
            assert!(view.view(&id).is_none_or(|node| node.state == NodeState::Gone), "{id}");
        }
    }
    assert!(named_by_operator > 50, "{named_by_operator}");
}

#[test]
fn a_drain_is_undone_only_by_a_newer_version_or_a_later_start() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let (mut undone, mut kept) = (0, 0);
    for _ in 0..400 {
        let all = random_reports(&mut rng);
        let mut order: Vec<&ScriptedReport> =
            all.iter().filter(|report| report.source_version.priority == SourcePriority::Directory).collect();
        shuffle(&mut rng, &mut order);
        for n in 0..6 {
            let id = format!("s-{n}");
            let reports_as = |report: &ScriptedReport, ready: bool| {
                let mut records = report.records.iter().filter(|record| record.id == id);
                records.any(|record| (record.state == NodeState::Ready) == ready)
            };
            let drain = order
                .iter()
                .filter(|report| reports_as(report, false))
                .map(|report| (report.source_version, report.received))
                .max();
            let Some((source_version, learned)) = drain else { continue };
            let ready = merge(&order).view(&id).is_some_and(|v| v.state == NodeState::Ready);
            let newer = order.iter().any(|report| {
                report.source_version > source_version && !report.after_reset && reports_as(report, true)
            });
            let newer = newer
                || order
                    .iter()
                    .any(|report| report.source_version == source_version && reports_as(report, true));
            let mut records =
                order.iter().flat_map(|report| report.records.iter().map(|record| (record, report.received)));
            let later = records.any(|(record, received)| {
                record.id == id
                    && record.state == NodeState::Ready
                    && record.started > learned
                    && record.started <= received
            });
            assert!(!ready || newer || later, "{id} is ready again");
            if ready { undone += 1 } else { kept += 1 }
        }
    }
    // Both outcomes must be frequent enough for the test to cover them.
    assert!(undone > 50 && kept > 50, "{undone} {kept}");
}
