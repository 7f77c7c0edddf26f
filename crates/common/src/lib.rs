//! What every host of the balancer needs, once: settings by name, rows of the server list, load
//! reports, ids. No decisions, no input or output.

mod facts;
mod ids;
mod report;
mod retune;
mod rows;
mod settings;

pub use facts::Facts;
pub use ids::{group_id, server_id};
pub use report::note;
pub use retune::{NUMBERS, retune};
pub use rows::Row;
pub use settings::{Names, settings};
