use std::{net::SocketAddr, time::Instant};

use futures_lite::future;
use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    protocol::{NodeStatus, paths},
};

use super::{NodeReply, ReplyState, StatusView, StatusWish};
use crate::{
    consts::{PAGE_LIMIT, STATUS_POLL, STATUS_TIMEOUT},
    http::{ClientError, NodeClient, OutgoingCall},
};

/// Asks all nodes until they are as wished, or until `wait` is over.
pub async fn wait_for(nodes: &[SocketAddr], wish: StatusWish, wait: TimeSpan) -> StatusView {
    let client = NodeClient::new();
    let start = Instant::now();
    loop {
        let view = StatusView::new(wish, ask_all(&client, nodes).await);
        let waited = TimeSpan::from(start.elapsed());
        if view.is_reached() || waited >= wait {
            return view;
        }
        Timer::after(STATUS_POLL).await;
    }
}

/// Asks all nodes at the same time.
async fn ask_all(client: &NodeClient, nodes: &[SocketAddr]) -> Vec<NodeReply> {
    let executor = smol::LocalExecutor::new();
    let asked: Vec<_> = nodes
        .iter()
        .map(|node| executor.spawn(ask(client.clone(), *node)))
        .collect();
    executor
        .run(async {
            let mut replies = Vec::new();
            for reply in asked {
                replies.push(reply.await);
            }
            replies
        })
        .await
}

async fn ask(client: NodeClient, address: SocketAddr) -> NodeReply {
    let timeout = async {
        Timer::after(STATUS_TIMEOUT).await;
        Err(ClientError::Timeout { node: address })
    };
    let asked = future::or(read_status(&client, address), timeout).await;
    let state = match asked {
        Ok(status) => ReplyState::Status(Box::new(status)),
        Err(error) => ReplyState::Error(error.to_string()),
    };
    NodeReply { address, state }
}

async fn read_status(client: &NodeClient, node: SocketAddr) -> Result<NodeStatus, ClientError> {
    let answer = client.send(node, &OutgoingCall::get(paths::STATUS)).await?;
    let status = answer.status();
    let page = answer.read_all(PAGE_LIMIT).await?;
    serde_json::from_slice(&page).map_err(|error| ClientError::Broken {
        node,
        message: format!("status {status}, and the body is no state of a node: {error}"),
    })
}
