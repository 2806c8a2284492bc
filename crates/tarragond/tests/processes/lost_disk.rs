//! A control replica loses its data folder.

use tarragon_model::catalogue::SubmitAnswer;

use crate::support::next_note;
use crate::support::until;
use crate::support::Cluster;

/// Guards against a replica that votes for what it no longer knows, and against a note that is lost
/// when a second replica dies right after the repair.
#[tokio::test]
async fn a_replica_without_its_disk_votes_only_after_it_is_added_again() {
    let mut cluster = Cluster::new(&["replica-1", "replica-2", "replica-3", "plain-1"]);
    cluster.start().await;
    cluster.operator.accept(&cluster["plain-1"], &next_note("before", 2)).await;
    cluster["replica-3"].kill();
    std::fs::remove_dir_all(cluster["replica-3"].data_dir()).unwrap();
    cluster.operator.accept(&cluster["plain-1"], &next_note("meanwhile", 3)).await;
    cluster["replica-3"].start();
    let wiped = async || {
        let replicas = cluster.operator.replicas(&cluster["plain-1"]).await?;
        replicas.into_iter().find(|replica| replica.name == "replica-3")
    };
    let wiped = until("the replica with a new disk answers", wiped).await;
    let id = format!("replica-3@{}", wiped.disk);
    assert!(!wiped.voters.contains(&id), "{wiped:?}");

    // With the second voter gone, only the vote of the lost disk could make a majority.
    cluster["replica-2"].kill();
    let answer = cluster.operator.submit(&cluster["plain-1"], &next_note("limbo", 4)).await;
    assert_eq!(answer, None, "a note was accepted without a majority");
    cluster["replica-2"].start();
    // The note without an answer may have been accepted later; either way it is settled now.
    cluster.operator.accept(&cluster["plain-1"], &next_note("limbo", 4)).await;

    cluster.operator.remove(&cluster["plain-1"], "replica-3").await;
    cluster.operator.add(&cluster["plain-1"], "replica-3").await;
    let replicas = cluster.operator.replicas(&cluster["plain-1"]).await.unwrap();
    let leader = replicas.iter().find(|replica| replica.role == "leader").unwrap();
    assert!(leader.voters.contains(&id), "{leader:?}");
    assert_eq!(leader.voters.len(), 3, "{leader:?}");

    let (leader, _) = cluster.operator.leader(&cluster["plain-1"]).await;
    let second = if leader == "replica-3" { "replica-1".into() } else { leader };
    cluster[&*second].kill();
    let note = next_note("after", 5);
    let answer =
        until("an answer", async || cluster.operator.submit(&cluster["plain-1"], &note).await);
    assert_eq!(answer.await, SubmitAnswer::Accepted { revision: 5 });
    let ids = ["first", "before", "meanwhile", "limbo", "after"].map(String::from);
    for node in cluster.running() {
        cluster.operator.check_notes(node, &ids).await;
    }
}
