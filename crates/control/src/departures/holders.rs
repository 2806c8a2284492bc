use tarragon_model::member::MemberRecord;
use twox_hash::XxHash64;

/// Maximum number of hosts with a control replica that hold the departures of a node.
const MAX_CONTROL_HOLDERS: usize = 5;

/// Number of nodes of the own data centre that hold the departures of a node. They can be asked while the
/// data centre is separated, and keep them when all control replicas restart at once.
const LOCAL_HOLDERS: usize = 3;

/// Seed of the hash by which the holders of a node are chosen. All nodes must use the same.
const HOLDER_SEED: u64 = 0x6465_7061_7274;

/// The nodes that hold the departures of a node, so that its next process finds them again.
///
/// They are chosen by rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
/// Increase Hit Rates", 1998), so that the choice hardly depends on which other members are known.
pub(super) fn choose_holders<'a>(
    node: &str,
    data_centre: &str,
    members: &'a [MemberRecord],
) -> Vec<&'a MemberRecord> {
    let others = || members.iter().filter(|member| member.node != node);
    let control = others().filter(|member| member.replica_address.is_some());
    let local = others()
        .filter(|member| member.replica_address.is_none() && member.data_centre == data_centre);
    let mut holders = lowest_hashes(node, control.collect(), MAX_CONTROL_HOLDERS);
    holders.extend(lowest_hashes(node, local.collect(), LOCAL_HOLDERS));
    holders
}

fn lowest_hashes<'a>(
    node: &str,
    mut members: Vec<&'a MemberRecord>,
    count: usize,
) -> Vec<&'a MemberRecord> {
    members.sort_by_cached_key(|member| {
        let pair = format!("{node}\n{}", member.node);
        (XxHash64::oneshot(HOLDER_SEED, pair.as_bytes()), member.node.clone())
    });
    members.truncate(count);
    members
}
