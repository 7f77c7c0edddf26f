//! Rows of the server list, before an instance's names give their words a number.

use violetwind_balancer::api::{Entry, Secs, ServerId, Status};

use crate::settings::{Names, index};

#[derive(Clone, Debug)]
pub struct Row {
    pub server: ServerId,
    pub cell: u64,
    pub status: Status,
    pub kind: Option<String>,
    pub zone: Option<String>,
    /// 0 or absent: long ago.
    pub born: Option<Secs>,
    pub rating: Option<f64>,
}

impl Row {
    pub fn entry(&self, names: &Names) -> Entry {
        Entry {
            server: self.server,
            status: self.status,
            zone: index(&names.zones, self.zone.as_deref()),
            kind: index(&names.kinds, self.kind.as_deref()),
            cell: self.cell,
            size: self
                .rating
                .filter(|size| names.rated && *size > 0.0 && size.is_finite()),
            born: self.born.filter(|born| *born != 0.0),
        }
    }
}
