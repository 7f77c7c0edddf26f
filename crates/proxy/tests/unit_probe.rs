//! `probe` by itself.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use std::rc::Rc;

use tokio::net::TcpStream;
use violetwind_balancer::api::{Outcome, Report};
use violetwind_proxy::limits::{DescriptorPool, LimitInputs, Limits};
use violetwind_proxy::line_protocol::ServerLine;
use violetwind_proxy::probe::Prober;
use violetwind_proxy::ring_buffer::RingBuffer;

/// A server that fell silent on a kept connection used to be told as one that can't be reached,
/// as its time was over before the fresh try began.
#[test]
fn silence_on_a_kept_connection_is_a_time_out_and_the_next_probe_is_fresh() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let limits = Rc::new(Limits::new(LimitInputs::default()));
        let mut prober = Prober::new(1, limits, DescriptorPool::new(2), b"PING\r\n");
        let (word, mut server) = tokio::join!(prober.probe(at), pong(&listener));
        assert_eq!(word.unwrap(), ServerLine::Pong(Report::default()));
        assert_eq!(prober.probe(at).await.unwrap_err(), Outcome::TimedOut);
        let (word, _) = tokio::join!(prober.probe(at), pong(&listener));
        assert_eq!(word.unwrap(), ServerLine::Pong(Report::default()));
        // The first one was given up.
        let mut ring = RingBuffer::new(64);
        assert_eq!(ring.fill_until_line(&server).await.unwrap(), b"PING");
        server.shutdown().await.unwrap();
    });
}

async fn pong(listener: &TcpListener) -> TcpStream {
    let (mut server, _) = listener.accept().await.unwrap();
    assert_eq!(
        RingBuffer::new(64).fill_until_line(&server).await.unwrap(),
        b"PING"
    );
    server.write_all(b"PONG\r\n").await.unwrap();
    server
}
