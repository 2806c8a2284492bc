//! Announcements of backend servers with values that parse and do harm.

use std::time::Duration;
use std::time::SystemTime;

use tarragon_model::api::is_start_time;
use tarragon_model::api::Announcement;
use tarragon_model::api::ServerIdentity;

const NOW_MS: u64 = 1_700_000_000_000;
const STARTED_AT_MS: u64 = NOW_MS - 60_000;

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(NOW_MS)
}

fn announcement() -> Announcement {
    Announcement {
        service: "ripewatch".into(),
        address: "10.1.0.8:8301".parse().expect("the address is valid"),
        slots: 75,
        cold_start_ms: 0,
        ttl_ms: 1_000,
        draining: false,
        server: Some(ServerIdentity {
            id: "i-1".into(),
            started_at_ms: STARTED_AT_MS,
            sequence: 40,
        }),
    }
}

#[test]
fn the_announcement_of_a_server_has_no_mistake() {
    assert_eq!(announcement().mistake(now()), None);
    let anonymous = Announcement { server: None, ..announcement() };
    assert_eq!(anonymous.mistake(now()), None);
}

/// Guards against an announcement of another writer after which those of the server look outdated.
#[test]
fn an_identity_that_no_later_announcement_can_exceed_is_a_mistake() {
    let identities = [
        (STARTED_AT_MS, u64::MAX),
        (STARTED_AT_MS, u64::MAX - 1),
        (STARTED_AT_MS, 1 << 53),
        (u64::MAX, 0),
        (1 << 53, 0),
    ];
    for (started_at_ms, sequence) in identities {
        let id = "i-1".into();
        let server = Some(ServerIdentity { id, started_at_ms, sequence });
        let odd = Announcement { server, ..announcement() };
        assert!(odd.mistake(now()).is_some(), "started at {started_at_ms}, sequence {sequence}");
    }
    assert!(!is_start_time(u64::MAX, now()));
    // The clocks of hosts differ.
    assert!(is_start_time(NOW_MS + 5_000, now()));
}

#[test]
fn names_addresses_and_slots_that_no_server_has_are_mistakes() {
    let megabyte = "x".repeat(1 << 20);
    let identity = |id: &str| {
        Some(ServerIdentity { id: id.into(), started_at_ms: STARTED_AT_MS, sequence: 1 })
    };
    let address = |text: &str| text.parse().expect("the address is valid");
    let odd = [
        Announcement { service: String::new(), ..announcement() },
        Announcement { service: megabyte.clone(), ..announcement() },
        Announcement { service: "ripe\nwatch".into(), ..announcement() },
        Announcement { slots: 0, ..announcement() },
        Announcement { slots: u32::MAX, ..announcement() },
        Announcement { address: address("10.1.0.8:0"), ..announcement() },
        Announcement { address: address("0.0.0.0:8301"), ..announcement() },
        Announcement { server: identity(""), ..announcement() },
        Announcement { server: identity(&megabyte), ..announcement() },
    ];
    for announcement in odd {
        assert!(announcement.mistake(now()).is_some());
    }
}
