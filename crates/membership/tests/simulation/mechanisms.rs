//! Tests of each protocol mechanism: what it prevents, and that the same run fails without it.

use tarragon_membership::Mechanisms;
use tarragon_membership::MemberStatus;
use tarragon_membership::MembershipSettings;
use tarragon_model::member::BackendState;

use crate::cluster::address_of;
use crate::cluster::Cluster;

const SIZES: [usize; 3] = [8, 8, 8];

/// Creates a cluster whose nodes have joined; `configure` disables mechanisms.
fn joined_cluster(seed: u64, configure: impl Fn(&mut Mechanisms)) -> Cluster {
    let mut settings =
        MembershipSettings { has_full_state_source: true, ..MembershipSettings::default() };
    configure(&mut settings.mechanisms);
    let mut cluster = Cluster::new(&SIZES, settings, seed);
    cluster.introduce_all();
    cluster.run(20_000);
    cluster
}

fn total_suspicions(cluster: &Cluster) -> u64 {
    cluster.running_nodes().map(|(_, node)| node.membership.counts().suspicions).sum()
}

/// Number of suspicions in a minute in which node 0 and seven others cannot reach each other.
fn suspicions_with_broken_paths(configure: impl Fn(&mut Mechanisms)) -> u64 {
    let mut cluster = joined_cluster(61, configure);
    cluster.network.blocked_pairs = (1..8).map(|node| (0, node)).collect();
    cluster.run(60_000);
    total_suspicions(&cluster)
}

/// Two nodes that cannot reach each other must not be suspected while others reach them.
#[test]
fn indirect_probes_prevent_suspicions_over_a_broken_path() {
    assert_eq!(suspicions_with_broken_paths(|_| {}), 0);
    assert!(suspicions_with_broken_paths(|m| m.has_indirect_probes = false) > 5);
}

fn disagreements_after_a_pause(configure: impl Fn(&mut Mechanisms)) -> Vec<String> {
    let mut cluster = joined_cluster(62, configure);
    cluster.pause(3, 20_000);
    cluster.run(20_000);
    let (instance, observer) = (cluster.nodes[3].instance, &cluster.nodes[9].membership);
    assert_eq!(observer.status_of(instance), Some(MemberStatus::Dead));
    cluster.run(60_000);
    cluster.disagreements()
}

/// A node that was declared dead during a pause must become a member again without an operator.
#[test]
fn refutation_restores_a_paused_node() {
    assert_eq!(disagreements_after_a_pause(|_| {}), Vec::<String>::new());
    assert!(!disagreements_after_a_pause(|m| m.has_refutation = false).is_empty());
}

/// Number of suspicions raised by a node that is paused every few seconds.
fn suspicions_by_a_paused_node(configure: impl Fn(&mut Mechanisms)) -> u64 {
    let mut cluster = joined_cluster(63, configure);
    // Long delays, so that many pauses begin while a probe is pending.
    cluster.network.delay_ms = (50, 250);
    for round in 0..40 {
        cluster.pause(5, 2_500);
        cluster.run(3_500 + 37 * round);
    }
    cluster.nodes[5].membership.counts().suspicions
}

/// A paused node cannot receive answers to its probes, so it must not suspect others afterwards.
#[test]
fn local_health_keeps_a_paused_node_from_suspecting_others() {
    assert_eq!(suspicions_by_a_paused_node(|_| {}), 0);
    assert!(suspicions_by_a_paused_node(|m| m.has_local_health = false) > 0);
}

/// Number of suspicions raised by a node whose datagrams are delayed by a second each way.
fn suspicions_by_a_slow_node(configure: impl Fn(&mut Mechanisms)) -> u64 {
    let mut cluster = joined_cluster(64, configure);
    cluster.nodes[5].processing_delay_ms = 1_000;
    cluster.run(120_000);
    cluster.nodes[5].membership.counts().suspicions
}

/// A slow node must raise its health score instead of suspecting many others.
#[test]
fn local_health_keeps_a_slow_node_from_suspecting_many() {
    let with = suspicions_by_a_slow_node(|_| {});
    let without = suspicions_by_a_slow_node(|m| m.has_local_health = false);
    assert!(with * 4 < without, "{with} suspicions with local health, {without} without");
}

