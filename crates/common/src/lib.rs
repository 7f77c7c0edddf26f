//! What every host of the balancer needs, once: settings by name, rows of the server list, load
//! reports, ids. No decisions, no input or output.

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
