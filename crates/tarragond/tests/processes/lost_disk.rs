//! A control replica restarts without its data directory.

use tarragon_model::catalogue::SubmitAnswer;

use crate::support::next_note;
use crate::support::wait_until;
use crate::support::Cluster;

/// Guards against a replica that votes after it has lost its log, and against a note that is lost
/// when a second replica is killed right after the first one was added again.
#[tokio::test]
async fn a_replica_without_its_disk_votes_only_after_it_is_added_again() {
    let mut cluster = Cluster::new(&["replica-1", "replica-2", "replica-3", "plain-1"]);
    cluster.start().await;
    cluster.operator.submit_until_accepted(&cluster["plain-1"], &next_note("before", 2)).await;
    cluster["replica-3"].kill();
    std::fs::remove_dir_all(cluster["replica-3"].data_dir()).unwrap();
    cluster.operator.submit_until_accepted(&cluster["plain-1"], &next_note("meanwhile", 3)).await;
    cluster["replica-3"].start();
    let find_wiped = async || {
        let replicas = cluster.operator.replicas(&cluster["plain-1"]).await?;
        replicas.into_iter().find(|replica| replica.name == "replica-3")
    };
    let wiped = wait_until("the replica without its data responds", find_wiped).await;
    let id = format!("replica-3@{}", wiped.disk);
    assert!(!wiped.voters.contains(&id), "{wiped:?}");

    // Without the second voter, only the vote of the wiped replica could form a majority.
    cluster["replica-2"].kill();
    let response = cluster.operator.submit(&cluster["plain-1"], &next_note("unconfirmed", 4)).await;
    assert_eq!(response, None, "a note was accepted without a majority");
    cluster["replica-2"].start();
    // The note without a response may have been accepted since; resubmitting it settles that.
    cluster.operator.submit_until_accepted(&cluster["plain-1"], &next_note("unconfirmed", 4)).await;

    cluster.operator.remove_replica(&cluster["plain-1"], "replica-3").await;
    cluster.operator.add_replica(&cluster["plain-1"], "replica-3").await;
    let replicas = cluster.operator.replicas(&cluster["plain-1"]).await.unwrap();
    let leader = replicas.iter().find(|replica| replica.role == "leader").unwrap();
    assert!(leader.voters.contains(&id), "{leader:?}");
    assert_eq!(leader.voters.len(), 3, "{leader:?}");

    let (leader, _) = cluster.operator.wait_for_leader(&cluster["plain-1"]).await;
    let second_victim = if leader == "replica-3" { "replica-1".into() } else { leader };
    cluster[&*second_victim].kill();
    let note = next_note("after", 5);
    let response = wait_until("a note gets a response", async || {
        cluster.operator.submit(&cluster["plain-1"], &note).await
    });
    assert_eq!(response.await, SubmitAnswer::Accepted { revision: 5 });
    let ids = ["first", "before", "meanwhile", "unconfirmed", "after"].map(String::from);
    for node in cluster.running_nodes() {
        cluster.operator.assert_notes(node, &ids).await;
    }
}
