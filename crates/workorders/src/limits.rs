/// Limits of the replicated state. A change that exceeds one is refused, but of ended orders the oldest are dropped.
pub struct OrderLimits;

impl OrderLimits {
    /// Orders that have not ended.
    pub const MAX_ORDERS: usize = 64;
    /// Ended orders that are kept as history.
    pub const MAX_ENDED_ORDERS: usize = 64;
    /// Machines of the whole fleet.
    pub const MAX_MACHINES: usize = 10_000;
    /// Servers of one machine.
    pub const MAX_SERVERS_PER_MACHINE: usize = 1_000;
    /// The longest name of an order or a machine, in bytes.
    pub const MAX_NAME_BYTES: usize = 64;
}
