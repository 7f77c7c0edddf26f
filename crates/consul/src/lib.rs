//! Servers from Consul, by its public HTTP API: `/v1/health/service/NAME` or
//! `/v1/catalog/service/NAME` with blocking queries (API documentation, "Features: Blocking Queries",
//! "Consistency Modes", "Health" and "Catalog").
//!
//! The parts that settle something do no I/O: [`query`] follows the index and says how far an answer is
//! to be believed and when to ask again, [`rows`] cuts a body into rows as it comes and reads each by the
//! rules of the operator's file. [`watch`] only does what they say.

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
