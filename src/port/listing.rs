//! HTTP client that polls the platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt;
use actix_web::rt::task::JoinHandle;
use awc::Client;
use awc::http::StatusCode;

use super::Inbox;
use super::http;
use crate::core::event::Event;
use crate::wire::listing::Vm;

/// Interval between reads; shorter than the delay with which changes appear in the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list every second and sends it as [`Event::Listing`], until the port is dropped.
#[derive(Debug)]
pub struct Port {
    task: JoinHandle<()>,
}

impl Port {
    /// Starts to poll the list at `address` on the current arbiter; `timeout` is the longest wait for an answer.
    pub fn new(address: SocketAddr, timeout: Duration, inbox: Inbox) -> Self {
        let url = format!("http://{address}/v1/vms");
        let task = rt::spawn(async move {
            let client = http::client(timeout);
            let mut ticks = rt::time::interval(READ_INTERVAL);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                match read_list(&client, &url, timeout).await {
                    Ok(vms) => inbox.send(Event::Listing(vms.into_iter().map(Into::into).collect())),
                    Err(reason) => log::warn!("VM list cannot be read: {reason}"),
                }
            }
        });
        Self { task }
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn read_list(client: &Client, url: &str, timeout: Duration) -> Result<Vec<Vm>, String> {
    let answer = http::receive(client.get(url).send(), timeout, timeout)
        .await
        .map_err(|fault| format!("{fault:?}"))?;
    if answer.status != StatusCode::OK {
        return Err(format!("status {}", answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
}
