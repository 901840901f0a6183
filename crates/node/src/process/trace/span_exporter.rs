use std::{
    fs::File,
    io::Write,
    net::SocketAddr,
    path::Path,
    sync::{Mutex, PoisonError},
};

use http_types::{Method, Request, Url};
use opentelemetry_proto::{
    tonic::collector::trace::v1::ExportTraceServiceRequest,
    transform::{
        common::tonic::ResourceAttributesWithSchema,
        trace::tonic::group_spans_by_resource_and_scope,
    },
};
use opentelemetry_sdk::{
    Resource,
    error::{OTelSdkError, OTelSdkResult},
    trace::{SpanData, SpanExporter},
};
use verbenahub_core::clock::TimeSpan;

use crate::connection::{ClientPool, ConnectionChoice};

/// Time for one export to a collector.
const EXPORT_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);
/// Path of the collector that takes traces.
const TRACES_PATH: &str = "/v1/traces";

/// Where ended spans go.
#[derive(Debug)]
pub enum TraceSink {
    /// A file, one JSON object a line.
    File(Mutex<File>),
    /// A collector that takes OTLP over HTTP with JSON.
    Collector(SocketAddr),
}

impl TraceSink {
    /// Opens a file to which spans are appended.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened.
    pub fn open_file(path: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self::File(Mutex::new(file)))
    }
}

/// Writes ended spans as OTLP in JSON.
#[derive(Debug)]
pub struct OtlpExporter {
    sink: TraceSink,
    resource: ResourceAttributesWithSchema,
    pool: ClientPool,
}

impl OtlpExporter {
    /// Creates an exporter to a sink.
    #[must_use]
    pub fn new(sink: TraceSink) -> Self {
        Self {
            sink,
            resource: ResourceAttributesWithSchema::default(),
            pool: ClientPool::default(),
        }
    }

    async fn send(&self, address: SocketAddr, body: Vec<u8>) -> Result<(), String> {
        let url = Url::parse(&format!("http://{address}{TRACES_PATH}"))
            .map_err(|error| error.to_string())?;
        let mut request = Request::new(Method::Post, url);
        request.insert_header("content-type", "application/json");
        request.set_body(body);
        let response = self
            .pool
            .call(address, request, ConnectionChoice::Fresh, EXPORT_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(format!("the collector answered {}", response.status()))
        }
    }
}

impl SpanExporter for OtlpExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let request = ExportTraceServiceRequest {
            resource_spans: group_spans_by_resource_and_scope(batch, &self.resource),
        };
        let mut body = serde_json::to_vec(&request)
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))?;
        let result = match &self.sink {
            TraceSink::File(file) => {
                body.push(b'\n');
                let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
                file.write_all(&body).map_err(|error| error.to_string())
            }
            TraceSink::Collector(address) => self.send(*address, body).await,
        };
        result.map_err(OTelSdkError::InternalFailure)
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.resource = resource.into();
    }
}
