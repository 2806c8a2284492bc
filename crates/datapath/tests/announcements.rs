//! Tests of the announcements of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tarragon_datapath::backend::Announcements;
use tarragon_kernel::Kernel;
use tarragon_kernel::Service;
use tarragon_model::api::Announcement;
use tarragon_model::member::BackendState;
use tokio_util::sync::CancellationToken;

fn announcement() -> Announcement {
    Announcement {
        service: "ripewatch".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9001)),
        slots: 75,
        cold_start_ms: 2_000,
        ttl_ms: 1_000,
        draining: false,
    }
}

/// Announces repeatedly for a time, like a live backend server.
async fn keep_alive(announcements: &Announcements, time_ms: u64) {
    for _ in 0..time_ms / 500 {
        announcements.announce(announcement());
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

async fn with_announcements<F: std::future::Future>(run: impl FnOnce(Arc<Announcements>) -> F) {
    let announcements = Arc::new(Announcements::default());
    let stop = CancellationToken::new();
    let service = Arc::clone(&announcements);
    let running = tokio::spawn(service.run(Arc::new(Kernel::new()), stop.clone()));
    run(announcements).await;
    stop.cancel();
    running.await.expect("the service does not panic").expect("the service ends well");
}

/// Guards against work for a backend server that died without a word, and against a cold start
/// that is skipped or never ends.
#[tokio::test(start_paused = true)]
async fn a_server_starts_cold_becomes_ready_and_is_withdrawn_when_it_falls_silent() {
    with_announcements(|announcements| async move {
        assert_eq!(announcements.present().state, BackendState::Absent);
        keep_alive(&announcements, 1_500).await;
        assert_eq!(announcements.present().state, BackendState::Starting);
        keep_alive(&announcements, 1_500).await;
        assert_eq!(announcements.present().state, BackendState::Ready);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(announcements.present().state, BackendState::Absent);
    })
    .await;
}

/// Guards against a drain that ends when the cleaned server announces itself again, and against
/// full load on a server that comes back cold.
#[tokio::test(start_paused = true)]
async fn a_drain_outlives_the_server_and_ends_with_a_cold_start() {
    with_announcements(|announcements| async move {
        keep_alive(&announcements, 3_000).await;
        announcements.set_drain(true);
        assert_eq!(announcements.present().state, BackendState::Draining);
        tokio::time::sleep(Duration::from_secs(60)).await;
        keep_alive(&announcements, 3_000).await;
        assert_eq!(announcements.present().state, BackendState::Draining);
        announcements.set_drain(false);
        assert_eq!(announcements.present().state, BackendState::Starting);
    })
    .await;
}
