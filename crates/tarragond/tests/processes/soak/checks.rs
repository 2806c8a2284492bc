use std::collections::HashMap;

use crate::soak::clients::RequestRecord;
use crate::soak::operators::SubmittedNotes;
use crate::soak::schedule::FaultPlan;

/// Returns the violations of the guarantees to callers, given the number of runs of each path at
/// all backend servers.
pub fn request_violations(
    records: &[RequestRecord],
    run_counts: &HashMap<String, usize>,
    plan: FaultPlan,
) -> Vec<String> {
    let mut violations = Vec::new();
    for RequestRecord { request, responses } in records {
        let run_count = run_counts.get(&request.path).copied().unwrap_or(0);
        let mut add = |what: &str| {
            violations.push(format!("{what}: {run_count} runs, {request:?}, {responses:?}"));
        };
        if request.method == "POST" && run_count > 1 {
            add("a non-idempotent request ran more than once");
        }
        for (outcome, text) in responses.iter().flatten() {
            let is_matching = text.ends_with(&format!("ran {}", request.path));
            match outcome.as_str() {
                "answered" if !is_matching => add("the response belongs to another request"),
                "answered" if run_count == 0 => add("a response without a run"),
                "not-run" if run_count > 0 => add("a request that ran was reported as not run"),
                "answered" | "not-run" | "unknown" => {}
                _ => add("a response without a valid outcome"),
            }
        }
        if plan == FaultPlan::PlannedStops && run_count > 0 && responses.iter().all(Option::is_none)
        {
            add("a planned stop aborted a request in progress");
        }
    }
    violations
}

/// Returns the violations of the guarantees to operators, given the ids of the notes that are
/// listed afterwards, ordered by version.
pub fn note_violations(notes: &SubmittedNotes, listed_ids: &[String]) -> Vec<String> {
    let id_at = |version: u64| listed_ids.get(version as usize - 1);
    let lost = notes.accepted.iter().filter(|(version, id)| id_at(*version) != Some(id));
    let lost = lost.map(|note| format!("an accepted note is lost: {note:?}"));
    let resurrected = notes.refused.iter().filter(|(_, id)| listed_ids.contains(id));
    lost.chain(resurrected.map(|note| format!("a refused note is in force: {note:?}"))).collect()
}
