//! Stage two: whether a request makes sense, and whether the machine has room for it.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

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
    /// Held to the end: the descriptors of both sides, and the client's id.
    pub hold: (Permit, OpenId),
}

/// The clients' ids of all requests and connections that are open here.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Rc<RefCell<HashSet<String>>>);

/// One of them, until it is dropped.
#[derive(Debug)]
pub struct OpenId {
    id: String,
    ids: OpenIds,
}

impl OpenIds {
    /// None if another holds it.
    fn enter(&self, id: &str) -> Option<OpenId> {
        let new = self.0.borrow_mut().insert(id.to_string());
        new.then(|| OpenId {
            id: id.to_string(),
            ids: self.clone(),
        })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}

pub async fn admit(mut client: Client, open: &Open<'_>, shared: &Rc<Shared>) {
    // What no usual client sends stops here.
    let read = match client.ring.is_empty() {
        true => understand(open, shared),
        false => Err("a client sends on before it is up"),
    };
    let (request, id) = match read {
        Ok(read) => read,
        Err(error) => {
            if let Some(left_out) = shared.repeats.next() {
                info!(
                    id = open.id,
                    error, left_out, "a request that makes no sense"
                );
            }
            return client.answer("ERR", &shared.limits).await;
        }
    };
    let Some(permit) = shared.requests.take(2) else {
        if let Some(left_out) = shared.repeats.next() {
            warn!(left_out, "no descriptor left: a client is turned away");
        }
        return client.answer("BUSY", &shared.limits).await;
    };
    // From here on its descriptor counts with the requests.
    client.place = None;
    let stood_at = open.get("at");
    let patience = Duration::from_secs_f64(request.patience);
    let admitted = Admitted {
        request,
        open,
        deadline: client.arrived
            + patience.max(stood_at.map_or(patience, |_| shared.limits.engine.resume_timeout)),
        stood_at,
        hold: (permit, id),
    };
    route::route(client, admitted, shared).await;
}

/// The module's request behind a client's line. What no usual client sends stops here: servers would
/// turn it away one after the other, and to the module that looks as if they all failed.
pub fn understand(open: &Open, shared: &Shared) -> Result<(Request, OpenId), &'static str> {
    let (config, limits) = (shared.config.get(), &shared.limits);
    if let Some(fault) = open.fault(limits.fields) {
        return Err(fault);
    }
    let class = open
        .get("c")
        .and_then(|name| config.names.class_index(name));
    let class = class.ok_or("an unknown class")?;
    let patience = match open.figure("d")? {
        Some(ms) => ms / 1e3,
        None => config.deadlines[class],
    };
    if patience > limits.most_patience {
        return Err("a wait that is too long");
    }
    let hint = open.figure("h")?;
    // Two with one id would be mistaken for each other by a server.
    let id = shared.open_ids.enter(open.id);
    let id = id.ok_or("the id of another open request")?;
    let request = Request {
        id: shared.next_id(),
        class,
        tenant: config.names.tenant_index(open.get("t")),
        group: open.get("g").map(group_id),
        hint,
        patience,
        again: open.again(),
    };
    Ok((request, id))
}
