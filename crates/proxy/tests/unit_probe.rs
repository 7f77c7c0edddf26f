//! Unit test of the prober.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use std::rc::Rc;

use tokio::net::TcpStream;
use violetwind_balancer::api::{Outcome, Report};
use violetwind_proxy::limits::{DescriptorPool, LimitInputs, Limits};
use violetwind_proxy::line_protocol::ServerLine;
use violetwind_proxy::probe::Prober;
use violetwind_proxy::ring_buffer::RingBuffer;

/// A server that stops answering on a reused connection used to be reported as unreachable, because its timeout was
/// over before the retry on a new connection began.
#[test]
fn silence_on_a_reused_connection_is_a_timeout_and_the_next_probe_uses_a_new_one() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let limits = Rc::new(Limits::new(LimitInputs::default()));
        let mut prober = Prober::new(1, limits, DescriptorPool::new(2), b"PING\r\n");
        let (answer, mut server) = tokio::join!(prober.probe(addr), answer_probe(&listener));
        assert_eq!(answer.unwrap(), ServerLine::Pong(Report::default()));
        assert_eq!(prober.probe(addr).await.unwrap_err(), Outcome::TimedOut);
        let (answer, _) = tokio::join!(prober.probe(addr), answer_probe(&listener));
        assert_eq!(answer.unwrap(), ServerLine::Pong(Report::default()));
        // The first connection was abandoned.
        let mut ring = RingBuffer::new(64);
        assert_eq!(ring.fill_until_line(&server).await.unwrap(), b"PING");
        server.shutdown().await.unwrap();
    });
}

async fn answer_probe(listener: &TcpListener) -> TcpStream {
    let (mut server, _) = listener.accept().await.unwrap();
    assert_eq!(
        RingBuffer::new(64).fill_until_line(&server).await.unwrap(),
        b"PING"
    );
    server.write_all(b"PONG\r\n").await.unwrap();
    server
}
