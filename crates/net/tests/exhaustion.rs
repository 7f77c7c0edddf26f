//! Which failures are this machine's own.

use std::io;
use std::time::{Duration, Instant};

use violetwind_net::{DialError, connect, is_resource_exhaustion, retry_on_exhaustion};

#[test]
fn shortages_are_told_from_what_peers_do() {
    let (enfile, emfile, enobufs, enomem, eaddrnotavail) = (23, 24, 105, 12, 99);
    for own in [enfile, emfile, enobufs, enomem, eaddrnotavail] {
        assert!(
            is_resource_exhaustion(&io::Error::from_raw_os_error(own)),
            "{own}"
        );
    }
    let (refused, reset, timed_out, unreachable) = (111, 104, 110, 113);
    for of_peer in [refused, reset, timed_out, unreachable] {
        assert!(
            !is_resource_exhaustion(&io::Error::from_raw_os_error(of_peer)),
            "{of_peer}"
        );
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_peer_that_refuses_is_no_shortage() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = unused.local_addr().unwrap();
    drop(unused);
    assert!(matches!(connect(address).await, Err(DialError::Peer(_))));
}

#[tokio::test(flavor = "current_thread")]
async fn a_shortage_is_waited_out_and_anything_else_is_not() {
    let (ms, mut calls) = (Duration::from_millis, 0);
    let short = || io::Error::from_raw_os_error(24);
    let third = retry_on_exhaustion(ms(500), ms(1), || {
        calls += 1;
        if calls < 3 { Err(short()) } else { Ok(calls) }
    });
    assert_eq!(third.await.unwrap(), 3);
    let start = Instant::now();
    let never: io::Result<()> = retry_on_exhaustion(ms(20), ms(1), || Err(short())).await;
    assert!(never.is_err() && start.elapsed() >= ms(20));
    let mut refused = 0;
    let refusal: io::Result<()> = retry_on_exhaustion(ms(500), ms(1), || {
        refused += 1;
        Err(io::ErrorKind::AddrInUse.into())
    })
    .await;
    assert!(refusal.is_err() && refused == 1);
}
