use std::{
    cell::Cell,
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    ops::RangeInclusive,
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncWriteExt, future};
use rustix::net::sockopt;
use smol::{Async, Timer};

use super::{
    BodyFraming, HeadError, HeaderList, RequestHead, ResponseHead, body_framing::declared_framing,
};

/// Number of bytes requested by each read.
const READ_SIZE: usize = 16 << 10;
/// Number of reads in a row that find bytes ready before the task yields. Without
/// it, a peer that sends faster than its bytes are processed would keep the only
/// thread from all other tasks and timers.
const MAX_READY_READS: u32 = 4;
/// Maximum number of headers in a head.
const MAX_HEADERS: usize = 96;
/// Maximum size of a response head.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Statuses of interim responses, which have no body.
const INTERIM_STATUSES: RangeInclusive<u16> = 100..=199;
/// Interim status after which the bytes are no longer HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Maximum number of interim (1xx) responses before a final response.
const MAX_INTERIM_RESPONSES: usize = 16;
/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged before the
/// kernel closes the connection. Shorter than the deadlines of requests.
const SEND_TIMEOUT_MS: u32 = 4_000;
/// Interval at which a connection with unread bytes of a pipelined request is
/// checked for being closed.
const PEEK_INTERVAL: Duration = Duration::from_millis(100);

/// A TCP connection with a buffer of received, unparsed bytes.
#[derive(Debug)]
pub struct HttpStream {
    socket: Async<TcpStream>,
    pub(super) buffer: BytesMut,
    /// Reads since the last one that had to wait, or since the task last yielded.
    ready_reads: u32,
    /// Whether a write has failed, and with it the connection.
    is_broken: Cell<bool>,
}

impl HttpStream {
    /// Wraps a connected socket.
    ///
    /// # Errors
    ///
    /// Fails when the socket options can't be set.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Self> {
        socket.get_ref().set_nodelay(true)?;
        sockopt::set_tcp_user_timeout(socket.get_ref(), SEND_TIMEOUT_MS)?;
        Ok(Self {
            socket,
            buffer: BytesMut::new(),
            ready_reads: 0,
            is_broken: Cell::new(false),
        })
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Fails when the connection can't be established.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let written = (&self.socket).write_all(bytes).await;
        if written.is_err() {
            self.is_broken.set(true);
        }
        written
    }

    /// Reads the head of the next request. Returns `None` if the connection was
    /// closed before its first byte.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or ends early, or the head is malformed or
    /// larger than `limit` bytes.
    pub async fn read_request(&mut self, limit: usize) -> Result<Option<RequestHead>, HeadError> {
        loop {
            if !self.buffer.is_empty() {
                let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
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

    /// Reads the head of a response. Interim (1xx) responses are skipped.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails or ends, the head is malformed or too
    /// large, its status is invalid, or there are too many interim responses.
    pub async fn read_response(&mut self) -> Result<ResponseHead, HeadError> {
        let mut interim = 0;
        loop {
            if let Some(head) = self.parse_response()? {
                if FINAL_STATUSES.contains(&head.status) {
                    return Ok(head);
                }
                check_interim(&head)?;
                interim += 1;
                if interim > MAX_INTERIM_RESPONSES {
                    return Err(HeadError::TooManyInterimResponses);
                }
                continue;
            }
            if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(HeadError::TooLarge(MAX_RESPONSE_HEAD_BYTES));
            }
            if self.fill().await? == 0 {
                return Err(HeadError::Truncated);
            }
        }
    }

    /// Waits for the first bytes of the next message. Returns false if the
    /// connection was closed instead.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn wait_readable(&mut self) -> io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        Ok(self.fill().await? > 0)
    }

    /// Whether all received bytes have been consumed.
    #[must_use]
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether bytes have arrived that have not been consumed.
    #[must_use]
    pub fn has_unread_bytes(&self) -> bool {
        !self.is_buffer_empty() || matches!(self.socket.get_ref().peek(&mut [0]), Ok(1))
    }

    /// Whether an idle connection can be reused: the peer has sent nothing and has
    /// not closed it.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peeked = self.socket.get_ref().peek(&mut byte);
        self.is_buffer_empty()
            && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer closes the connection. Bytes of a pipelined request
    /// stay unread.
    pub async fn wait_closed(&self) {
        let mut byte = [0];
        while let Ok(1) = self.socket.peek(&mut byte).await {
            Timer::after(PEEK_INTERVAL).await;
        }
    }

    /// Reads more bytes into the buffer. Returns their number, 0 at the end of
    /// the connection. Yields now and then while bytes are always ready.
    ///
    /// The kernel reports a reset once. If a write was told of it, a read returns the
    /// bytes that came before and then looks like an orderly end, which is an error
    /// here.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        if self.ready_reads >= MAX_READY_READS {
            self.ready_reads = 0;
            future::yield_now().await;
        }
        self.ready_reads += 1;
        let (buffer, ready_reads) = (&mut self.buffer, &mut self.ready_reads);
        let read = |mut socket: &TcpStream| {
            let mut chunk = [0; READ_SIZE];
            let result = socket.read(&mut chunk);
            match &result {
                Ok(count) => buffer.extend_from_slice(&chunk[..*count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => *ready_reads = 0,
                Err(_) => {}
            }
            result
        };
        let count = self.socket.read_with(read).await?;
        if count == 0 && self.is_broken.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(count)
    }

    fn parse_response(&mut self) -> Result<Option<ResponseHead>, HeadError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
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

/// Checks that nothing but the next head can follow a response that is not final.
/// Taken for a head, the body of a response would become the answer.
fn check_interim(head: &ResponseHead) -> Result<(), HeadError> {
    // The request asks for no other protocol.
    if !INTERIM_STATUSES.contains(&head.status) || head.status == SWITCHING_PROTOCOLS {
        return Err(HeadError::InvalidStatus(head.status));
    }
    match declared_framing(&head.headers)? {
        None | Some(BodyFraming::Length(0)) => Ok(()),
        Some(_) => Err(HeadError::InterimBody(head.status)),
    }
}

fn copy(text: Option<&str>) -> Bytes {
    Bytes::copy_from_slice(text.unwrap_or_default().as_bytes())
}
