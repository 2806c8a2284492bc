//! The leader is paused for longer than an election and goes on afterwards.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use futures_util::future::join_all;
use rustix::process::Signal;

use crate::support::next_note;
use crate::support::until;
use crate::support::Cluster;
use crate::support::Daemon;

/// Requests that wait at each node when the old leader goes on.
const REQUESTS: usize = 8;

/// Guards against a former leader that answers from its old state as if it still led, and against
/// elections that go on after its return.
#[tokio::test]
async fn a_resumed_leader_gives_no_stale_answer() {
    let mut cluster = Cluster::new(&["replica-1", "replica-2", "replica-3", "plain-1"]);
    cluster.start().await;
    let operator = &cluster.operator;
    for round in 0..2 {
        let (leader, term) = operator.leader(&cluster["plain-1"]).await;
        let paused = &cluster[&*leader];
        paused.signal(Signal::STOP);
        let is_replaced = async || {
            let leaders = operator.leaders(&cluster["plain-1"]).await?;
            leaders.iter().any(|info| info.term > term).then_some(())
        };
        until("another leader", is_replaced).await;
        let note = next_note(&format!("note-{round}"), round + 2);
        operator.accept(&cluster["plain-1"], &note).await;
        // The requests to the paused node wait in its sockets, so that they are the first that it
        // handles. Each was sent after the note was accepted.
        let answers = AtomicUsize::new(0);
        let list = async |node: &Daemon| {
            if let Some(list) = operator.notes(node).await {
                assert!(list.revision >= round + 2, "{} lists {list:?}", node.name);
                answers.fetch_add(1, Ordering::Relaxed);
            }
        };
        let nodes = cluster.nodes.iter().flat_map(|node| [node; REQUESTS]);
        let lists = join_all(nodes.map(&list));
        let resume = async {
            let is_answered = async || (answers.load(Ordering::Relaxed) > 0).then_some(());
            until("a list of notes while the leader is paused", is_answered).await;
            paused.signal(Signal::CONT);
        };
        tokio::join!(lists, resume);
        for node in &cluster.nodes {
            let what = format!("a list of notes through {}", node.name);
            let list = until(&what, async || operator.notes(node).await).await;
            assert_eq!(list.revision, round + 2, "through {}", node.name);
        }
        let settled = operator.leader(&cluster["plain-1"]).await;
        operator.accept(&cluster[&*leader], &note).await;
        assert_eq!(operator.leader(&cluster["plain-1"]).await, settled, "the leader changed");
    }
    cluster.until_in_force(3).await;
}
