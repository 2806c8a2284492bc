use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::Sleep;

/// Connection to a caller that fails if the caller reads no bytes for longer than the timeout.
///
/// Without the timeout a caller that stops reading would keep its connection open forever, and the
/// shutdown of the node would wait for it.
pub(crate) struct WriteTimeoutIo {
    reader: TokioIo<OwnedReadHalf>,
    /// Shared with those who watch the connection, which does not need to be read for it.
    writer: Arc<OwnedWriteHalf>,
    timeout: Duration,
    /// Set while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutIo {
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> Self {
        let (reader, writer) = stream.into_split();
        Self { reader: TokioIo::new(reader), writer: Arc::new(writer), timeout, timer: None }
    }

    /// The connection, to wait for events on it.
    pub(crate) fn connection(&self) -> Arc<OwnedWriteHalf> {
        Arc::clone(&self.writer)
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

    /// Writes as soon as the connection takes bytes.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let stream: &TcpStream = self.writer.as_ref().as_ref();
        loop {
            ready!(stream.poll_write_ready(cx))?;
            match write(stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl Read for WriteTimeoutIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().reader).poll_read(cx, buf)
    }
}

impl Write for WriteTimeoutIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = this.poll_write_with(cx, |stream| stream.try_write(buf));
        this.apply_timeout(cx, polled)
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream: &TcpStream = self.writer.as_ref().as_ref();
        Poll::Ready(SockRef::from(stream).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = this.poll_write_with(cx, |stream| stream.try_write_vectored(bufs));
        this.apply_timeout(cx, polled)
    }
}
