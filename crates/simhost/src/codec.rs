//! The wire's words, both ways. Nothing outside this file knows them.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::io::{self, Write};

use violetwind_balancer::api::{
    Action, Class, Effect, Ended, Entry, Event, Field, ListKind, Outcome, Report, Request,
    RequestId, Scope, Secs, ServerId, Settings, Status, Tenant,
};

/// The `name=value` pairs of one line.
#[derive(Debug, Default)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    pub fn parse(rest: &'a str) -> Result<Self, String> {
        let pair = |part: &'a str| {
            part.split_once('=')
                .ok_or_else(|| format!("`{part}`: expected name=value"))
        };
        rest.split(' ')
            .filter(|part| !part.is_empty())
            .map(pair)
            .collect::<Result<_, _>>()
            .map(Self)
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| *value)
    }

    fn need(&self, name: &str) -> Result<&'a str, String> {
        self.get(name)
            .ok_or_else(|| format!("expected the field {name}"))
    }

    pub fn int(&self, name: &str) -> Result<u64, String> {
        let value = self.need(name)?;
        value
            .parse()
            .map_err(|_| format!("{name}={value}: expected a whole number"))
    }

    fn int_or(&self, name: &str, absent: u64) -> Result<u64, String> {
        if self.get(name).is_some() {
            self.int(name)
        } else {
            Ok(absent)
        }
    }

    fn server(&self) -> Result<ServerId, String> {
        let value = self.need("server")?;
        value
            .parse()
            .map_err(|_| format!("server={value}: expected a number below 2^32"))
    }

    fn id(&self) -> Result<RequestId, String> {
        let value = self.need("id")?;
        let id = RequestId::from_str_radix(value, 16)
            .ok()
            .filter(|_| value.len() == 16);
        id.ok_or_else(|| format!("id={value}: expected 16 hex digits"))
    }

    fn number(&self, name: &str) -> Result<Option<f64>, String> {
        let parse = |value: &str| {
            value
                .parse()
                .map_err(|_| format!("{name}={value}: expected a number"))
        };
        self.get(name).map(parse).transpose()
    }

    pub fn secs(&self, name: &str) -> Result<Secs, String> {
        let value = self
            .number(name)?
            .ok_or_else(|| format!("expected the field {name}"))?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("{name}: expected a finite time"))
        }
    }

    fn number_or(&self, name: &str, absent: f64) -> Result<f64, String> {
        Ok(self.number(name)?.unwrap_or(absent))
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => Err(format!("{name}={value}: expected 1 or 0")),
        }
    }

    fn list(&self, name: &str) -> Vec<String> {
        let values = self.get(name).unwrap_or("").split(',');
        values
            .filter(|value| !value.is_empty())
            .map(str::to_string)
            .collect()
    }
}

/// The names an instance's settings use; inside, classes, tenants, zones and kinds are numbers.
#[derive(Debug, Default)]
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
    tenants: Vec<String>,
    /// Whether the list's rating is a server's size.
    rated: bool,
}

fn index(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|known| Some(known.as_str()) == name)
}

