//! Building the answer to a query from the values of its parts.

use super::in_flight::QueryInFlight;
use super::messages::{Answer, QueryOutcome, ShardValue};
use crate::api::Class;

/// Tolerance for rounding errors in the sum of part weights.
const WEIGHT_ROUNDING: f64 = 1e-4;

/// The outcome of a query that the policy answers with the values received so far.
///
/// Validates the policy's decision: an answer below the class's minimum share fails the query instead, and an
/// answer counts as complete only if it reaches the class's complete share. A class that is missing in the
/// settings needs all parts.
pub(super) fn answer<Q, V>(
    query: QueryInFlight<Q, V>,
    is_complete: bool,
    classes: &[Class],
) -> QueryOutcome<V> {
    let requested_parts = query.parts.len();
    let with_value = query.parts.iter().filter(|part| part.value.is_some());
    let share: f64 = with_value.map(|part| part.request.weight).sum();
    let has_all = query.parts.iter().all(|part| part.value.is_some());
    let (complete_share, min_share) = classes
        .get(query.class)
        .map_or((1.0, 1.0), |class| (class.complete_share, class.min_answer_share.min(class.complete_share)));
    if !has_all && share + WEIGHT_ROUNDING < min_share {
        tracing::error!(
            share,
            min_share,
            "policy answered a query below its class's minimum share; the query fails"
        );
        return QueryOutcome::Failed;
    }
    let complete = is_complete && (has_all || share + WEIGHT_ROUNDING >= complete_share);
    let parts = query.parts.into_iter();
    let values = parts.filter_map(|part| {
        let shard = part.request.shard;
        part.value.map(|value| ShardValue { shard, value })
    });
    QueryOutcome::Answered(Answer { complete, values: values.collect(), requested_parts })
}
