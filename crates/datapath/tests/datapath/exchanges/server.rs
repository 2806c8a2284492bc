use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::exchanges::row::AfterAnswer;
use crate::exchanges::row::AnswerAfter;
use crate::exchanges::row::AnswerForm;
use crate::exchanges::row::FirstTry;
use crate::exchanges::row::Meanwhile;
use crate::exchanges::row::Row;
use crate::exchanges::row::RunEnds;
use crate::exchanges::sent_request::pattern;
use crate::exchanges::wire::Head;
use crate::exchanges::wire::Part;
use crate::exchanges::wire::Reader;
use crate::exchanges::wire::Rest;

/// Time between the arrival of a request and its answer if something happens meanwhile, so that it has
/// begun by then.
const RUN_TIME: Duration = Duration::from_millis(300);

/// Number of pieces of an answer that is not sent in one go, and the pause after each.
const PIECES: usize = 6;
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a server that has closed its side reads what is still on its way, longer than any pause
/// of a node.
const CLOSING_TIME: Duration = Duration::from_secs(5);

/// How the body of a request ended at the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its framing says that it is complete; with the trailer fields.
    Whole(Vec<(String, Vec<u8>)>),
    Broken,
    /// The server did not read on.
    Unread,
}

/// A request as the server got it.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: BodyEnd,
}

/// Backend server that follows the script of a row.
pub struct Server {
    pub address: SocketAddr,
    row: Row,
    arrivals: Mutex<Vec<Arrival>>,
    /// Notified when the request of the row arrives.
    pub arrived: Notify,
}

/// Whether the target is that of a request which only checks that the nodes are connected.
pub fn is_check(target: &str) -> bool {
    target.contains("/check")
}

/// Identifier of a request, from its target.
fn id_of(target: &str) -> &str {
    let path = target.split(['?', ';']).next().unwrap_or("");
    path.rsplit('/').next().unwrap_or("")
}

/// Body of the answer to a request.
pub fn answer_body(row: &Row, id: &str) -> Vec<u8> {
    let is_next = id.starts_with("next");
    pattern(&format!("answer to {id}"), if is_next { 100 } else { row.answer_bytes })
}

