use std::net::SocketAddr;

use http_types::Method;
use serde::de::DeserializeOwned;
use verbenahub_standins::server::{FaultSpec, StatsReport};

use crate::{
    PATIENCE,
    network::{HttpAnswer, HttpCall},
    process::{ProcessGuard, ProgramFile},
};

/// Life of a stand-in whose test was ended by force.
const MAX_LIFE: &str = "300 s";

/// A running stand-in.
#[derive(Debug)]
pub struct StandinProcess {
    /// The process.
    pub guard: ProcessGuard,
    /// Where it listens.
    pub address: SocketAddr,
}

impl StandinProcess {
    /// Starts a stand-in from the arguments of its kind and waits until it listens.
    ///
    /// # Panics
    ///
    /// Panics when it does not start.
    #[must_use]
    pub fn start(name: &str, arguments: &[&str]) -> Self {
        let mut arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
        arguments.extend(["--max-life".to_owned(), MAX_LIFE.to_owned()]);
        let guard = ProcessGuard::start(name, ProgramFile::Standin, &arguments);
        let guard = guard.expect("a stand-in that starts");
        let ready = guard.log().wait_for("listening ", PATIENCE);
        let address = ready.and_then(|text| text.parse().ok());
        let address = address.unwrap_or_else(|| panic!("{name}: {}", guard.log().tail(20)));
        Self { guard, address }
    }

    /// Puts faults in force.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in refuses them.
    pub fn fault(&self, spec: FaultSpec) {
        let body = serde_json::to_vec(&spec).expect("a fault in JSON");
        self.post("/fault", body);
    }

    /// Clears all faults.
    pub fn clear(&self) {
        self.fault(FaultSpec::default());
    }

    /// What the stand-in did.
    #[must_use]
    pub fn stats(&self) -> StatsReport {
        self.get("/stats")
    }

    /// Reads a path as JSON.
    ///
    /// # Panics
    ///
    /// Panics when the answer is not that.
    #[must_use]
    pub fn get<T>(&self, path: &str) -> T
    where
        T: DeserializeOwned,
    {
        let answer = HttpCall::new(self.address, Method::Get, path).send();
        let answer = answer.unwrap_or_else(|error| panic!("{path}: {error}"));
        answer
            .json()
            .unwrap_or_else(|| panic!("{path}: {}", answer.text()))
    }

    /// Posts to a path.
    ///
    /// # Panics
    ///
    /// Panics when the answer is no success.
    pub fn post(&self, path: &str, body: Vec<u8>) {
        self.exchange(path, body);
    }

    /// Posts to a path and reads the answer as JSON.
    ///
    /// # Panics
    ///
    /// Panics when the answer is not that.
    #[must_use]
    pub fn ask<T>(&self, path: &str, body: Vec<u8>) -> T
    where
        T: DeserializeOwned,
    {
        let answer = self.exchange(path, body);
        answer.json().expect("an answer in JSON")
    }

    fn exchange(&self, path: &str, body: Vec<u8>) -> HttpAnswer {
        let call = HttpCall::new(self.address, Method::Post, path).body(body);
        let answer = call
            .send()
            .unwrap_or_else(|error| panic!("{path}: {error}"));
        assert!(answer.status < 300, "{path}: {}", answer.text());
        answer
    }
}
