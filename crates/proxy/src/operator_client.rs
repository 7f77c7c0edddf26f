//! The client of the operators' address of a proxy, and the commands `violetwind fleet` and `work`, which use it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::Value;
use violetwind_output::{print_error, print_line, print_text, with_output_checked};

use crate::cli::{FleetCommand, PlanArgs, WorkCommand};

/// Timeout of each step of a call. A proxy answers within 1 s.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of an answer. The largest answer is the state of a whole fleet.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
/// Time allowed for a membership change: a new member first has to receive the log and then a vote.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between retries of a membership change.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Exit code: no proxy answers.
pub const EXIT_NO_PROXY: u8 = 69;

/// Answer of a proxy, with the text after the status.
pub enum Answer {
    Accepted(String),
    Refused(String),
}

/// Sends one command line to a proxy. Fails when the proxy can't be reached or its answer is malformed.
fn call(address: SocketAddr, line: &str) -> Result<Answer, String> {
    let exchange = || -> std::io::Result<String> {
        let stream = send_line(address, line, CALL_TIMEOUT)?;
        let mut answer = String::new();
        BufReader::new(stream.take(MAX_ANSWER_BYTES)).read_line(&mut answer)?;
        Ok(answer)
    };
    parse_answer(address, exchange())
}

/// Sends one command line to a proxy, and takes `timeout` at most for the whole call, however slowly the answer comes.
///
/// # Errors
/// The proxy can't be reached, doesn't answer in time, or its answer is malformed.
pub fn call_within(address: SocketAddr, line: &str, timeout: Duration) -> Result<Answer, String> {
    let deadline = Instant::now() + timeout;
    let exchange = || -> std::io::Result<String> {
        let mut stream = send_line(address, line, timeout)?;
        let mut answer = Vec::new();
        let mut buffer = [0; 4096];
        while !answer.contains(&b'\n') && (answer.len() as u64) < MAX_ANSWER_BYTES {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(remaining))?;
            match stream.read(&mut buffer)? {
                0 => break,
                length => answer.extend_from_slice(&buffer[..length]),
            }
        }
        Ok(String::from_utf8_lossy(&answer).into_owned())
    };
    parse_answer(address, exchange())
}

/// Connects to a proxy and sends a line; `timeout` applies to each step.
fn send_line(address: SocketAddr, line: &str, timeout: Duration) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    Ok(stream)
}

fn parse_answer(address: SocketAddr, answer: std::io::Result<String>) -> Result<Answer, String> {
    let answer = answer.map_err(|error| format!("{address}: {error}"))?;
    let answer = answer.trim_end();
    match answer.split_at_checked(4) {
        Some(("200 ", reply)) => Ok(Answer::Accepted(reply.to_string())),
        Some(("400 ", reason)) => Ok(Answer::Refused(reason.to_string())),
        _ => Err(format!("{address}: \"{answer}\" is no answer")),
    }
}

/// Runs a `violetwind fleet` command. Exit codes: 0 success, 1 refused, 69 no proxy answers, 74 a view that could not be
/// written. A change that was made ends with 0 even if its answer could not be written.
pub fn run_fleet(command: FleetCommand) -> ExitCode {
    let is_view = matches!(command, FleetCommand::Status { .. });
    let (proxy, line, as_table) = match command {
        FleetCommand::Status { proxy, json } => (proxy, "FLEET".to_string(), !json),
        FleetCommand::LetIn { node, proxy } => (proxy, format!("FLEET LET-IN {node}"), false),
        FleetCommand::PutOut { node, proxy } => (proxy, format!("FLEET PUT-OUT {node}"), false),
        FleetCommand::Gone { node, proxy } => (proxy, format!("FLEET GONE {node}"), false),
        FleetCommand::HandOn { duty, to, proxy } => {
            let target = to.unwrap_or_default();
            (proxy, format!("FLEET HAND-ON {duty} {target}"), false)
        }
    };
    // Membership changes take several steps. The proxy answers "not done yet" until the last one.
    let deadline = Instant::now() + MEMBERSHIP_CHANGE_TIMEOUT;
    let result = loop {
        match call(proxy.address, &line) {
            Ok(Answer::Refused(reason))
                if reason.starts_with("not done yet") && Instant::now() < deadline =>
            {
                sleep(POLL_INTERVAL);
            }
            result => break result,
        }
    };
    let code = match result {
        Ok(Answer::Accepted(reply)) if as_table => match serde_json::from_str(&reply) {
            Ok(view) => {
                print_text!("{}", format_fleet(&view));
                ExitCode::SUCCESS
            }
            Err(error) => {
                print_error!("violetwind: {}: {error}", proxy.address);
                ExitCode::FAILURE
            }
        },
        Ok(Answer::Accepted(reply)) => {
            print_line!("{reply}");
            ExitCode::SUCCESS
        }
        Ok(Answer::Refused(reason)) => {
            print_error!("violetwind: {reason}");
            ExitCode::FAILURE
        }
        Err(error) => {
            print_error!("violetwind: {error}");
            ExitCode::from(EXIT_NO_PROXY)
        }
    };
    final_exit_code(code, is_view)
}

