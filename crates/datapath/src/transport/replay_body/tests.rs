use bytes::Bytes;
use futures_util::stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;

use super::ReplayBody;
use super::PREFIX_BYTES;
use super::PREFIX_TIMEOUT;
use super::SUSPECT_PREFIX_TIMEOUT;
use crate::transport::full;
use crate::transport::Body;
use crate::transport::BoxError;

const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

fn pieces(bytes: &[u8], piece_bytes: usize) -> Vec<Result<Frame<Bytes>, BoxError>> {
    bytes.chunks(piece_bytes).map(|p| Ok(Frame::data(Bytes::copy_from_slice(p)))).collect()
}

fn in_pieces(bytes: &[u8], piece_bytes: usize) -> Body {
    StreamBody::new(stream::iter(pieces(bytes, piece_bytes))).boxed_unsync()
}

async fn read(body: Body) -> ReplayBody {
    ReplayBody::read(body, MAX_BUFFERED_BYTES, PREFIX_TIMEOUT).await.expect("the body is complete")
}

/// Guards against taking one request for two, because it comes with a length or in other pieces.
#[tokio::test]
async fn the_prefix_does_not_depend_on_the_pieces_and_the_body_is_unchanged() {
    for length in [0, 1, PREFIX_BYTES - 1, PREFIX_BYTES, PREFIX_BYTES + 1, 200_000] {
        let bytes: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
        let whole = read(full(bytes.clone())).await;
        assert_eq!(whole.prefix(), Some(&bytes[..length.min(PREFIX_BYTES)]));
        assert_eq!(whole.attempt_body().size_hint().exact(), Some(length as u64));
        let sent = whole.attempt_body().collect().await.expect("the body is complete");
        assert!(sent.to_bytes() == bytes, "{length} bytes with a length");
        for piece_bytes in [1_000, 16_384, 70_000] {
            let body = read(in_pieces(&bytes, piece_bytes)).await;
            assert!(body.prefix() == whole.prefix(), "{length} bytes in pieces of {piece_bytes}");
            let sent = body.attempt_body().collect().await.expect("the body is complete");
            assert!(sent.to_bytes() == bytes, "{length} bytes in pieces of {piece_bytes}");
        }
    }
}

/// Guards against taking two large uploads of one length for the same request.
#[tokio::test]
async fn large_bodies_of_one_length_differ_in_their_prefix() {
    let first = read(full(vec![1; 200_000])).await;
    let second = read(full(vec![2; 200_000])).await;
    assert_ne!(first.prefix(), second.prefix());
}

/// Guards against a request that is held back until its caller has sent more of the body.
#[tokio::test(start_paused = true)]
async fn a_body_that_pauses_is_not_waited_for() {
    let paused = stream::iter(pieces(&[7; 100], 100)).chain(stream::pending());
    let body = read(StreamBody::new(paused).boxed_unsync()).await;
    assert_eq!(body.prefix(), None);
    let first = body.attempt_body().frame().await.expect("there is a frame");
    assert_eq!(first.expect("the body goes on").data_ref().map(Bytes::len), Some(100));
}

/// Guards against taking a request for another one each time, because its line is slow and its first
/// piece ends elsewhere (case 5 of the review).
#[tokio::test(start_paused = true)]
async fn the_prefix_of_a_suspect_does_not_depend_on_pauses() {
    let bytes: Vec<u8> = (0..90_000_usize).map(|at| (at % 251) as u8).collect();
    for first_bytes in [1, 700, 2_000, 9_000, PREFIX_BYTES - 1] {
        let slow = || {
            let (first, rest) = bytes.split_at(first_bytes);
            let rest = stream::iter(pieces(rest, 4_000)).then(|piece| async move {
                tokio::time::sleep(PREFIX_TIMEOUT * 5 / 2).await;
                piece
            });
            StreamBody::new(stream::iter(pieces(first, 4_000)).chain(rest)).boxed_unsync()
        };
        let body = read(slow()).await;
        assert_eq!(body.prefix(), None, "{first_bytes} bytes are no prefix");
        let suspect = ReplayBody::read(slow(), MAX_BUFFERED_BYTES, SUSPECT_PREFIX_TIMEOUT).await;
        let suspect = suspect.expect("the body is complete");
        assert!(suspect.prefix() == Some(&bytes[..PREFIX_BYTES]), "{first_bytes} bytes at first");
        let sent = suspect.attempt_body().collect().await.expect("the body is complete");
        assert!(sent.to_bytes() == bytes);
    }
}
