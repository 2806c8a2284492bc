//! Three control replicas: the leader dies while notes are submitted, answers are lost, operators
//! race, and all replicas restart.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::Method;
use tarragon_client::ControlClient;
use tarragon_model::catalogue::SubmitAnswer;

use crate::support::first_note;
use crate::support::next_note;
use crate::support::until;
use crate::support::Cluster;

const NODES: [&str; 4] = ["replica-1", "replica-2", "replica-3", "plain-1"];

fn ids(count: u64) -> Vec<String> {
    let later = (2..=count).map(|version| format!("note-{version}"));
    std::iter::once("first".to_string()).chain(later).collect()
}

/// Submits the notes from one version up to another through a node.
async fn submit_range(cluster: &Cluster, node: &str, from: u64, to: u64) {
    for version in from..=to {
        let note = next_note(&format!("note-{version}"), version);
        cluster.operator.accept(&cluster[node], &note).await;
    }
}

/// Guards against an accepted note that is lost, or comes into force nowhere, with its leader.
#[tokio::test]
async fn accepted_notes_survive_the_kill_of_the_leader() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    submit_range(&cluster, "plain-1", 2, 10).await;
    let (leader, _) = cluster.operator.leader(&cluster["plain-1"]).await;
    let leader_at = cluster.nodes.iter().position(|n| n.name == leader).unwrap();
    let mut killed = cluster.nodes.remove(leader_at);
    let (_, killed) = tokio::join!(submit_range(&cluster, "plain-1", 11, 40), async {
        // The stream of notes is under way when the leader dies.
        let is_under_way = async || {
            let status = cluster.operator.status(&cluster["plain-1"]).await?;
            (status.revision >= 15).then_some(())
        };
        until("the stream of notes is under way", is_under_way).await;
        killed.kill();
        killed
    });
    cluster.nodes.insert(leader_at, killed);
    cluster.until_in_force(40).await;
    cluster.nodes[leader_at].start();
    cluster.until_in_force(40).await;
    for node in &cluster.nodes {
        cluster.operator.check_notes(node, &ids(40)).await;
    }
}

/// Guards against a second effect of a note that is sent again because its answer was lost.
#[tokio::test]
async fn a_note_sent_again_gets_its_first_answer() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    let hasty = ControlClient::new(Some(cluster.operator.key()), 1);
    for version in 2..=6 {
        let note = next_note(&format!("note-{version}"), version);
        let sent = hasty.send(
            cluster["replica-2"].at.control,
            Method::POST,
            "/v1/notes",
            note.to_string().into(),
        );
        // The client hangs up after 1 ms, before or after the note was accepted.
        let _ = sent.await;
        cluster.operator.accept(&cluster["plain-1"], &note).await;
    }
    cluster.operator.accept(&cluster["replica-3"], &first_note()).await;
    cluster.operator.accept(&cluster["replica-1"], &next_note("note-4", 4)).await;
    cluster.operator.check_notes(&cluster["plain-1"], &ids(6)).await;
}

/// Guards against two accepted notes of one version, and against a conflict without its winner.
#[tokio::test]
async fn one_of_two_racing_operators_wins() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    let mut winners = vec!["first".to_string()];
    for version in 2..=11 {
        let names = [format!("left-{version}"), format!("right-{version}")];
        let notes = names.each_ref().map(|name| next_note(name, version));
        let (left, right) = tokio::join!(
            cluster.operator.submit(&cluster["replica-2"], &notes[0]),
            cluster.operator.submit(&cluster["plain-1"], &notes[1]),
        );
        let answers = [left.unwrap(), right.unwrap()];
        let winner = answers
            .iter()
            .position(|answer| *answer == SubmitAnswer::Accepted { revision: version })
            .unwrap_or_else(|| panic!("no note of version {version} won: {answers:?}"));
        let conflict = SubmitAnswer::Conflict {
            next_version: version + 1,
            winner_id: Some(names[winner].clone()),
        };
        assert_eq!(answers[1 - winner], conflict, "answer to the loser of version {version}");
        winners.push(names[winner].clone());
    }
    cluster.operator.check_notes(&cluster["replica-3"], &winners).await;
}

/// Kills and starts nodes again, and checks that each serves callers with a revision no lower than
/// in its earlier life.
async fn restart(cluster: &mut Cluster, names: &[&str], revision: u64) {
    for name in names {
        cluster[name].kill();
    }
    for name in names {
        cluster[name].start();
    }
    for name in names {
        let node = &cluster[name];
        cluster.until_serving(node).await;
        let status = until("a status", async || cluster.operator.status(node).await).await;
        assert!(
            status.revision >= revision,
            "{name} serves callers with revision {} after {revision}",
            status.revision
        );
    }
}

/// Guards against accepted notes that are lost, or a revision that goes down, when all replicas die
/// at once while other nodes go on.
#[tokio::test]
async fn a_restart_of_all_replicas_loses_nothing() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    submit_range(&cluster, "plain-1", 2, 8).await;
    cluster.until_in_force(8).await;
    let plain = cluster.nodes.pop().unwrap();
    let is_over = AtomicBool::new(false);
    let operator = cluster.operator.clone();
    let watch = async {
        let mut highest = 0;
        while !is_over.load(Ordering::Relaxed) {
            let status = until("a status", async || operator.status(&plain).await).await;
            assert!(status.revision >= highest, "{} after {highest}", status.revision);
            highest = status.revision;
            tokio::task::yield_now().await;
        }
    };
    let restarts = async {
        for _ in 0..2 {
            restart(&mut cluster, &NODES[..3], 8).await;
        }
        is_over.store(true, Ordering::Relaxed);
    };
    tokio::join!(watch, restarts);
    cluster.nodes.push(plain);
    submit_range(&cluster, "plain-1", 9, 9).await;
    cluster.until_in_force(9).await;
    for node in &cluster.nodes {
        cluster.operator.check_notes(node, &ids(9)).await;
    }
}

/// Guards against nodes that serve callers with an older revision after all nodes died at once, so
/// that no member is left that remembers the newest one.
#[tokio::test]
async fn a_restart_of_all_nodes_takes_no_revision_back() {
    let mut cluster = Cluster::new(&NODES);
    cluster.start().await;
    submit_range(&cluster, "plain-1", 2, 5).await;
    cluster.until_in_force(5).await;
    restart(&mut cluster, &NODES, 5).await;
    for node in &cluster.nodes {
        cluster.operator.check_notes(node, &ids(5)).await;
    }
}
