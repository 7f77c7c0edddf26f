//! What staff do about the fleet from a shell, by calls at a proxy's address for operators.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::process::{Child, Command, ExitCode};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process_group};
use serde_json::Value;

use crate::cli::{FleetCommand, HoldArgs, PlanArgs, WorkCommand};

/// An answer is due within 1 s; it holds a whole fleet at most.
const PATIENCE: Duration = Duration::from_millis(1500);
const ANSWER: u64 = 4 << 20;
/// How long a member may take to get the log and a vote.
const STEPS: Duration = Duration::from_secs(20);
/// How often a held duty is asked about, and one that is waited for.
const POLL: Duration = Duration::from_millis(50);

const NOT_HELD: u8 = 75;
const LOST: u8 = 76;
const NO_PROXY: u8 = 69;
const NO_COMMAND: u8 = 71;

enum Said {
    Yes(String),
    No(String),
}

fn call(at: SocketAddr, line: &str) -> Result<Said, String> {
    let call = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_write_timeout(Some(PATIENCE))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream.take(ANSWER)).read_line(&mut answer)?;
        Ok(answer)
    };
    let answer = call().map_err(|error| format!("{at}: {error}"))?;
    let answer = answer.trim_end();
    match answer.split_at_checked(4) {
        Some(("200 ", word)) => Ok(Said::Yes(word.to_string())),
        Some(("400 ", why)) => Ok(Said::No(why.to_string())),
        _ => Err(format!("{at}: \"{answer}\" is no answer")),
    }
}

