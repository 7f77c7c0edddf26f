//! `line` by itself.

use violetwind_balancer::api::Report;
use violetwind_proxy::line_protocol::*;

#[test]
fn a_clients_line_is_read_by_name() {
    let line = b"OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f";
    let Some(FirstLine::Open(open)) = parse_first_line(line) else {
        panic!("not read");
    };
    assert_eq!((open.id, open.flow_key), ("9b1f", "7f3a"));
    assert_eq!(open.get("c"), Some("chat"));
    assert_eq!(open.get("at"), None);
    assert_eq!(parse_first_line(b"PING"), Some(FirstLine::Ping));
}

/// The line goes on unchanged but for the time to wait.
#[test]
fn only_the_time_to_wait_changes() {
    let line = b"OPEN 9b1f 7f3a c=chat,d=2000,again=1,g=5c0f";
    let Some(FirstLine::Open(open)) = parse_first_line(line) else {
        panic!("not read");
    };
    let out = open.encode_with_wait(350);
    assert_eq!(out, b"OPEN 9b1f 7f3a c=chat,d=350,again=1,g=5c0f\r\n");
}

#[test]
fn figures_and_names_that_no_usual_client_sends_are_told() {
    let open = |fields| OpenLine {
        id: "9b1f",
        flow_key: "7f3a",
        fields,
    };
    for bad in ["d=-5", "d=soon", "d=", "d", "d=inf", "d=NaN", "d=1e999"] {
        assert!(open(bad).number_field("d").is_err(), "{bad}");
    }
    assert_eq!(open("c=x").number_field("d"), Ok(None));
    assert_eq!(open("c=x,d=1999").number_field("d"), Ok(Some(1999.0)));
    assert!(open("c=x,d=1,c=y").find_fault(8).is_some());
    assert!(open("c=x,d=1,r=1").is_retry() && open("c=x,d=1,again=1").is_retry());
    assert!(!open("c=x,d=1,r=0").is_retry() && !open("c=x,d=1").is_retry());
    assert!(open("c=x,d=1,r=1,g=2,again=1").find_fault(5).is_none());
    assert!(open("c=x,d=1,r=1,g=2,again=1").find_fault(4).is_some());
}

#[test]
fn what_is_no_first_line_is_none() {
    let bad: [&[u8]; 7] = [
        b"",
        b"OPEN",
        b"OPEN 9b1f",
        b"PINGS",
        b"open 9b1f 7f3a c=x",
        b"OPEN 9b1f 7f3a c=\xff",
        b"OPEN 9b1f 7f3a c=x extra",
    ];
    for line in bad {
        assert_eq!(parse_first_line(line), None, "{line:?}");
    }
}

#[test]
fn reports_hold_what_they_name_and_nonsense_is_passed_over() {
    let ServerLine::Pong(report) =
        parse_server_line(b"PONG fail_rate=0.5,x0=0.25,busy=,=3,x0,new=1,q=-4,rif=1e999")
    else {
        panic!("not a report");
    };
    assert_eq!(report.load, Some(0.25));
    assert_eq!(report.errors, Some(0.5));
    assert_eq!(report.utilisation, None);
    assert_eq!((report.queue, report.connections), (None, None));
    assert_eq!(
        parse_server_line(b"PONG"),
        ServerLine::Pong(Report::default())
    );
}

#[test]
fn words_of_servers() {
    assert_eq!(parse_server_line(b"UP 1a2b"), ServerLine::Up);
    assert_eq!(parse_server_line(b"MOVE"), ServerLine::Move);
    assert_eq!(parse_server_line(b"LOAD 812.5"), ServerLine::Load(812.5));
    assert_eq!(parse_server_line(b"UPPER"), ServerLine::Other);
    assert_eq!(parse_server_line(b"LOAD much"), ServerLine::Other);
    assert_eq!(parse_server_line(b"LOAD -1"), ServerLine::Other);
    assert_eq!(parse_server_line(b"LOAD inf"), ServerLine::Other);
    assert_eq!(
        parse_server_line(b"BUSY"),
        ServerLine::Busy(Report::default())
    );
}

#[test]
fn lines_are_found_however_the_bytes_come() {
    let text = b"LOAD 4\r\nOK 1\r\npart";
    for size in 1..text.len() {
        let (mut scanner, mut lines) = (LineScanner::default(), Vec::new());
        for piece in text.chunks(size) {
            scanner.feed(piece, |head, _| lines.push(head.to_vec()));
        }
        assert_eq!(lines, [b"LOAD 4".to_vec(), b"OK 1".to_vec()]);
    }
}
