use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::check::Mistake;
use crate::note::ServiceSpec;

/// Longest call chain that a release note may declare, in services.
pub const MAX_CALL_DEPTH: usize = 21;

/// Checks the call graph that a note would leave behind.
///
/// Reports calls to unknown services, cycles, and chains of more than [`MAX_CALL_DEPTH`] services.
/// Paths are relative to the catalogue, for example `$.services.counter.calls[1]`.
pub fn check_call_graph(services: &BTreeMap<String, ServiceSpec>) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for spec in services.values() {
        for (at, callee) in spec.calls.iter().enumerate() {
            if !services.contains_key(callee) {
                let path = format!("$.services.{}.calls[{at}]", spec.name);
                mistakes.push(Mistake::new(path, format!("unknown service '{callee}'")));
            }
        }
    }
    let mut depths = HashMap::new();
    for name in services.keys() {
        match depth_of(services, name, &mut Vec::new(), &mut depths) {
            Ok(depth) if depth > MAX_CALL_DEPTH => mistakes.push(Mistake::new(
                format!("$.services.{name}"),
                format!("starts a chain of {depth} services, at most {MAX_CALL_DEPTH} are allowed"),
            )),
            Ok(_) => {}
            Err(cycle) => {
                let path = format!("$.services.{name}.calls");
                mistakes.push(Mistake::new(path, format!("cycle in the call graph: {cycle}")));
                // The members of one cycle would all report it again.
                break;
            }
        }
    }
    mistakes
}

/// Length of the longest chain that starts at a service, or the cycle that was found.
fn depth_of<'a>(
    services: &'a BTreeMap<String, ServiceSpec>,
    name: &'a str,
    path: &mut Vec<&'a str>,
    depths: &mut HashMap<&'a str, usize>,
) -> Result<usize, String> {
    if let Some(depth) = depths.get(name) {
        return Ok(*depth);
    }
    if let Some(start) = path.iter().position(|seen| *seen == name) {
        return Err(format!("{} -> {name}", path[start..].join(" -> ")));
    }
    let Some(spec) = services.get(name) else { return Ok(0) };
    path.push(name);
    let mut deepest = 0;
    for callee in &spec.calls {
        deepest = deepest.max(depth_of(services, callee, path, depths)?);
    }
    path.pop();
    depths.insert(name, deepest + 1);
    Ok(deepest + 1)
}
