use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use tokio::net::TcpListener;
use tokio_util::task::TaskTracker;

use super::has_ended;
use super::CrashDetector;
use super::PROBE_HOLD;
use crate::datapath::Clock;
use crate::quarantine::SharedLedger;

/// Guards against a crash that is not counted because the dying process still accepts a connection
/// right after it has closed those of its requests.
#[tokio::test]
async fn a_server_that_ends_while_it_accepts_the_probe_has_crashed() {
    for late_closing_ms in [0, 5, 20] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let ending = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(late_closing_ms)).await;
            drop(listener);
        });
        assert!(has_ended(address).await, "closed after {late_closing_ms} ms");
        ending.await.expect("the task does not panic");
    }
}

/// Guards against taking a server for crashed that closes connections although it runs.
#[tokio::test]
async fn a_server_that_runs_has_not_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    assert!(!has_ended(address).await, "it accepts nothing");
    let closing = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            drop(stream);
        }
    });
    assert!(!has_ended(address).await, "it closes what it accepts");
    closing.abort();
}

/// Guards against requests that wait for each other's checks after a server has closed many
/// connections at once.
#[tokio::test]
async fn connections_that_break_together_are_checked_together() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let ledger = Arc::new(SharedLedger::new(Clock::default()));
    let detector = Arc::new(CrashDetector::new(ledger, TaskTracker::new()));
    let started = Instant::now();
    join_all((0..100).map(|_| detector.check(address))).await;
    assert!(started.elapsed() < PROBE_HOLD * 20, "{:?}", started.elapsed());
}