/// Reads the settings of a `LAUNCH` line; keys it does not know are passed over.
pub fn settings(facts: &Fields) -> Result<(Settings, Names), String> {
    let mut names = Names {
        zones: facts.list("azs"),
        kinds: facts.list("skus"),
        rated: matches!(facts.get("weights"), Some("nominal" | "rough")),
        ..Names::default()
    };
    let mut classes = Vec::new();
    for at in 0..facts.int_or("request-classes.count", 0)? {
        let key = |part: &str| format!("request-classes.{at}.{part}");
        names.classes.push(facts.need(&key("name"))?.to_string());
        classes.push(Class {
            effect: match facts.need(&key("idempotency"))? {
                "pure" => Effect::Safe,
                "token" => Effect::Keyed,
                "side_effect" => Effect::Unsafe,
                other => {
                    return Err(format!(
                        "idempotency={other}: expected pure, token or side_effect"
                    ));
                }
            },
            scope: match facts.get(&key("group")) {
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                _ => Scope::All,
            },
            window: facts.number_or(&key("window-s"), 0.0)?,
            aim: facts.number_or(&key("target-s"), 0.0)?,
            worth: facts.number_or(&key("credit"), 1.0)?,
        });
    }
    let quotas = facts.list("family-info.tenant-quota-connections");
    let mut tenants = Vec::new();
    for at in 0..facts.int_or("orgs.count", 0)? {
        names
            .tenants
            .push(facts.need(&format!("orgs.{at}.name"))?.to_string());
        tenants.push(Tenant {
            quota: quotas.get(at as usize).and_then(|quota| quota.parse().ok()),
        });
    }
    let field = |name: &String| match name.as_str() {
        "x0" => Some(Field::Load),
        "rif" => Some(Field::Connections),
        "q" => Some(Field::Queue),
        "busy" => Some(Field::Utilisation),
        "fail_rate" => Some(Field::Errors),
        _ => None,
    };
    let settings = Settings {
        fleet_size: facts.int_or("fleet-size", 1)?.max(1) as usize,
        me: facts.int_or("me", 0)?,
        zone: index(&names.zones, facts.get("zone")),
        zones: names.zones.len(),
        classes,
        tenants,
        report_fields: facts
            .list("reporting.fields")
            .iter()
            .filter_map(field)
            .collect(),
        max_attempts: facts.int_or("permissions.max-attempts", 1)? as usize,
        max_retry_after: facts.number_or("permissions.max-retry-after-s", 0.0)?,
        may_retry_after: facts.flag("permissions.retry-after")?,
        may_probe: facts.flag("permissions.probes")?,
        may_cancel: facts.flag("permissions.cancel")?,
        must_ask: facts.get("membership-mode") == Some("on_request"),
        ask_within: facts.number_or("rules.ask-within-s", 10.0)?,
        cold_from: facts.number_or("rules.cold-from", 1.0)?,
        cold_for: facts.number_or("rules.cold-s", 0.0)?,
        fall_multiple: facts.number_or("rules.fall-multiple", 1.0)?,
        fall_for: facts.number_or("rules.overload-for-s", 1.0)?,
        groups: facts.flag("family-info.groups")?,
        price_cross_zone: facts.number_or("prices.cross-zone", 0.0)?,
        price_probe: facts.number_or("prices.probe", 0.0)?,
        over_share_worth: facts.number_or("over-share-worth", 1.0)?,
    };
    Ok((settings, names))
}

/// One `SERVER` line, before an instance's names give its words a number.
#[derive(Debug)]
pub struct Row {
    server: ServerId,
    cell: u64,
    status: Status,
    kind: Option<String>,
    zone: Option<String>,
    born: Option<Secs>,
    rating: Option<f64>,
}

pub fn row(fields: &Fields) -> Result<Row, String> {
    Ok(Row {
        server: fields.server()?,
        cell: fields.int_or("cluster", 0)?,
        status: match fields.need("status")? {
            "U" => Status::Up,
            "L" => Status::Draining,
            "D" => Status::Gone,
            other => return Err(format!("status={other}: expected U, L or D")),
        },
        kind: fields.get("sku").map(str::to_string),
        zone: fields.get("campus").map(str::to_string),
        born: fields.number("born-s")?.filter(|born| *born != 0.0),
        rating: fields.number("rating")?,
    })
}

/// The event of a line, unless it means nothing to the module.
pub fn event(
    name: &str,
    fields: &Fields,
    names: &Names,
    lists: &BTreeMap<u64, Vec<Row>>,
) -> Result<Option<Event>, String> {
    let event = match name {
        "DISCOVERY" => servers(fields, names, lists)?,
        "ORDER" => Event::Request(request(fields, names)?),
        "ADOPTED" => Event::Open(request(fields, names)?, fields.server()?),
        "FIRST" => Event::Begun(fields.id()?, fields.server()?),
        "SETTLED" => Event::Outcome(Ended {
            id: fields.id()?,
            server: fields.server()?,
            outcome: outcome(fields)?,
            last: fields.flag("last")?,
            report: report(fields)?,
        }),
        "ABORTED" => Event::Gone(fields.id()?),
        "NOTE" => {
            let id = fields.id()?;
            let value = fields.number("value")?.ok_or("expected the field value")?;
            match fields.int("what")? {
                1 => Event::LoadNote(id, value / 1e6),
                2 => Event::DelayNote(fields.server()?, value / 1e3),
                _ => return Ok(None),
            }
        }
        "CHECK_RESULT" => Event::Probed(fields.server()?, outcome(fields)?, report(fields)?),
        "ELAPSED" => Event::Timer(fields.int("nonce")?),
        "MAIL" => return Ok(None),
        _ => return Err(format!("{name}: expected the name of an event")),
    };
    Ok(Some(event))
}

