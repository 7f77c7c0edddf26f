//! The sources by name, the catalogue that weighs them, and what the log says of both.

use std::collections::BTreeMap;
use std::rc::Rc;

use tracing::{info, warn};
use violetwind_balancer::api::{Seconds, ServerId, Status};
use violetwind_catalogue::{
    Catalogue, Counts, EffectiveStatus, Limits, Millis, SourceId, SourceUpdate, StatusChange,
};
use violetwind_common::{ServerRow, server_id};

use crate::messages::ListedServer;

/// A source that is silent is told of after this, and again each time that has doubled.
const SILENT_FROM: Millis = 10_000;

/// Servers that the log names for one telling.
const NAMED: usize = 10;

#[derive(Debug)]
pub(crate) struct SourceSet {
    catalogue: Catalogue,
    sources: BTreeMap<Rc<str>, Named>,
    counts: Counts,
}

#[derive(Debug)]
struct Named {
    id: SourceId,
    /// The age of its list at which the log tells of its silence next.
    next_note: Millis,
    doubted: bool,
}

impl SourceSet {
    pub fn new(limits: Limits) -> Self {
        Self {
            catalogue: Catalogue::new(limits),
            sources: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub fn absent_for(&self) -> Millis {
        self.catalogue.limits().absence_timeout
    }

    /// The sources that count from now on; words of others stand until these have spoken.
    pub fn set_sources(&mut self, now: Millis, names: &[Rc<str>]) -> Vec<ListedServer> {
        for name in names {
            if self.sources.contains_key(name) {
                continue;
            }
            match self.catalogue.add_source(name) {
                Some(id) => {
                    let named = Named {
                        id,
                        next_note: SILENT_FROM,
                        doubted: false,
                    };
                    self.sources.insert(name.clone(), named);
                }
                None => warn!(%name, "too many sources: this one is not heard"),
            }
        }
        let mut facts = Vec::new();
        let old = self.sources.extract_if(.., |name, _| !names.contains(name));
        for (name, named) in old.collect::<Vec<_>>() {
            info!(%name, "a source is let go once all others have spoken");
            facts.extend(self.catalogue.retire_source(now, named.id));
        }
        self.rows(facts)
    }

    /// What a source says; one that is not among the sources is not heard.
    pub fn apply_update(
        &mut self,
        now: Millis,
        name: &str,
        telling: SourceUpdate,
    ) -> Vec<ListedServer> {
        let Some(named) = self.sources.get(name) else {
            return Vec::new();
        };
        let facts = self.catalogue.apply_update(now, named.id, telling);
        self.notes(now);
        self.rows(facts)
    }

    pub fn report_reachability(
        &mut self,
        now: Millis,
        uid: &str,
        answered: bool,
    ) -> Vec<ListedServer> {
        let facts = self.catalogue.record_liveness(now, uid, answered);
        self.rows(facts)
    }

    pub fn next_wakeup(&self) -> Option<Millis> {
        self.catalogue.next_tick()
    }

    pub fn handle_wakeup(&mut self, now: Millis) -> Vec<ListedServer> {
        let facts = self.catalogue.tick(now);
        self.notes(now);
        self.rows(facts)
    }

    pub fn is_known(&self, uid: &str) -> bool {
        self.catalogue.contains(uid)
    }

    /// Tells the log of sources that are silent or doubted, and of what found no room.
    fn notes(&mut self, now: Millis) {
        for source in self.catalogue.sources() {
            let Some(named) = self.sources.get_mut(source.name) else {
                continue;
            };
            let silent = source.unavailable_since.map(|at| now.saturating_sub(at));
            match silent {
                Some(silent) if silent >= named.next_note => {
                    named.next_note = silent.saturating_mul(2);
                    let age = source
                        .last_answer_at
                        .map(|at| now.saturating_sub(at) / 1000);
                    warn!(
                        source = source.name,
                        silent_s = silent / 1000,
                        age_s = age,
                        "a source is silent: its last list stays in force"
                    );
                }
                None if named.next_note > SILENT_FROM => {
                    named.next_note = SILENT_FROM;
                    info!(source = source.name, "a source answers again");
                }
                _ => {}
            }
            let doubted = source.distrusted_since.is_some();
            if std::mem::replace(&mut named.doubted, doubted) != doubted {
                match doubted {
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

    /// Facts as rows of a list of changes. The log names the first few that are no longer simply ready.
    fn rows(&self, facts: Vec<StatusChange>) -> Vec<ListedServer> {
        let doubtful = facts
            .iter()
            .filter(|fact| fact.status != EffectiveStatus::Ready);
        for fact in doubtful.clone().take(NAMED) {
            info!(uid = &*fact.uid, belief = ?fact.status, why = %fact.reason, "a server");
        }
        let more = doubtful.count().saturating_sub(NAMED);
        if more > 0 {
            info!(more, "further servers");
        }
        facts.into_iter().map(row).collect()
    }
}

fn row(fact: StatusChange) -> ListedServer {
    let instance = fact.instance;
    let server: ServerId = server_id(&fact.uid);
    ListedServer {
        endpoint: Some(instance.endpoint),
        row: ServerRow {
            server,
            cell: instance.cell,
            status: match fact.status {
                EffectiveStatus::Ready => Status::Up,
                EffectiveStatus::Suspected => Status::Suspected,
                EffectiveStatus::Draining => Status::Draining,
                EffectiveStatus::Gone => Status::Gone,
            },
            kind: instance.kind.map(String::from),
            zone: instance.zone.map(String::from),
            started_at: fact.born.map(|ms| ms as Seconds / 1e3),
            rating: instance.weight,
        },
        uid: fact.uid.into(),
    }
}
