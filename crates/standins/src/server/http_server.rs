use std::{
    io::{self, Write, stdout},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_h1::server::Server;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, StatusCode};
use smol::{
    Executor, Timer,
    net::{TcpListener, TcpStream},
};
use verbenahub_core::clock::TimeSpan;

use super::{
    CallHandler, ConnectionStream, FaultSwitches, IncomingCall, RunStats, ServerOptions,
    StandinClock, reply, stop_signal,
};

/// Connections that a stand-in holds at once.
const CONNECTION_LIMIT: usize = 8_192;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When to come back after a refusal that was ordered as a fault.
const REFUSAL_SPAN: TimeSpan = TimeSpan::from_millis(100);

/// What a handler shares with its server.
#[derive(Clone, Debug)]
pub struct ServerContext {
    /// Time since the start.
    pub clock: StandinClock,
    /// Faults in force.
    pub switches: Arc<FaultSwitches>,
    /// Counts of the process.
    pub stats: Arc<RunStats>,
    /// Runs the tasks of the process; dropped with the server.
    pub executor: Arc<Executor<'static>>,
}

/// The HTTP server of a stand-in.
#[derive(Debug)]
pub struct HttpServer<H> {
    context: ServerContext,
    handler: Arc<H>,
    next_connection: AtomicU64,
    open_connections: AtomicUsize,
}

impl ServerContext {
    /// Creates what the handler and server of a new process share.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let clock = StandinClock::start();
        Self {
            clock,
            switches: Arc::new(FaultSwitches::new(clock, seed)),
            stats: Arc::default(),
            executor: Arc::default(),
        }
    }
}

impl<H> HttpServer<H>
where
    H: CallHandler,
{
    /// Serves until the process is told to stop or its life is over.
    ///
    /// # Errors
    ///
    /// Fails when the listener or the signal handler cannot be set up.
    pub fn run(options: ServerOptions, context: ServerContext, handler: H) -> io::Result<()> {
        let executor = context.executor.clone();
        let server = Arc::new(Self {
            context,
            handler: Arc::new(handler),
            next_connection: AtomicU64::new(0),
            open_connections: AtomicUsize::new(0),
        });
        let serve = server
            .serve(options)
            .or(stop_signal::stopped(options.max_life));
        smol::block_on(executor.run(serve))
    }

    async fn serve(self: Arc<Self>, options: ServerOptions) -> io::Result<()> {
        let listener = TcpListener::bind(options.listen).await?;
        println!("listening {}", listener.local_addr()?);
        stdout().flush()?;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream),
                Err(_) => {
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: Arc<Self>, stream: TcpStream) {
        if self.open_connections.load(Ordering::SeqCst) >= CONNECTION_LIMIT {
            return;
        }
        let _ = stream.set_nodelay(true);
        self.open_connections.fetch_add(1, Ordering::SeqCst);
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let switches = self.context.switches.clone();
        let link = ConnectionStream::new(stream, switches, number);
        let executor = self.context.executor.clone();
        executor.spawn(self.converse(link)).detach();
    }

    async fn converse(self: Arc<Self>, link: ConnectionStream) {
        let endpoint = |request| {
            let link = link.clone();
            let server = self.clone();
            async move { Ok(server.answer(request, link).await) }
        };
        // A broken connection ends the conversation; there is nobody to tell.
        let _ = Server::new(link.clone(), endpoint).accept().await;
        if self.context.switches.is_silent(link.number) {
            link.closed().await;
        }
        self.open_connections.fetch_sub(1, Ordering::SeqCst);
    }

    async fn answer(&self, request: Request, link: ConnectionStream) -> Response {
        let call = match IncomingCall::read(request, link).await {
            Ok(call) => call,
            Err(response) => return response,
        };
        if !call.path().starts_with("/v1/") {
            return self.answer_driver(call).await;
        }
        self.context.switches.thawed().await;
        if self.context.switches.spec().refuse {
            self.context.stats.add_refusal();
            return reply::refusal(StatusCode::ServiceUnavailable, REFUSAL_SPAN);
        }
        self.handler.clone().handle(call).await
    }

    async fn answer_driver(&self, call: IncomingCall) -> Response {
        match (call.method(), call.path()) {
            (Method::Post, "/fault") => self.set_faults(&call),
            (Method::Get, "/fault") => reply::json(&self.context.switches.spec()),
            (Method::Get, "/stats") => reply::json(&self.context.stats.report()),
            _ => self.handler.clone().handle(call).await,
        }
    }

    fn set_faults(&self, call: &IncomingCall) -> Response {
        match serde_json::from_slice(&call.body) {
            Ok(spec) => {
                let next = self.next_connection.load(Ordering::SeqCst);
                self.context.switches.set(spec, next, call.link.number);
                Response::new(StatusCode::NoContent)
            }
            Err(error) => reply::text(StatusCode::BadRequest, &error.to_string()),
        }
    }
}
