use std::io;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// Start line and fields of a message, as bytes.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: Vec<u8>,
    /// Names in lower case, and values.
    pub fields: Vec<(String, Vec<u8>)>,
}

impl Head {
    fn parse(bytes: &[u8]) -> Self {
        let mut lines = bytes.split(|byte| *byte == b'\n').map(|line| line.trim_ascii_end());
        let line = lines.next().unwrap_or_default().to_vec();
        let fields = lines.filter_map(|line| {
            let colon = line.iter().position(|byte| *byte == b':')?;
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            Some((name, line[colon + 1..].trim_ascii().to_vec()))
        });
        Self { line, fields: fields.collect() }
    }

    pub fn values(&self, name: &str) -> Vec<&[u8]> {
        let has_name = |field: &&(String, Vec<u8>)| field.0 == name;
        self.fields.iter().filter(has_name).map(|field| &field.1[..]).collect()
    }

    pub fn text(&self, name: &str) -> String {
        self.values(name).first().map_or(String::new(), |v| String::from_utf8_lossy(v).into())
    }

    /// Second word of the start line: the target of a request or the status of a response.
    pub fn second_word(&self) -> String {
        String::from_utf8_lossy(&self.line).split(' ').nth(1).unwrap_or("").into()
    }

    pub fn is_chunked(&self) -> bool {
        self.text("transfer-encoding").eq_ignore_ascii_case("chunked")
    }

    pub fn length(&self) -> Option<usize> {
        self.text("content-length").parse().ok()
    }
}

/// Next part of a body.
#[derive(Debug, PartialEq, Eq)]
pub enum Part {
    Data(Vec<u8>),
    /// The framing says that the body is complete; with the trailer fields.
    End(Vec<(String, Vec<u8>)>),
    /// The connection ended first, or what came is not the framing that was announced.
    Broken,
}

/// What is left of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rest {
    Bytes(usize),
    /// Bytes left of a chunk, without the end of its line.
    Chunk(usize),
    NextChunk,
    UntilClose,
}

impl Rest {
    pub fn of_request(head: &Head) -> Self {
        if head.is_chunked() {
            return Self::NextChunk;
        }
        Self::Bytes(head.length().unwrap_or(0))
    }

    pub fn of_response(head: &Head, is_bodiless: bool) -> Self {
        match head.length() {
            _ if is_bodiless => Self::Bytes(0),
            _ if head.is_chunked() => Self::NextChunk,
            Some(length) => Self::Bytes(length),
            None => Self::UntilClose,
        }
    }
}

/// Reads messages from a connection, at a limited rate.
pub struct Reader {
    stream: OwnedReadHalf,
    buffer: Vec<u8>,
    /// Time for each byte.
    byte_time: Duration,
    max_read_bytes: usize,
}

impl Reader {
    pub fn new(stream: OwnedReadHalf) -> Self {
        Self { stream, buffer: Vec::new(), byte_time: Duration::ZERO, max_read_bytes: 65_536 }
    }

    /// Reads no faster than at this rate, in pieces of 4 KB.
    pub fn limit_rate(&mut self, bits_per_s: u32) {
        self.byte_time = Duration::from_secs(8) / bits_per_s;
        self.max_read_bytes = 4_096;
    }

    /// Reads more bytes; returns false at the end of the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        let mut piece = vec![0; self.max_read_bytes];
        let count = self.stream.read(&mut piece).await?;
        self.buffer.extend_from_slice(&piece[..count]);
        if !self.byte_time.is_zero() {
            tokio::time::sleep(self.byte_time * u32::try_from(count).unwrap_or(u32::MAX)).await;
        }
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before it is complete.
    pub async fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = Head::parse(&self.buffer[..end]);
                self.buffer.drain(..end + 4);
                return Ok(Some(head));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    async fn line(&mut self) -> io::Result<Option<Vec<u8>>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = self.buffer[..end].to_vec();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Takes at most `limit` bytes; none at the end of the connection.
    async fn take(&mut self, limit: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() && !self.fill().await? {
            return Ok(Vec::new());
        }
        let count = self.buffer.len().min(limit);
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the next part of a body.
    pub async fn part(&mut self, rest: &mut Rest) -> Part {
        self.try_part(rest).await.unwrap_or(Part::Broken)
    }

    async fn try_part(&mut self, rest: &mut Rest) -> io::Result<Part> {
        match *rest {
            Rest::Bytes(0) => Ok(Part::End(Vec::new())),
            Rest::Bytes(left) => {
                let data = self.take(left).await?;
                *rest = Rest::Bytes(left - data.len());
                Ok(if data.is_empty() { Part::Broken } else { Part::Data(data) })
            }
            Rest::UntilClose => {
                let data = self.take(usize::MAX).await?;
                Ok(if data.is_empty() { Part::End(Vec::new()) } else { Part::Data(data) })
            }
            Rest::Chunk(left) => {
                let data = self.take(left).await?;
                *rest = if data.len() == left {
                    if self.line().await? != Some(Vec::new()) {
                        return Ok(Part::Broken);
                    }
                    Rest::NextChunk
                } else {
                    Rest::Chunk(left - data.len())
                };
                Ok(if data.is_empty() { Part::Broken } else { Part::Data(data) })
            }
            Rest::NextChunk => {
                let Some(line) = self.line().await? else { return Ok(Part::Broken) };
                let size = String::from_utf8_lossy(&line);
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return Ok(Part::Broken);
                };
                if size > 0 {
                    *rest = Rest::Chunk(size);
                    return Ok(Part::Data(Vec::new()));
                }
                let mut trailer = Vec::new();
                loop {
                    let Some(line) = self.line().await? else { return Ok(Part::Broken) };
                    if line.is_empty() {
                        return Ok(Part::End(Head::parse(&trailer).fields));
                    }
                    trailer.extend_from_slice(b"\n");
                    trailer.extend_from_slice(&line);
                }
            }
        }
    }
}
