//! The front end beside an engine that the test plays: commands of the engine that cross the reports of a connection.
//! The test decides the order, which in the running program depends on which of two ready events is handled first.

mod common;

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout};
use violetwind_balancer::api::{Outcome, RequestId, ServerId};
use violetwind_engine::{ConnectionCommand, EngineEvent};
use violetwind_proxy::acceptor::{self, SharedState};
use violetwind_proxy::config::{ActiveConfig, Config};
use violetwind_proxy::limits::{DescriptorPool, Limits};
use violetwind_proxy::operator_service::OperatorService;
use violetwind_proxy::pending_slots::PendingSlots;

/// Number of the only server.
const SERVER: ServerId = 7;
/// Longest wait for a line, an event or an end.
const WAIT: Duration = Duration::from_secs(5);

/// The front end of a proxy, and the queue of events of the engine that the test plays.
struct Front {
    listener: Rc<TcpListener>,
    events: mpsc::Receiver<EngineEvent>,
    _accepting: watch::Sender<bool>,
}

/// A request that has reached the engine.
struct PendingRequest {
    id: RequestId,
    commands: mpsc::Sender<ConnectionCommand>,
    client: BufReader<TcpStream>,
}

impl Front {
    async fn start() -> Self {
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "00000000000000ff",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"rev": 0, "all": true, "targets": []},
            "settings": common::settings(),
        });
        let config = Rc::new(Config::parse(&config.to_string(), |_| None).unwrap());
        let limits = Rc::new(Limits::new(&*config));
        let (engine, events) = mpsc::channel(limits.engine.max_queued_events);
        let (_, list_ready) = watch::channel(true);
        let service = OperatorService::new(
            &limits,
            engine.clone(),
            list_ready.clone(),
            None,
            Default::default(),
            (None, false),
        );
        let descriptors = (
            DescriptorPool::new(limits.request_descriptors),
            PendingSlots::new(&limits, limits.max_pending_slots),
        );
        let shared = SharedState::new(
            &ActiveConfig::new(config),
            &limits,
            descriptors,
            engine,
            list_ready,
            service,
            None,
        );
        let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
        let (accepting, is_accepting) = watch::channel(true);
        tokio::task::spawn_local(acceptor::accept_clients(
            listener.clone(),
            is_accepting,
            shared,
        ));
        Self {
            listener,
            events,
            _accepting: accepting,
        }
    }

    async fn next_event(&mut self) -> EngineEvent {
        let event = timeout(WAIT, self.events.recv()).await;
        event.expect("no event in time").expect("the front runs")
    }

    /// Connects a client that sends a request, and waits until the engine has it.
    async fn send_request(&mut self) -> PendingRequest {
        let addr = self.listener.local_addr().unwrap();
        let mut client = TcpStream::connect(addr).await.unwrap();
        let open = b"OPEN 00000000000000aa 7f3a9c21e0b4d655 c=watch,d=2000\r\n";
        client.write_all(open).await.unwrap();
        let (request, commands) = loop {
            // The end of the request before it may be reported late.
            match self.next_event().await {
                EngineEvent::Request(request, commands) => break (request, commands),
                EngineEvent::AttemptEnded(_) => {}
                event => panic!("{event:?} before the request"),
            }
        };
        PendingRequest {
            id: request.id,
            commands,
            client: BufReader::new(client),
        }
    }

    /// Waits until the relay has reported its end, and returns how it ended.
    async fn attempt_outcome(&mut self, id: RequestId) -> Outcome {
        loop {
            if let EngineEvent::AttemptEnded(ended) = self.next_event().await {
                assert_eq!((ended.id, ended.is_final), (id, true));
                return ended.outcome;
            }
        }
    }
}

impl PendingRequest {
    /// Sends the request to a server that the test plays. Returns the server's side after it has read the request.
    async fn start_attempt(&self) -> BufReader<TcpStream> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let command = ConnectionCommand::Send {
            server: SERVER,
            endpoint: listener.local_addr().unwrap(),
            within: WAIT,
            write_by: None,
            report_write: false,
        };
        self.commands.send(command).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let mut server = BufReader::new(stream);
        assert!(read_line(&mut server).await.unwrap().starts_with("OPEN "));
        server
    }

    /// Gives the request up, as the engine does when admission ends: the final answer is its last command.
    async fn give_up(
        self,
        commands: impl IntoIterator<Item = ConnectionCommand>,
    ) -> BufReader<TcpStream> {
        for command in commands {
            self.commands.send(command).await.unwrap();
        }
        self.client
    }
}

/// Reads a line without its end; an error if the connection has ended or was reset.
async fn read_line(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let mut line = String::new();
    let read = timeout(WAIT, stream.read_line(&mut line)).await;
    match read.expect("no line in time")? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_string()),
    }
}

