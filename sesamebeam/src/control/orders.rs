//! Sending of orders to engines.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    header, //
};
use sesamebeam_core::message::command::{
    Desired,
    Order, //
};

use crate::http::client::{
    Client,
    Reuse,
    SendOptions, //
};

/// Timeout for an engine to accept an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends an order to an engine and returns whether the engine accepted it.
pub(crate) async fn send(client: &Client, order: &Order) -> bool {
    let desired = match &order.desired {
        Desired::Loaded(version) => serde_json::json!({ "loaded": version }),
        Desired::Unloaded(version) => serde_json::json!({ "unloaded": version }),
        Desired::Role(role) => serde_json::json!({ "role": role }),
    };
    let body = serde_json::json!({ "desired": desired, "fencing": order.fencing });
    let Ok(req) = Request::post("/admin/desired")
        .header(header::HOST, order.server.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
    else {
        return false;
    };
    let terms = SendOptions {
        reuse: Reuse::Never,
        header_timeout: ORDER_TIMEOUT,
        send_by: None,
    };
    match client.send(order.server, req, terms).await {
        Ok((response, _)) => response.status().is_success(),
        Err(_) => false,
    }
}
