use verbenahub_core::policy::{
    admission::AdmissionMode,
    routing::{RouteObjective, RoutingMode},
};

/// The routing and admission policies of one run.
#[derive(Clone, Copy, Debug)]
pub struct PolicyChoice {
    pub routing: RoutingMode,
    pub admission: AdmissionMode,
}

/// Load and disturbances of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    /// Offered load as a multiple of the engines' capacity.
    pub load: f64,
    /// Age of the contents of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Factor on the run times of the first engine.
    pub slow_factor: f64,
    /// Additional load of the first workspace's burst, as a multiple of the
    /// engines' capacity.
    pub burst: f64,
    /// Share of the requests that are sent to the first node. The others are
    /// distributed evenly over all nodes.
    pub skew: f64,
    /// Engine time for a prompt that is not cached, in milliseconds.
    pub prompt_ms: u64,
    /// What adaptive routing optimizes for.
    pub objective: RouteObjective,
}

impl Scenario {
    fn new(name: &str, load: f64) -> Self {
        Self {
            name: name.to_owned(),
            load,
            report_lag_ms: 0,
            slow_factor: 1.0,
            burst: 0.0,
            skew: 0.0,
            prompt_ms: 0,
            objective: RouteObjective::Attainment,
        }
    }
}

/// All scenarios in the order of the table.
pub fn scenarios() -> Vec<Scenario> {
    let mut scenarios: Vec<Scenario> = [0.5, 0.8, 1.0, 1.3, 2.0]
        .iter()
        .map(|load| Scenario::new(&format!("load {load}"), *load))
        .collect();
    scenarios.push(Scenario {
        slow_factor: 5.0,
        ..Scenario::new("one slow at 0.8", 0.8)
    });
    for load in [0.8, 1.3, 2.0] {
        scenarios.push(Scenario {
            report_lag_ms: 2_000,
            ..Scenario::new(&format!("reports 2 s old at {load}"), load)
        });
    }
    scenarios.push(Scenario {
        burst: 2.0,
        ..Scenario::new("burst of one workspace on 0.7", 0.7)
    });
    scenarios.push(Scenario {
        burst: 2.0,
        report_lag_ms: 2_000,
        ..Scenario::new("burst and reports 2 s old on 0.7", 0.7)
    });
    scenarios.push(Scenario {
        skew: 0.5,
        ..Scenario::new("half on one node at 0.8", 0.8)
    });
    for objective in [RouteObjective::Attainment, RouteObjective::Cost] {
        for load in [0.5, 0.7, 0.9] {
            scenarios.push(Scenario {
                prompt_ms: 300,
                objective,
                ..Scenario::new(&format!("prompts, {objective:?} at {load}"), load)
            });
        }
    }
    scenarios
}