/// Asserts that the connection ends without another byte and without a reset.
async fn assert_closed(stream: &mut BufReader<TcpStream>) {
    let mut rest = Vec::new();
    let read = timeout(WAIT, stream.read_to_end(&mut rest)).await;
    read.expect("no end in time").expect("no reset");
    assert_eq!(rest, b"");
}

/// Runs a test on one thread, as the program does.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// The commands with which the engine gives up a request whose attempt is in flight.
fn given_up() -> [ConnectionCommand; 2] {
    [ConnectionCommand::Cancel, ConnectionCommand::Refuse(None)]
}

/// Guards against clients that are reset without `MOVE` right after their `UP`: the engine ended admission (LEAVE, or
/// the end of the process) before it read that the connection was up.
#[test]
fn a_client_that_comes_up_as_its_request_is_given_up_is_moved() {
    run(async {
        let mut front = Front::start().await;
        for failed in [false, true] {
            let request = front.send_request().await;
            let id = request.id;
            let mut server = request.start_attempt().await;
            server.write_all(b"UP 1\r\n").await.unwrap();
            let event = front.next_event().await;
            assert!(matches!(event, EngineEvent::ConnectionUp(..)), "{event:?}");
            let mut commands = given_up();
            if failed {
                commands[1] = ConnectionCommand::Fail;
            }
            let given_up_at = Instant::now();
            let mut client = request.give_up(commands).await;
            assert_eq!(read_line(&mut client).await.unwrap(), "UP 1");
            assert_eq!(read_line(&mut client).await.unwrap(), "MOVE");
            assert!(given_up_at.elapsed() < Duration::from_millis(200));
            assert_closed(&mut client).await;
            assert_closed(&mut server).await;
            // The server is not at fault.
            assert_eq!(front.attempt_outcome(id).await, Outcome::Cancelled);
        }
    });
}

/// Guards against a `MOVE` within a line, and against one that is never sent because the server stops within a line.
#[test]
fn the_move_waits_for_the_rest_of_a_servers_line_but_not_for_ever() {
    run(async {
        let mut front = Front::start().await;
        for completes in [true, false] {
            let request = front.send_request().await;
            let mut server = request.start_attempt().await;
            server.write_all(b"UP 1\r\nHEL").await.unwrap();
            front.next_event().await;
            let mut client = request.give_up(given_up()).await;
            assert_eq!(read_line(&mut client).await.unwrap(), "UP 1");
            if completes {
                server.write_all(b"LO\r\n").await.unwrap();
                assert_eq!(read_line(&mut client).await.unwrap(), "HELLO");
            }
            assert_eq!(read_line(&mut client).await.unwrap(), "MOVE");
            assert_closed(&mut client).await;
        }
    });
}

/// Guards against `MOVE` behind a last line: a server that has served the request with `BYE` alone has no open connection,
/// and the client gets the line and the end.
#[test]
fn a_client_that_is_served_as_its_request_is_given_up_gets_the_last_line() {
    run(async {
        let mut front = Front::start().await;
        let request = front.send_request().await;
        let id = request.id;
        let mut server = request.start_attempt().await;
        server.write_all(b"BYE\r\n").await.unwrap();
        let mut client = request.client;
        assert_eq!(read_line(&mut client).await.unwrap(), "BYE");
        for command in given_up() {
            request.commands.send(command).await.unwrap();
        }
        drop(request.commands);
        assert_closed(&mut client).await;
        drop(client);
        assert_eq!(front.attempt_outcome(id).await, Outcome::Ok);
    });
}

/// Guards against `ERR` in place of `BUSY`, where settings forbid to cancel attempts: the final answer that came during
/// an attempt was dropped, and the client was told that a repeat may do harm.
#[test]
fn a_final_answer_during_an_attempt_reaches_the_client() {
    run(async {
        let mut front = Front::start().await;
        for (command, answer) in [
            (ConnectionCommand::Refuse(Some(0.25)), "BUSY 250"),
            (ConnectionCommand::Fail, "ERR"),
        ] {
            let request = front.send_request().await;
            let mut server = request.start_attempt().await;
            let mut client = request.give_up([command]).await;
            assert_eq!(read_line(&mut client).await.unwrap(), answer);
            assert_closed(&mut client).await;
            // The attempt has ended with the request.
            assert_closed(&mut server).await;
        }
    });
}

/// Guards against two answers: the server accepts the request in the moment in which it is given up, and the client has
/// been told nothing yet.
#[test]
fn a_request_given_up_before_its_servers_answer_is_read_gets_one_answer() {
    run(async {
        let mut front = Front::start().await;
        let request = front.send_request().await;
        let mut server = request.start_attempt().await;
        for command in given_up() {
            request.commands.try_send(command).unwrap();
        }
        let mut client = request.give_up([]).await;
        server.write_all(b"UP 1\r\n").await.unwrap();
        assert_eq!(read_line(&mut client).await.unwrap(), "BUSY");
        assert_closed(&mut client).await;
    });
}
