//! The command `violetwind catalogue`: queries each source once and prints the resulting state of the catalogue.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use violetwind_catalogue::{Catalogue, ServerView, SourceId, SourceUpdate};
use violetwind_output::{print_error, print_line, with_output_checked};

use crate::config::Config;
use crate::discovery;
use crate::limits::{LimitInputs, Limits};
use crate::operator_config::{ConfigLayers, OperatorConfig, SourceKind};

/// Result of querying one source, or one data center of a Consul source.
struct SourceResult {
    name: String,
    id: Option<SourceId>,
    outcome: Result<SourceUpdate, String>,
    /// The first problem among rows that were skipped.
    fault: Option<String>,
}

/// Queries all sources and prints the catalogue. The exit code is 0 if every source answered, else 1; 74 if every source
/// answered but the catalogue could not be written.
pub fn run_catalogue(layers: &ConfigLayers, as_json: bool) -> ExitCode {
    let config = match layers.load() {
        Ok(config) => config,
        Err(problems) => {
            problems
                .iter()
                .for_each(|problem| print_error!("{problem}"));
            return ExitCode::FAILURE;
        }
    };
    if config.sources.is_empty() {
        print_error!("the file has no [[source]]");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            print_error!("violetwind: {error}");
            return ExitCode::FAILURE;
        }
    };
    let results = tokio::task::LocalSet::new().block_on(&runtime, query_sources(&config));
    let (catalogue, results) = build_catalogue(&config, results);
    let all_answered = results.iter().all(|result| result.outcome.is_ok());
    match as_json {
        true => print_line!("{:#}", to_json(&catalogue, &results)),
        false => print_tables(&catalogue, &results),
    }
    with_output_checked(match all_answered {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

async fn query_sources(config: &OperatorConfig) -> Vec<SourceResult> {
    let mut limits = Limits::new(LimitInputs::default());
    config.apply_limits(&mut limits);
    let limits = Rc::new(limits);
    let mut results = Vec::new();
    for source in &config.sources {
        match &source.kind {
            SourceKind::Registry { address, zones } => {
                let outcome = match address.or_else(platform_discovery_address) {
                    Some(address) => {
                        discovery::fetch_list(address, limits.clone(), zones.clone()).await
                    }
                    None => Err("no address: neither in the file nor in NODE_DISCOVERY".into()),
                };
                results.push(SourceResult {
                    name: source.name.clone(),
                    id: None,
                    outcome,
                    fault: None,
                });
            }
            SourceKind::Consul(settings) => {
                let datacenters = settings
                    .datacenters
                    .iter()
                    .map(|datacenter| Some(datacenter.as_str()));
                let default_datacenter = settings.datacenters.is_empty().then_some(None);
                for datacenter in datacenters.chain(default_datacenter) {
                    let answer = violetwind_consul::fetch_once(settings, datacenter).await;
                    let (outcome, fault) = match answer {
                        Ok((update, fault)) => (Ok(update), fault),
                        Err(error) => (Err(error), None),
                    };
                    results.push(SourceResult {
                        name: datacenter.map_or(source.name.clone(), |datacenter| {
                            format!("{}/{datacenter}", source.name)
                        }),
                        id: None,
                        outcome,
                        fault,
                    });
                }
            }
        }
    }
    results
}

/// Returns the address of the platform's discovery, from NODE_DISCOVERY or the platform's configuration.
fn platform_discovery_address() -> Option<SocketAddr> {
    let from_environment = std::env::var("NODE_DISCOVERY").ok();
    let from_environment = from_environment.and_then(|text| text.parse().ok());
    from_environment.or_else(|| Config::from_env().ok().map(|config| config.discovery))
}

/// Applies the results to a new catalogue, in the order of the sources.
fn build_catalogue(
    config: &OperatorConfig,
    mut results: Vec<SourceResult>,
) -> (Catalogue, Vec<SourceResult>) {
    let mut catalogue = Catalogue::new(config.catalogue_limits.clone());
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.map_or(0, |elapsed| elapsed.as_millis() as u64);
    for result in &mut results {
        result.id = catalogue.add_source(&result.name);
    }
    for result in &results {
        let update = result.outcome.clone().unwrap_or(SourceUpdate::Unavailable);
        if let Some(id) = result.id {
            catalogue.apply_update(now, id, update);
        }
    }
    (catalogue, results)
}

/// Returns the name of each source that reports the server, with the reported status.
fn reports_of(results: &[SourceResult], server: &ServerView<'_>) -> Vec<(String, String)> {
    let result_of = |id| results.iter().find(|result| result.id == Some(id));
    server
        .reports
        .iter()
        .filter_map(|report| {
            let status = format!("{:?}", report.status).to_lowercase();
            Some((result_of(report.source)?.name.clone(), status))
        })
        .collect()
}

/// Describes the result of querying a source.
fn describe_outcome(result: &SourceResult) -> String {
    match &result.outcome {
        Ok(SourceUpdate::Snapshot(rows)) => format!("{} servers", rows.len()),
        Ok(SourceUpdate::StaleSnapshot(rows)) => {
            format!("{} servers, but stale: only drains count", rows.len())
        }
        Ok(_) => "nothing".into(),
        Err(error) => format!("no answer: {error}"),
    }
}

fn print_tables(catalogue: &Catalogue, results: &[SourceResult]) {
    for result in results {
        print_line!("source {}: {}", result.name, describe_outcome(result));
        if let Some(fault) = &result.fault {
            print_line!("  rows that make no sense, the first: {fault}");
        }
    }
    print_line!(
        "{:<28} {:<22} {:<10} {:<40} said",
        "server",
        "address",
        "believed",
        "why"
    );
    for server in catalogue.servers() {
        let reports = reports_of(results, &server);
        let reports: Vec<String> = reports
            .iter()
            .map(|(source, status)| format!("{source}: {status}"))
            .collect();
        print_line!(
            "{:<28} {:<22} {:<10} {:<40} {}",
            server.uid,
            server.instance.endpoint.to_string(),
            format!("{:?}", server.status).to_lowercase(),
            server.reason.to_string(),
            reports.join(", ")
        );
    }
}

fn to_json(catalogue: &Catalogue, results: &[SourceResult]) -> Value {
    let sources: Vec<Value> = results
        .iter()
        .map(|result| {
            json!({"name": result.name, "answered": result.outcome.is_ok(),
                   "state": describe_outcome(result), "fault": result.fault})
        })
        .collect();
    let servers: Vec<Value> = catalogue
        .servers()
        .map(|server| {
            let reports: serde_json::Map<String, Value> = reports_of(results, &server)
                .into_iter()
                .map(|(source, status)| (source, status.into()))
                .collect();
            json!({"server": server.uid, "address": server.instance.endpoint.to_string(),
                   "zone": server.instance.zone, "kind": server.instance.kind,
                   "believed": format!("{:?}", server.status).to_lowercase(),
                   "why": server.reason.to_string(), "said": reports})
        })
        .collect();
    json!({"sources": sources, "servers": servers})
}
