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

/// Counts the bytes that arrive after the head of a response.
///
/// The HTTP client stops reading at the announced content length, so a longer response would look
/// complete. The count shows that more bytes arrived than were announced.
#[derive(Debug, Default)]
pub(crate) struct ResponseByteCounter {
    /// Number of the latest request on the connection.
    request_number: AtomicU64,
    body_bytes: AtomicU64,
}

impl ResponseByteCounter {
    /// Resets the count for the response to a new request.
    pub(crate) fn start_response(&self) {
        self.body_bytes.store(0, Ordering::Relaxed);
        self.request_number.fetch_add(1, Ordering::Release);
    }

    /// Bytes received after the head so far, including the framing of the transfer encoding.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.body_bytes.load(Ordering::Acquire)
    }
}

/// Finds the end of the head of a response; informational responses (1xx) are skipped.
#[derive(Debug, Default)]
struct ResponseHeadScanner {
    request_number: u64,
    is_past_head: bool,
    head_bytes: usize,
    line_bytes: usize,
    is_informational: bool,
}

/// Position of the first digit of the status code in `HTTP/1.1 200`.
const STATUS_CODE_OFFSET: usize = 9;

impl ResponseHeadScanner {
    /// Number of bytes in the chunk that follow the head.
    fn count_body_bytes(&mut self, chunk: &[u8]) -> usize {
        for (index, byte) in chunk.iter().enumerate() {
            if self.is_past_head {
                return chunk.len() - index;
            }
            if self.head_bytes == STATUS_CODE_OFFSET {
                self.is_informational = *byte == b'1';
            }
            self.head_bytes += 1;
            match byte {
                b'\n' if self.line_bytes == 0 && self.head_bytes > STATUS_CODE_OFFSET => {
                    self.is_past_head = !self.is_informational;
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

/// Connection to the backend server that counts the body bytes of each response.
pub(crate) struct BackendStream {
    stream: TokioIo<TcpStream>,
    counter: Arc<ResponseByteCounter>,
    scanner: ResponseHeadScanner,
}

impl BackendStream {
    pub(crate) fn new(stream: TcpStream, counter: Arc<ResponseByteCounter>) -> Self {
        Self { stream: TokioIo::new(stream), counter, scanner: ResponseHeadScanner::default() }
    }

    fn count_received(&mut self, chunk: &[u8]) {
        let request_number = self.counter.request_number.load(Ordering::Acquire);
        if request_number != self.scanner.request_number {
            self.scanner = ResponseHeadScanner { request_number, ..ResponseHeadScanner::default() };
        }
        let bytes = if self.scanner.is_past_head {
            chunk.len()
        } else {
            self.scanner.count_body_bytes(chunk)
        };
        self.counter.body_bytes.fetch_add(bytes as u64, Ordering::Release);
    }
}

impl Read for BackendStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        // The cursor gives no access to bytes once they are written, so a local buffer is read
        // first.
        let mut buffer = [MaybeUninit::<u8>::uninit(); 16 * 1024];
        let room = buf.remaining().min(buffer.len());
        let mut read = ReadBuf::uninit(&mut buffer[..room]);
        match Pin::new(&mut this.stream).poll_read(cx, read.unfilled()) {
            Poll::Ready(Ok(())) => {
                this.count_received(read.filled());
                buf.put_slice(read.filled());
                Poll::Ready(Ok(()))
            }
            other => other,
        }
    }
}

impl Write for BackendStream {
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
