use bytes::Bytes;
use futures_util::stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;

use super::ReplayBody;
use super::PREFIX_BYTES;
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
    ReplayBody::read(body, MAX_BUFFERED_BYTES).await.expect("the body is complete")
}

/// Guards against taking one request for two, because it comes with a length or in other pieces.
#[tokio::test]
async fn the_prefix_does_not_depend_on_the_pieces_and_the_body_is_unchanged() {
    for length in [0, 1, PREFIX_BYTES - 1, PREFIX_BYTES, PREFIX_BYTES + 1, 200_000] {
        let bytes: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
        let whole = read(full(bytes.clone())).await;
        assert_eq!(whole.prefix(), &bytes[..length.min(PREFIX_BYTES)]);
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
    assert_eq!(body.prefix(), [7; 100]);
    let first = body.attempt_body().frame().await.expect("there is a frame");
    assert_eq!(first.expect("the body goes on").data_ref().map(Bytes::len), Some(100));
}
