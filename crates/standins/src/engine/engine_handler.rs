use std::sync::{Arc, Mutex, PoisonError};

use http_types::{Body, Method, Response, StatusCode};
use verbenahub_core::{
    clock::TimeSpan,
    protocol::{
        OrderCall,
        headers::{MAX_TOKENS, MODEL, PROMPT_BYTES, RESUME_OFFSET},
        paths,
    },
};

use super::{
    CacheLog, EnginePace, GeneratedText, LoadTicket, OrderBook, OrderVerdict, PrefixCache,
    StreamJob, WeightSource,
};
use crate::{
    load::TargetDesk,
    server::{CallHandler, IncomingCall, LineBody, RunLabel, reply},
};

/// Lines of a stream that may wait for a slow reader.
const LINE_LIMIT: usize = 16;
/// Media type of streams.
const STREAM_TYPE: &str = "application/x-ndjson";
/// When to come back for a model that is not loaded.
const MODEL_RETRY: TimeSpan = TimeSpan::from_millis(200);

/// Answers the calls to a model engine.
#[derive(Debug)]
pub struct EngineHandler {
    /// Slots, load and cancelling.
    pub desk: TargetDesk,
    /// How long the work takes.
    pub pace: EnginePace,
    /// Cached prefixes.
    pub cache: Mutex<PrefixCache>,
    /// Events of the cache.
    pub events: Mutex<CacheLog>,
    /// Orders and loaded models.
    pub orders: Mutex<OrderBook>,
    /// Where weights come from.
    pub weights: WeightSource,
    /// Whether models that are not loaded are refused.
    pub strict_models: bool,
}

impl EngineHandler {
    /// Looks up a prompt in the cache and stores it; gives the bytes that were cached.
    pub fn use_prompt(&self, prompt: &[u8]) -> usize {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = cache.use_prompt(prompt);
        drop(cache);
        let now = self.desk.context.clock.now();
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        for (prefix, change) in outcome.changes {
            events.push(now, prefix, change);
        }
        let count = |bytes: usize| u64::try_from(bytes).unwrap_or(u64::MAX);
        let stats = &self.desk.context.stats;
        stats.add_prompt(count(prompt.len()), count(outcome.cached_bytes));
        outcome.cached_bytes
    }

    fn run(self: Arc<Self>, call: IncomingCall) -> Response {
        let Some(label) = RunLabel::of_call(&call) else {
            return reply::text(
                StatusCode::BadRequest,
                "request, stage or attempt is missing",
            );
        };
        if self.lacks_model(&call) {
            self.desk.context.stats.add_refusal();
            return reply::refusal(StatusCode::ServiceUnavailable, MODEL_RETRY);
        }
        let Some((text, offset, prompt_bytes)) = resume_point(&call) else {
            return reply::text(StatusCode::BadRequest, "the resume point does not fit");
        };
        let fails = self.desk.context.switches.fails_next();
        if fails && self.desk.context.switches.draw() < 0.5 {
            self.desk.context.stats.add_failure();
            return reply::text(StatusCode::InternalServerError, "ordered to fail");
        }
        let wait = match self.desk.enter(&call, &label) {
            Ok(wait) => wait,
            Err(response) => return *response,
        };
        let (lines, receiver) = async_channel::bounded(LINE_LIMIT);
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(LineBody::new(receiver), None));
        response.insert_header("content-type", STREAM_TYPE);
        label.echo(&mut response);
        self.desk.stamp(&mut response);
        let executor = self.desk.context.executor.clone();
        let job = StreamJob {
            handler: self,
            label,
            call,
            prompt_bytes,
            text,
            offset,
            fails,
            lines,
        };
        executor.spawn(job.run(wait)).detach();
        response
    }

    fn lacks_model(&self, call: &IncomingCall) -> bool {
        let Some(model) = call.header(MODEL) else {
            return false;
        };
        let orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        self.strict_models && !orders.holds(model)
    }

    fn order(self: Arc<Self>, call: &IncomingCall) -> Response {
        let order: OrderCall = match serde_json::from_slice(&call.body) {
            Ok(order) => order,
            Err(error) => return reply::text(StatusCode::BadRequest, &error.to_string()),
        };
        let verdict = {
            let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
            orders.apply(order)
        };
        match verdict {
            OrderVerdict::Applied => reply::text(StatusCode::Ok, "applied"),
            OrderVerdict::Fenced => reply::text(StatusCode::Conflict, "old fencing number"),
            OrderVerdict::Loading(ticket) => {
                let executor = self.desk.context.executor.clone();
                executor.spawn(self.load(ticket)).detach();
                reply::text(StatusCode::Ok, "loading")
            }
        }
    }

    async fn load(self: Arc<Self>, ticket: LoadTicket) {
        self.weights.fetch(&ticket).await;
        let switches = &self.desk.context.switches;
        switches.work(self.weights.load).await;
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        orders.end_load(&ticket);
    }

    fn cache_page(&self, call: &IncomingCall) -> Response {
        let after = call.query_number("after").unwrap_or(0);
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        reply::json(&events.page(self.desk.context.clock.now(), after))
    }

    fn show_orders(&self, whole_log: bool) -> Response {
        let orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        if whole_log {
            reply::json(&orders.log())
        } else {
            reply::json(&orders.state())
        }
    }
}

/// The answer, the offset to start at and the length of the prompt.
fn resume_point(call: &IncomingCall) -> Option<(GeneratedText, u64, usize)> {
    let prompt_bytes = call.parsed(PROMPT_BYTES).unwrap_or(call.body.len());
    let offset = call.parsed(RESUME_OFFSET).unwrap_or(0);
    let max_tokens = call.parsed(MAX_TOKENS).unwrap_or(u64::MAX);
    let prompt = call.body.get(..prompt_bytes)?;
    let received = call.body.get(prompt_bytes..)?;
    let text = GeneratedText::of_prompt(prompt, max_tokens);
    let fits = offset <= text.tokens() && received == text.head(offset).as_bytes();
    fits.then_some((text, offset, prompt_bytes))
}

impl CallHandler for EngineHandler {
    async fn handle(self: Arc<Self>, call: IncomingCall) -> Response {
        if let Some(response) = self.desk.answer(&call) {
            return response;
        }
        match (call.method(), call.path()) {
            (Method::Post, paths::RUN) => self.run(call),
            (Method::Post, paths::ORDERS) => self.order(&call),
            (Method::Get, paths::ENGINE_STATE) => self.show_orders(false),
            (Method::Get, "/orders") => self.show_orders(true),
            (Method::Get, paths::CACHE_EVENTS) => self.cache_page(&call),
            _ => reply::not_found(),
        }
    }
}
