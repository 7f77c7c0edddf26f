//! Code that all hosts of the balancer share: named settings, rows of the server list, load reports and ids. It makes
//! no decisions and does no input or output.

mod ids;
mod merge;
mod named_values;
mod report;
mod rows;
mod settings;

pub use ids::{group_id, server_id};
pub use merge::{MAX_INDICES, merge_settings};
pub use named_values::NamedValues;
pub use report::set_report_field;
pub use rows::ServerRow;
pub use settings::{NameTable, read_settings};
