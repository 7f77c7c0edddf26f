/// What grows, and how far: more is refused with the name of the limit.
pub struct OrderLimits;

impl OrderLimits {
    /// Orders that have not ended, and ended ones that are remembered.
    pub const MAX_ORDERS: usize = 64;
    pub const MAX_ENDED_ORDERS: usize = 64;
    /// Machines of the whole fleet, servers of one of them, and the length of a name.
    pub const MAX_MACHINES: usize = 10_000;
    pub const MAX_SERVERS_PER_MACHINE: usize = 1_000;
    pub const MAX_NAME_BYTES: usize = 64;
}