/// The exit code of a command that shows a view or makes a change.
fn final_exit_code(code: ExitCode, is_view: bool) -> ExitCode {
    match is_view {
        true => with_output_checked(code),
        false => code,
    }
}

/// Runs a `violetwind work` command, with the same exit codes as `run_fleet`.
pub fn run_work(command: WorkCommand) -> ExitCode {
    let is_view = matches!(command, WorkCommand::Show { .. });
    let format_order =
        |order: Option<u64>| order.map_or(String::new(), |number| number.to_string());
    let (address, line, as_json) = match command {
        WorkCommand::Plan(plan) => (plan.proxy.address, plan_line(&plan), None),
        WorkCommand::Show { proxy, json } => (proxy.address, "FLEET WORK".into(), Some(json)),
        WorkCommand::Pause(args) => (
            args.proxy.address,
            format!("FLEET WORK PAUSE {}", format_order(args.order)),
            None,
        ),
        WorkCommand::Resume(args) => (
            args.proxy.address,
            format!("FLEET WORK RESUME {}", format_order(args.order)),
            None,
        ),
        WorkCommand::Cancel(args) => (
            args.proxy.address,
            format!("FLEET WORK CANCEL {}", format_order(args.order)),
            None,
        ),
        WorkCommand::Done(args) => (
            args.proxy.address,
            format!("FLEET WORK DONE {}", args.machine),
            None,
        ),
        WorkCommand::Failed(args) => (
            args.proxy.address,
            format!("FLEET WORK FAILED {}", args.machine),
            None,
        ),
        WorkCommand::Recall(args) => (
            args.proxy.address,
            format!("FLEET WORK RECALL {}", args.machine),
            None,
        ),
    };
    let code = match call(address, &line) {
        Ok(Answer::Accepted(reply)) => {
            let view = serde_json::from_str(&reply).ok();
            match view.filter(|_| as_json == Some(false)) {
                Some(view) => print_text!("{}", format_work(&view)),
                None => print_line!("{reply}"),
            }
            ExitCode::SUCCESS
        }
        Ok(Answer::Refused(reason)) => {
            print_error!("violetwind: {reason}");
            ExitCode::FAILURE
        }
        Err(error) => {
            print_error!("violetwind: {error}");
            ExitCode::from(EXIT_NO_PROXY)
        }
    };
    final_exit_code(code, is_view)
}

/// Formats the call for a new work order.
fn plan_line(plan: &PlanArgs) -> String {
    let ms = |seconds: f64| (seconds.max(0.0) * 1000.0) as u64;
    format!(
        "FLEET WORK PLAN {} {} most={} zone-most={} floor={} spare={} wait={} not-before={} leave={} work={} back={}",
        plan.name,
        plan.machines,
        plan.most,
        plan.zone_most,
        (plan.floor * 1000.0).round() as i64,
        plan.spare,
        u8::from(plan.steps == "out,wait,back"),
        ms(plan.not_before),
        ms(plan.leave),
        ms(plan.work),
        ms(plan.back),
    )
}

