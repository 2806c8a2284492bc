//! Guards each mechanism: what it prevents, and that the same run fails without it.

use tarragon_membership::Mechanisms;
use tarragon_membership::MemberStatus;
use tarragon_membership::MembershipSettings;
use tarragon_model::member::BackendState;

use crate::cluster::Cluster;

const SIZES: [usize; 3] = [8, 8, 8];

/// A joined cluster; `switch` turns mechanisms off.
fn cluster(seed: u64, switch: impl Fn(&mut Mechanisms)) -> Cluster {
    let mut settings =
        MembershipSettings { has_full_state_source: true, ..MembershipSettings::default() };
    switch(&mut settings.mechanisms);
    let mut cluster = Cluster::new(&SIZES, settings, seed);
    cluster.introduce_all();
    cluster.run(20_000);
    cluster
}

fn suspicions(cluster: &Cluster) -> u64 {
    cluster.live().map(|(_, node)| node.core.counts().suspicions).sum()
}

/// Suspicions in a minute in which some pairs of nodes do not reach each other.
fn suspicions_with_broken_paths(switch: impl Fn(&mut Mechanisms)) -> u64 {
    let mut cluster = cluster(61, switch);
    cluster.network.blocked = (1..8).map(|node| (0, node)).collect();
    cluster.run(60_000);
    suspicions(&cluster)
}

/// A broken path between two nodes must not make either of them suspected.
#[test]
fn indirect_probes_see_past_a_broken_path() {
    assert_eq!(suspicions_with_broken_paths(|_| {}), 0);
    assert!(suspicions_with_broken_paths(|m| m.has_indirect_probes = false) > 5);
}

fn disagreements_after_a_pause(switch: impl Fn(&mut Mechanisms)) -> Vec<String> {
    let mut cluster = cluster(62, switch);
    cluster.pause(3, 20_000);
    cluster.run(20_000);
    let (instance, observer) = (cluster.nodes[3].instance, &cluster.nodes[9].core);
    assert_eq!(observer.status_of(instance), Some(MemberStatus::Dead));
    cluster.run(60_000);
    cluster.disagreements()
}

/// A node that was paused long enough to be declared dead must come back by itself.
#[test]
fn refutation_brings_a_paused_node_back() {
    assert_eq!(disagreements_after_a_pause(|_| {}), Vec::<String>::new());
    assert!(!disagreements_after_a_pause(|m| m.has_refutation = false).is_empty());
}

/// Suspicions raised by a node that is paused every few seconds.
fn suspicions_by_a_paused_node(switch: impl Fn(&mut Mechanisms)) -> u64 {
    let mut cluster = cluster(63, switch);
    // Slow links, so that many pauses begin while a probe is under way.
    cluster.network.delay_ms = (50, 250);
    for round in 0..40 {
        cluster.pause(5, 2_500);
        cluster.run(3_500 + 37 * round);
    }
    cluster.nodes[5].core.counts().suspicions
}

/// A node that does not run cannot have heard an answer, so it must not accuse others.
#[test]
fn local_health_keeps_a_paused_node_from_accusing_others() {
    assert_eq!(suspicions_by_a_paused_node(|_| {}), 0);
    assert!(suspicions_by_a_paused_node(|m| m.has_local_health = false) > 0);
}

/// Suspicions raised by a node that handles everything a second late.
fn suspicions_by_a_slow_node(switch: impl Fn(&mut Mechanisms)) -> u64 {
    let mut cluster = cluster(64, switch);
    cluster.nodes[5].slow_ms = 1_000;
    cluster.run(120_000);
    cluster.nodes[5].core.counts().suspicions
}

/// A slow node must notice that it is the slow one.
#[test]
fn local_health_keeps_a_slow_node_from_accusing_many() {
    let with = suspicions_by_a_slow_node(|_| {});
    let without = suspicions_by_a_slow_node(|m| m.has_local_health = false);
    assert!(with * 4 < without, "{with} with, {without} without");
}

/// Revivals of nodes that joined and left while datagrams are delayed by seconds.
fn revivals_by_late_datagrams(switch: impl Fn(&mut Mechanisms)) -> Vec<String> {
    let mut cluster = cluster(65, switch);
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
    cluster.faults
}

/// A late datagram must not revive a node that has left.
#[test]
fn tombstones_keep_late_datagrams_from_reviving_a_node() {
    assert_eq!(revivals_by_late_datagrams(|_| {}), Vec::<String>::new());
    assert!(!revivals_by_late_datagrams(|m| m.has_tombstones = false).is_empty());
}

/// Every member must notice killed nodes in time, also with loss.
#[test]
fn killed_nodes_are_noticed_within_20_s() {
    let mut cluster = cluster(66, |_| {});
    cluster.network.loss = 0.05;
    let killed = [1, 9, 10, 18];
    killed.iter().for_each(|node| cluster.kill(*node));
    cluster.run(20_000);
    for (at, node) in cluster.live() {
        for other in killed {
            let status = node.core.status_of(cluster.nodes[other].instance);
            assert_eq!(status, Some(MemberStatus::Dead), "{at} about {other}");
        }
    }
}

