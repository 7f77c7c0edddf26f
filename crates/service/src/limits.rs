use std::time::Duration;

/// The sizes and times of this crate.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The longest call with its end, and the longest id of a server.
    pub call_bytes: usize,
    pub id_bytes: usize,
    /// Machines that one call may name.
    pub machines: usize,
    /// Servers that may be out at once, and as many that are remembered as back.
    pub bans: usize,
    /// Servers on machines that orders have out whose times are remembered, and as many that have come back.
    pub outs: usize,
    /// The longest message between a proxy and its successor, and the longest file of bans.
    pub frame_bytes: usize,
    /// After `LEAVE`: the front has stopped sending new clients; standing ones are moved from here to there.
    pub leave_serve: Duration,
    pub leave_moved: Duration,
    /// From here on new requests are turned away, and from there on those that still wait.
    pub leave_refuse: Duration,
    pub leave_last: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            call_bytes: 1024,
            id_bytes: 512,
            machines: 1000,
            bans: 1024,
            outs: 16_384,
            frame_bytes: 2 << 20,
            // The front asks ten times a second and stops 0.2 s after a no; at 4 s nothing may be held.
            leave_serve: ms(400),
            leave_moved: ms(3000),
            leave_refuse: ms(700),
            leave_last: ms(3500),
        }
    }
}
