//! The settings of a Consul source, with the rules that map Consul's fields to those of the catalogue.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::limits::Limits;

/// Which of the two API endpoints is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/health/service`: instances with their checks.
    Health,
    /// `/v1/catalog/service`: instances without checks, so each listed one is ready unless its tags mean a drain.
    Catalog,
}

/// The field that identifies a server, also across sources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The service's ID, for installations that keep it unique.
    ServiceId,
    /// The node's name and the service's ID as `NODE/ID`, which Consul itself keeps unique.
    NodeAndId,
    /// The value of this key in the service's meta.
    Meta(String),
}

/// The source of one field of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldSource {
    /// The field is not set.
    Nothing,
    /// The name of the node's data centre.
    Datacenter,
    /// The value of this key in the service's meta, otherwise in the node's meta.
    Meta(String),
    /// The rest of the first tag with this prefix.
    TagPrefix(String),
}

/// Maps the fields of a Consul row to those of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct MappingRules {
    pub identity: Identity,
    pub zone: FieldSource,
    pub kind: FieldSource,
    pub group: FieldSource,
    /// The start time of the server's process, in Unix milliseconds.
    pub boot_ms: FieldSource,
    /// A tag that means a drain, in addition to maintenance of the service or the node.
    pub drain_tag: Option<String>,
    /// Maps the zone names of Consul to those of the settings.
    pub zones: BTreeMap<String, String>,
}

impl Default for MappingRules {
    fn default() -> Self {
        Self {
            identity: Identity::ServiceId,
            zone: FieldSource::Datacenter,
            kind: FieldSource::Nothing,
            group: FieldSource::Nothing,
            boot_ms: FieldSource::Nothing,
            drain_tag: None,
            zones: BTreeMap::new(),
        }
    }
}

/// The settings of one Consul source.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub address: SocketAddr,
    pub service: String,
    /// The data centres to query; if empty, the data centre of the queried agent.
    pub datacenters: Vec<String>,
    pub api: Api,
    /// Whether any Consul server may answer, not only the leader.
    pub allow_stale: bool,
    /// The file with the ACL token; it is read before each query and polled while one is in flight.
    pub token_file: Option<PathBuf>,
    pub rules: MappingRules,
    pub limits: Limits,
}

impl Settings {
    /// Default settings for a service, queried at the agent with this address.
    pub fn new(address: SocketAddr, service: &str) -> Self {
        Self {
            address,
            service: service.to_string(),
            datacenters: Vec::new(),
            api: Api::Health,
            allow_stale: true,
            token_file: None,
            rules: MappingRules::default(),
            limits: Limits::default(),
        }
    }
}
