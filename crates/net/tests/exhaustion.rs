//! Local resource exhaustion is distinguished from failures of the peer.

use std::io;
use std::time::{Duration, Instant};

use violetwind_net::{DialError, connect, is_resource_exhaustion, retry_on_exhaustion};

#[test]
fn local_resource_exhaustion_is_distinguished_from_peer_failures() {
    let (enfile, emfile, enobufs, enomem, eaddrnotavail) = (23, 24, 105, 12, 99);
    for local_errno in [enfile, emfile, enobufs, enomem, eaddrnotavail] {
        assert!(
            is_resource_exhaustion(&io::Error::from_raw_os_error(local_errno)),
            "{local_errno}"
        );
    }
    let (refused, reset, timed_out, unreachable) = (111, 104, 110, 113);
    for peer_errno in [refused, reset, timed_out, unreachable] {
        assert!(
            !is_resource_exhaustion(&io::Error::from_raw_os_error(peer_errno)),
            "{peer_errno}"
        );
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_refused_connection_is_a_failure_of_the_peer() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert!(matches!(connect(address).await, Err(DialError::Peer(_))));
}

#[tokio::test(flavor = "current_thread")]
async fn resource_exhaustion_is_retried_and_other_failures_are_not() {
    let (ms, mut calls) = (Duration::from_millis, 0);
    let exhaustion = || io::Error::from_raw_os_error(24);
    let third_call = retry_on_exhaustion(ms(500), ms(1), || {
        calls += 1;
        if calls < 3 {
            Err(exhaustion())
        } else {
            Ok(calls)
        }
    });
    assert_eq!(third_call.await.unwrap(), 3);
    let start = Instant::now();
    let never: io::Result<()> = retry_on_exhaustion(ms(20), ms(1), || Err(exhaustion())).await;
    assert!(never.is_err() && start.elapsed() >= ms(20));
    let mut refused = 0;
    let refusal: io::Result<()> = retry_on_exhaustion(ms(500), ms(1), || {
        refused += 1;
        Err(io::ErrorKind::AddrInUse.into())
    })
    .await;
    assert!(refusal.is_err() && refused == 1);
}
