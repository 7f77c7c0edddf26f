//! How Consul's words become the project's: the rules of the operator's file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::limits::Limits;

/// Which of the two endpoints is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// Instances with their checks.
    Health,
    /// Instances alone: without checks every one that is listed is ready.
    Catalog,
}

/// What tells two servers apart, and finds the same one in two sources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The service's id, where an installation keeps it unique.
    ServiceId,
    /// The node's name and the service's id: `NODE/ID`, unique by Consul's own rules.
    NodeAndId,
    /// A value of the service's meta.
    Meta(String),
}

/// Where a word about a server is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldSource {
    Nothing,
    Datacenter,
    /// A value of the service's meta, or else of the node's.
    Meta(String),
    /// What follows this in a tag.
    TagPrefix(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct MappingRules {
    pub identity: Identity,
    pub zone: FieldSource,
    pub kind: FieldSource,
    pub group: FieldSource,
    /// When its process started, in Unix milliseconds.
    pub boot_ms: FieldSource,
    /// A tag that means a drain, beside the maintenance of service and node.
    pub drain_tag: Option<String>,
    /// Names of zones as Consul has them, and as the settings have them.
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

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub address: SocketAddr,
    pub service: String,
    /// Empty: the agent's own.
    pub datacenters: Vec<String>,
    pub api: Api,
    /// Lets any server answer, not only the leader.
    pub allow_stale: bool,
    pub token_file: Option<PathBuf>,
    pub rules: MappingRules,
    pub limits: Limits,
}

impl Settings {
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
