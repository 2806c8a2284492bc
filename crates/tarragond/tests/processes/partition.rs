//! Nodes that are partitioned from the others for a while, without closed connections.

use tarragon_model::member::BackendState;

use crate::support::issued_key;
use crate::support::next_note;
use crate::support::send_view;
use crate::support::wait_until;
use crate::support::CallerRequest;
use crate::support::Cluster;
use crate::support::FakeBackend;

/// Number of requests within a partitioned data centre.
const REQUESTS: usize = 40;

/// Guards against a replica that accepts notes without a majority, or forces an election when the
/// partition heals. The isolated replica is first the leader and then a follower.
#[tokio::test]
async fn an_isolated_replica_accepts_nothing_and_rejoins_without_an_election() {
    let names = ["replica-1", "replica-2", "replica-3", "plain-1"];
    let (mut cluster, network) = Cluster::behind_relays(&names).await;
    cluster.start_behind_relays(&network).await;
    let (operator, plain_node) = (&cluster.operator, &cluster["plain-1"]);
    let mut ids = vec!["first".to_string()];
    for (version, is_leader) in [(2, true), (3, false)] {
        let (leader, term) = operator.wait_for_leader(plain_node).await;
        let isolated =
            cluster.control_replicas().find(|node| (node.name == leader) == is_leader).unwrap();
        network.isolate(&[&isolated.name]);
        let is_settled = async || {
            let leaders = operator.leaders(plain_node).await?;
            let [leader] = &leaders[..] else { return None };
            (leader.name != isolated.name && (!is_leader || leader.term > term)).then_some(())
        };
        wait_until("the other replicas have a leader", is_settled).await;
        let (minority_id, majority_id) = (format!("lost-{version}"), format!("won-{version}"));
        let minority_note = next_note(&minority_id, version);
        let majority_note = next_note(&majority_id, version);
        let (response, ()) = tokio::join!(
            operator.submit(isolated, &minority_note),
            operator.submit_until_accepted(plain_node, &majority_note)
        );
        assert_eq!(response, None, "{} accepted a note while it was isolated", isolated.name);
        ids.push(majority_id);
        let leader_before = operator.wait_for_leader(plain_node).await;
        network.heal();
        cluster.wait_until_in_force(version).await;
        let has_rejoined = async || {
            let replicas = operator.replicas(plain_node).await?;
            (replicas.len() == 3 && replicas.iter().all(|replica| replica.term == leader_before.1))
                .then_some(())
        };
        wait_until("the replica has rejoined in the same term", has_rejoined).await;
        assert_eq!(
            operator.wait_for_leader(plain_node).await,
            leader_before,
            "rejoining caused an election"
        );
        for node in &cluster.nodes {
            operator.assert_notes(node, &ids).await;
        }
    }
}

/// Guards against a partitioned data centre that stops serving requests of its callers, against a
/// foreign key that runs there without a claim, and against revisions that differ after healing.
#[tokio::test]
async fn a_partitioned_data_centre_serves_its_own_requests() {
    let names = ["replica-1@north", "replica-2@north", "replica-3@south", "plain-1@south"];
    let (mut cluster, network) = Cluster::behind_relays(&names).await;
    cluster.start_behind_relays(&network).await;
    let operator = &cluster.operator;
    let _north = FakeBackend::start("north", &cluster["replica-1"]).await;
    let south = FakeBackend::start("south", &cluster["plain-1"]).await;
    for node in &cluster.nodes {
        let is_ready = async || {
            let members = operator.members(node).await?;
            let ready = members.iter().filter(|member| member.state == BackendState::Ready).count();
            let response = CallerRequest::view("/warm").send(node).await.ok()?;
            (ready == 2 && response.outcome == "answered").then_some(())
        };
        wait_until("both backend servers are ready", is_ready).await;
    }
    let isolated_nodes = [&cluster["replica-3"], &cluster["plain-1"]];
    network.isolate(&["replica-3", "plain-1"]);
    for index in 0..REQUESTS {
        let path = format!("/isolated/{index}");
        assert_eq!(
            send_view(isolated_nodes[index % 2], &path).await.text,
            format!("south ran {path}")
        );
    }
    let key = issued_key(isolated_nodes[0]).await;
    for node in isolated_nodes {
        let response = CallerRequest::weigh_in("/weigh/issued", &key).send(node).await.unwrap();
        assert_eq!(response.outcome, "answered", "{response:?}");
    }
    assert_eq!(south.run_count("/weigh/issued"), 1);
    let foreign = CallerRequest::weigh_in("/weigh/foreign", "a caller's own key");
    let response = foreign.send(isolated_nodes[0]).await.unwrap();
    // `not-run` would be wrong: another copy of the request may have claimed the key on the other
    // side of the partition and run there.
    assert_eq!(response.outcome, "unknown", "{response:?}");
    assert_eq!(south.run_count("/weigh/foreign"), 0);
    operator.submit_until_accepted(&cluster["replica-1"], &next_note("meanwhile", 2)).await;
    network.heal();
    cluster.wait_until_in_force(2).await;
    for node in &cluster.nodes {
        let lists_all = async || (operator.members(node).await?.len() == 4).then_some(());
        wait_until(&format!("{} lists every member", node.name), lists_all).await;
        operator.assert_notes(node, &["first", "meanwhile"].map(String::from)).await;
    }
}