/// Violations after nodes joined and left while datagrams are delayed by up to 8 s, among them
/// nodes that were added again.
fn violations_with_late_datagrams(configure: impl Fn(&mut Mechanisms)) -> Vec<String> {
    let mut cluster = joined_cluster(65, configure);
    cluster.network.delay_ms = (1, 8_000);
    cluster.network.duplication = 0.2;
    for node in [2, 11, 20] {
        cluster.kill(node);
        cluster.restart(node);
        cluster.run(6_000);
        cluster.leave(node);
        cluster.run(1_500);
        cluster.kill(node);
    }
    cluster.run(30_000);
    cluster.violations
}

/// A late datagram must not add a node again that has left.
#[test]
fn tombstones_keep_late_datagrams_from_adding_a_node_again() {
    assert_eq!(violations_with_late_datagrams(|_| {}), Vec::<String>::new());
    assert!(!violations_with_late_datagrams(|m| m.has_tombstones = false).is_empty());
}

/// Every member must declare killed nodes dead in time, also with datagram loss.
#[test]
fn killed_nodes_are_declared_dead_within_20_s() {
    let mut cluster = joined_cluster(66, |_| {});
    cluster.network.loss = 0.05;
    let killed = [1, 9, 10, 18];
    killed.iter().for_each(|node| cluster.kill(*node));
    cluster.run(20_000);
    for (index, node) in cluster.running_nodes() {
        for other in killed {
            let status = node.membership.status_of(cluster.nodes[other].instance);
            assert_eq!(status, Some(MemberStatus::Dead), "status of node {other} on node {index}");
        }
    }
}

/// A restarted node must replace its earlier instance instead of being listed in addition to it,
/// and must receive the revision that it has to reach within 0.5 s.
#[test]
fn a_restarted_node_replaces_its_earlier_instance() {
    let mut cluster = joined_cluster(67, |_| {});
    cluster.set_state(4, BackendState::Ready, 70);
    cluster.run(5_000);
    let old = cluster.nodes[4].instance;
    cluster.kill(4);
    cluster.restart(4);
    cluster.run(500);
    assert!(cluster.nodes[4].membership.has_joined());
    assert_eq!(cluster.nodes[4].membership.highest_known_revision(), 70);
    cluster.run(2_500);
    for (index, node) in cluster.running_nodes().filter(|(index, _)| *index != 4) {
        assert_eq!(node.membership.status_of(old), Some(MemberStatus::Dead), "on node {index}");
        let status = node.membership.status_of(cluster.nodes[4].instance);
        assert_eq!(status, Some(MemberStatus::Alive), "on node {index}");
    }
}

/// A restarted node without seeds does not announce itself. A probe of its earlier instance, which
/// no member has declared dead yet, must lead to the new one.
#[test]
fn a_probe_of_an_earlier_instance_finds_the_new_one() {
    let mut cluster = joined_cluster(68, |_| {});
    let old = cluster.nodes[12].instance;
    let (settings, seeds) = (&mut cluster.settings, Vec::new());
    settings.seeds = seeds;
    cluster.kill(12);
    cluster.restart(12);
    cluster.run(6_000);
    for (index, node) in cluster.running_nodes().filter(|(index, _)| *index != 12) {
        assert_eq!(node.membership.status_of(old), Some(MemberStatus::Dead), "on node {index}");
        let status = node.membership.status_of(cluster.nodes[12].instance);
        assert_eq!(status, Some(MemberStatus::Alive), "on node {index}");
    }
}

/// If a rack with most nodes of a data centre leaves at once, the other members must not be
/// declared unreachable.
#[test]
fn a_rack_that_leaves_at_once_is_removed_within_3_s() {
    let mut cluster = joined_cluster(69, |_| {});
    (8..13).for_each(|node| cluster.leave(node));
    cluster.run(3_000);
    let left: Vec<_> = (8..13).map(|node| cluster.nodes[node].instance).collect();
    (8..13).for_each(|node| cluster.kill(node));
    for (index, node) in cluster.running_nodes() {
        assert_eq!(node.membership.reachable_count(), 19, "on node {index}");
        let has_left = |id| node.membership.status_of(id) == Some(MemberStatus::Left);
        assert!(left.iter().all(|id| has_left(*id)), "on node {index}");
    }
}

