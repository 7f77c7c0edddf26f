//! Stage two: validates a request and checks that there are descriptors left for it.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tracing::{info, warn};
use violetwind_balancer::api::Request;
use violetwind_common::group_id;

use crate::acceptor::{ClientConnection, SharedState};
use crate::limits::DescriptorPermit;
use crate::line_protocol::OpenLine;
use crate::route;

/// A validated client request that is to be routed to a server.
#[derive(Debug)]
pub struct AdmittedRequest<'a> {
    pub request: Request,
    pub open_line: &'a OpenLine<'a>,
    /// When the client stops waiting; for a connection to be resumed, at least `resume_timeout` after its arrival.
    pub deadline: Instant,
    /// The server that the connection was on before this proxy started (field `at`).
    pub previous_server: Option<&'a str>,
    /// The descriptors of both sides and the client's id, held until the connection ends.
    pub guards: (DescriptorPermit, OpenIdGuard),
}

/// The client-chosen ids of all requests and connections that are open in this process.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Rc<RefCell<HashSet<String>>>);

/// One client's id; dropping it makes the id available again.
#[derive(Debug)]
pub struct OpenIdGuard {
    id: String,
    ids: OpenIds,
}

impl OpenIds {
    /// Reserves an id; `None` if another open request has it.
    fn reserve(&self, id: &str) -> Option<OpenIdGuard> {
        let inserted = self.0.borrow_mut().insert(id.to_string());
        inserted.then(|| OpenIdGuard {
            id: id.to_string(),
            ids: self.clone(),
        })
    }
}

impl Drop for OpenIdGuard {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}

/// Validates an `OPEN` line, acquires descriptors for it and routes the request; answers `ERR` or `BUSY` if it is
/// not admitted.
pub async fn admit_request(
    mut client: ClientConnection,
    open: &OpenLine<'_>,
    shared: &Rc<SharedState>,
) {
    // Requests that conforming clients never send are rejected here.
    let validated = match client.ring.is_empty() {
        true => validate_request(open, shared),
        false => Err("data follows the request before it is connected"),
    };
    let (request, id) = match validated {
        Ok(validated) => validated,
        Err(error) => {
            if let Some(left_out) = shared.log_throttle.try_acquire() {
                info!(id = open.id, error, left_out, "invalid request");
            }
            return client.answer_and_close("ERR", &shared.limits).await;
        }
    };
    let Some(permit) = shared.request_descriptors.try_acquire(2) else {
        if let Some(left_out) = shared.log_throttle.try_acquire() {
            warn!(left_out, "no descriptor left: refusing a client");
        }
        return client.answer_and_close("BUSY", &shared.limits).await;
    };
    // From here on the connection's descriptor is counted by `request_descriptors`.
    client.pending_slot = None;
    let previous_server = open.get("at");
    let client_timeout = Duration::from_secs_f64(request.client_timeout);
    let admitted = AdmittedRequest {
        request,
        open_line: open,
        deadline: client.arrived
            + client_timeout.max(
                previous_server.map_or(client_timeout, |_| shared.limits.engine.resume_timeout),
            ),
        previous_server,
        guards: (permit, id),
    };
    route::route_request(client, admitted, shared).await;
}

/// Converts a client's `OPEN` line to the request that the balancer decides on, and reserves its id. Lines that
/// conforming clients never send are rejected here: every server would refuse them in turn, and to the balancer all
/// those servers would seem to fail.
pub fn validate_request(
    open: &OpenLine,
    shared: &SharedState,
) -> Result<(Request, OpenIdGuard), &'static str> {
    let (config, limits) = (shared.config.get(), &shared.limits);
    if let Some(fault) = open.find_fault(limits.max_fields) {
        return Err(fault);
    }
    let class = open
        .get("c")
        .and_then(|name| config.names.class_index(name));
    let class = class.ok_or("unknown class")?;
    let client_timeout = match open.number_field("d")? {
        Some(ms) => ms / 1e3,
        None => config.class_deadlines[class],
    };
    if client_timeout > limits.max_client_wait {
        return Err("the wait is longer than the maximum");
    }
    let hint = open.number_field("h")?;
    // A server could not distinguish two open requests with the same id.
    let id = shared.open_ids.reserve(open.id);
    let id = id.ok_or("the id is in use by another open request")?;
    let request = Request {
        id: shared.next_request_id(),
        class,
        tenant: config.names.tenant_index(open.get("t")),
        group: open.get("g").map(group_id),
        hint,
        client_timeout,
        is_repeat: open.is_repeat(),
    };
    Ok((request, id))
}
