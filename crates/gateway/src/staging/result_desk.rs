use std::{cell::RefCell, collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use smol::Timer;
use verbenahub_core::{clock::TimeSpan, targets::TargetRecord};
use verbenahub_platform::{encode_free, headers, paths, result_maker};

use crate::{
    http::HeaderList,
    process::Shared,
    targets::{ExchangeAsk, TargetExchange},
};

/// Time over which results are collected before their maker is told. Short
/// against the time that results live, long against the time between requests.
const COLLECT_TIME: Duration = Duration::from_millis(60);
/// Time for a target's answer to the news.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);

/// Tells targets which results nobody needs any more, so that they have room
/// for others.
#[derive(Debug, Default)]
pub struct ResultDesk {
    spent: RefCell<HashMap<SocketAddr, Vec<String>>>,
}

impl ResultDesk {
    /// Takes names of results that are no longer needed.
    pub fn free(&self, shared: &Shared, names: Vec<String>) {
        let mut spent = self.spent.borrow_mut();
        for name in names {
            let Some(maker) = result_maker(&name) else {
                slog::warn!(shared.log, "stage: Result without a maker."; "result" => name);
                continue;
            };
            let collected = spent.entry(maker).or_default();
            collected.push(name);
            if collected.len() == 1 {
                let shared_task = Shared::clone(shared);
                shared.tasks.spawn(async move {
                    Timer::after(COLLECT_TIME).await;
                    shared_task.results.send(&shared_task, maker).await;
                });
            }
        }
    }

    async fn send(&self, shared: &Shared, maker: SocketAddr) {
        let names = self.spent.borrow_mut().remove(&maker).unwrap_or_default();
        // Results don't outlive their maker.
        let Some(record) = find(shared, maker) else {
            return;
        };
        let body = match encode_free(&names) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                slog::error!(shared.log, "stage: News not encoded."; "error" => %error);
                return;
            }
        };
        let mut fields = HeaderList::default();
        fields.push("Host", maker.to_string());
        fields.push(headers::EXPECT_TARGET, record.id.to_string());
        fields.push("Content-Type", "application/json");
        let ask = ExchangeAsk {
            method: b"POST",
            target: paths::STAGE_FREE.as_bytes(),
            headers: fields,
            body: Some(&body),
            request: None,
            head_timeout: ANSWER_TIMEOUT,
        };
        let sent = async {
            let mut exchange = TargetExchange::begin(shared, &record, ask).await?;
            exchange.collect().await
        };
        if let Err(error) = sent.await {
            // The maker drops results by itself after a while.
            slog::debug!(shared.log, "stage: Results not freed.";
                "target" => %record.id, "results" => names.len(), "error" => %error);
        }
    }
}

fn find(shared: &Shared, address: SocketAddr) -> Option<Arc<TargetRecord>> {
    let registry = shared.registry.borrow();
    let found = registry.records().find(|record| record.address == address);
    found.map(Arc::clone)
}