impl Server {
    pub async fn start(row: Row) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (arrivals, arrived) = (Mutex::default(), Notify::new());
        let server = Arc::new(Self { address, row, arrivals, arrived });
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).serve(stream));
            }
        });
        server
    }

    /// Requests that have arrived, without checks.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Records a request, and returns its number and whether it is the first with its target.
    fn record(&self, head: &Head) -> (usize, bool) {
        let mut arrivals = self.arrivals.lock().unwrap();
        let is_first = arrivals.iter().all(|arrival| arrival.head.line != head.line);
        let (body, end) = (Vec::new(), BodyEnd::Unread);
        arrivals.push(Arrival { head: head.clone(), body, end });
        (arrivals.len() - 1, is_first)
    }

    fn update(&self, number: usize, change: impl FnOnce(&mut Arrival)) {
        change(&mut self.arrivals.lock().unwrap()[number]);
    }

    /// Reads a body until at least `limit` bytes have come or it ends. Returns whether it has ended.
    async fn read(&self, reader: &mut Reader, rest: &mut Rest, at: usize, limit: usize) -> bool {
        let mut count = 0;
        while count < limit {
            match reader.part(rest).await {
                Part::Data(data) => {
                    count += data.len();
                    self.update(at, |arrival| arrival.body.extend_from_slice(&data));
                }
                Part::End(trailer) => {
                    self.update(at, |arrival| arrival.end = BodyEnd::Whole(trailer));
                    return true;
                }
                Part::Broken => {
                    self.update(at, |arrival| arrival.end = BodyEnd::Broken);
                    return true;
                }
            }
        }
        false
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let (read_half, mut writer) = stream.into_split();
        let mut reader = Reader::new(read_half);
        while let Ok(Some(head)) = reader.head().await {
            let target = head.second_word();
            if is_check(&target) {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                if writer.write_all(answer).await.is_err() {
                    return;
                }
                continue;
            }
            if !self.run(&head, &target, &mut reader, &mut writer).await {
                return;
            }
        }
    }

    /// Runs a request. Returns whether the connection is kept.
    async fn run(
        &self,
        head: &Head,
        target: &str,
        reader: &mut Reader,
        writer: &mut OwnedWriteHalf,
    ) -> bool {
        let (row, id) = (&self.row, id_of(target));
        let is_next = id.starts_with("next");
        let (number, is_first) = self.record(head);
        let mut rest = Rest::of_request(head);
        if is_next {
            self.read(reader, &mut rest, number, usize::MAX).await;
            return self.answer(head, id, writer).await;
        }
        self.arrived.notify_one();
        let limit = match row.answer_after {
            AnswerAfter::Head => 0,
            AnswerAfter::FourKilobytes => 4_096,
            AnswerAfter::HalfOfBody => row.sent_body_bytes() / 2,
            AnswerAfter::Body => usize::MAX,
        };
        let has_ended = self.read(reader, &mut rest, number, limit).await;
        if is_first && row.first_try == FirstTry::Fails {
            return false;
        }
        if row.meanwhile != Meanwhile::Nothing {
            let lasts = match row.run_ends {
                RunEnds::Meanwhile => Duration::ZERO,
                RunEnds::Afterwards => row.disturbance(),
            };
            tokio::time::sleep(lasts + RUN_TIME).await;
        }
        let is_sent = self.answer(head, id, writer).await;
        match row.after_answer {
            AfterAnswer::KeepsAndReads => {
                if !has_ended {
                    self.read(reader, &mut rest, number, usize::MAX).await;
                }
                let is_whole =
                    matches!(self.arrivals.lock().unwrap()[number].end, BodyEnd::Whole(_));
                is_sent && is_whole
            }
            AfterAnswer::Closes => {
                let _ = writer.shutdown().await;
                let reading =
                    async { while let Part::Data(_) = reader.part(&mut Rest::UntilClose).await {} };
                let _ = tokio::time::timeout(CLOSING_TIME, reading).await;
                false
            }
            AfterAnswer::KeepsUnread if has_ended => is_sent,
            AfterAnswer::KeepsUnread => std::future::pending().await,
        }
    }

    /// Sends the answer; returns false if the connection has ended.
    async fn answer(&self, head: &Head, id: &str, writer: &mut OwnedWriteHalf) -> bool {
        let body = answer_body(&self.row, id);
        let form = if id.starts_with("next") { AnswerForm::OneGo } else { self.row.answer_form };
        let framing = match form {
            AnswerForm::Chunks => "transfer-encoding: chunked".to_string(),
            AnswerForm::OneGo | AnswerForm::Pieces => format!("content-length: {}", body.len()),
        };
        let mut bytes =
            format!("HTTP/1.1 200 OK\r\nx-answer: {id}\r\n{framing}\r\n\r\n").into_bytes();
        if head.line.starts_with(b"HEAD ") {
            return writer.write_all(&bytes).await.is_ok();
        }
        if form == AnswerForm::OneGo {
            bytes.extend_from_slice(&body);
            return writer.write_all(&bytes).await.is_ok();
        }
        let mut pieces = vec![bytes];
        for piece in body.chunks(body.len().div_ceil(PIECES).max(1)) {
            pieces.push(match form {
                AnswerForm::Chunks => {
                    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
                }
                _ => piece.to_vec(),
            });
        }
        if form == AnswerForm::Chunks {
            pieces.push(b"0\r\n\r\n".to_vec());
        }
        for piece in pieces {
            if writer.write_all(&piece).await.is_err() {
                return false;
            }
            tokio::time::sleep(PIECE_PAUSE).await;
        }
        true
    }
}
