//! A TCP relay between two peers that can inject faults, separately for each direction.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes are forwarded unchanged.
    Pass,
    /// Each chunk is forwarded after this delay.
    Delay(Duration),
    /// Forwards at most this many bytes per second.
    Throttle(u32),
    /// Nothing is read, so that the sender's buffers fill up.
    Stall,
    /// Bytes are read and discarded.
    Blackhole,
    /// Existing and new connections are reset.
    Reset,
    /// Forwards half of the next chunk, then resets the connection and returns to `Pass`.
    ResetMidWrite,
}

impl FromStr for LinkMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = |text: &str| {
            text.parse::<u32>()
                .map_err(|_| format!("\"{text}\" is no number"))
        };
        Ok(match text.split_once('=') {
            Some(("delay", ms)) => Self::Delay(Duration::from_millis(number(ms)?.into())),
            Some(("trickle", bytes)) => Self::Throttle(number(bytes)?.max(1)),
            None if text == "pass" => Self::Pass,
            None if text == "hold" => Self::Stall,
            None if text == "swallow" => Self::Blackhole,
            None if text == "cut" => Self::Reset,
            None if text == "cut-inside" => Self::ResetMidWrite,
            _ => {
                return Err(format!(
                    "\"{text}\": pass, delay=MS, trickle=BYTES, hold, swallow, cut or cut-inside"
                ));
            }
        })
    }
}

/// A direction of a relayed connection: from the connecting to the accepting side, or back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Forward,
    Reverse,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    /// Modes of the forward and the reverse direction, indexed by `Direction`.
    modes: Mutex<[LinkMode; 2]>,
}

impl Shared {
    fn mode(&self, direction: Direction) -> LinkMode {
        self.modes.lock().unwrap()[direction as usize]
    }
}

/// A running relay; clones control the same one.
#[derive(Clone, Debug)]
pub struct Relay {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

/// Interval at which each direction checks for a mode change.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Relay {
    /// Starts a relay from `at` (port 0 picks a free one) to `to`, where nothing has to listen yet.
    ///
    /// # Errors
    /// The address `at` cannot be bound.
    pub fn start(at: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            to,
            modes: Mutex::new([LinkMode::Pass; 2]),
        });
        let shared_clone = shared.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let shared = shared_clone.clone();
                thread::spawn(move || relay_connection(from, &shared));
            }
        });
        Ok(Self { addr, shared })
    }

    /// Changes the mode of one direction, for existing and new connections.
    pub fn set_mode(&self, direction: Direction, mode: LinkMode) {
        self.shared.modes.lock().unwrap()[direction as usize] = mode;
    }

    /// Changes the mode of both directions.
    pub fn set_both_modes(&self, mode: LinkMode) {
        *self.shared.modes.lock().unwrap() = [mode; 2];
    }
}

fn reset(stream: &TcpStream) {
    // A linger time of zero turns the close into a reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Relays one connection in both directions until it ends.
fn relay_connection(from: TcpStream, shared: &Arc<Shared>) {
    let is_reset = |direction| shared.mode(direction) == LinkMode::Reset;
    if is_reset(Direction::Forward) || is_reset(Direction::Reverse) {
        return reset(&from);
    }
    let Ok(to) = TcpStream::connect_timeout(&shared.to, Duration::from_secs(1)) else {
        return reset(&from);
    };
    let (Ok(from_clone), Ok(to_clone)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let shared_clone = shared.clone();
    let reverse = thread::spawn(move || {
        forward_direction(to_clone, from_clone, &shared_clone, Direction::Reverse)
    });
    forward_direction(from, to, shared, Direction::Forward);
    let _ = reverse.join();
}

/// Forwards one direction of a connection until it ends or is reset.
fn forward_direction(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: &Shared,
    direction: Direction,
) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let mut chunk = [0; 16 << 10];
    let mut discarded = false;
    let reset_both = |from: &TcpStream, to: &TcpStream| {
        reset(from);
        reset(to);
    };
    loop {
        let mode = shared.mode(direction);
        match mode {
            LinkMode::Reset => return reset_both(&from, &to),
            LinkMode::Stall => {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            // Bytes after discarded ones would corrupt the stream.
            _ if discarded && mode != LinkMode::Blackhole => return reset_both(&from, &to),
            _ => {}
        }
        let count = match from.read(&mut chunk) {
            Ok(0) => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(count) => count,
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => return reset_both(&from, &to),
        };
        let sent = match shared.mode(direction) {
            LinkMode::Pass => to.write_all(&chunk[..count]),
            LinkMode::Delay(delay) => {
                thread::sleep(delay);
                to.write_all(&chunk[..count])
            }
            LinkMode::Throttle(bytes_per_s) => {
                write_throttled(&mut to, &chunk[..count], bytes_per_s, shared, direction)
            }
            LinkMode::Blackhole => {
                discarded = true;
                Ok(())
            }
            LinkMode::Stall => {
                // This chunk was read just before the stall began: it is held back until the stall ends.
                while shared.mode(direction) == LinkMode::Stall {
                    thread::sleep(POLL_INTERVAL);
                }
                to.write_all(&chunk[..count])
            }
            LinkMode::Reset => return reset_both(&from, &to),
            LinkMode::ResetMidWrite => {
                let _ = to.write_all(&chunk[..count / 2]);
                shared.modes.lock().unwrap()[direction as usize] = LinkMode::Pass;
                return reset_both(&from, &to);
            }
        };
        if sent.is_err() {
            return reset_both(&from, &to);
        }
    }
}

/// Writes bytes one by one at a rate; once the mode changes, the rest follows at once.
fn write_throttled(
    to: &mut TcpStream,
    bytes: &[u8],
    bytes_per_s: u32,
    shared: &Shared,
    direction: Direction,
) -> std::io::Result<()> {
    let started = Instant::now();
    for (index, byte) in bytes.iter().enumerate() {
        let due = Duration::from_secs_f64(index as f64 / f64::from(bytes_per_s));
        while started.elapsed() < due {
            if shared.mode(direction) != LinkMode::Throttle(bytes_per_s) {
                return to.write_all(&bytes[index..]);
            }
            thread::sleep(POLL_INTERVAL.min(due));
        }
        to.write_all(&[*byte])?;
    }
    Ok(())
}
