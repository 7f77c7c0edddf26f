//! Campaigns of scripts of faults over whole members, and the page that shows one of them.

use std::fmt::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use violetwind_storm::fleet::InjectedBug;
use violetwind_storm::script::{Script, ScriptOutcome, ScriptParameters};

/// Plays that a shrink may take.
const SHRINK: usize = 300;
/// Findings that are shrunk and kept; the others are counted.
const KEPT: usize = 8;
/// A time line is looked at so often, in milliseconds of simulated time.
pub const SAMPLE_INTERVAL_MS: u64 = 50;

/// A script that broke a promise, as drawn and cut.
#[derive(Clone, Debug)]
pub struct Finding {
    pub violation: String,
    pub original: Script,
    pub minimised: Script,
    pub shrink_plays: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Campaign {
    pub seed_count: u64,
    pub simulated_ms: u64,
    pub faults: usize,
    pub elections_won: usize,
    pub duties_gained: usize,
    pub frames: u64,
    pub machines_done: usize,
    pub units_taken: usize,
    pub failed_seeds: usize,
    pub findings: Vec<Finding>,
}

/// Plays so many seeds from the first on; the outcome does not depend on the number of threads.
pub fn run_campaign(
    first: u64,
    seeds: u64,
    shape: ScriptParameters,
    planted: InjectedBug,
    threads: usize,
) -> Campaign {
    let bar = ProgressBar::new(seeds);
    let style = "{bar:40} {pos}/{len} seeds, {msg}, {eta} left";
    if let Ok(style) = ProgressStyle::with_template(style) {
        bar.set_style(style);
    }
    let (next, sum) = (
        AtomicU64::new(0),
        Mutex::new((Campaign::default(), Vec::new())),
    );
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    if at >= seeds {
                        return;
                    }
                    let script = Script::generate(first + at, shape);
                    let played = script.run(planted, 0);
                    let mut sum = sum.lock().expect("no panic");
                    sum.0.add(&script, &played);
                    if let Some(wrong) = played.violation {
                        sum.1.push((wrong, script));
                    }
                    let (faults, found) = (sum.0.faults, sum.1.len());
                    bar.set_message(format!("{faults} faults, {found} findings"));
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish();
    let (mut sum, mut found) = sum.into_inner().expect("no panic");
    found.sort_by_key(|(_, script)| script.seed);
    sum.failed_seeds = found.len();
    for (wrong, drawn) in found.into_iter().take(KEPT) {
        let (least, plays) = drawn.shrink(planted, SHRINK);
        sum.findings.push(Finding {
            violation: wrong,
            original: drawn,
            minimised: least,
            shrink_plays: plays,
        });
    }
    sum
}

impl Campaign {
    fn add(&mut self, script: &Script, played: &ScriptOutcome) {
        self.seed_count += 1;
        self.simulated_ms += played.simulated_ms;
        self.faults += script.faults.len();
        self.elections_won += played.elections_won;
        self.duties_gained += played.duties_gained;
        self.frames += played.frames_sent;
        self.machines_done += played.machines_done;
        self.units_taken += played.units_taken;
    }

