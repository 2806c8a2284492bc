use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::Sleep;

/// Connection to a caller that fails if the caller reads no bytes for longer than the timeout.
///
/// Without the timeout a caller that stops reading would keep its connection open forever, and the
/// shutdown of the node would wait for it.
pub(crate) struct WriteTimeoutIo {
    stream: TokioIo<TcpStream>,
    timeout: Duration,
    /// Set while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutIo {
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> Self {
        Self { stream: TokioIo::new(stream), timeout, timer: None }
    }

    /// Fails a write that has been pending for longer than the timeout.
    fn apply_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Read for WriteTimeoutIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl Write for WriteTimeoutIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.apply_timeout(cx, polled)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.apply_timeout(cx, polled)
    }
}
