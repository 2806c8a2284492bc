use std::collections::HashSet;

use tarragon_model::check::Mistake;

use crate::conf::NodeSettings;

/// Checks the rules that the JSON schema of the settings cannot express.
pub fn check_settings(settings: &NodeSettings) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    check_names(settings, &mut mistakes);
    check_addresses(settings, &mut mistakes);
    check_replicas(settings, &mut mistakes);
    check_limits(settings, &mut mistakes);
    mistakes
}

fn check_names(settings: &NodeSettings, mistakes: &mut Vec<Mistake>) {
    let names = [
        ("$.node_name", &settings.node_name),
        ("$.data_centre", &settings.data_centre),
        ("$.region", &settings.region),
    ];
    for (path, name) in names {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        if name.is_empty() || name.len() > 63 || !name.bytes().all(is_allowed) {
            mistakes
                .push(Mistake::new(path, "must be 1 to 63 characters of a-z, A-Z, 0-9 and '-'"));
        }
    }
}

fn check_addresses(settings: &NodeSettings, mistakes: &mut Vec<Mistake>) {
    let listen = &settings.listen;
    let mut tcp_addresses = vec![
        ("$.listen.caller_address", listen.caller_address),
        ("$.listen.exit_address", listen.exit_address),
        ("$.listen.peer_address", listen.peer_address),
        ("$.listen.control_address", listen.control_address),
    ];
    tcp_addresses
        .extend(listen.replica_address.map(|address| ("$.listen.replica_address", address)));
    let mut used_addresses = HashSet::new();
    for (path, address) in tcp_addresses {
        if !used_addresses.insert(address) {
            mistakes.push(Mistake::new(path, format!("{address} is used by another listener")));
        }
    }
    let advertise = &settings.advertise;
    let advertised_addresses = [
        ("peer_address", Some(listen.peer_address), advertise.peer_address),
        ("gossip_address", Some(listen.gossip_address), advertise.gossip_address),
        ("control_address", Some(listen.control_address), advertise.control_address),
        ("replica_address", listen.replica_address, advertise.replica_address),
    ];
    for (name, listen_address, advertised_address) in advertised_addresses {
        let Some(listen_address) = listen_address else {
            if advertised_address.is_some() {
                let message = format!("requires listen.{name}");
                mistakes.push(Mistake::new(format!("$.advertise.{name}"), message));
            }
            continue;
        };
        let section = if advertised_address.is_some() { "advertise" } else { "listen" };
        let address = advertised_address.unwrap_or(listen_address);
        if address.ip().is_unspecified() || address.port() == 0 {
            let message = "must be an address that other nodes can reach";
            mistakes.push(Mistake::new(format!("$.{section}.{name}"), message));
        }
    }
}

fn check_replicas(settings: &NodeSettings, mistakes: &mut Vec<Mistake>) {
    if settings.control_replicas.is_empty() && settings.formation.is_none() {
        mistakes.push(Mistake::new("$.control_replicas", "must list at least one replica"));
    }
    let mut names = HashSet::new();
    for (index, replica) in settings.control_replicas.iter().enumerate() {
        if !names.insert(&replica.node_name) {
            let path = format!("$.control_replicas[{index}].node_name");
            mistakes.push(Mistake::new(
                path,
                format!("'{}' is listed more than once", replica.node_name),
            ));
        }
    }
    if settings.formation.as_ref().is_some_and(|formation| formation.founders.is_empty()) {
        mistakes.push(Mistake::new("$.formation.founders", "must list at least one replica"));
    }
    if settings.data_dir.is_some() && settings.listen.replica_address.is_none() {
        mistakes.push(Mistake::new("$.listen.replica_address", "is required with data_dir"));
    }
    if settings.data_dir.is_none() && settings.listen.replica_address.is_some() {
        mistakes.push(Mistake::new("$.data_dir", "is required with listen.replica_address"));
    }
}

fn check_limits(settings: &NodeSettings, mistakes: &mut Vec<Mistake>) {
    let limits = &settings.limits;
    let positive_limits = [
        ("max_caller_connections", u64::from(limits.max_caller_connections)),
        ("max_backend_connections", u64::from(limits.max_backend_connections)),
        ("heartbeat_timeout_ms", limits.heartbeat_timeout_ms),
        ("key_retention_s", limits.key_retention_s),
        ("long_work_ms", limits.long_work_ms),
        ("backend_idle_ms", limits.backend_idle_ms),
        ("retry_window_ms", limits.retry_window_ms),
    ];
    for (name, value) in positive_limits {
        if value == 0 {
            mistakes.push(Mistake::new(format!("$.limits.{name}"), "must be at least 1"));
        }
    }
    // hyper panics if the limit of its read buffer is below 8 KiB.
    if limits.max_head_bytes < 8192 {
        mistakes.push(Mistake::new("$.limits.max_head_bytes", "must be at least 8192"));
    }
    if limits.stop_timeout_ms <= limits.drain_notice_ms {
        mistakes.push(Mistake::new("$.limits.stop_timeout_ms", "must exceed drain_notice_ms"));
    }
    if limits.retry_percent > 100 {
        mistakes.push(Mistake::new("$.limits.retry_percent", "must be at most 100"));
    }
    if limits.retry_tokens > 100 {
        mistakes.push(Mistake::new("$.limits.retry_tokens", "must be at most 100"));
    }
}
