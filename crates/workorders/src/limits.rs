/// What grows, and how far: more is refused with the name of the limit.
pub struct Caps;

impl Caps {
    /// Orders that have not ended, and ended ones that are remembered.
    pub const ORDERS: usize = 64;
    pub const ENDED: usize = 64;
    /// Machines of the whole fleet, servers of one of them, and the length of a name.
    pub const MACHINES: usize = 10_000;
    pub const SERVERS: usize = 1_000;
    pub const NAME: usize = 64;
}
