//! Three control replicas: the leader is killed while notes are submitted, responses are lost,
//! operators submit concurrently, and all replicas restart.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::Method;
use tarragon_client::ControlClient;
use tarragon_model::catalogue::SubmitAnswer;

use crate::support::first_note;
use crate::support::next_note;
use crate::support::wait_until;
use crate::support::Cluster;

const NODES: [&str; 4] = ["replica-1", "replica-2", "replica-3", "plain-1"];

fn note_ids(count: u64) -> Vec<String> {
    let later_ids = (2..=count).map(|version| format!("note-{version}"));
    std::iter::once("first".to_string()).chain(later_ids).collect()
}

/// Submits the notes of a range of versions, both ends included, through a node.
async fn submit_notes(cluster: &Cluster, node: &str, first_version: u64, last_version: u64) {
    for version in first_version..=last_version {
        let note = next_note(&format!("note-{version}"), version);
        cluster.operator.submit_until_accepted(&cluster[node], &note).await;
    }
}

/// Guards against an accepted note that is lost with the leader or never comes into force.
#[tokio::test]
async fn accepted_notes_survive_the_kill_of_the_leader() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    submit_notes(&cluster, "plain-1", 2, 10).await;
    let (leader, _) = cluster.operator.wait_for_leader(&cluster["plain-1"]).await;
    let leader_index = cluster.nodes.iter().position(|node| node.name == leader).unwrap();
    let mut killed = cluster.nodes.remove(leader_index);
    let (_, killed) = tokio::join!(submit_notes(&cluster, "plain-1", 11, 40), async {
        // The leader is killed while notes are being submitted.
        let is_submitting = async || {
            let status = cluster.operator.status(&cluster["plain-1"]).await?;
            (status.revision >= 15).then_some(())
        };
        wait_until("notes are being submitted", is_submitting).await;
        killed.kill();
        killed
    });
    cluster.nodes.insert(leader_index, killed);
    cluster.wait_until_in_force(40).await;
    cluster.nodes[leader_index].start();
    cluster.wait_until_in_force(40).await;
    for node in &cluster.nodes {
        cluster.operator.assert_notes(node, &note_ids(40)).await;
    }
}

/// Guards against a second effect of a note that is resent because its response was lost.
#[tokio::test]
async fn a_resent_note_gets_its_first_response() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    let short_timeout_client = ControlClient::new(Some(cluster.operator.key()), 1);
    for version in 2..=6 {
        let note = next_note(&format!("note-{version}"), version);
        let attempt = short_timeout_client.send(
            cluster["replica-2"].addresses.control,
            Method::POST,
            "/v1/notes",
            note.to_string().into(),
        );
        // The client times out after 1 ms, before or after the note was accepted.
        let _ = attempt.await;
        cluster.operator.submit_until_accepted(&cluster["plain-1"], &note).await;
    }
    cluster.operator.submit_until_accepted(&cluster["replica-3"], &first_note()).await;
    cluster.operator.submit_until_accepted(&cluster["replica-1"], &next_note("note-4", 4)).await;
    cluster.operator.assert_notes(&cluster["plain-1"], &note_ids(6)).await;
}

/// Guards against two accepted notes of the same version, and against a conflict response that does
/// not name the accepted note.
#[tokio::test]
async fn one_of_two_concurrent_notes_is_accepted() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    let mut accepted_ids = vec!["first".to_string()];
    for version in 2..=11 {
        let names = [format!("left-{version}"), format!("right-{version}")];
        let notes = names.each_ref().map(|name| next_note(name, version));
        let (left, right) = tokio::join!(
            cluster.operator.submit(&cluster["replica-2"], &notes[0]),
            cluster.operator.submit(&cluster["plain-1"], &notes[1]),
        );
        let responses = [left.unwrap(), right.unwrap()];
        let winner = responses
            .iter()
            .position(|response| *response == SubmitAnswer::Accepted { revision: version })
            .unwrap_or_else(|| panic!("no note of version {version} was accepted: {responses:?}"));
        let conflict = SubmitAnswer::Conflict {
            next_version: version + 1,
            winner_id: Some(names[winner].clone()),
        };
        assert_eq!(
            responses[1 - winner],
            conflict,
            "response to the conflicting note of version {version}"
        );
        accepted_ids.push(names[winner].clone());
    }
    cluster.operator.assert_notes(&cluster["replica-3"], &accepted_ids).await;
}

/// Kills and restarts nodes, and asserts that each of them serves callers with at least the given
/// revision.
async fn restart(cluster: &mut Cluster, names: &[&str], revision: u64) {
    for name in names {
        cluster[name].kill();
    }
    for name in names {
        cluster[name].start();
    }
    for name in names {
        let node = &cluster[name];
        cluster.wait_until_serving(node).await;
        let status =
            wait_until("a node reports its status", async || cluster.operator.status(node).await)
                .await;
        assert!(
            status.revision >= revision,
            "{name} serves callers with revision {} after {revision}",
            status.revision
        );
    }
}

/// Guards against lost notes or a decreasing revision when all replicas are killed at the same time
/// while another node keeps running.
#[tokio::test]
async fn accepted_notes_survive_a_restart_of_all_replicas() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    submit_notes(&cluster, "plain-1", 2, 8).await;
    cluster.wait_until_in_force(8).await;
    let plain_node = cluster.nodes.pop().unwrap();
    let is_done = AtomicBool::new(false);
    let operator = cluster.operator.clone();
    let watch_revision = async {
        let mut highest_revision = 0;
        while !is_done.load(Ordering::Relaxed) {
            let status = wait_until("a node reports its status", async || {
                operator.status(&plain_node).await
            })
            .await;
            assert!(
                status.revision >= highest_revision,
                "{} after {highest_revision}",
                status.revision
            );
            highest_revision = status.revision;
            tokio::task::yield_now().await;
        }
    };
    let restarts = async {
        for _ in 0..2 {
            restart(&mut cluster, &NODES[..3], 8).await;
        }
        is_done.store(true, Ordering::Relaxed);
    };
    tokio::join!(watch_revision, restarts);
    cluster.nodes.push(plain_node);
    submit_notes(&cluster, "plain-1", 9, 9).await;
    cluster.wait_until_in_force(9).await;
    for node in &cluster.nodes {
        cluster.operator.assert_notes(node, &note_ids(9)).await;
    }
}

/// Guards against nodes that serve callers with an older revision after all nodes were killed at
/// the same time, so that no member is left that holds the newest one.
#[tokio::test]
async fn the_revision_does_not_decrease_in_a_restart_of_all_nodes() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    submit_notes(&cluster, "plain-1", 2, 5).await;
    cluster.wait_until_in_force(5).await;
    restart(&mut cluster, &NODES, 5).await;
    for node in &cluster.nodes {
        cluster.operator.assert_notes(node, &note_ids(5)).await;
    }
}
