//! Stage two: whether a request makes sense, and whether the machine has room for it.

use std::rc::Rc;

use tokio::time::Instant;
use tracing::{info, warn};
use violetwind_balancer::api::Request;
use violetwind_common::group_id;

use crate::limits::Permit;
use crate::line::Open;
use crate::route;
use crate::take_in::{Client, Shared};

/// A client's request on its way to a server.
#[derive(Debug)]
pub struct Admitted<'a> {
    pub request: Request,
    pub open: &'a Open<'a>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The server where it stood before the start of the run.
    pub stood_at: Option<&'a str>,
    /// The descriptor of the server's side.
    pub permit: Permit,
}

pub async fn admit(client: Client, open: &Open<'_>, shared: &Rc<Shared>) {
    let request = match read(open, shared) {
        Ok(request) => request,
        Err(error) => {
            info!(id = open.id, error, "a request that makes no sense");
            return client.answer("ERR", &shared.limits).await;
        }
    };
    // Some stay free, or a few slow clients would keep all others from even a refusal.
    let turn_away = shared.limits.turn_away;
    let Some(permit) = shared.descriptors.take_leaving(turn_away) else {
        warn!("no descriptor left: a client is turned away");
        return client.answer("BUSY", &shared.limits).await;
    };
    let stood_at = open.get("at");
    let patience = std::time::Duration::from_secs_f64(request.patience);
    let admitted = Admitted {
        request,
        open,
        deadline: client.arrived
            + patience.max(stood_at.map_or(patience, |_| shared.limits.standing)),
        stood_at,
        permit,
    };
    route::route(client, admitted, shared).await;
}

/// The module's request behind a client's line.
fn read(open: &Open, shared: &Shared) -> Result<Request, &'static str> {
    let config = &shared.config;
    let class = open.get("c").and_then(|name| config.names.class(name));
    let class = class.ok_or("an unknown class")?;
    let number = |name: &str| {
        let value = open.get(name).map(|value| value.parse::<f64>());
        match value.transpose() {
            Ok(value) => Ok(value.filter(|value| value.is_finite())),
            Err(_) => Err("a figure that is no number"),
        }
    };
    let patience = match number("d")? {
        Some(ms) => (ms / 1e3).clamp(0.0, 3600.0),
        None => config.deadlines[class],
    };
    Ok(Request {
        id: shared.next_id(),
        class,
        tenant: config.names.tenant(open.get("t")),
        group: open.get("g").map(group_id),
        hint: number("h")?,
        patience,
    })
}
