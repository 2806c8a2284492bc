//! Guards against forged, damaged and malformed messages reaching the state machines.

use quickcheck::TestResult;
use tarragon_testkit::check;
use tarragon_wire::open;
use tarragon_wire::seal;
use tarragon_wire::Channel;
use tarragon_wire::DeploymentKey;
use tarragon_wire::WireError;

type Sample = (u64, Vec<String>, Option<Vec<u8>>);

fn key() -> DeploymentKey {
    DeploymentKey::from_text("a key for tests only")
}

#[test]
fn a_sealed_message_opens_to_itself() {
    fn property(sample: Sample) -> TestResult {
        let Ok(bytes) = seal(&key(), Channel::Replica, &sample) else {
            return TestResult::discard();
        };
        TestResult::from_bool(open::<Sample>(&key(), Channel::Replica, &bytes) == Ok(sample))
    }
    check(1, 200, property as fn(Sample) -> TestResult);
}

#[test]
fn random_bytes_never_open() {
    fn property(bytes: Vec<u8>) -> bool {
        open::<Sample>(&key(), Channel::Membership, &bytes).is_err()
    }
    check(2, 1000, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_changed_bit_never_opens() {
    fn property(sample: Sample, at: usize, bit: u8) -> TestResult {
        let Ok(mut bytes) = seal(&key(), Channel::Replica, &sample) else {
            return TestResult::discard();
        };
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        TestResult::from_bool(open::<Sample>(&key(), Channel::Replica, &bytes).is_err())
    }
    check(3, 200, property as fn(Sample, usize, u8) -> TestResult);
}

/// A peer with the key but a bug must not cause a panic or a large allocation.
#[test]
fn a_tagged_random_payload_never_panics() {
    fn property(payload: Vec<u8>) -> bool {
        let mut bytes = vec![1, Channel::Membership as u8];
        bytes.extend_from_slice(&payload);
        let tag = key().tag(&bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..16]);
        let opened = open::<Sample>(&key(), Channel::Membership, &bytes);
        opened.is_ok() || matches!(opened, Err(WireError::Malformed | WireError::TooLong))
    }
    check(4, 1000, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_message_of_another_channel_or_key_is_refused() {
    let bytes = seal(&key(), Channel::Replica, &7u8).unwrap();
    assert_eq!(
        open::<u8>(&key(), Channel::Membership, &bytes),
        Err(WireError::WrongChannel(Channel::Replica as u8))
    );
    let other = DeploymentKey::from_text("another key for tests");
    assert_eq!(open::<u8>(&other, Channel::Replica, &bytes), Err(WireError::BadTag));
}
