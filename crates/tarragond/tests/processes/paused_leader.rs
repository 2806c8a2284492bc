//! The process of the leader is paused for longer than an election and then resumed.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use futures_util::future::join_all;
use rustix::process::Signal;

use crate::support::next_note;
use crate::support::wait_until;
use crate::support::Cluster;
use crate::support::Daemon;

/// Number of requests that wait at each node when the old leader is resumed.
const REQUESTS: usize = 8;

/// Guards against a former leader that responds from its stale state as if it were still the
/// leader, and against further elections after it is resumed.
#[tokio::test]
async fn a_resumed_leader_gives_no_stale_response() {
    let mut cluster = Cluster::new(&["replica-1", "replica-2", "replica-3", "plain-1"]);
    cluster.start().await;
    let operator = &cluster.operator;
    for round in 0..2 {
        let (leader, term) = operator.wait_for_leader(&cluster["plain-1"]).await;
        let paused = &cluster[&*leader];
        paused.signal(Signal::STOP);
        let is_replaced = async || {
            let leaders = operator.leaders(&cluster["plain-1"]).await?;
            leaders.iter().any(|info| info.term > term).then_some(())
        };
        wait_until("another replica becomes the leader", is_replaced).await;
        let note = next_note(&format!("note-{round}"), round + 2);
        operator.submit_until_accepted(&cluster["plain-1"], &note).await;
        // The requests to the paused node wait in its socket buffers, so that it handles them first
        // when it is resumed. All of them are sent after the note was accepted.
        let response_count = AtomicUsize::new(0);
        let list = async |node: &Daemon| {
            if let Some(list) = operator.notes(node).await {
                assert!(list.revision >= round + 2, "{} lists {list:?}", node.name);
                response_count.fetch_add(1, Ordering::Relaxed);
            }
        };
        let nodes = cluster.nodes.iter().flat_map(|node| [node; REQUESTS]);
        let lists = join_all(nodes.map(&list));
        let resume = async {
            let has_response = async || (response_count.load(Ordering::Relaxed) > 0).then_some(());
            wait_until("a node lists the notes while the leader is paused", has_response).await;
            paused.signal(Signal::CONT);
        };
        tokio::join!(lists, resume);
        for node in &cluster.nodes {
            let what = format!("{} lists the notes", node.name);
            let list = wait_until(&what, async || operator.notes(node).await).await;
            assert_eq!(list.revision, round + 2, "through {}", node.name);
        }
        let settled_leader = operator.wait_for_leader(&cluster["plain-1"]).await;
        operator.submit_until_accepted(&cluster[&*leader], &note).await;
        assert_eq!(
            operator.wait_for_leader(&cluster["plain-1"]).await,
            settled_leader,
            "the leader changed"
        );
    }
    cluster.wait_until_in_force(3).await;
}
