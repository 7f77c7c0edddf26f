//! `violetwind catalogue`: each source is asked once, and the catalogue says what it believes of that.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use violetwind_catalogue::{Catalogue, ServerView, SourceId, SourceUpdate};

use crate::config::Config;
use crate::discovery;
use crate::limits::{LimitInputs, Limits};
use crate::operator_config::{ConfigLayers, OperatorConfig, SourceKind};

/// What came of asking one source.
struct Asked {
    name: String,
    id: Option<SourceId>,
    outcome: Result<SourceUpdate, String>,
    fault: Option<String>,
}

/// Exit 0 where every source answered, else 1.
pub fn run_catalogue(layers: &ConfigLayers, as_json: bool) -> ExitCode {
    let operator = match layers.load() {
        Ok(operator) => operator,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            return ExitCode::FAILURE;
        }
    };
    if operator.sources.is_empty() {
        eprintln!("the file has no [[source]]");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("violetwind: {error}");
            return ExitCode::FAILURE;
        }
    };
    let asked = tokio::task::LocalSet::new().block_on(&runtime, ask_all(&operator));
    let (catalogue, asked) = weigh(&operator, asked);
    let all = asked.iter().all(|asked| asked.outcome.is_ok());
    match as_json {
        true => println!("{:#}", as_value(&catalogue, &asked)),
        false => print(&catalogue, &asked),
    }
    match all {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

async fn ask_all(operator: &OperatorConfig) -> Vec<Asked> {
    let mut limits = Limits::new(LimitInputs::default());
    operator.apply_limits(&mut limits);
    let limits = Rc::new(limits);
    let mut all = Vec::new();
    for source in &operator.sources {
        match &source.kind {
            SourceKind::Registry { address, zones } => {
                let outcome = match address.or_else(platform) {
                    Some(at) => discovery::fetch_list(at, limits.clone(), zones.clone()).await,
                    None => Err("no address: neither in the file nor in NODE_DISCOVERY".into()),
                };
                all.push(Asked {
                    name: source.name.clone(),
                    id: None,
                    outcome,
                    fault: None,
                });
            }
            SourceKind::Consul(settings) => {
                let each = settings.datacenters.iter().map(|dc| Some(dc.as_str()));
                let agents_own = settings.datacenters.is_empty().then_some(None);
                for dc in each.chain(agents_own) {
                    let answer = violetwind_consul::fetch_once(settings, dc).await;
                    let (outcome, fault) = match answer {
                        Ok((telling, fault)) => (Ok(telling), fault),
                        Err(error) => (Err(error), None),
                    };
                    all.push(Asked {
                        name: dc.map_or(source.name.clone(), |dc| format!("{}/{dc}", source.name)),
                        id: None,
                        outcome,
                        fault,
                    });
                }
            }
        }
    }
    all
}

/// Where the platform says that discovery is.
fn platform() -> Option<SocketAddr> {
    let variable = std::env::var("NODE_DISCOVERY").ok();
    let variable = variable.and_then(|text| text.parse().ok());
    variable.or_else(|| Config::from_env().ok().map(|config| config.discovery))
}

fn weigh(operator: &OperatorConfig, mut asked: Vec<Asked>) -> (Catalogue, Vec<Asked>) {
    let mut catalogue = Catalogue::new(operator.catalogue_limits.clone());
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.map_or(0, |since| since.as_millis() as u64);
    for asked in &mut asked {
        asked.id = catalogue.add_source(&asked.name);
    }
    for asked in &asked {
        let telling = asked.outcome.clone().unwrap_or(SourceUpdate::Unavailable);
        if let Some(id) = asked.id {
            catalogue.apply_update(now, id, telling);
        }
    }
    (catalogue, asked)
}

fn said(asked: &[Asked], seen: &ServerView<'_>) -> Vec<(String, String)> {
    let name = |id| asked.iter().find(|asked| asked.id == Some(id));
    seen.reports
        .iter()
        .filter_map(|said| {
            let word = format!("{:?}", said.status).to_lowercase();
            Some((name(said.source)?.name.clone(), word))
        })
        .collect()
}

fn state(asked: &Asked) -> String {
    match &asked.outcome {
        Ok(SourceUpdate::Snapshot(rows)) => format!("{} servers", rows.len()),
        Ok(SourceUpdate::StaleSnapshot(rows)) => {
            format!("{} servers, but stale: only drains count", rows.len())
        }
        Ok(_) => "nothing".into(),
        Err(error) => format!("no answer: {error}"),
    }
}

fn print(catalogue: &Catalogue, asked: &[Asked]) {
    for asked in asked {
        println!("source {}: {}", asked.name, state(asked));
        if let Some(fault) = &asked.fault {
            println!("  rows that make no sense, the first: {fault}");
        }
    }
    println!(
        "{:<28} {:<22} {:<10} {:<40} said",
        "server", "address", "believed", "why"
    );
    for seen in catalogue.servers() {
        let words = said(asked, &seen);
        let words: Vec<String> = words.iter().map(|(s, w)| format!("{s}: {w}")).collect();
        println!(
            "{:<28} {:<22} {:<10} {:<40} {}",
            seen.uid,
            seen.instance.endpoint.to_string(),
            format!("{:?}", seen.status).to_lowercase(),
            seen.reason.to_string(),
            words.join(", ")
        );
    }
}

fn as_value(catalogue: &Catalogue, asked: &[Asked]) -> Value {
    let sources: Vec<Value> = asked
        .iter()
        .map(|asked| {
            json!({"name": asked.name, "answered": asked.outcome.is_ok(), "state": state(asked),
                   "fault": asked.fault})
        })
        .collect();
    let servers: Vec<Value> = catalogue
        .servers()
        .map(|seen| {
            let words: serde_json::Map<String, Value> = said(asked, &seen)
                .into_iter()
                .map(|(source, word)| (source, word.into()))
                .collect();
            json!({"server": seen.uid, "address": seen.instance.endpoint.to_string(),
                   "zone": seen.instance.zone, "kind": seen.instance.kind,
                   "believed": format!("{:?}", seen.status).to_lowercase(),
                   "why": seen.reason.to_string(), "said": words})
        })
        .collect();
    json!({"sources": sources, "servers": servers})
}