/// Carries out one of `violetwind fleet …`: 0 yes, 1 no, 69 nobody answers.
pub fn run_fleet(command: FleetCommand) -> ExitCode {
    let (at, line, table) = match command {
        FleetCommand::Status { proxy: at, json } => (at, "FLEET".to_string(), !json),
        FleetCommand::LetIn { node, proxy: at } => (at, format!("FLEET LET-IN {node}"), false),
        FleetCommand::PutOut { node, proxy: at } => (at, format!("FLEET PUT-OUT {node}"), false),
        FleetCommand::Gone { node, proxy: at } => (at, format!("FLEET GONE {node}"), false),
        FleetCommand::HandOn {
            duty,
            to,
            proxy: at,
        } => {
            let to = to.unwrap_or_default();
            (at, format!("FLEET HAND-ON {duty} {to}"), false)
        }
    };
    // A member is let in or put out in steps; whoever calls waits for the last.
    let until = Instant::now() + STEPS;
    let said = loop {
        match call(at.at, &line) {
            Ok(Said::No(why)) if why.starts_with("not done yet") && Instant::now() < until => {
                sleep(POLL);
            }
            said => break said,
        }
    };
    match said {
        Ok(Said::Yes(word)) if table => match serde_json::from_str(&word) {
            Ok(view) => {
                print!("{}", shown(&view));
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("violetwind: {}: {error}", at.at);
                ExitCode::FAILURE
            }
        },
        Ok(Said::Yes(word)) => {
            println!("{word}");
            ExitCode::SUCCESS
        }
        Ok(Said::No(why)) => {
            eprintln!("violetwind: {why}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("violetwind: {error}");
            ExitCode::from(NO_PROXY)
        }
    }
}

/// Carries out one of `violetwind work …`, with the same codes.
pub fn run_work(command: WorkCommand) -> ExitCode {
    let order = |order: Option<u64>| order.map_or(String::new(), |order| order.to_string());
    let (at, line, show) = match command {
        WorkCommand::Plan(plan) => (plan.proxy.at, plan_line(&plan), None),
        WorkCommand::Show { proxy: at, json } => (at.at, "FLEET WORK".into(), Some(json)),
        WorkCommand::Pause(of) => (
            of.proxy.at,
            format!("FLEET WORK PAUSE {}", order(of.order)),
            None,
        ),
        WorkCommand::Resume(of) => (
            of.proxy.at,
            format!("FLEET WORK RESUME {}", order(of.order)),
            None,
        ),
        WorkCommand::Cancel(of) => (
            of.proxy.at,
            format!("FLEET WORK CANCEL {}", order(of.order)),
            None,
        ),
        WorkCommand::Done(of) => (of.proxy.at, format!("FLEET WORK DONE {}", of.machine), None),
        WorkCommand::Failed(of) => (
            of.proxy.at,
            format!("FLEET WORK FAILED {}", of.machine),
            None,
        ),
        WorkCommand::Recall(of) => (
            of.proxy.at,
            format!("FLEET WORK RECALL {}", of.machine),
            None,
        ),
    };
    match call(at, &line) {
        Ok(Said::Yes(word)) => {
            let view = serde_json::from_str(&word).ok();
            match view.filter(|_| show == Some(false)) {
                Some(view) => print!("{}", work_shown(&view)),
                None => println!("{word}"),
            }
            ExitCode::SUCCESS
        }
        Ok(Said::No(why)) => {
            eprintln!("violetwind: {why}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("violetwind: {error}");
            ExitCode::from(NO_PROXY)
        }
    }
}

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

fn work_shown(view: &Value) -> String {
    let words = |list: &Value| {
        let names = list.as_array().into_iter().flatten();
        let names: Vec<&str> = names.filter_map(Value::as_str).collect();
        match names.is_empty() {
            true => "none".to_string(),
            false => names.join(", "),
        }
    };
    let mut out = format!("out: {}\n", words(&view["out"]));
    if view["settled"] != true {
        let why = view["why"].as_str().unwrap_or("");
        return out + &format!("as this proxy goes by it; the fleet has not answered: {why}\n");
    }
    if view["shut"].as_array().is_some_and(|shut| !shut.is_empty()) {
        out += &format!("closed by operators: {}\n", words(&view["shut"]));
    }
    out += &format!(
        "conducted by {}; {} have to confirm\n",
        cell(&view["conductor"]),
        words(&view["serving"])
    );
    for order in view["orders"].as_array().into_iter().flatten() {
        out += &format!(
            "\norder {} {}: {}, {} out at most, {} in a zone, {} of the room stays in{}\n",
            order["number"],
            cell(&order["name"]),
            cell(&order["state"]),
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
        out += &table(&order["machines"], &columns);
    }
    for order in view["ended"].as_array().into_iter().flatten() {
        out += &format!(
            "order {} {}: ended, {} done, {} spared\n",
            order["number"],
            cell(&order["name"]),
            order["done"],
            order["spared"]
        );
    }
    out
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Rows under heads, as wide as they need; nothing of an empty list.
fn table(list: &Value, columns: &[(&str, &str)]) -> String {
    let heads = columns.iter().map(|(head, _)| head.to_string());
    let mut rows = vec![heads.collect::<Vec<_>>()];
    let list = list.as_array().into_iter().flatten();
    rows.extend(list.map(|row| columns.iter().map(|(_, key)| cell(&row[*key])).collect()));
    if rows.len() == 1 {
        return String::new();
    }
    let width = |at: usize| rows.iter().map(|row| row[at].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        out += cells.collect::<Vec<_>>().join("  ").trim_end();
        out.push('\n');
    }
    out
}

fn shown(view: &Value) -> String {
    let word = cell;
    let majority = if view["majority"] == true {
        ""
    } else {
        ", no majority"
    };
    let mut out = format!(
        "leader {}, term {}, commit {}{majority}\n",
        word(&view["leader"]),
        view["term"],
        view["commit"]
    );
    if let Some(why) = view["why"].as_str() {
        out += &format!("{why}\n");
    }
    let mut section = |list: &Value, columns: &[(&str, &str)]| {
        let rows = table(list, columns);
        if !rows.is_empty() {
            out += &format!("\n{rows}");
        }
    };
    let members = [
        ("NODE", "node"),
        ("VOTES", "votes"),
        ("STATE", "state"),
        ("SINCE MS", "since_ms"),
    ];
    section(&view["members"], &members);
    let duties = [
        ("DUTY", "name"),
        ("HOLDER", "holder"),
        ("FENCE", "fence"),
        ("HERE", "mine"),
    ];
    section(&view["duties"], &duties);
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
    section(&view["budgets"], &budgets);
    out
}

/// A holding as it was last told: nobody else holds the duty until then.
#[derive(Clone, Copy)]
struct Held {
    fence: u64,
    until: Instant,
}

enum Asked {
    Held(Held),
    NotHeld(String),
    Silent(String),
}

fn ask(hold: &HoldArgs, token: &str) -> Asked {
    // Counted from before it is asked.
    let asked = Instant::now();
    match call(hold.proxy.at, &format!("FLEET HOLD {} {token}", hold.duty)) {
        Ok(Said::Yes(word)) => {
            let told: Value = serde_json::from_str(&word).unwrap_or_default();
            match (told["fence"].as_u64(), told["left_ms"].as_u64()) {
                (Some(fence), Some(left)) => Asked::Held(Held {
                    fence,
                    until: asked + Duration::from_millis(left),
                }),
                _ => Asked::Silent(format!("\"{word}\" is no holding")),
            }
        }
        Ok(Said::No(why)) => Asked::NotHeld(why),
        Err(error) => Asked::Silent(error),
    }
}

/// Runs a command while a duty is held at a proxy.
pub fn run_hold(hold: &HoldArgs) -> ExitCode {
    let token = format!("{:016x}", rand::random::<u64>());
    let mut said = false;
    let held = loop {
        let (why, code) = match ask(hold, &token) {
            Asked::Held(held) => break held,
            Asked::NotHeld(why) => (why, NOT_HELD),
            Asked::Silent(why) => (why, NO_PROXY),
        };
        if !hold.wait {
            eprintln!("violetwind: {}: {why}", hold.duty);
            return ExitCode::from(code);
        }
        if !std::mem::replace(&mut said, true) {
            eprintln!("violetwind: {}: {why}; waiting", hold.duty);
        }
        sleep(POLL);
    };
    let (program, arguments) = hold.command.split_first().expect("clap asks for one");
    let child = Command::new(program)
        .args(arguments)
        .env("VIOLETWIND_FENCE", held.fence.to_string())
        .env("VIOLETWIND_DUTY", &hold.duty)
        .process_group(0)
        .spawn();
    let code = match child {
        Ok(child) => watch(hold, &token, held, child),
        Err(error) => {
            eprintln!("violetwind: {program}: {error}");
            ExitCode::from(NO_COMMAND)
        }
    };
    // A proxy that has gone needs no word.
    let _ = call(hold.proxy.at, &format!("FLEET DONE {} {token}", hold.duty));
    code
}

/// Goes with the command until it has ended, or the duty is lost.
fn watch(hold: &HoldArgs, token: &str, mut held: Held, mut child: Child) -> ExitCode {
    let group = Pid::from_child(&child);
    let grace = Duration::from_secs_f64(hold.grace.clamp(0.0, 3600.0));
    let fence = held.fence;
    let lost = loop {
        match child.try_wait() {
            Ok(Some(status)) => {
                let code = status.code().unwrap_or(128 + status.signal().unwrap_or(0));
                return ExitCode::from(code as u8);
            }
            Ok(None) => {}
            Err(error) => break error.to_string(),
        }
        match ask(hold, token) {
            Asked::Held(now) if now.fence == fence => held.until = held.until.max(now.until),
            Asked::Held(now) => break format!("held anew with {}", now.fence),
            Asked::NotHeld(why) => break why,
            Asked::Silent(why) if Instant::now() + grace >= held.until => break why,
            Asked::Silent(_) => {}
        }
        sleep(POLL);
    };
    let until = held.until.min(Instant::now() + grace);
    eprintln!(
        "violetwind: {} is lost: {lost}; the command has {:?}",
        hold.duty,
        until.saturating_duration_since(Instant::now())
    );
    let _ = kill_process_group(group, Signal::TERM);
    while Instant::now() < until {
        if !matches!(child.try_wait(), Ok(None)) {
            return ExitCode::from(LOST);
        }
        sleep(Duration::from_millis(5));
    }
    let _ = kill_process_group(group, Signal::KILL);
    let _ = child.wait();
    ExitCode::from(LOST)
}
