use verbenahub_core::{
    ids::ModelName,
    protocol::{EngineOrder, EngineState, OrderCall},
};

/// Orders to an engine and what follows from them.
#[derive(Debug)]
pub struct OrderBook {
    checks_fence: bool,
    state: EngineState,
    log: Vec<OrderCall>,
    loads: Vec<LoadTicket>,
    next_load: u64,
}

/// A load that has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTicket {
    number: u64,
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: String,
}

/// What an engine makes of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderVerdict {
    /// The order is in force.
    Applied,
    /// The order is in force once the load has ended.
    Loading(LoadTicket),
    /// The fencing number is lower than the highest seen.
    Fenced,
}

/// Orders that the log keeps.
const LOG_LIMIT: usize = 4_096;
/// Role of an engine that was never told one.
const FIRST_ROLE: &str = "both";

impl OrderBook {
    /// Creates the book of an engine that holds some models, given as `name@version`.
    #[must_use]
    pub fn new(checks_fence: bool, models: Vec<String>) -> Self {
        let state = EngineState {
            models,
            role: FIRST_ROLE.to_owned(),
            ..EngineState::default()
        };
        Self {
            checks_fence,
            state,
            log: Vec::new(),
            loads: Vec::new(),
            next_load: 0,
        }
    }

    /// What the engine holds.
    #[must_use]
    pub fn state(&self) -> EngineState {
        let mut state = self.state.clone();
        state.loading = self.loads.iter().map(LoadTicket::label).collect();
        state
    }

    /// The orders that were applied, in order.
    #[must_use]
    pub fn log(&self) -> &[OrderCall] {
        &self.log
    }

    /// Whether the engine can run a model, given as `name` or `name@version`.
    #[must_use]
    pub fn holds(&self, model: &str) -> bool {
        let mut models = self.state.models.iter();
        models.any(|held| held == model || name_of(held) == model)
    }

    /// Applies an order.
    pub fn apply(&mut self, call: OrderCall) -> OrderVerdict {
        if self.checks_fence && call.fence < self.state.fence {
            return OrderVerdict::Fenced;
        }
        self.state.fence = self.state.fence.max(call.fence);
        if self.log.len() < LOG_LIMIT {
            self.log.push(call.clone());
        }
        match call.order {
            EngineOrder::LoadModel { model, version } => return self.begin_load(model, version),
            EngineOrder::UnloadModel { model } => self.unload(&model),
            EngineOrder::LoadAdapter { model, adapter } => {
                let label = format!("{model}/{adapter}");
                self.state.adapters.retain(|held| *held != label);
                self.state.adapters.push(label);
            }
            EngineOrder::SetRole { role } => self.state.role = role,
        }
        OrderVerdict::Applied
    }

    /// Ends a load unless another order has come in between.
    pub fn end_load(&mut self, ticket: &LoadTicket) {
        let count = self.loads.len();
        self.loads.retain(|load| load != ticket);
        if self.loads.len() == count {
            return;
        }
        let name = ticket.model.as_str();
        self.state.models.retain(|held| name_of(held) != name);
        self.state.models.push(ticket.label());
    }

    fn begin_load(&mut self, model: ModelName, version: String) -> OrderVerdict {
        self.loads.retain(|load| load.model != model);
        self.next_load += 1;
        let ticket = LoadTicket {
            number: self.next_load,
            model,
            version,
        };
        if self.state.models.contains(&ticket.label()) {
            return OrderVerdict::Applied;
        }
        self.loads.push(ticket.clone());
        OrderVerdict::Loading(ticket)
    }

    fn unload(&mut self, model: &ModelName) {
        let prefix = format!("{model}/");
        self.loads.retain(|load| load.model != *model);
        self.state
            .models
            .retain(|held| name_of(held) != model.as_str());
        self.state
            .adapters
            .retain(|held| !held.starts_with(&prefix));
    }
}

impl LoadTicket {
    fn label(&self) -> String {
        format!("{}@{}", self.model, self.version)
    }
}

fn name_of(label: &str) -> &str {
    label.split('@').next().unwrap_or(label)
}
