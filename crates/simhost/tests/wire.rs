//! The simulator's protocol, served by the host in process and by the real binary.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use violetwind_simhost::host;

const LAUNCH: &str = "LAUNCH random-seed=5 azs=north,south skus=big,small zone=north fleet-size=1 \
    membership-mode=on_request orgs.count=1 orgs.0.name=acme family-info.tenant-quota-connections=9.0 \
    permissions.max-attempts=2 permissions.probes=true permissions.cancel=true \
    permissions.retry-after=true permissions.max-retry-after-s=2.0 reporting.fields=rif,x0 \
    request-classes.count=2 request-classes.0.name=chat request-classes.0.idempotency=pure \
    request-classes.0.target-s=0.5 request-classes.1.name=order \
    request-classes.1.idempotency=side_effect request-classes.1.target-s=0.5 \
    rules.ask-within-s=10.0 rules.cold-s=5.0 rules.cold-from=0.3 rules.fall-multiple=3.0 \
    rules.overload-for-s=1.0 some.new-key=7";

fn serve(input: &str) -> Result<String, String> {
    let mut output = Vec::new();
    let result = host::run(input.as_bytes(), &mut output).map_err(|error| error.to_string());
    result.map(|()| String::from_utf8(output).expect("replies are text"))
}

/// Launches an instance with servers 11 (north) and 12 (south) in a first batch, and returns the reply to the given
/// lines in a second batch.
fn serve_second_batch(events: &str) -> Result<String, String> {
    let reply = serve(&format!(
        "FRAME clock-s=1.5\nINSTANCE proxy-id=3\n{LAUNCH}\nSNAPSHOT_ROWS ref=0 records=2\n\
         SERVER server=11 cluster=0 status=U sku=big campus=north rating=1\n\
         SERVER server=12 cluster=1 status=U sku=small campus=south born-s=0 rating=2\n\
         DISCOVERY generation=4 ref=0 kind=restored\nEOB\n\
         FRAME clock-s=2\nINSTANCE proxy-id=3\n\
         CHECK_RESULT server=11 how=0 cost-time-s=0.001 gauge=rif:3,x0:0.2\n\
         CHECK_RESULT server=12 how=0 cost-time-s=0.001 gauge=rif:3,x0:0.4,zz:1\n{events}EOB\n"
    ))?;
    Ok(reply
        .split_once("READY\n")
        .expect("a first reply")
        .1
        .to_string())
}

const ORDER: &str = "ORDER id=00000000000000a1 priority=chat billing=acme channel=c/1 \
    patience-left-s=2 brand-new=1\n";

#[test]
fn a_launch_probes_the_listed_servers_and_subscribes() {
    let input = format!(
        "FRAME clock-s=1\nEOB\nFRAME clock-s=2\nINSTANCE proxy-id=3\n{LAUNCH}\n\
         SNAPSHOT_ROWS ref=0 records=1\nSERVER server=11 status=U\n\
         DISCOVERY generation=4 ref=0 kind=restored\nEOB\n"
    );
    let reply = serve(&input).expect("served");
    let lines: Vec<&str> = reply.lines().collect();
    assert_eq!(lines[..2], ["READY", "FROM proxy-id=3"]);
    assert!(lines.contains(&"TOUCH server=11"));
    assert!(lines.contains(&"WATCH want=1"));
    assert_eq!(lines.last(), Some(&"READY"));
    assert_eq!(
        serve(&input),
        Ok(reply),
        "the same events give the same actions"
    );
}

#[test]
fn routes_a_request_retries_it_once_and_then_rejects_it() {
    let reply = serve_second_batch(ORDER).expect("served");
    assert!(
        reply.contains("ROUTE id=00000000000000a1 server=11 cap-s="),
        "{reply}"
    );
    let first_failure =
        "SETTLED id=00000000000000a1 how=111 hop=0 last=0 cost-time-s=0.1 server=11\n";
    let reply = serve_second_batch(&format!("{ORDER}{first_failure}")).expect("served");
    assert!(
        reply.contains("ROUTE id=00000000000000a1 server=12"),
        "{reply}"
    );
    let second_failure =
        "SETTLED id=00000000000000a1 how=5 hop=1 last=0 cost-time-s=0.1 server=12\n";
    let reply =
        serve_second_batch(&format!("{ORDER}{first_failure}{second_failure}")).expect("served");
    assert!(
        reply.contains("PUSH_BACK id=00000000000000a1 backoff-s="),
        "{reply}"
    );
}

#[test]
fn handles_every_kind_of_event() {
    let reply = serve_second_batch(
        "ORDER id=00000000000000a2 priority=order patience-left-s=2 estimate-s=0.01\n\
         SETTLED id=00000000000000a2 how=104 hop=0 last=0 cost-time-s=0.1 server=11\n\
         ADOPTED id=00000000000000a3 priority=chat server=12 patience-left-s=2\n\
         FIRST id=00000000000000a3 server=12 hop=0 cost-time-s=0.1\n\
         NOTE id=00000000000000a3 server=12 value=20000 hop=0 what=1\n\
         NOTE id=00000000000000a3 server=12 value=120 hop=0 what=2\n\
         NOTE id=00000000000000a3 server=12 value=1 hop=0 what=9\n\
         ORDER id=00000000000000a4 priority=chat patience-left-s=2\n\
         ABORTED id=00000000000000a4\n\
         ELAPSED nonce=77\nMAIL neighbour=2 blob=68\n\
         DISCOVERY generation=5 kind=unavailable\n",
    )
    .expect("served");
    assert!(reply.contains("LOSE id=00000000000000a2"), "{reply}");
    assert!(
        reply.contains("RECALL id=00000000000000a4 hop=0"),
        "{reply}"
    );
    assert!(reply.contains("DEFER offset-s="), "{reply}");
}

