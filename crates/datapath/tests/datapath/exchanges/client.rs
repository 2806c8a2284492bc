use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::exchanges::row::Client;
use crate::exchanges::sent_request::SentRequest;
use crate::exchanges::sent_request::DEADLINE_MS;
use crate::exchanges::wire::Head;
use crate::exchanges::wire::Part;
use crate::exchanges::wire::Reader;
use crate::exchanges::wire::Rest;

/// Receive buffer and rate of a client that reads slowly.
const SLOW_BUFFER_BYTES: u32 = 8 * 1_024;
const SLOW_BITS_PER_S: u32 = 9_000_000;

/// Time that a client waits for `100 Continue` before it sends its body anyway.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a client gives up, well after the deadline.
const PATIENCE: Duration = Duration::from_millis(DEADLINE_MS + 3_000);

/// What a client read in the place of one answer.
#[derive(Debug)]
pub enum Answer {
    Whole {
        head: Head,
        body: Vec<u8>,
    },
    /// The answer ended early, and the client can tell.
    Cut {
        head: Head,
        received_bytes: usize,
    },
    /// The connection ended before the head.
    Nothing(String),
}

/// What the reader has seen so far of the answer to a request that expects `100 Continue`.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Signal {
    None,
    Continue,
    Final,
}

async fn connect(address: SocketAddr, kind: Client) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    if kind == Client::ReadsSlowly {
        socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).unwrap();
    }
    let stream = socket.connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Sends a request. A client whose connection is closed while it sends goes on to read.
async fn write(
    stream: &mut OwnedWriteHalf,
    sent: &SentRequest,
    next: Option<&SentRequest>,
    mut signal: watch::Receiver<Signal>,
) {
    let mut pieces = vec![(sent.head_bytes.clone(), Duration::ZERO)];
    if sent.expects_continue {
        if stream.write_all(&sent.head_bytes).await.is_err() {
            return;
        }
        let told = signal.wait_for(|signal| *signal != Signal::None);
        let told = tokio::time::timeout(CONTINUE_TIMEOUT, told).await;
        if matches!(told, Ok(Ok(signal)) if *signal == Signal::Final) {
            return;
        }
        pieces.clear();
    }
    pieces.extend(sent.body_pieces.iter().cloned());
    if let Some(next) = next {
        pieces.push((next.head_bytes.clone(), Duration::ZERO));
    }
    for (bytes, pause) in pieces {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

async fn read(reader: &mut Reader, method: &str, signal: &watch::Sender<Signal>) -> Answer {
    let head = loop {
        match reader.head().await {
            Ok(Some(head)) if head.second_word() == "100" => {
                signal.send_replace(Signal::Continue);
            }
            Ok(Some(head)) => break head,
            Ok(None) => return Answer::Nothing("the connection was closed".into()),
            Err(e) => return Answer::Nothing(e.to_string()),
        }
    };
    signal.send_replace(Signal::Final);
    let mut rest = Rest::of_response(&head, method == "HEAD");
    let mut body = Vec::new();
    loop {
        match reader.part(&mut rest).await {
            Part::Data(data) => body.extend_from_slice(&data),
            Part::End(_) => return Answer::Whole { head, body },
            Part::Broken => return Answer::Cut { head, received_bytes: body.len() },
        }
    }
}

/// Sends a request, and another one behind it, on one connection, and reads the answers.
pub async fn exchange(
    address: SocketAddr,
    kind: Client,
    sent: &SentRequest,
    next: Option<&SentRequest>,
) -> (Answer, Option<Answer>) {
    let stream = connect(address, kind).await;
    let duplicate = SockRef::from(&stream).try_clone().unwrap();
    let (read_half, mut write_half) = stream.into_split();
    let mut reader = Reader::new(read_half);
    if kind == Client::ReadsSlowly {
        reader.limit_rate(SLOW_BITS_PER_S);
    }
    let signal = watch::Sender::new(Signal::None);
    let writing = write(&mut write_half, sent, next, signal.subscribe());
    let both = async {
        let reads_after_sending = kind == Client::ReadsAfterSending && !sent.expects_continue;
        if reads_after_sending {
            writing.await;
            return read(&mut reader, sent.method, &signal).await;
        }
        let closing = async {
            writing.await;
            if kind == Client::ClosesSendingSide {
                // The connection may have been closed already.
                let _ = duplicate.shutdown(std::net::Shutdown::Write);
            }
        };
        tokio::join!(read(&mut reader, sent.method, &signal), closing).0
    };
    let answer = tokio::time::timeout(PATIENCE, both).await;
    let answer = answer.unwrap_or_else(|_| Answer::Nothing("no answer in time".into()));
    let next_answer = match next {
        Some(next) if matches!(answer, Answer::Whole { .. }) => {
            let reading = read(&mut reader, next.method, &signal);
            let answer = tokio::time::timeout(PATIENCE, reading).await;
            Some(answer.unwrap_or_else(|_| Answer::Nothing("no answer in time".into())))
        }
        _ => None,
    };
    drop(write_half);
    (answer, next_answer)
}
