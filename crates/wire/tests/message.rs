//! Guards against forged, altered and malformed messages that are delivered to the state machines.

use quickcheck::TestResult;
use tarragon_testkit::check_property;
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tarragon_wire::WireError;

type Sample = (u64, Vec<String>, Option<Vec<u8>>);

fn key() -> DeploymentKey {
    DeploymentKey::from_text("a key for tests only")
}

#[test]
fn an_encoded_message_decodes_to_itself() {
    fn property(sample: Sample) -> TestResult {
        let Ok(bytes) = encode_authenticated(&key(), MessageChannel::Replica, &sample) else {
            return TestResult::discard();
        };
        TestResult::from_bool(
            decode_authenticated::<Sample>(&key(), MessageChannel::Replica, &bytes) == Ok(sample),
        )
    }
    check_property(1, 200, property as fn(Sample) -> TestResult);
}

#[test]
fn random_bytes_are_refused() {
    fn property(bytes: Vec<u8>) -> bool {
        decode_authenticated::<Sample>(&key(), MessageChannel::Membership, &bytes).is_err()
    }
    check_property(2, 1000, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_message_with_a_flipped_bit_is_refused() {
    fn property(sample: Sample, index: usize, bit: u8) -> TestResult {
        let Ok(mut bytes) = encode_authenticated(&key(), MessageChannel::Replica, &sample) else {
            return TestResult::discard();
        };
        let index = index % bytes.len();
        bytes[index] ^= 1 << (bit % 8);
        TestResult::from_bool(
            decode_authenticated::<Sample>(&key(), MessageChannel::Replica, &bytes).is_err(),
        )
    }
    check_property(3, 200, property as fn(Sample, usize, u8) -> TestResult);
}

/// Guards against a peer with the key and a bug that causes a panic or a large allocation.
#[test]
fn a_random_payload_with_a_valid_tag_does_not_panic() {
    fn property(payload: Vec<u8>) -> bool {
        let mut bytes = vec![1, MessageChannel::Membership as u8];
        bytes.extend_from_slice(&payload);
        let tag = key().tag(&bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..16]);
        let result = decode_authenticated::<Sample>(&key(), MessageChannel::Membership, &bytes);
        result.is_ok() || matches!(result, Err(WireError::Malformed | WireError::TooLong))
    }
    check_property(4, 1000, property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_message_of_another_channel_or_key_is_refused() {
    let bytes = encode_authenticated(&key(), MessageChannel::Replica, &7u8).unwrap();
    assert_eq!(
        decode_authenticated::<u8>(&key(), MessageChannel::Membership, &bytes),
        Err(WireError::WrongChannel(MessageChannel::Replica as u8))
    );
    let other_key = DeploymentKey::from_text("another key for tests");
    assert_eq!(
        decode_authenticated::<u8>(&other_key, MessageChannel::Replica, &bytes),
        Err(WireError::BadTag)
    );
}
