//! Numbers for names, the same at every balancer: group orders are common to all of them.

use std::hash::Hasher;

use violetwind_balancer::api::ServerId;

/// The stable hash of a group's name.
pub fn group_id(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// The number of a server whose identity is a text.
pub fn server_id(uid: &str) -> ServerId {
    let hash = group_id(uid);
    (hash >> 32) as u32 ^ hash as u32
}