    pub fn to_json(&self) -> serde_json::Value {
        let findings = self.findings.iter().map(|finding| {
            json!({"wrong": finding.violation, "seed": finding.original.seed, "plays": finding.shrink_plays,
                   "faults": [finding.original.faults.len(), finding.minimised.faults.len()],
                   "script": finding.minimised.to_toml()})
        });
        json!({"seeds": self.seed_count, "simulated_seconds": self.simulated_ms / 1000, "faults": self.faults,
               "leads": self.elections_won, "duties_gained": self.duties_gained, "frames": self.frames,
               "machines_done": self.machines_done, "units_taken": self.units_taken, "broken": self.failed_seeds,
               "findings": findings.collect::<Vec<_>>()})
    }
}

fn escaped(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

const STATES: [(char, &str, &str); 6] = [
    ('L', "leads", "#145aa0"),
    ('h', "holds a duty", "#3c8c3c"),
    ('.', "lives", "#cfe3cf"),
    ('c', "cut off from some", "#e0a030"),
    ('s', "stopped", "#8a8a8a"),
    ('x', "dead", "#b03030"),
];

/// One page that needs nothing else: who was what and when, units in use and machines out, the faults, what was told.
pub fn render_page(script: &Script, played: &ScriptOutcome) -> String {
    let (width, row, left) = (1100.0, 16.0, 70.0);
    let rows = script.voters + script.others;
    let all = played.timeline.last().map_or(1, |moment| moment.at).max(1) as f64;
    let x = |at: u64| left + at as f64 / all * (width - left);
    let mut svg = String::new();
    let height = row * rows as f64 + 120.0;
    let _ = write!(
        svg,
        "<svg width=\"{width}\" height=\"{height}\" font-size=\"11\" font-family=\"sans-serif\">"
    );
    for (n, moment) in played.timeline.iter().enumerate() {
        let until = played
            .timeline
            .get(n + 1)
            .map_or(moment.at + SAMPLE_INTERVAL_MS, |next| next.at);
        for (at, (_, state)) in moment.member_states.iter().enumerate() {
            let known = STATES.iter().find(|(known, ..)| known == state);
            let colour = known.map_or("#ffffff", |(.., colour)| colour);
            let (from, wide) = (x(moment.at), x(until) - x(moment.at) + 0.3);
            let y = row * at as f64;
            let _ = write!(
                svg,
                "<rect x=\"{from:.1}\" y=\"{y:.1}\" width=\"{wide:.1}\" height=\"13\" fill=\"{colour}\"/>"
            );
        }
    }
    for (at, (name, _)) in played
        .timeline
        .first()
        .iter()
        .flat_map(|m| m.member_states.iter().enumerate())
    {
        let y = row * at as f64 + 11.0;
        let _ = write!(svg, "<text x=\"0\" y=\"{y}\">{}</text>", escaped(name));
    }
    let base = row * rows as f64 + 110.0;
    for (what, colour, of) in [
        ("units in use", "#145aa0", 0),
        ("machines out", "#b03030", 1),
    ] {
        let value = |moment: &violetwind_storm::script::TimelineSample| match of {
            0 => moment.units_in_use as f64,
            _ => moment.machines_out as f64,
        };
        let most = played.timeline.iter().map(value).fold(1.0, f64::max);
        let points = played.timeline.iter().map(|moment| {
            format!(
                "{:.1},{:.1}",
                x(moment.at),
                base - value(moment) / most * 90.0
            )
        });
        let points: Vec<String> = points.collect();
        let _ = write!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"/>",
            points.join(" ")
        );
        let y = base - 94.0 + 14.0 * f64::from(of);
        let _ = write!(
            svg,
            "<text x=\"0\" y=\"{y}\" fill=\"{colour}\">{what}, to {most}</text>"
        );
    }
    svg.push_str("</svg>");
    let legend = STATES.map(|(_, name, colour)| {
        format!("<span style=\"background:{colour}\">&nbsp;&nbsp;&nbsp;</span> {name} ")
    });
    let told: Vec<String> = played.event_log.iter().map(|line| escaped(line)).collect();
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>storm, seed {}</title>\
         <h1>Seed {}: {}</h1><p>{} ms simulated, {} faults. {}</p>{svg}\
         <h2>Script</h2><pre>{}</pre><h2>Told</h2><pre>{}</pre>",
        script.seed,
        script.seed,
        escaped(played.violation.as_deref().unwrap_or("no promise broken")),
        played.simulated_ms,
        script.faults.len(),
        legend.concat(),
        escaped(&script.to_toml()),
        told.join("\n")
    )
}

/// Plays one script and writes its page, and the figures as JSON beside it.
///
/// # Errors
/// The file can't be written.
pub fn write_script_report(
    script: &Script,
    planted: InjectedBug,
    path: &Path,
) -> std::io::Result<Option<String>> {
    let played = script.run(planted, SAMPLE_INTERVAL_MS);
    std::fs::write(path, render_page(script, &played))?;
    let beside = json!({"seed": script.seed, "wrong": played.violation, "simulated_ms": played.simulated_ms,
        "leads": played.elections_won, "duties_gained": played.duties_gained, "frames": played.frames_sent,
        "machines_done": played.machines_done, "units_taken": played.units_taken});
    std::fs::write(path.with_extension("json"), format!("{beside:#}\n"))?;
    Ok(played.violation)
}
