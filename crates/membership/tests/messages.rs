//! Tests of the datagram format: equality of the hand-written and the derived encoding, size
//! limits, and malformed or unexpected datagrams.

use std::net::IpAddr;
use std::net::SocketAddr;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use serde::Deserialize;
use serde::Serialize;
use tarragon_membership::Datagram;
use tarragon_membership::DatagramBody;
use tarragon_membership::DatagramHeader;
use tarragon_membership::MemberUpdate;
use tarragon_membership::Membership;
use tarragon_membership::MembershipEvent;
use tarragon_membership::MembershipSettings;
use tarragon_model::identity::InstanceId;
use tarragon_model::member::BackendState;
use tarragon_model::member::MemberRecord;
use tarragon_wire::decode_authenticated;
use tarragon_wire::encode_authenticated;
use tarragon_wire::DeploymentKey;
use tarragon_wire::MessageChannel;
use tarragon_wire::MAX_DATAGRAM_BYTES;

/// Header with derived Serde code.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct DerivedHeader {
    instance: InstanceId,
    revision: u64,
    highest_revision: u64,
    digest: u32,
}

/// Update with a full record and derived Serde code.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum DerivedUpdate {
    Full(MemberRecord),
}

#[derive(Debug, Clone)]
struct AnyRecord(MemberRecord);

fn any_address(g: &mut Gen) -> SocketAddr {
    SocketAddr::new(IpAddr::arbitrary(g), u16::arbitrary(g))
}

fn any_text(g: &mut Gen) -> String {
    let length = usize::arbitrary(g) % 65;
    (0..length).map(|_| char::from(b'a' + u8::arbitrary(g) % 26)).collect()
}

fn any_record(g: &mut Gen) -> MemberRecord {
    let states =
        [BackendState::Absent, BackendState::Starting, BackendState::Ready, BackendState::Draining];
    MemberRecord {
        node: any_text(g),
        instance: InstanceId(u64::arbitrary(g)),
        data_centre: any_text(g),
        region: any_text(g),
        gossip_address: any_address(g),
        peer_address: any_address(g),
        control_address: any_address(g),
        replica_address: bool::arbitrary(g).then(|| any_address(g)),
        service: any_text(g),
        state: *g.choose(&states).unwrap_or(&BackendState::Ready),
        version: u32::arbitrary(g),
        revision: u64::arbitrary(g),
    }
}

impl Arbitrary for AnyRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(any_record(g))
    }
}

#[derive(Debug, Clone)]
struct AnyDatagram(Datagram);

impl Arbitrary for AnyDatagram {
    fn arbitrary(g: &mut Gen) -> Self {
        // Only six instances, so that updates often concern known members.
        let instance = |g: &mut Gen| InstanceId(u64::arbitrary(g) % 6);
        let target = instance(g);
        let sequence = u32::arbitrary(g);
        let body = match u8::arbitrary(g) % 7 {
            0 => DatagramBody::Ping { sequence, target },
            1 => DatagramBody::PingRequest { sequence, target, address: any_address(g) },
            2 => DatagramBody::Ack { sequence, responder: target },
            3 => DatagramBody::Nack { sequence },
            4 => DatagramBody::Gossip,
            5 => DatagramBody::Pull { sequence, after: u64::arbitrary(g) },
            _ => DatagramBody::Page { sequence, next: Option::<u64>::arbitrary(g) },
        };
        let updates = (0..usize::arbitrary(g) % 5).map(|_| {
            let (id, version) = (instance(g), u32::arbitrary(g));
            match u8::arbitrary(g) % 8 {
                0 | 1 => {
                    MemberUpdate::Full(Box::new(MemberRecord { instance: id, ..any_record(g) }))
                }
                2 => MemberUpdate::brief(&MemberRecord { instance: id, ..any_record(g) }),
                3 => MemberUpdate::Suspect { instance: id, version, accuser: u16::arbitrary(g) },
                4 => MemberUpdate::Unreachable { instance: id, version },
                5 => MemberUpdate::Dead { instance: id, version },
                6 => MemberUpdate::Revision { instance: id, revision: u64::arbitrary(g) },
                _ => MemberUpdate::Left { instance: id },
            }
        });
        let updates = updates.collect();
        let header = DatagramHeader {
            instance: instance(g),
            revision: u64::arbitrary(g),
            highest_revision: u64::arbitrary(g),
            digest: u32::arbitrary(g),
        };
        Self(Datagram { header, body, updates })
    }
}

fn new_membership() -> Membership {
    let mut g = Gen::from_size_and_seed(10, 7);
    let own_record = MemberRecord { instance: InstanceId(1), version: 1, ..any_record(&mut g) };
    Membership::new(MembershipSettings::default(), own_record, 7, 0)
}

fn key() -> DeploymentKey {
    DeploymentKey::from_text("a deployment key for tests")
}

#[test]
fn hand_written_records_equal_derived_ones() {
    fn is_equal(record: AnyRecord) -> bool {
        let AnyRecord(record) = record;
        let update = MemberUpdate::Full(Box::new(record.clone()));
        let bytes = postcard::to_allocvec(&update).unwrap();
        let derived = DerivedUpdate::Full(record);
        let is_within_bound = bytes.len() <= update.max_size_bytes() + 1;
        is_within_bound
            && bytes == postcard::to_allocvec(&derived).unwrap()
            && postcard::from_bytes::<MemberUpdate>(&bytes) == Ok(update)
            && postcard::from_bytes::<DerivedUpdate>(&bytes) == Ok(derived)
    }
    tarragon_testkit::check_property(51, 500, is_equal as fn(AnyRecord) -> bool);
}

