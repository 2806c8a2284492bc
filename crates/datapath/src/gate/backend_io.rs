use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Counts the bytes that arrive after the head of an answer.
///
/// The HTTP client stops at the announced length and would let a longer answer look whole. The
/// count shows that more bytes arrived than the answer may have.
#[derive(Debug, Default)]
pub(crate) struct AnswerCount {
    /// Number of the request on the connection.
    request: AtomicU64,
    body_bytes: AtomicU64,
}

impl AnswerCount {
    /// Starts to count the answer to a new request.
    pub(crate) fn begin(&self) {
        self.body_bytes.store(0, Ordering::Relaxed);
        self.request.fetch_add(1, Ordering::Release);
    }

    /// Bytes that followed the head so far, with their framing.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.body_bytes.load(Ordering::Acquire)
    }
}

/// Finds the end of the head of an answer; interim answers (1xx) are passed over.
#[derive(Debug, Default)]
struct HeadScan {
    request: u64,
    is_past_head: bool,
    head_bytes: usize,
    line_bytes: usize,
    is_interim: bool,
}

/// Position of the first digit of the status code in `HTTP/1.1 200`.
const STATUS_AT: usize = 9;

impl HeadScan {
    /// Number of bytes of the chunk that stand behind the head.
    fn body_part(&mut self, chunk: &[u8]) -> usize {
        for (at, byte) in chunk.iter().enumerate() {
            if self.is_past_head {
                return chunk.len() - at;
            }
            if self.head_bytes == STATUS_AT {
                self.is_interim = *byte == b'1';
            }
            self.head_bytes += 1;
            match byte {
                b'\n' if self.line_bytes == 0 && self.head_bytes > STATUS_AT => {
                    self.is_past_head = !self.is_interim;
                    self.head_bytes = 0;
                }
                b'\n' => self.line_bytes = 0,
                b'\r' => {}
                _ => self.line_bytes += 1,
            }
        }
        0
    }
}

/// Connection to the backend server that counts the bytes of answers.
pub(crate) struct BackendIo {
    stream: TokioIo<TcpStream>,
    count: Arc<AnswerCount>,
    scan: HeadScan,
}

impl BackendIo {
    pub(crate) fn new(stream: TcpStream, count: Arc<AnswerCount>) -> Self {
        Self { stream: TokioIo::new(stream), count, scan: HeadScan::default() }
    }

    fn record(&mut self, chunk: &[u8]) {
        let request = self.count.request.load(Ordering::Acquire);
        if request != self.scan.request {
            self.scan = HeadScan { request, ..HeadScan::default() };
        }
        let bytes = if self.scan.is_past_head { chunk.len() } else { self.scan.body_part(chunk) };
        self.count.body_bytes.fetch_add(bytes as u64, Ordering::Release);
    }
}

impl Read for BackendIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        // The cursor shows no bytes once they are written, so they pass through a local buffer.
        let mut local = [MaybeUninit::<u8>::uninit(); 16 * 1024];
        let room = buf.remaining().min(local.len());
        let mut read = ReadBuf::uninit(&mut local[..room]);
        match Pin::new(&mut this.stream).poll_read(cx, read.unfilled()) {
            Poll::Ready(Ok(())) => {
                this.record(read.filled());
                buf.put_slice(read.filled());
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }
}

impl Write for BackendIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }
}
