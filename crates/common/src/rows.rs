//! Rows of the server list, before an instance's names give their words a number.

use violetwind_balancer::api::{Entry, Seconds, ServerId, Status};

use crate::settings::{NameTable, index_of};

#[derive(Clone, Debug)]
pub struct ServerRow {
    pub server: ServerId,
    pub cell: u64,
    pub status: Status,
    pub kind: Option<String>,
    pub zone: Option<String>,
    /// 0 or absent: long ago.
    pub started_at: Option<Seconds>,
    pub rating: Option<f64>,
}

impl ServerRow {
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
            born: self.started_at.filter(|born| *born != 0.0),
        }
    }
}
