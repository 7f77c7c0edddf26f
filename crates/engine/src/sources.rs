//! The configured sources, the catalogue that combines their lists, and the log messages about both.

use std::collections::BTreeMap;
use std::rc::Rc;

use tracing::{info, warn};
use violetwind_balancer::api::{Seconds, ServerId, Status};
use violetwind_catalogue::{
    Catalogue, Counts, EffectiveStatus, Limits, Millis, SourceId, SourceUpdate, StatusChange,
};
use violetwind_common::{ServerRow, server_id};

use crate::messages::ListedServer;

/// Time after which an unavailable source is logged; it is logged again each time this duration has doubled.
const UNAVAILABILITY_WARNING_AGE: Millis = 10_000;

/// Maximum number of servers that are logged by name for one update.
const MAX_LOGGED_SERVERS: usize = 10;

/// The configured sources and the catalogue that combines their lists.
#[derive(Debug)]
pub(crate) struct SourceSet {
    catalogue: Catalogue,
    sources: BTreeMap<Rc<str>, SourceEntry>,
    counts: Counts,
}

/// A source with the state of its log messages.
#[derive(Debug)]
struct SourceEntry {
    id: SourceId,
    /// Duration of the source's unavailability at which it is logged next.
    next_warning_age: Millis,
    is_distrusted: bool,
}

impl SourceSet {
    pub fn new(limits: Limits) -> Self {
        Self {
            catalogue: Catalogue::new(limits),
            sources: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    /// Returns how long a server may be missing from the lists before it counts as gone, in milliseconds.
    pub fn absence_timeout(&self) -> Millis {
        self.catalogue.limits().absence_timeout
    }

    /// Replaces the set of sources. The lists of removed sources stay in force until all others have given one.
    pub fn set_sources(&mut self, now: Millis, names: &[Rc<str>]) -> Vec<ListedServer> {
        for name in names {
            if self.sources.contains_key(name) {
                continue;
            }
            match self.catalogue.add_source(name) {
                Some(id) => {
                    let entry = SourceEntry {
                        id,
                        next_warning_age: UNAVAILABILITY_WARNING_AGE,
                        is_distrusted: false,
                    };
                    self.sources.insert(name.clone(), entry);
                }
                None => warn!(%name, "too many sources: this source is ignored"),
            }
        }
        let mut changes = Vec::new();
        let removed = self.sources.extract_if(.., |name, _| !names.contains(name));
        for (name, entry) in removed.collect::<Vec<_>>() {
            info!(%name, "a source is let go once all others have spoken");
            changes.extend(self.catalogue.retire_source(now, entry.id));
        }
        self.to_listed_servers(changes)
    }

    /// Applies an update of a source; an update of a source that is not in the set is ignored.
    pub fn apply_update(
        &mut self,
        now: Millis,
        name: &str,
        update: SourceUpdate,
    ) -> Vec<ListedServer> {
        let Some(entry) = self.sources.get(name) else {
            return Vec::new();
        };
        let changes = self.catalogue.apply_update(now, entry.id, update);
        self.log_source_changes(now);
        self.to_listed_servers(changes)
    }

    /// Reports whether a server answered a probe, an attempt or a client.
    pub fn report_reachability(
        &mut self,
        now: Millis,
        uid: &str,
        answered: bool,
    ) -> Vec<ListedServer> {
        let changes = self.catalogue.record_liveness(now, uid, answered);
        self.to_listed_servers(changes)
    }

    /// Returns when [`Self::handle_wakeup`] has to be called next, in milliseconds of the monotonic clock.
    pub fn next_wakeup(&self) -> Option<Millis> {
        self.catalogue.next_tick()
    }

    /// Applies the catalogue's timeouts that are due.
    pub fn handle_wakeup(&mut self, now: Millis) -> Vec<ListedServer> {
        let changes = self.catalogue.tick(now);
        self.log_source_changes(now);
        self.to_listed_servers(changes)
    }

    /// Whether the catalogue holds a server with this identity.
    pub fn is_known(&self, uid: &str) -> bool {
        self.catalogue.contains(uid)
    }

    /// Logs sources that became unavailable or distrusted or recovered, and servers that the full catalogue refused or
    /// evicted.
    fn log_source_changes(&mut self, now: Millis) {
        for source in self.catalogue.sources() {
            let Some(entry) = self.sources.get_mut(source.name) else {
                continue;
            };
            let unavailable_for = source.unavailable_since.map(|at| now.saturating_sub(at));
            match unavailable_for {
                Some(unavailable_for) if unavailable_for >= entry.next_warning_age => {
                    entry.next_warning_age = unavailable_for.saturating_mul(2);
                    let age = source
                        .last_answer_at
                        .map(|at| now.saturating_sub(at) / 1000);
                    warn!(
                        source = source.name,
                        silent_s = unavailable_for / 1000,
                        age_s = age,
                        "a source does not answer: its last list stays in force"
                    );
                }
                None if entry.next_warning_age > UNAVAILABILITY_WARNING_AGE => {
                    entry.next_warning_age = UNAVAILABILITY_WARNING_AGE;
                    info!(source = source.name, "a source answers again");
                }
                _ => {}
            }
            let is_distrusted = source.distrusted_since.is_some();
            if std::mem::replace(&mut entry.is_distrusted, is_distrusted) != is_distrusted {
                match is_distrusted {
                    true => warn!(
                        source = source.name,
                        listed = source.listed_servers,
                        "a source lost too much at once and is doubted"
                    ),
                    false => info!(source = source.name, "a source is trusted again"),
                }
            }
        }
        let counts = self.catalogue.counts();
        if counts.refused != self.counts.refused || counts.evicted != self.counts.evicted {
            warn!(
                refused = counts.refused,
                evicted = counts.evicted,
                "the catalogue is full"
            );
        }
        self.counts = counts;
    }

    /// Converts status changes to rows of a list of changes, and logs the first few servers that are not ready.
    fn to_listed_servers(&self, changes: Vec<StatusChange>) -> Vec<ListedServer> {
        let not_ready = changes
            .iter()
            .filter(|change| change.status != EffectiveStatus::Ready);
        for change in not_ready.clone().take(MAX_LOGGED_SERVERS) {
            info!(uid = &*change.uid, belief = ?change.status, why = %change.reason, "status of a server changed");
        }
        let unlogged = not_ready.count().saturating_sub(MAX_LOGGED_SERVERS);
        if unlogged > 0 {
            info!(more = unlogged, "further servers changed");
        }
        changes.into_iter().map(to_listed_server).collect()
    }
}

/// Converts a status change of the catalogue to a row for the balancer.
fn to_listed_server(change: StatusChange) -> ListedServer {
    let instance = change.instance;
    let server: ServerId = server_id(&change.uid);
    ListedServer {
        endpoint: Some(instance.endpoint),
        row: ServerRow {
            server,
            cell: instance.cell,
            status: match change.status {
                EffectiveStatus::Ready => Status::Up,
                EffectiveStatus::Suspected => Status::Suspected,
                EffectiveStatus::Draining => Status::Draining,
                EffectiveStatus::Gone => Status::Gone,
            },
            kind: instance.kind.map(String::from),
            zone: instance.zone.map(String::from),
            started_at: change.started_at.map(|ms| ms as Seconds / 1e3),
            rating: instance.weight,
        },
        uid: change.uid.into(),
    }
}
