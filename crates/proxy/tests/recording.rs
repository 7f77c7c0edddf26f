//! The content of recordings for requests that were served and for requests whose client disconnected.

mod common;

use std::fs::File;

use common::{Discovery, Proxy, Server, disable_load_reports, unused_addr};
use violetwind_record::{Answer, Reader, Record, RecordingEnd};

#[test]
fn requests_are_recorded_with_their_answers() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let path = std::env::temp_dir().join(format!("violetwind-requests-{}", std::process::id()));
    let operator_text = format!("[record]\nfile = \"{}\"\n", path.display());
    let mut proxy =
        Proxy::start_with_operator_file(discovery.addr, &operator_text, disable_load_reports);
    let (client, mut conn) = proxy.establish_connection(&server);
    conn.send_line("LOAD 11000");
    drop((client, conn));
    // A client that disconnects before it gets an answer.
    let leaving_client = proxy.open_with("c=book,d=1500,g=clinic-7");
    // Keep the server's side open: closing it would be an answer.
    let _open_conn = server.next_open();
    drop(leaving_client);
    proxy.signal("-TERM");
    assert!(proxy.wait_for_exit().success());
    let mut reader = Reader::new(File::open(&path).unwrap());
    let records: Vec<Record> = reader.by_ref().collect();
    assert_eq!(reader.end(), Some(RecordingEnd::Whole));
    let Record::Start { classes, .. } = &records[0] else {
        panic!("{records:?}")
    };
    assert_eq!(classes[..], ["watch", "book"]);
    let mut requests: Vec<_> = records[1..]
        .iter()
        .map(|record| match record {
            Record::Request(request) => request.clone(),
            other => panic!("{other:?}"),
        })
        .collect();
    requests.sort_by_key(|request| request.class);
    assert_eq!(requests.len(), 2);
    assert_eq!((requests[0].class, requests[0].answer), (0, Answer::Up));
    assert_eq!(
        (requests[1].class, requests[1].answer),
        (1, Answer::ClientLeft)
    );
    assert_eq!(requests[1].timeout_ms, 1500);
    assert!(requests[1].group.is_some() && requests[0].group.is_none());
    assert!(requests[0].latency_us > 0);
    std::fs::remove_file(path).unwrap();
}

/// Requests are served although the recording's file can't be written.
#[test]
fn a_recording_that_can_not_be_written_does_not_affect_requests() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let missing_dir = std::env::temp_dir().join(format!("violetwind-none-{}", unused_addr().ip()));
    let operator_text = format!("[record]\nfile = \"{}/requests\"\n", missing_dir.display());
    let proxy =
        Proxy::start_with_operator_file(discovery.addr, &operator_text, disable_load_reports);
    for _ in 0..5 {
        let _ = proxy.establish_connection(&server);
    }
    proxy.wait_for_log("recording pauses");
    let _ = proxy.establish_connection(&server);
}
