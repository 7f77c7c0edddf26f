//! Rows of the server list, with zones and kinds by name.

use violetwind_balancer::api::{Entry, Seconds, ServerId, Status};

use crate::settings::{NameTable, index_of};

/// A row of the server list.
#[derive(Clone, Debug)]
pub struct ServerRow {
    pub server: ServerId,
    pub cell: u64,
    pub status: Status,
    pub kind: Option<String>,
    pub zone: Option<String>,
    /// When the server's process started; 0 or absent if that is long ago.
    pub started_at: Option<Seconds>,
    /// The server's size, if the settings define the rating as such.
    pub rating: Option<f64>,
}

impl ServerRow {
    /// Converts the row to a list entry, with the indices of its zone and kind.
    pub fn to_entry(&self, names: &NameTable) -> Entry {
        Entry {
            server: self.server,
            status: self.status,
            zone: index_of(&names.zones, self.zone.as_deref()),
            kind: index_of(&names.kinds, self.kind.as_deref()),
            cell: self.cell,
            size: self
                .rating
                .filter(|size| names.rating_is_size && *size > 0.0 && size.is_finite()),
            started_at: self.started_at.filter(|started_at| *started_at != 0.0),
        }
    }
}
