//! What happens in a run, by its seed.

use std::time::Duration;

use super::rng::Rng;
use super::server::ServerMode;
use crate::DiscoveryMode;

/// The settings of a run that differ by seed.
#[derive(Clone, Debug)]
pub struct Site {
    pub servers: usize,
    /// Connections that load a server fully.
    pub capacity: usize,
    /// By class: watch (pure), hold (token), book (side effect).
    pub deadlines_ms: [u64; 3],
    pub window_ms: u64,
    pub max_attempts: usize,
    pub tells_loads: bool,
    pub may_probe: bool,
    pub pushed: bool,
    /// Some servers close each probe connection behind their answer.
    pub closes_probes: bool,
    pub connect_timeout_ms: u64,
    /// Milliseconds between two clients.
    pub each_ms: u64,
}

/// One trouble.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// A server behaves in another way for so many milliseconds.
    Server {
        server: usize,
        mode: ServerMode,
        lasts: u64,
    },
    /// Its drain is told, and taken back after so long if that is given.
    Drain {
        server: usize,
        back_after: Option<u64>,
    },
    /// It crashes and comes back cold.
    Crash {
        server: usize,
        back_after: u64,
    },
    Join,
    Discovery {
        mood: DiscoveryMode,
        lasts: u64,
    },
    /// SIGHUP so often, some milliseconds apart; a class is new from then on.
    Reload {
        times: u64,
        apart: u64,
    },
    /// The proxy is stopped for 150 ms, so often.
    Stalls {
        times: u64,
    },
    /// System calls fail by these rules for a while.
    Calls {
        rules: &'static str,
        lasts: u64,
    },
    /// The proxy's wall clock is stepped by so many milliseconds for good.
    Clock {
        step: i64,
    },
    /// Connections that say nothing.
    Crowd {
        connections: u64,
    },
    /// Clients that send what no usual client sends, and stay.
    Rude {
        clients: u64,
    },
}

/// A run.
#[derive(Clone, Debug)]
pub struct Script {
    pub seed: u64,
    pub site: Site,
    /// By milliseconds from the first client.
    pub troubles: Vec<(u64, Trouble)>,
    /// SIGTERM comes after this, twice where so drawn, and SIGHUP behind it.
    pub lasts: Duration,
    pub terminated_twice: bool,
    pub reload_while_ending: bool,
}

const CALLS: [&str; 9] = [
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
        let span = lasts.as_millis() as u64;
        let count = rng.range_inclusive(8, 14);
        let mut troubles: Vec<(u64, Trouble)> = (0..count)
            .map(|_| {
                let at = rng.range_inclusive(300, span - 300);
                (at, trouble(&mut rng, &site))
            })
            .collect();
        // Some trouble is there when the end begins.
        if rng.chance(70) {
            let server = rng.range_inclusive(0, site.servers as u64 - 1) as usize;
            let hang = Trouble::Server {
                server,
                mode: ServerMode::Hang,
                lasts: 10_000,
            };
            troubles.push((span - rng.range_inclusive(50, 600), hang));
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

fn trouble(rng: &mut Rng, site: &Site) -> Trouble {
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
            rules: rng.pick(&CALLS),
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