/// After a partition of an hour, both sides must still keep each other as unreachable members, and
/// must reconnect without an operator and without a burst of full exchanges.
#[test]
fn a_data_centre_rejoins_after_a_partition_of_an_hour() {
    let mut cluster = joined_cluster(70, |_| {});
    cluster.network.isolated_data_centres = vec![1];
    cluster.run(40_000);
    let cut_off = cluster.nodes[8].instance;
    assert_eq!(cluster.nodes[0].membership.status_of(cut_off), Some(MemberStatus::Unreachable));
    cluster.run(3_600_000);
    assert_eq!(cluster.nodes[0].membership.status_of(cut_off), Some(MemberStatus::Unreachable));
    let exchanged = cluster.exchanged_records;
    cluster.network.isolated_data_centres.clear();
    cluster.run(60_000);
    assert_eq!(cluster.disagreements(), Vec::<String>::new());
    // Each of the 24 nodes makes few full exchanges of 24 records.
    let per_node = (cluster.exchanged_records - exchanged) / 24;
    assert!(per_node <= 8 * 24, "{per_node} records per node after the partition");
}

/// Nodes that report the progress of a release note need the revision of every member soon.
#[test]
fn the_revision_of_every_member_is_known_within_10_s() {
    let mut cluster = joined_cluster(71, |_| {});
    for node in 0..24 {
        cluster.set_state(node, BackendState::Ready, 9);
    }
    cluster.run(1_000);
    assert!(cluster.running_nodes().all(|(_, node)| node.membership.highest_known_revision() == 9));
    cluster.run(9_000);
    for (index, node) in cluster.running_nodes() {
        let mut members = node.membership.reachable_members().into_iter();
        assert!(members.all(|member| member.revision == 9), "on node {index}");
    }
}

/// Other members remove a rack behind a broken switch after ten minutes, so the nodes of the rack
/// must contact the others after the repair.
#[test]
fn a_rack_rejoins_after_a_partition_of_an_hour() {
    let mut cluster = joined_cluster(72, |_| {});
    let rack = 8..11;
    let pairs = |node: usize| (0..24).filter(|o| !(8..11).contains(o)).map(move |o| (node, o));
    cluster.network.blocked_pairs = rack.clone().flat_map(pairs).collect();
    cluster.run(60_000);
    let instance = cluster.nodes[8].instance;
    assert_eq!(cluster.nodes[12].membership.status_of(instance), Some(MemberStatus::Dead));
    cluster.run(3_600_000);
    assert_eq!(cluster.nodes[12].membership.status_of(instance), None);
    cluster.network.blocked_pairs.clear();
    cluster.run(60_000);
    assert_eq!(cluster.disagreements(), Vec::<String>::new());
}

/// Guards against a restarted node that stays alone: its only seed is itself, so the others, for
/// which it is the only seed too, have to contact it again although they remember that it left.
#[test]
fn a_restarted_node_that_is_the_only_seed_is_found_within_30_s() {
    let settings =
        MembershipSettings { has_full_state_source: true, ..MembershipSettings::default() };
    let mut cluster = Cluster::new(&[3], settings, 81);
    cluster.settings.seeds = vec![address_of(0)];
    for node in 0..3 {
        cluster.kill(node);
        cluster.restart(node);
    }
    cluster.run(60_000);
    assert_eq!(cluster.disagreements(), Vec::<String>::new(), "after the start of all nodes");
    for _ in 0..20 {
        cluster.leave(0);
        cluster.run(2_000);
        cluster.kill(0);
        cluster.restart(0);
        cluster.run(30_000);
        assert_eq!(cluster.disagreements(), Vec::<String>::new(), "after a restart of the seed");
    }
}
