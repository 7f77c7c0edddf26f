use std::time::Duration;

/// The sizes and times of this crate.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The longest call with its end, and the longest id of a server.
    pub max_command_bytes: usize,
    pub max_id_bytes: usize,
    /// Machines that one call may name.
    pub max_machines_per_command: usize,
    /// Servers that may be out at once, and as many that are remembered as back.
    pub max_bans: usize,
    /// Servers on machines that orders have out whose times are remembered, and as many that have come back.
    pub max_servers_out: usize,
    /// The longest message between a proxy and its successor, and the longest file of bans.
    pub max_frame_bytes: usize,
    /// After `LEAVE`: the front has stopped sending new clients; standing ones are moved from here to there.
    pub drain_move_start: Duration,
    pub drain_move_end: Duration,
    /// From here on new requests are turned away, and from there on those that still wait.
    pub drain_refuse_new_after: Duration,
    pub drain_refuse_all_after: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            max_command_bytes: 1024,
            max_id_bytes: 512,
            max_machines_per_command: 1000,
            max_bans: 1024,
            max_servers_out: 16_384,
            max_frame_bytes: 2 << 20,
            // The front asks ten times a second and stops 0.2 s after a no; at 4 s nothing may be held.
            drain_move_start: ms(400),
            drain_move_end: ms(3000),
            drain_refuse_new_after: ms(700),
            drain_refuse_all_after: ms(3500),
        }
    }
}
