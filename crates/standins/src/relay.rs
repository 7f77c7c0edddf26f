//! A relay between two that speak over TCP, faulty on command, each direction for itself.

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
    Pass,
    /// Each piece comes so much later.
    Delay(Duration),
    /// So many bytes a second.
    Throttle(u32),
    /// Nothing is read: the sender's own buffers fill.
    Stall,
    /// Read, and thrown away.
    Blackhole,
    /// Connections are reset, and new ones too.
    Reset,
    /// Half of the next piece is passed on, then the connection is reset; after that it passes.
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

/// From who dials to who is dialled, and back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Forward,
    Reverse,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    /// There, back.
    ways: Mutex<[LinkMode; 2]>,
}

impl Shared {
    fn way(&self, direction: Direction) -> LinkMode {
        self.ways.lock().unwrap()[direction as usize]
    }
}

#[derive(Clone, Debug)]
pub struct Relay {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

/// How long a direction waits before it looks for another command.
const LOOK: Duration = Duration::from_millis(2);

impl Relay {
    /// From `at` (port 0: a free one) to `to`, which need not be there yet.
    pub fn start(at: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            to,
            ways: Mutex::new([LinkMode::Pass; 2]),
        });
        let own = shared.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let shared = own.clone();
                thread::spawn(move || carry(from, &shared));
            }
        });
        Ok(Self { addr, shared })
    }

    pub fn set_mode(&self, direction: Direction, way: LinkMode) {
        self.shared.ways.lock().unwrap()[direction as usize] = way;
    }

    pub fn set_both_modes(&self, way: LinkMode) {
        *self.shared.ways.lock().unwrap() = [way; 2];
    }
}

fn reset(stream: &TcpStream) {
    // With no time to linger the close is a reset.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn carry(from: TcpStream, shared: &Arc<Shared>) {
    let cut = |direction| shared.way(direction) == LinkMode::Reset;
    if cut(Direction::Forward) || cut(Direction::Reverse) {
        return reset(&from);
    }
    let Ok(to) = TcpStream::connect_timeout(&shared.to, Duration::from_secs(1)) else {
        return reset(&from);
    };
    let (Ok(from_too), Ok(to_too)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let own = shared.clone();
    let back = thread::spawn(move || pass(to_too, from_too, &own, Direction::Reverse));
    pass(from, to, shared, Direction::Forward);
    let _ = back.join();
}

/// One direction of a connection, until it ends or is cut.
fn pass(mut from: TcpStream, mut to: TcpStream, shared: &Shared, direction: Direction) {
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let mut piece = [0; 16 << 10];
    let mut swallowed = false;
    let end = |from: &TcpStream, to: &TcpStream| {
        reset(from);
        reset(to);
    };
    loop {
        let way = shared.way(direction);
        match way {
            LinkMode::Reset => return end(&from, &to),
            LinkMode::Stall => {
                thread::sleep(LOOK);
                continue;
            }
            // What follows something that was thrown away makes no sense.
            _ if swallowed && way != LinkMode::Blackhole => return end(&from, &to),
            _ => {}
        }
        let got = match from.read(&mut piece) {
            Ok(0) => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(got) => got,
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => return end(&from, &to),
        };
        let sent = match shared.way(direction) {
            LinkMode::Pass => to.write_all(&piece[..got]),
            LinkMode::Delay(by) => {
                thread::sleep(by);
                to.write_all(&piece[..got])
            }
            LinkMode::Throttle(bytes) => trickle(&mut to, &piece[..got], bytes, shared, direction),
            LinkMode::Blackhole => {
                swallowed = true;
                Ok(())
            }
            LinkMode::Stall => {
                // It came in between: nothing of it goes on before the direction does.
                while shared.way(direction) == LinkMode::Stall {
                    thread::sleep(LOOK);
                }
                to.write_all(&piece[..got])
            }
            LinkMode::Reset => return end(&from, &to),
            LinkMode::ResetMidWrite => {
                let _ = to.write_all(&piece[..got / 2]);
                shared.ways.lock().unwrap()[direction as usize] = LinkMode::Pass;
                return end(&from, &to);
            }
        };
        if sent.is_err() {
            return end(&from, &to);
        }
    }
}

fn trickle(
    to: &mut TcpStream,
    bytes: &[u8],
    a_second: u32,
    shared: &Shared,
    direction: Direction,
) -> std::io::Result<()> {
    let begun = Instant::now();
    for (at, byte) in bytes.iter().enumerate() {
        let due = Duration::from_secs_f64(at as f64 / f64::from(a_second));
        while begun.elapsed() < due {
            if shared.way(direction) != LinkMode::Throttle(a_second) {
                return to.write_all(&bytes[at..]);
            }
            thread::sleep(LOOK.min(due));
        }
        to.write_all(&[*byte])?;
    }
    Ok(())
}
