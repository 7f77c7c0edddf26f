//! Size and time limits of this crate.

use std::time::Duration;

/// Size and time limits of operators' commands, bans, the drain of a proxy and the handover.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum length of a command line, including its line end.
    pub max_command_bytes: usize,
    /// Maximum length of a server's id, and of each word of a `FLEET` command.
    pub max_id_bytes: usize,
    /// Maximum number of machines in one command.
    pub max_machines_per_command: usize,
    /// Maximum number of servers that are banned at once; also the maximum number of remembered unbans.
    pub max_bans: usize,
    /// Maximum number of servers on machines taken out by work orders whose times are remembered; also the maximum
    /// number of remembered servers that returned.
    pub max_servers_out: usize,
    /// Maximum body length of a message between a proxy and its successor, and of the file of bans.
    pub max_frame_bytes: usize,
    /// Time after `LEAVE` at which the moves of clients start; the front end has stopped sending new clients by then.
    pub drain_move_start: Duration,
    /// Time after `LEAVE` at which the moves of clients end.
    pub drain_move_end: Duration,
    /// Time after `LEAVE` from which new requests are refused.
    pub drain_refuse_new_after: Duration,
    /// Time after `LEAVE` from which requests that still wait are refused too.
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
            // The front end checks health ten times a second and stops sending clients 0.2 s after a negative answer;
            // at 4 s no client may be left.
            drain_move_start: ms(400),
            drain_move_end: ms(3000),
            drain_refuse_new_after: ms(700),
            drain_refuse_all_after: ms(3500),
        }
    }
}
