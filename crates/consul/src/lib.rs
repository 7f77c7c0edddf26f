//! Reads servers from Consul through its public HTTP API: `/v1/health/service/NAME` or
//! `/v1/catalog/service/NAME` with blocking queries (API documentation, "Features: Blocking Queries",
//! "Consistency Modes", "Health" and "Catalog").
//!
//! The modules that make decisions do no I/O: [`query`] follows the index, classifies responses and schedules the
//! next query; [`rows`] splits a body into rows as it arrives and maps each row according to the rules of the
//! operator's file. The modules `watch` and `client` do the I/O.

mod client;
mod limits;
pub mod query;
pub mod rows;
mod rules;
mod token;
mod watch;

pub use limits::Limits;
pub use rules::{Api, FieldSource, Identity, MappingRules, Settings};
pub use token::Token;
pub use watch::{fetch_once, watch_service};