/// Formats the view of the work orders for the terminal.
fn format_work(view: &Value) -> String {
    let join_names = |list: &Value| {
        let names = list.as_array().into_iter().flatten();
        let names: Vec<&str> = names.filter_map(Value::as_str).collect();
        match names.is_empty() {
            true => "none".to_string(),
            false => names.join(", "),
        }
    };
    let mut output = format!("out: {}\n", join_names(&view["out"]));
    if view["settled"] != true {
        let reason = view["why"].as_str().unwrap_or("");
        return output
            + &format!("as this proxy goes by it; the fleet has not answered: {reason}\n");
    }
    if view["shut"].as_array().is_some_and(|shut| !shut.is_empty()) {
        output += &format!("closed by operators: {}\n", join_names(&view["shut"]));
    }
    output += &format!(
        "conducted by {}; {} have to confirm\n",
        format_cell(&view["conductor"]),
        join_names(&view["serving"])
    );
    for order in view["orders"].as_array().into_iter().flatten() {
        output += &format!(
            "\norder {} {}: {}, {} out at most, {} in a zone, {} of the room stays in{}\n",
            order["number"],
            format_cell(&order["name"]),
            format_cell(&order["state"]),
            order["most"],
            order["zone_most"],
            order["floor"].as_f64().unwrap_or(0.0) / 1000.0,
            match order["spare"].as_str() {
                Some("machine") => " with one machine more lost",
                Some("zone") => " with one zone more lost",
                _ => "",
            },
        );
        let columns = [
            ("MACHINE", "name"),
            ("ZONE", "zone"),
            ("PLACE", "phase"),
            ("WAITS FOR", "why"),
        ];
        output += &format_table(&order["machines"], &columns);
    }
    for order in view["ended"].as_array().into_iter().flatten() {
        output += &format!(
            "order {} {}: ended, {} done, {} spared\n",
            order["number"],
            format_cell(&order["name"]),
            order["done"],
            order["spared"]
        );
    }
    output
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Formats a list as a table with aligned columns; an empty string for an empty list.
fn format_table(list: &Value, columns: &[(&str, &str)]) -> String {
    let headings = columns.iter().map(|(heading, _)| heading.to_string());
    let mut rows = vec![headings.collect::<Vec<_>>()];
    let list = list.as_array().into_iter().flatten();
    rows.extend(list.map(|row| {
        columns
            .iter()
            .map(|(_, key)| format_cell(&row[*key]))
            .collect()
    }));
    if rows.len() == 1 {
        return String::new();
    }
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut output = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        output += cells.collect::<Vec<_>>().join("  ").trim_end();
        output.push('\n');
    }
    output
}

/// Formats the view of the fleet for the terminal.
fn format_fleet(view: &Value) -> String {
    let format_leader = format_cell;
    let majority = if view["majority"] == true {
        ""
    } else {
        ", no majority"
    };
    let mut output = format!(
        "leader {}, term {}, commit {}{majority}\n",
        format_leader(&view["leader"]),
        view["term"],
        view["commit"]
    );
    if let Some(reason) = view["why"].as_str() {
        output += &format!("{reason}\n");
    }
    let mut add_section = |list: &Value, columns: &[(&str, &str)]| {
        let rows = format_table(list, columns);
        if !rows.is_empty() {
            output += &format!("\n{rows}");
        }
    };
    let members = [
        ("NODE", "node"),
        ("VOTES", "votes"),
        ("STATE", "state"),
        ("SINCE MS", "since_ms"),
    ];
    add_section(&view["members"], &members);
    let duties = [
        ("DUTY", "name"),
        ("HOLDER", "holder"),
        ("FENCE", "fence"),
        ("HERE", "mine"),
    ];
    add_section(&view["duties"], &duties);
    let budgets = [
        ("BUDGET", "name"),
        ("WHOLE", "whole"),
        ("FLOORS", "floors"),
        ("SHARED", "shared"),
        ("STRANDED", "stranded"),
        ("FREE", "free"),
        ("USED HERE", "used_here"),
        ("ALLOWED HERE", "allowed_here"),
    ];
    add_section(&view["budgets"], &budgets);
    output
}
