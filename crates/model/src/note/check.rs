use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::check::Mistake;
use crate::note::ServiceSpec;

/// Maximum length of a call chain that a release note may declare, in services.
pub const MAX_CALL_DEPTH: usize = 21;

/// Checks the call graph that would be in force after a note.
///
/// Reports calls to unknown services, cycles, and chains of more than [`MAX_CALL_DEPTH`] services.
/// Paths are relative to the catalogue, for example `$.services.counter.calls[1]`.
pub fn check_call_graph(services: &BTreeMap<String, ServiceSpec>) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for spec in services.values() {
        for (index, callee) in spec.calls.iter().enumerate() {
            if !services.contains_key(callee) {
                let path = format!("$.services.{}.calls[{index}]", spec.name);
                mistakes.push(Mistake::new(path, format!("unknown service '{callee}'")));
            }
        }
    }
    let mut known_lengths = HashMap::new();
    for name in services.keys() {
        match chain_length(services, name, &mut Vec::new(), &mut known_lengths) {
            Ok(depth) if depth > MAX_CALL_DEPTH => mistakes.push(Mistake::new(
                format!("$.services.{name}"),
                format!("starts a chain of {depth} services, at most {MAX_CALL_DEPTH} are allowed"),
            )),
            Ok(_) => {}
            Err(cycle) => {
                let path = format!("$.services.{name}.calls");
                mistakes.push(Mistake::new(path, format!("cycle in the call graph: {cycle}")));
                // Each service of the cycle would report the same cycle again.
                break;
            }
        }
    }
    mistakes
}

/// Returns the length of the longest call chain that starts at a service, in services.
///
/// # Errors
/// Returns the first cycle that is found, as text.
fn chain_length<'a>(
    services: &'a BTreeMap<String, ServiceSpec>,
    name: &'a str,
    stack: &mut Vec<&'a str>,
    known_lengths: &mut HashMap<&'a str, usize>,
) -> Result<usize, String> {
    if let Some(length) = known_lengths.get(name) {
        return Ok(*length);
    }
    if let Some(start) = stack.iter().position(|ancestor| *ancestor == name) {
        return Err(format!("{} -> {name}", stack[start..].join(" -> ")));
    }
    let Some(spec) = services.get(name) else { return Ok(0) };
    stack.push(name);
    let mut longest = 0;
    for callee in &spec.calls {
        longest = longest.max(chain_length(services, callee, stack, known_lengths)?);
    }
    stack.pop();
    known_lengths.insert(name, longest + 1);
    Ok(longest + 1)
}