#[test]
fn hand_written_headers_equal_derived_ones() {
    fn is_equal(instance: u64, revision: u64, highest_revision: u64, digest: u32) -> bool {
        let instance = InstanceId(instance);
        let header = DatagramHeader { instance, revision, highest_revision, digest };
        let derived = DerivedHeader { instance, revision, highest_revision, digest };
        let bytes = postcard::to_allocvec(&header).unwrap();
        bytes == postcard::to_allocvec(&derived).unwrap()
            && postcard::from_bytes::<DatagramHeader>(&bytes) == Ok(header)
            && postcard::from_bytes::<DerivedHeader>(&bytes) == Ok(derived)
    }
    tarragon_testkit::check_property(52, 500, is_equal as fn(u64, u64, u64, u32) -> bool);
}

#[test]
fn encoded_updates_do_not_exceed_their_size_bound() {
    fn is_within_bound(datagram: AnyDatagram) -> bool {
        let mut updates = datagram.0.updates.iter();
        updates.all(|u| postcard::to_allocvec(u).unwrap().len() <= u.max_size_bytes())
    }
    tarragon_testkit::check_property(53, 500, is_within_bound as fn(AnyDatagram) -> bool);
}

/// Guards against accepting a record that is too long to be passed on.
#[test]
fn a_record_with_a_long_text_is_malformed() {
    let mut g = Gen::from_size_and_seed(10, 9);
    let record = MemberRecord { node: "x".repeat(65), ..any_record(&mut g) };
    let bytes = postcard::to_allocvec(&MemberUpdate::Full(Box::new(record))).unwrap();
    assert!(postcard::from_bytes::<MemberUpdate>(&bytes).is_err());
}

/// Guards against an allocation for more updates than the datagram contains, caused by a false
/// update count.
#[test]
fn an_update_count_beyond_the_data_is_malformed() {
    let header =
        DatagramHeader { instance: InstanceId(1), revision: 0, highest_revision: 0, digest: 0 };
    let datagram = Datagram { header, body: DatagramBody::Gossip, updates: Vec::new() };
    let mut bytes = postcard::to_allocvec(&datagram).unwrap();
    bytes.pop();
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert!(postcard::from_bytes::<Datagram>(&bytes).is_err());
}

/// Corrupted or truncated datagrams must be rejected without a panic, and no part of them may be
/// used.
#[test]
fn damaged_datagrams_are_refused() {
    fn is_refused(datagram: AnyDatagram, position: usize, damage: u8, cut: usize) -> bool {
        let Ok(mut bytes) = encode_authenticated(&key(), MessageChannel::Membership, &datagram.0)
        else {
            return true;
        };
        let length = bytes.len();
        bytes[position % length] ^= damage | 1;
        let is_damaged_refused =
            decode_authenticated::<Datagram>(&key(), MessageChannel::Membership, &bytes).is_err();
        bytes.truncate(cut % length);
        is_damaged_refused
            && decode_authenticated::<Datagram>(&key(), MessageChannel::Membership, &bytes).is_err()
    }
    tarragon_testkit::check_property(
        54,
        500,
        is_refused as fn(AnyDatagram, usize, u8, usize) -> bool,
    );
}

/// Guards against faults in decoding an authenticated datagram with a random payload: decoding must
/// not panic, and the datagram encoded again must not be longer than the payload.
#[test]
fn random_payloads_do_not_panic() {
    fn is_valid(payload: Vec<u8>) -> bool {
        match postcard::from_bytes::<Datagram>(&payload) {
            Ok(datagram) => postcard::to_allocvec(&datagram).unwrap().len() <= payload.len(),
            Err(_) => true,
        }
    }
    tarragon_testkit::check_property(55, 5_000, is_valid as fn(Vec<u8>) -> bool);
}

/// Authenticated datagrams with arbitrary content must not cause a panic, lower the known revision,
/// make the node remove itself from the members, or cause datagrams above the size limit.
#[test]
fn unexpected_datagrams_keep_the_state_consistent() {
    fn is_valid(datagrams: Vec<AnyDatagram>) -> bool {
        let mut membership = new_membership();
        let (mut now_ms, mut revision, mut is_valid) = (0, 0, true);
        for AnyDatagram(datagram) in datagrams {
            now_ms += 60;
            let from = SocketAddr::from(([127, 0, 0, 1], 9));
            let mut actions = membership.step(MembershipEvent::Receive(from, datagram), now_ms);
            actions.extend(membership.step(MembershipEvent::Tick, now_ms));
            for action in actions {
                if let tarragon_membership::MembershipAction::Send(_, datagram) = action {
                    let encoded =
                        encode_authenticated(&key(), MessageChannel::Membership, &datagram);
                    is_valid &= encoded.is_ok_and(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES);
                }
            }
            is_valid &= membership.highest_known_revision() >= revision;
            revision = membership.highest_known_revision();
            is_valid &= membership.reachable_members()[0].instance == InstanceId(1);
        }
        is_valid
    }
    tarragon_testkit::check_property(56, 200, is_valid as fn(Vec<AnyDatagram>) -> bool);
}
