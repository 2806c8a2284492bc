use std::collections::HashMap;

use crate::soak::clients::Told;
use crate::soak::operators::Notes;
use crate::soak::schedule::Plan;

/// What went against the promises to callers, given the runs of each path at all backend servers.
pub fn violations(told: &[Told], runs: &HashMap<String, usize>, plan: Plan) -> Vec<String> {
    let mut found = Vec::new();
    for Told { call, answers } in told {
        let ran = runs.get(&call.path).copied().unwrap_or(0);
        let mut add = |what: &str| found.push(format!("{what}: {ran} runs, {call:?}, {answers:?}"));
        if call.method == "POST" && ran > 1 {
            add("a request that may run once ran more often");
        }
        for (outcome, text) in answers.iter().flatten() {
            let is_own = text.ends_with(&format!("ran {}", call.path));
            match outcome.as_str() {
                "answered" if !is_own => add("the answer is of another request"),
                "answered" if ran == 0 => add("an answer without a run"),
                "not-run" if ran > 0 => add("told not to have run, but it ran"),
                "answered" | "not-run" | "unknown" => {}
                _ => add("no outcome was told"),
            }
        }
        if plan == Plan::PlannedStops && ran > 0 && answers.iter().all(Option::is_none) {
            add("a planned stop cut a request in progress");
        }
    }
    found
}

/// What went against the promises to operators, given the list of notes afterwards, by version.
pub fn note_violations(notes: &Notes, listed: &[String]) -> Vec<String> {
    let at = |version: u64| listed.get(version as usize - 1);
    let lost = notes.accepted.iter().filter(|(version, id)| at(*version) != Some(id));
    let lost = lost.map(|note| format!("an accepted note is gone: {note:?}"));
    let revived = notes.refused.iter().filter(|(_, id)| listed.contains(id));
    lost.chain(revived.map(|note| format!("a refused note is in force: {note:?}"))).collect()
}
