//! The script of a run: its settings and troubles, derived from a seed.

use std::time::Duration;

use super::rng::Rng;
use super::server::ServerMode;
use crate::DiscoveryMode;

/// The settings of a run that differ by seed.
#[derive(Clone, Debug)]
pub struct Site {
    pub servers: usize,
    /// The number of connections that load a server fully.
    pub capacity: usize,
    /// Deadlines by class: watch (pure), hold (token), book (side effect).
    pub deadlines_ms: [u64; 3],
    /// Window in which servers drop repeats of class hold.
    pub window_ms: u64,
    pub max_attempts: usize,
    /// Whether servers report their load.
    pub tells_loads: bool,
    /// Whether the proxy may probe servers.
    pub may_probe: bool,
    /// Whether the membership mode is `pushed` instead of `on_request`.
    pub pushed: bool,
    /// Whether every second server closes each probe connection after its answer.
    pub closes_probes: bool,
    pub connect_timeout_ms: u64,
    /// Milliseconds between the starts of two clients.
    pub each_ms: u64,
}

/// A disturbance of the run. Durations are in milliseconds.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// A server changes its mode for the duration `lasts`.
    Server {
        server: usize,
        mode: ServerMode,
        lasts: u64,
    },
    /// A server is listed as draining, and as ready again after `back_after`, if given.
    Drain {
        server: usize,
        back_after: Option<u64>,
    },
    /// A server crashes, and restarts after `back_after` with slow start.
    Crash { server: usize, back_after: u64 },
    /// A new server joins, with slow start.
    Join,
    /// Discovery changes its mode for the duration `lasts`.
    Discovery { mood: DiscoveryMode, lasts: u64 },
    /// SIGHUP is sent `times` times, `apart` milliseconds apart; the configuration has one more class from then on.
    Reload { times: u64, apart: u64 },
    /// The proxy is stopped `times` times, for about 150 ms each.
    Stalls { times: u64 },
    /// System calls fail according to these rules for the duration `lasts`.
    Calls { rules: &'static str, lasts: u64 },
    /// The proxy's wall clock is stepped by this amount until the end of the run.
    Clock { step: i64 },
    /// Idle connections are opened, and stay open.
    Crowd { connections: u64 },
    /// Clients send malformed or unusual lines, and stay connected.
    Rude { clients: u64 },
}

/// The script of one run.
#[derive(Clone, Debug)]
pub struct Script {
    pub seed: u64,
    pub site: Site,
    /// Troubles with their times in milliseconds from the start of the traffic.
    pub troubles: Vec<(u64, Trouble)>,
    /// SIGTERM is sent after this time; a second one follows if `terminated_twice`, and SIGHUP if
    /// `reload_while_ending`.
    pub lasts: Duration,
    pub terminated_twice: bool,
    pub reload_while_ending: bool,
}

/// Fault rules for system calls, one set of which is drawn for each [`Trouble::Calls`].
const SYSTEM_CALL_RULES: [&str; 9] = [
    "fail recv EINTR 30",
    "fail send EINTR 30",
    "short send 7 500\nshort writev 7 500",
    "short recv 5 600",
    "fail accept4 ENFILE 200",
    "fail accept4 ECONNABORTED 300",
    "fail connect EADDRNOTAVAIL 150\nfail socket ENOBUFS 100",
    "fail connect ENETUNREACH 100",
    "fail epoll_wait EINTR 300\nfail recv EINTR 10\nfail send EINTR 10",
];

impl Script {
    /// Derives a script from a seed; SIGTERM comes after `lasts`.
    pub fn from_seed(seed: u64, lasts: Duration) -> Self {
        let mut rng = Rng::new(seed.wrapping_mul(0x5851_f42d_4c95_7f2d));
        let site = Site {
            servers: rng.range_inclusive(4, 8) as usize,
            capacity: rng.range_inclusive(30, 60) as usize,
            deadlines_ms: [
                rng.pick(&[150, 400, 1000, 2000, 3000]),
                rng.pick(&[300, 1000, 2000]),
                rng.pick(&[150, 800, 2000]),
            ],
            window_ms: rng.pick(&[300, 800, 2000]),
            max_attempts: rng.range_inclusive(2, 5) as usize,
            tells_loads: rng.chance(60),
            may_probe: rng.chance(75),
            pushed: rng.chance(40),
            closes_probes: rng.chance(40),
            connect_timeout_ms: rng.pick(&[100, 250, 1000]),
            each_ms: rng.range_inclusive(8, 16),
        };
        let duration_ms = lasts.as_millis() as u64;
        let count = rng.range_inclusive(8, 14);
        let mut troubles: Vec<(u64, Trouble)> = (0..count)
            .map(|_| {
                let at = rng.range_inclusive(300, duration_ms - 300);
                (at, draw_trouble(&mut rng, &site))
            })
            .collect();
        // In most runs a server hangs when SIGTERM arrives.
        if rng.chance(70) {
            let server = rng.range_inclusive(0, site.servers as u64 - 1) as usize;
            let hang = Trouble::Server {
                server,
                mode: ServerMode::Hang,
                lasts: 10_000,
            };
            troubles.push((duration_ms - rng.range_inclusive(50, 600), hang));
        }
        troubles.sort_by_key(|(at, _)| *at);
        Self {
            seed,
            site,
            troubles,
            lasts,
            terminated_twice: rng.chance(30),
            reload_while_ending: rng.chance(30),
        }
    }
}

/// Draws one trouble.
fn draw_trouble(rng: &mut Rng, site: &Site) -> Trouble {
    let server = rng.range_inclusive(0, site.servers as u64 - 1) as usize;
    let lasts = rng.range_inclusive(300, 2500);
    match rng.range_inclusive(0, 12) {
        0..=2 => Trouble::Server {
            server,
            mode: rng.pick(&[
                ServerMode::Hang,
                ServerMode::Reset,
                ServerMode::Close,
                ServerMode::Error,
                ServerMode::Busy,
                ServerMode::Garble,
                ServerMode::HalfLine,
                ServerMode::Bye,
                ServerMode::Serve(120),
                ServerMode::Serve(450),
            ]),
            lasts,
        },
        3 | 4 => Trouble::Drain {
            server,
            back_after: rng.chance(50).then(|| rng.range_inclusive(50, 1500)),
        },
        5 => Trouble::Crash {
            server,
            back_after: lasts,
        },
        6 => Trouble::Join,
        7 => Trouble::Discovery {
            mood: rng.pick(&[
                DiscoveryMode::Refuses,
                DiscoveryMode::Resets,
                DiscoveryMode::Hangs,
                DiscoveryMode::Garbles,
                DiscoveryMode::Closes,
            ]),
            lasts,
        },
        8 => Trouble::Reload {
            times: rng.range_inclusive(1, 3),
            apart: rng.pick(&[0, 1, 5, 50]),
        },
        9 => Trouble::Stalls {
            times: rng.range_inclusive(1, 4),
        },
        10 => Trouble::Calls {
            rules: rng.pick(&SYSTEM_CALL_RULES),
            lasts,
        },
        11 => match rng.chance(50) {
            true => Trouble::Clock {
                step: rng.pick(&[-3_600_000, -5000, 5000, 3_600_000]),
            },
            false => Trouble::Rude {
                clients: rng.range_inclusive(5, 30),
            },
        },
        _ => Trouble::Crowd {
            connections: rng.range_inclusive(20, 200),
        },
    }
}
