use tarragon_model::api::DrainAnswer;
use tarragon_model::api::NodeStatus;
use tarragon_model::api::NoteList;
use tarragon_model::api::NoteStatus;
use tarragon_model::api::ReplicaChangeAnswer;
use tarragon_model::api::ReplicaEntry;
use tarragon_model::catalogue::SubmitAnswer;
use tarragon_model::check::format_mistakes;
use tarragon_model::member::MemberRecord;
use tarragon_model::note::ServiceSpec;

/// Formats the result of submitting a release note.
pub fn submit_answer(answer: &SubmitAnswer) -> String {
    match answer {
        SubmitAnswer::Accepted { revision } => format!("accepted at revision {revision}"),
        SubmitAnswer::Conflict { next_version, winner_id: Some(id) } => format!(
            "conflict: note '{id}' was accepted with this version; the next version is {next_version}"
        ),
        SubmitAnswer::Conflict { next_version, winner_id: None } => {
            format!("conflict: the next version is {next_version}")
        }
        SubmitAnswer::Invalid { mistakes } => format!("invalid note:\n{}", format_mistakes(mistakes)),
    }
}

/// Formats the result of starting a drain.
pub fn drain_answer(answer: &DrainAnswer) -> String {
    match answer {
        DrainAnswer::Draining { in_progress } => {
            format!("draining, {in_progress} requests in progress")
        }
        DrainAnswer::Refused { ready_left, known } => format!(
            "refused: only {ready_left} of {known} servers would stay ready; --force overrides this"
        ),
    }
}

/// Formats the state of a release note: whether it was accepted and where it is in force.
pub fn note_status(status: &NoteStatus) -> String {
    let Some(revision) = status.revision else {
        return format!("note '{}' was not accepted", status.id);
    };
    let mut lines = vec![format!("note '{}' was accepted at revision {revision}", status.id)];
    for progress in &status.data_centres {
        lines.push(format!(
            "  {}: in force at {} of {} known nodes",
            progress.data_centre, progress.in_force, progress.nodes
        ));
    }
    lines.join("\n")
}

/// Formats the list of accepted release notes and configurations.
pub fn note_list(list: &NoteList) -> String {
    let mut lines = vec![format!("revision {}", list.revision)];
    lines.extend(list.notes.iter().map(|note| format!("  {} {}", note.version, note.id)));
    lines.join("\n")
}

/// Formats the services with their operations and calls.
pub fn services(services: &[ServiceSpec]) -> String {
    let line = |service: &ServiceSpec| {
        let operations: Vec<_> = service.operations.iter().map(|o| o.name.as_str()).collect();
        let (operations, calls) = (operations.join(", "), service.calls.join(", "));
        format!("{}: operations [{operations}], calls [{calls}]", service.name)
    };
    services.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Formats the members and their backend servers.
pub fn servers(members: &[MemberRecord]) -> String {
    let mut members: Vec<&MemberRecord> = members.iter().collect();
    members.sort_by_key(|m| (&m.data_centre, &m.node));
    let line = |m: &&MemberRecord| {
        let service = if m.service.is_empty() { "-" } else { &m.service };
        let state = format!("{:?}", m.state).to_lowercase();
        format!("{} {} {service} {state} revision {}", m.data_centre, m.node, m.revision)
    };
    members.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Formats the state of a node, its gate and its backend server.
pub fn node_status(status: &NodeStatus) -> String {
    let backend = &status.backend;
    let role = if status.is_replica { "control replica" } else { "node" };
    let mut lines = vec![format!(
        "{} in {} ({role}), instance {}, revision {}",
        status.node, status.data_centre, status.instance, status.revision
    )];
    if !backend.service.is_empty() {
        let state = format!("{:?}", backend.state).to_lowercase();
        lines.push(format!(
            "  {}: {state}, {} running, {} waiting, limit {}, oldest {} ms",
            backend.service, backend.in_flight, backend.waiting, backend.limit, backend.oldest_ms
        ));
    }
    lines.join("\n")
}

/// Formats the control replicas and the state that each one reports.
pub fn replicas(replicas: &[ReplicaEntry]) -> String {
    let line = |entry: &ReplicaEntry| {
        match &entry.info {
        None => format!("{}: no answer", entry.name),
        Some(info) => format!(
            "{}@{} {} in term {}, entry {} of {} committed, snapshot at {}, voters [{}], learners [{}]",
            info.name,
            info.disk,
            info.role,
            info.term,
            info.commit_index,
            info.last_index,
            info.snapshot_index,
            info.voters.join(", "),
            info.learners.join(", ")
        ),
    }
    };
    replicas.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Formats the result of a change to the control replicas.
pub fn replica_change(answer: &ReplicaChangeAnswer) -> String {
    match answer {
        ReplicaChangeAnswer::Done => "done".into(),
        ReplicaChangeAnswer::Refused { cause } => format!("refused: {cause}"),
    }
}