fn servers(
    fields: &Fields,
    names: &Names,
    lists: &BTreeMap<u64, Vec<Row>>,
) -> Result<Event, String> {
    let kind = match fields.need("kind")? {
        "update" => ListKind::Update,
        "replace" => ListKind::Replace,
        "restored" => ListKind::Restored,
        "unavailable" => {
            return Ok(Event::Servers(ListKind::Unavailable, Vec::new()));
        }
        other => {
            return Err(format!(
                "kind={other}: expected update, replace, restored or unavailable"
            ));
        }
    };
    let list = fields.int("ref")?;
    let rows = lists
        .get(&list)
        .ok_or_else(|| format!("ref={list}: expected a list named before"))?;
    let entry = |row: &Row| Entry {
        server: row.server,
        status: row.status,
        zone: index(&names.zones, row.zone.as_deref()),
        kind: index(&names.kinds, row.kind.as_deref()),
        cell: row.cell,
        size: row
            .rating
            .filter(|size| names.rated && *size > 0.0 && size.is_finite()),
        born: row.born,
    };
    Ok(Event::Servers(kind, rows.iter().map(entry).collect()))
}

fn request(fields: &Fields, names: &Names) -> Result<Request, String> {
    let class = fields.need("priority")?;
    let hash = |key: &str| {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(key.as_bytes());
        hasher.finish()
    };
    Ok(Request {
        id: fields.id()?,
        class: index(&names.classes, Some(class))
            .ok_or_else(|| format!("priority={class}: expected a class of the settings"))?,
        tenant: index(&names.tenants, fields.get("billing")),
        group: fields.get("channel").map(hash),
        hint: fields.number("estimate-s")?,
        patience: fields.secs("patience-left-s")?,
    })
}

fn outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match fields.int("how")? {
        0 => Outcome::Ok,
        5 => Outcome::Error,
        11 => Outcome::Full,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NotSent,
        other => return Err(format!("how={other}: expected an outcome code")),
    })
}

fn report(fields: &Fields) -> Result<Report, String> {
    let mut report = Report::default();
    for pair in fields.list("gauge") {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| format!("gauge {pair}: expected name:value"))?;
        let value = value
            .parse()
            .map_err(|_| format!("gauge {pair}: expected a number"))?;
        match name {
            "x0" => report.load = Some(value),
            "rif" => report.connections = Some(value),
            "q" => report.queue = Some(value),
            "busy" => report.utilisation = Some(value),
            "fail_rate" => report.errors = Some(value),
            _ => {}
        }
    }
    Ok(report)
}

pub fn write_action(out: &mut impl Write, action: &Action) -> io::Result<()> {
    match action {
        Action::Send(id, server, timeout) => {
            writeln!(out, "ROUTE id={id:016x} server={server} cap-s={timeout}")
        }
        Action::Refuse(id, None) => writeln!(out, "PUSH_BACK id={id:016x}"),
        Action::Refuse(id, Some(wait)) => writeln!(out, "PUSH_BACK id={id:016x} backoff-s={wait}"),
        Action::Fail(id) => writeln!(out, "LOSE id={id:016x}"),
        Action::Move(id) => writeln!(out, "RELOCATE id={id:016x}"),
        Action::Cancel(id, attempt) => writeln!(out, "RECALL id={id:016x} hop={attempt}"),
        Action::Probe(server) => writeln!(out, "TOUCH server={server}"),
        Action::Subscribe => writeln!(out, "WATCH want=1"),
        Action::Timer(after, token) => writeln!(out, "DEFER offset-s={after} nonce={token}"),
    }
}

/// Tells that the decision code has broken.
pub fn write_fault(out: &mut impl Write, text: &str) -> io::Result<()> {
    writeln!(out, "GIVE_IN message={}", text.replace(['\n', '\r'], " "))
}
