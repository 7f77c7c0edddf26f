//! Stage two: whether a request makes sense, and whether the machine has room for it.

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

/// A client's request on its way to a server.
#[derive(Debug)]
pub struct AdmittedRequest<'a> {
    pub request: Request,
    pub open_line: &'a OpenLine<'a>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The server where it stood before the start of the run.
    pub previous_server: Option<&'a str>,
    /// Held to the end: the descriptors of both sides, and the client's id.
    pub guards: (DescriptorPermit, OpenIdGuard),
}

/// The clients' ids of all requests and connections that are open here.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Rc<RefCell<HashSet<String>>>);

/// One of them, until it is dropped.
#[derive(Debug)]
pub struct OpenIdGuard {
    id: String,
    ids: OpenIds,
}

impl OpenIds {
    /// None if another holds it.
    fn enter(&self, id: &str) -> Option<OpenIdGuard> {
        let new = self.0.borrow_mut().insert(id.to_string());
        new.then(|| OpenIdGuard {
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

pub async fn admit_request(
    mut client: ClientConnection,
    open: &OpenLine<'_>,
    shared: &Rc<SharedState>,
) {
    // What no usual client sends stops here.
    let read = match client.ring.is_empty() {
        true => validate_request(open, shared),
        false => Err("a client sends on before it is up"),
    };
    let (request, id) = match read {
        Ok(read) => read,
        Err(error) => {
            if let Some(left_out) = shared.log_throttle.try_acquire() {
                info!(
                    id = open.id,
                    error, left_out, "a request that makes no sense"
                );
            }
            return client.answer_and_close("ERR", &shared.limits).await;
        }
    };
    let Some(permit) = shared.request_descriptors.try_acquire(2) else {
        if let Some(left_out) = shared.log_throttle.try_acquire() {
            warn!(left_out, "no descriptor left: a client is turned away");
        }
        return client.answer_and_close("BUSY", &shared.limits).await;
    };
    // From here on its descriptor counts with the requests.
    client.pending_slot = None;
    let stood_at = open.get("at");
    let patience = Duration::from_secs_f64(request.client_timeout);
    let admitted = AdmittedRequest {
        request,
        open_line: open,
        deadline: client.arrived
            + patience.max(stood_at.map_or(patience, |_| shared.limits.engine.resume_timeout)),
        previous_server: stood_at,
        guards: (permit, id),
    };
    route::route_request(client, admitted, shared).await;
}

/// The module's request behind a client's line. What no usual client sends stops here: servers would
/// turn it away one after the other, and to the module that looks as if they all failed.
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
    let class = class.ok_or("an unknown class")?;
    let patience = match open.number_field("d")? {
        Some(ms) => ms / 1e3,
        None => config.class_deadlines[class],
    };
    if patience > limits.max_client_wait {
        return Err("a wait that is too long");
    }
    let hint = open.number_field("h")?;
    // Two with one id would be mistaken for each other by a server.
    let id = shared.open_ids.enter(open.id);
    let id = id.ok_or("the id of another open request")?;
    let request = Request {
        id: shared.next_request_id(),
        class,
        tenant: config.names.tenant_index(open.get("t")),
        group: open.get("g").map(group_id),
        hint,
        client_timeout: patience,
        is_repeat: open.is_retry(),
    };
    Ok((request, id))
}
