//! Ids of names, the same at every balancer, as all balancers use the same server orders for groups.

use std::hash::Hasher;

use violetwind_balancer::api::ServerId;

/// The id of a group: a stable hash of its name.
pub fn group_id(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// The id of a server with a textual identity.
pub fn server_id(uid: &str) -> ServerId {
    let hash = group_id(uid);
    (hash >> 32) as u32 ^ hash as u32
}