/// A restarted node must replace its earlier instance, not stand beside it, and must know at once
/// which revision it has to reach.
#[test]
fn a_restarted_node_replaces_its_earlier_instance() {
    let mut cluster = cluster(67, |_| {});
    cluster.set_state(4, BackendState::Ready, 70);
    cluster.run(5_000);
    let old = cluster.nodes[4].instance;
    cluster.kill(4);
    cluster.restart(4);
    cluster.run(500);
    assert!(cluster.nodes[4].core.has_joined());
    assert_eq!(cluster.nodes[4].core.highest_known_revision(), 70);
    cluster.run(2_500);
    for (at, node) in cluster.live().filter(|(at, _)| *at != 4) {
        assert_eq!(node.core.status_of(old), Some(MemberStatus::Dead), "{at}");
        let is_known = node.core.status_of(cluster.nodes[4].instance);
        assert_eq!(is_known, Some(MemberStatus::Alive), "{at}");
    }
}

/// A node that comes back at the address of an instance that nobody buried is found by the probe
/// of the old one, even if its own join does not spread.
#[test]
fn a_probe_of_an_earlier_instance_finds_the_new_one() {
    let mut cluster = cluster(68, |_| {});
    let old = cluster.nodes[12].instance;
    let (settings, seeds) = (&mut cluster.settings, Vec::new());
    settings.seeds = seeds;
    cluster.kill(12);
    cluster.restart(12);
    cluster.run(6_000);
    for (at, node) in cluster.live().filter(|(at, _)| *at != 12) {
        assert_eq!(node.core.status_of(old), Some(MemberStatus::Dead), "{at}");
        let status = node.core.status_of(cluster.nodes[12].instance);
        assert_eq!(status, Some(MemberStatus::Alive), "{at}");
    }
}

/// A rack that leaves at once must not make the rest of its data centre unreachable.
#[test]
fn a_rack_that_leaves_at_once_is_gone_within_3_s() {
    let mut cluster = cluster(69, |_| {});
    (8..13).for_each(|node| cluster.leave(node));
    cluster.run(3_000);
    let left: Vec<_> = (8..13).map(|node| cluster.nodes[node].instance).collect();
    (8..13).for_each(|node| cluster.kill(node));
    for (at, node) in cluster.live() {
        assert_eq!(node.core.reachable_count(), 19, "{at}");
        let has_left = |id| node.core.status_of(id) == Some(MemberStatus::Left);
        assert!(left.iter().all(|id| has_left(*id)), "{at}");
    }
}

/// After an hour both sides of a cut must still know each other and find each other again, without
/// an operator and without a burst.
#[test]
fn a_data_centre_cut_off_for_an_hour_comes_back() {
    let mut cluster = cluster(70, |_| {});
    cluster.network.cut = vec![1];
    cluster.run(40_000);
    let cut_off = cluster.nodes[8].instance;
    assert_eq!(cluster.nodes[0].core.status_of(cut_off), Some(MemberStatus::Unreachable));
    cluster.run(3_600_000);
    assert_eq!(cluster.nodes[0].core.status_of(cut_off), Some(MemberStatus::Unreachable));
    let exchanged = cluster.exchanged_records;
    cluster.network.cut.clear();
    cluster.run(60_000);
    assert_eq!(cluster.disagreements(), Vec::<String>::new());
    // Each of the 24 nodes makes few full exchanges of 24 records.
    let per_node = (cluster.exchanged_records - exchanged) / 24;
    assert!(per_node <= 8 * 24, "{per_node} records per node after healing");
}

/// The nodes that answer for a release note must learn soon which members have it in force.
#[test]
fn the_revision_of_every_member_is_known_within_10_s() {
    let mut cluster = cluster(71, |_| {});
    for node in 0..24 {
        cluster.set_state(node, BackendState::Ready, 9);
    }
    cluster.run(1_000);
    assert!(cluster.live().all(|(_, node)| node.core.highest_known_revision() == 9));
    cluster.run(9_000);
    for (at, node) in cluster.live() {
        let mut members = node.core.reachable_members().into_iter();
        assert!(members.all(|member| member.revision == 9), "{at}");
    }
}

/// A rack behind a broken switch is forgotten by the others after ten minutes, so it must be the
/// rack's nodes that find back.
#[test]
fn a_rack_cut_off_for_an_hour_comes_back() {
    let mut cluster = cluster(72, |_| {});
    let rack = 8..11;
    let pairs = |node: usize| (0..24).filter(|o| !(8..11).contains(o)).map(move |o| (node, o));
    cluster.network.blocked = rack.clone().flat_map(pairs).collect();
    cluster.run(60_000);
    let instance = cluster.nodes[8].instance;
    assert_eq!(cluster.nodes[12].core.status_of(instance), Some(MemberStatus::Dead));
    cluster.run(3_600_000);
    assert_eq!(cluster.nodes[12].core.status_of(instance), None);
    cluster.network.blocked.clear();
    cluster.run(60_000);
    assert_eq!(cluster.disagreements(), Vec::<String>::new());
}
