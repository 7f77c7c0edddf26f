//! Unit tests of `line_protocol`: parsing and encoding of lines.

use violetwind_balancer::api::Report;
use violetwind_proxy::line_protocol::*;

#[test]
fn parses_an_open_line_and_its_fields() {
    let line = b"OPEN 9b1f 7f3a c=chat,d=2000,g=5c0f";
    let Some(FirstLine::Open(open)) = parse_first_line(line) else {
        panic!("not parsed as an OPEN line");
    };
    assert_eq!((open.id, open.flow_key), ("9b1f", "7f3a"));
    assert_eq!(open.get("c"), Some("chat"));
    assert_eq!(open.get("at"), None);
    assert_eq!(parse_first_line(b"PING"), Some(FirstLine::Ping));
}

/// Servers get the client's line unchanged except for the wait.
#[test]
fn encoding_for_the_next_hop_changes_only_the_wait() {
    let line = b"OPEN 9b1f 7f3a c=chat,d=2000,again=1,g=5c0f";
    let Some(FirstLine::Open(open)) = parse_first_line(line) else {
        panic!("not parsed as an OPEN line");
    };
    let encoded = open.encode_with_wait(350);
    assert_eq!(encoded, b"OPEN 9b1f 7f3a c=chat,d=350,again=1,g=5c0f\r\n");
}

#[test]
fn reports_invalid_numbers_and_field_names() {
    let open = |fields| OpenLine {
        id: "9b1f",
        flow_key: "7f3a",
        fields,
    };
    for invalid in ["d=-5", "d=soon", "d=", "d", "d=inf", "d=NaN", "d=1e999"] {
        assert!(open(invalid).number_field("d").is_err(), "{invalid}");
    }
    assert_eq!(open("c=x").number_field("d"), Ok(None));
    assert_eq!(open("c=x,d=1999").number_field("d"), Ok(Some(1999.0)));
    assert!(open("c=x,d=1,c=y").find_fault(8).is_some());
    assert!(open("c=x,d=1,r=1").is_repeat() && open("c=x,d=1,again=1").is_repeat());
    assert!(!open("c=x,d=1,r=0").is_repeat() && !open("c=x,d=1").is_repeat());
    assert!(open("c=x,d=1,r=1,g=2,again=1").find_fault(5).is_none());
    assert!(open("c=x,d=1,r=1,g=2,again=1").find_fault(4).is_some());
}

#[test]
fn rejects_lines_that_are_not_valid_first_lines() {
    let invalid: [&[u8]; 7] = [
        b"",
        b"OPEN",
        b"OPEN 9b1f",
        b"PINGS",
        b"open 9b1f 7f3a c=x",
        b"OPEN 9b1f 7f3a c=\xff",
        b"OPEN 9b1f 7f3a c=x extra",
    ];
    for line in invalid {
        assert_eq!(parse_first_line(line), None, "{line:?}");
    }
}

#[test]
fn parses_load_reports_and_ignores_invalid_values() {
    let ServerLine::Pong(report) =
        parse_server_line(b"PONG fail_rate=0.5,x0=0.25,busy=,=3,x0,new=1,q=-4,rif=1e999")
    else {
        panic!("not parsed as a PONG line");
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
fn parses_lines_of_servers() {
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
fn finds_lines_however_the_bytes_are_split() {
    let text = b"LOAD 4\r\nOK 1\r\npart";
    for size in 1..text.len() {
        let (mut scanner, mut lines) = (LineScanner::default(), Vec::new());
        for chunk in text.chunks(size) {
            scanner.feed(chunk, |head, _| lines.push(head.to_vec()));
        }
        assert_eq!(lines, [b"LOAD 4".to_vec(), b"OK 1".to_vec()]);
    }
}