#[test]
fn discards_the_actions_of_an_instance_killed_in_the_same_batch() {
    let reply = serve_second_batch(&format!("{ORDER}DOWN\n")).expect("served");
    assert_eq!(reply, "READY\n");
    let error = serve_second_batch("DOWN\nELAPSED nonce=1\n").expect_err("the instance is gone");
    assert!(error.contains("expected LAUNCH"), "{error}");
}

#[test]
fn a_server_list_may_reuse_a_number_within_a_batch() {
    let reply = serve_second_batch(
        "SNAPSHOT_ROWS ref=0 records=1\nSERVER server=11 status=L\n\
         DISCOVERY generation=5 ref=0 kind=update\n\
         SNAPSHOT_ROWS ref=0 records=0\nDISCOVERY generation=6 ref=0 kind=update\n\
         ORDER id=00000000000000a5 priority=chat patience-left-s=2\n",
    )
    .expect("served");
    assert!(
        reply.contains("ROUTE id=00000000000000a5 server=12"),
        "{reply}"
    );
}

#[test]
fn reports_a_malformed_line_with_its_number_and_the_expected_form() {
    for (line, expected) in [
        ("NONSENSE x=1", "NONSENSE: expected the name of an event"),
        ("ORDER id=00000000000000a1", "expected the field priority"),
        (
            "ORDER id=a1 priority=chat patience-left-s=2",
            "id=a1: expected 16 hex digits",
        ),
        (
            "ORDER id=00000000000000a1 priority=none patience-left-s=2",
            "expected a class of the settings",
        ),
        (
            "ORDER id=00000000000000a1 priority=chat patience-left-s=soon",
            "patience-left-s=soon: expected a number",
        ),
        (
            "ORDER id=00000000000000a1 priority=chat",
            "expected the field patience-left-s",
        ),
        (
            "SETTLED id=00000000000000a1 how=7 server=11",
            "how=7: expected an outcome code",
        ),
        (
            "SETTLED id=00000000000000a1 how=0 last=maybe server=11",
            "last=maybe: expected 1 or 0",
        ),
        (
            "CHECK_RESULT server=4294967296 how=0",
            "expected a number below 2^32",
        ),
        (
            "CHECK_RESULT server=11 how=0 gauge=x0",
            "gauge x0: expected name:value",
        ),
        ("ELAPSED", "expected the field nonce"),
        ("ELAPSED nonce", "`nonce`: expected name=value"),
        (
            "DISCOVERY generation=5 ref=3 kind=update",
            "ref=3: expected a list named before",
        ),
        (
            "DISCOVERY generation=5 ref=0 kind=sideways",
            "kind=sideways: expected update",
        ),
        (
            "SNAPSHOT_ROWS ref=1 records=2\nEOB",
            "EOB: expected 2 more SERVER lines",
        ),
        ("FRAME clock-s=3", "FRAME within a batch; expected EOB"),
    ] {
        let error = serve_second_batch(&format!("{line}\n")).expect_err(line);
        assert!(error.contains(expected), "{line}: {error}");
        assert!(error.starts_with("line 1"), "{line}: {error}");
    }
    let outside = serve("ELAPSED nonce=1\n").expect_err("outside a batch");
    assert_eq!(outside, "line 1: ELAPSED outside a batch; expected FRAME");
    let no_instance = serve("FRAME clock-s=1\nELAPSED nonce=1\n").expect_err("no instance");
    assert_eq!(
        no_instance,
        "line 2: ELAPSED: expected an INSTANCE line before it"
    );
    let truncated = serve("FRAME clock-s=1\n").expect_err("the input is truncated");
    assert_eq!(truncated, "line 1: input ends within a batch; expected EOB");
}

fn run_binary(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_violetwind-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the binary reads its input");
    child.wait_with_output().expect("the binary exits")
}

#[test]
fn the_binary_replies_and_exits_cleanly_at_the_end_of_input() {
    let output = run_binary("FRAME clock-s=8.41225\nEOB\nFRAME clock-s=8.5\nEOB\n");
    assert!(output.status.success());
    assert_eq!(output.stdout, b"READY\nREADY\n");
    assert!(output.stderr.is_empty());
}

#[test]
fn the_binary_fails_on_a_malformed_line_with_a_message_and_no_output() {
    let output = run_binary("FRAME clock-s=1\nBANANA\n");
    assert!(!output.status.success());
    assert!(output.stdout.is_empty());
    let message = String::from_utf8(output.stderr).expect("the message is UTF-8");
    assert_eq!(
        message,
        "violetwind-simhost: line 2: BANANA: expected an INSTANCE line before it\n"
    );
}

#[test]
fn reports_a_panic_of_the_decision_code_in_one_line() {
    let mut output = Vec::new();
    violetwind_simhost::codec::write_panic(&mut output, "index out of range\nat 7")
        .expect("written");
    assert_eq!(output, b"GIVE_IN message=index out of range at 7\n");
}
