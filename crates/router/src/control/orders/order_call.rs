//! Gives an order to an engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use awc::Client;
use awc::http::StatusCode;
use fulmargate_fleet::EngineOrder;
use fulmargate_fleet::OrderWish;
use fulmargate_names::EventKind;
use fulmargate_names::FencingNumber;
use fulmargate_names::ServerName;
use tokio::time::timeout;

use crate::control::orders::lease_task::LeaseView;

/// How long the engine may take to take the order; the order's own deadline is later.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// An order on its way.
pub(crate) struct OrderCall {
    pub(crate) server: ServerName,
    pub(crate) address: SocketAddr,
    pub(crate) id: String,
    pub(crate) fence: FencingNumber,
    pub(crate) deadline: Duration,
    pub(crate) wish: OrderWish,
}

impl OrderCall {
    /// Sends the order unless the lease has gone meanwhile. Only reports confirm it.
    pub(crate) async fn send(self, view: Rc<LeaseView>, client: Client) {
        // A process that was stopped since the order was made would send it under a lapsed lease:
        // the check stands right before the send, and what slips in between the two meets the
        // engine's own check of the number, or the order's deadline.
        if view.acting().map(|own| own.fence) != Some(self.fence) {
            return;
        }
        let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let order = EngineOrder {
            id: self.id,
            fence: self.fence,
            deadline_ms: (since + self.deadline).as_millis() as u64,
            wish: self.wish,
        };
        let call = client.post(format!("http://{}/control/orders", self.address)).send_json(&order);
        let status = timeout(CALL_TIMEOUT, call).await.ok().and_then(Result::ok);
        let status = status.map(|answer| answer.status());
        if status == Some(StatusCode::CONFLICT) {
            view.lose(self.fence);
        }
        tell(&self.server, &order, status);
    }
}

fn tell(server: &ServerName, order: &EngineOrder, status: Option<StatusCode>) {
    let is_taken = status.is_some_and(|status| status.is_success());
    let kind = if is_taken { EventKind::OrderGiven } else { EventKind::OrderRefused };
    let EngineOrder { id, fence, wish, .. } = order;
    let status = status.map_or(0, |status| status.as_u16());
    tracing::info!(event = kind.number(), name = kind.name(), %server, id, %fence, ?wish, status);
}
