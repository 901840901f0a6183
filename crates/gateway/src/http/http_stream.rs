use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::AsyncWriteExt;
use rustix::net::sockopt;
use smol::{Async, Timer};

use super::{HeadError, HeaderList, RequestHead, ResponseHead};

/// Bytes that one read asks for.
const READ_BYTES: usize = 16 << 10;
/// Headers of one head at most.
const HEADER_COUNT: usize = 96;
/// Largest head of a response.
const RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Interim responses before a response at most.
const INTERIM_RESPONSES: usize = 16;
/// Time after which the kernel gives up on bytes that the peer doesn't
/// acknowledge. Shorter than the deadlines of requests.
const SEND_TIMEOUT_MS: u32 = 4_000;
/// Interval at which a connection that holds an early next request is checked
/// for its end.
const PEEK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection with the bytes that were received and not used yet.
#[derive(Debug)]
pub struct HttpStream {
    socket: Async<TcpStream>,
    pub(super) buffer: BytesMut,
}

impl HttpStream {
    /// Wraps a connection.
    ///
    /// # Errors
    ///
    /// Fails when the socket refuses its options.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Self> {
        socket.get_ref().set_nodelay(true)?;
        sockopt::set_tcp_user_timeout(socket.get_ref(), SEND_TIMEOUT_MS)?;
        Ok(Self {
            socket,
            buffer: BytesMut::new(),
        })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the peer doesn't accept it.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.socket).write_all(bytes).await
    }

    /// Reads the head of the next request, or nothing if the connection ended
    /// before it.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks, or the head is malformed or larger
    /// than `limit`.
    pub async fn read_request(&mut self, limit: usize) -> Result<Option<RequestHead>, HeadError> {
        loop {
            if !self.buffer.is_empty() {
                let mut fields = [httparse::EMPTY_HEADER; HEADER_COUNT];
                let mut parsed = httparse::Request::new(&mut fields);
                if let httparse::Status::Complete(length) = parsed.parse(&self.buffer)? {
                    if length > limit {
                        return Err(HeadError::TooLarge(limit));
                    }
                    let head = RequestHead {
                        method: copy(parsed.method),
                        target: copy(parsed.path),
                        is_http10: parsed.version == Some(0),
                        headers: HeaderList::from_parsed(parsed.headers),
                    };
                    self.buffer.advance(length);
                    return Ok(Some(head));
                }
                if self.buffer.len() > limit {
                    return Err(HeadError::TooLarge(limit));
                }
            }
            if self.fill().await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(HeadError::Truncated);
            }
        }
    }

    /// Reads the head of a response. Interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or ends, or the head is malformed.
    pub async fn read_response(&mut self) -> Result<ResponseHead, HeadError> {
        let mut interim = 0;
        loop {
            if let Some(head) = self.parse_response()? {
                if head.status >= 200 {
                    return Ok(head);
                }
                interim += 1;
                if interim > INTERIM_RESPONSES {
                    return Err(HeadError::Interim);
                }
                continue;
            }
            if self.buffer.len() > RESPONSE_HEAD_BYTES {
                return Err(HeadError::TooLarge(RESPONSE_HEAD_BYTES));
            }
            if self.fill().await? == 0 {
                return Err(HeadError::Truncated);
            }
        }
    }

    /// Waits until the first bytes of the next message are there.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn wait_readable(&mut self) -> io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        Ok(self.fill().await? > 0)
    }

    /// Whether nothing was received that was not used.
    #[must_use]
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether an idle connection may be used again: the peer has sent nothing
    /// and has not closed it.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = self.socket.get_ref().peek(&mut byte);
        self.is_buffer_empty()
            && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer has left. Bytes that it sent ahead stay unread.
    pub async fn wait_closed(&self) {
        let mut byte = [0];
        while let Ok(1) = self.socket.peek(&mut byte).await {
            Timer::after(PEEK_INTERVAL).await;
        }
    }

    /// Reads more bytes into the buffer; none at the end of the connection.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        let buffer = &mut self.buffer;
        let read = |mut socket: &TcpStream| {
            let mut chunk = [0; READ_BYTES];
            let count = socket.read(&mut chunk)?;
            buffer.extend_from_slice(&chunk[..count]);
            Ok(count)
        };
        self.socket.read_with(read).await
    }

    fn parse_response(&mut self) -> Result<Option<ResponseHead>, HeadError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; HEADER_COUNT];
        let mut parsed = httparse::Response::new(&mut fields);
        let httparse::Status::Complete(length) = parsed.parse(&self.buffer)? else {
            return Ok(None);
        };
        let head = ResponseHead {
            status: parsed.code.unwrap_or_default(),
            reason: copy(parsed.reason),
            is_http10: parsed.version == Some(0),
            headers: HeaderList::from_parsed(parsed.headers),
        };
        self.buffer.advance(length);
        Ok(Some(head))
    }
}

fn copy(text: Option<&str>) -> Bytes {
    Bytes::copy_from_slice(text.unwrap_or_default().as_bytes())
}
