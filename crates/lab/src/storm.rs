//! Campaigns of fault scripts on simulated fleet members, and an HTML page for one script.

use std::fmt::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use violetwind_storm::fleet::InjectedBug;
use violetwind_storm::script::{Script, ScriptOutcome, ScriptParameters};

/// Maximum number of runs for shrinking a script.
const MAX_SHRINK_RUNS: usize = 300;
/// Number of findings that are shrunk and reported; further ones are only counted.
const MAX_FINDINGS: usize = 8;
/// Interval between samples of the timeline, in milliseconds of simulated time.
pub const SAMPLE_INTERVAL_MS: u64 = 50;

/// A script that violated a guarantee, as generated and after shrinking.
#[derive(Clone, Debug)]
pub struct Finding {
    pub violation: String,
    pub original: Script,
    pub minimised: Script,
    pub shrink_runs: usize,
}

/// Totals over all scripts of a campaign, and its findings.
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

/// Runs the scripts of `seeds` consecutive seeds from `first` on. The result does not depend on the number of threads.
pub fn run_campaign(
    first: u64,
    seeds: u64,
    parameters: ScriptParameters,
    injected_bug: InjectedBug,
    threads: usize,
) -> Campaign {
    let progress_bar = ProgressBar::new(seeds);
    let style = "{bar:40} {pos}/{len} seeds, {msg}, {eta} left";
    if let Ok(style) = ProgressStyle::with_template(style) {
        progress_bar.set_style(style);
    }
    let (next_index, totals) = (
        AtomicU64::new(0),
        Mutex::new((Campaign::default(), Vec::new())),
    );
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    if index >= seeds {
                        return;
                    }
                    let script = Script::generate(first + index, parameters);
                    let outcome = script.run(injected_bug, 0);
                    let mut totals = totals
                        .lock()
                        .expect("no thread panicked while holding the lock");
                    totals.0.add(&script, &outcome);
                    if let Some(violation) = outcome.violation {
                        totals.1.push((violation, script));
                    }
                    let (faults, violations) = (totals.0.faults, totals.1.len());
                    progress_bar.set_message(format!("{faults} faults, {violations} findings"));
                    progress_bar.inc(1);
                }
            });
        }
    });
    progress_bar.finish();
    let (mut totals, mut violations) = totals
        .into_inner()
        .expect("no thread panicked while holding the lock");
    violations.sort_by_key(|(_, script)| script.seed);
    totals.failed_seeds = violations.len();
    for (violation, original) in violations.into_iter().take(MAX_FINDINGS) {
        let (minimised, shrink_runs) = original.shrink(injected_bug, MAX_SHRINK_RUNS);
        totals.findings.push(Finding {
            violation,
            original,
            minimised,
            shrink_runs,
        });
    }
    totals
}

impl Campaign {
    fn add(&mut self, script: &Script, outcome: &ScriptOutcome) {
        self.seed_count += 1;
        self.simulated_ms += outcome.simulated_ms;
        self.faults += script.faults.len();
        self.elections_won += outcome.elections_won;
        self.duties_gained += outcome.duties_gained;
        self.frames += outcome.frames_sent;
        self.machines_done += outcome.machines_done;
        self.units_taken += outcome.units_taken;
    }

    /// Renders the totals and the findings as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let findings = self.findings.iter().map(|finding| {
            json!({"wrong": finding.violation, "seed": finding.original.seed, "plays": finding.shrink_runs,
                   "faults": [finding.original.faults.len(), finding.minimised.faults.len()],
                   "script": finding.minimised.to_toml()})
        });
        json!({"seeds": self.seed_count, "simulated_seconds": self.simulated_ms / 1000, "faults": self.faults,
               "leads": self.elections_won, "duties_gained": self.duties_gained, "frames": self.frames,
               "machines_done": self.machines_done, "units_taken": self.units_taken, "broken": self.failed_seeds,
               "findings": findings.collect::<Vec<_>>()})
    }
}

fn escape_html(text: &str) -> String {
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

/// Renders a self-contained HTML page: the state of each member over time, units in use, machines out, the faults, and
/// the event log.
pub fn render_page(script: &Script, outcome: &ScriptOutcome) -> String {
    let (width, row_height, label_width) = (1100.0, 16.0, 70.0);
    let rows = script.voters + script.others;
    let end = outcome.timeline.last().map_or(1, |sample| sample.at).max(1) as f64;
    let x = |at: u64| label_width + at as f64 / end * (width - label_width);
    let mut svg = String::new();
    let height = row_height * rows as f64 + 120.0;
    let _ = write!(
        svg,
        "<svg width=\"{width}\" height=\"{height}\" font-size=\"11\" font-family=\"sans-serif\">"
    );
    for (n, sample) in outcome.timeline.iter().enumerate() {
        let sample_end = outcome
            .timeline
            .get(n + 1)
            .map_or(sample.at + SAMPLE_INTERVAL_MS, |next| next.at);
        for (row, (_, state)) in sample.member_states.iter().enumerate() {
            let known = STATES.iter().find(|(known, ..)| known == state);
            let colour = known.map_or("#ffffff", |(.., colour)| colour);
            let (from, bar_width) = (x(sample.at), x(sample_end) - x(sample.at) + 0.3);
            let y = row_height * row as f64;
            let _ = write!(
                svg,
                "<rect x=\"{from:.1}\" y=\"{y:.1}\" width=\"{bar_width:.1}\" height=\"13\" fill=\"{colour}\"/>"
            );
        }
    }
    for (row, (name, _)) in outcome
        .timeline
        .first()
        .iter()
        .flat_map(|sample| sample.member_states.iter().enumerate())
    {
        let y = row_height * row as f64 + 11.0;
        let _ = write!(svg, "<text x=\"0\" y=\"{y}\">{}</text>", escape_html(name));
    }
    let base = row_height * rows as f64 + 110.0;
    for (label, colour, series) in [
        ("units in use", "#145aa0", 0),
        ("machines out", "#b03030", 1),
    ] {
        let value = |sample: &violetwind_storm::script::TimelineSample| match series {
            0 => sample.units_in_use as f64,
            _ => sample.machines_out as f64,
        };
        let max = outcome.timeline.iter().map(value).fold(1.0, f64::max);
        let points = outcome.timeline.iter().map(|sample| {
            format!(
                "{:.1},{:.1}",
                x(sample.at),
                base - value(sample) / max * 90.0
            )
        });
        let points: Vec<String> = points.collect();
        let _ = write!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"/>",
            points.join(" ")
        );
        let y = base - 94.0 + 14.0 * f64::from(series);
        let _ = write!(
            svg,
            "<text x=\"0\" y=\"{y}\" fill=\"{colour}\">{label}, to {max}</text>"
        );
    }
    svg.push_str("</svg>");
    let legend = STATES.map(|(_, name, colour)| {
        format!("<span style=\"background:{colour}\">&nbsp;&nbsp;&nbsp;</span> {name} ")
    });
    let events: Vec<String> = outcome
        .event_log
        .iter()
        .map(|line| escape_html(line))
        .collect();
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>storm, seed {}</title>\
         <h1>Seed {}: {}</h1><p>{} ms simulated, {} faults. {}</p>{svg}\
         <h2>Script</h2><pre>{}</pre><h2>Told</h2><pre>{}</pre>",
        script.seed,
        script.seed,
        escape_html(outcome.violation.as_deref().unwrap_or("no promise broken")),
        outcome.simulated_ms,
        script.faults.len(),
        legend.concat(),
        escape_html(&script.to_toml()),
        events.join("\n")
    )
}

/// Runs one script and writes its page, and the totals as a JSON file of the same name. Returns the violation, if any.
///
/// # Errors
/// A file can't be written.
pub fn write_script_report(
    script: &Script,
    injected_bug: InjectedBug,
    path: &Path,
) -> std::io::Result<Option<String>> {
    let outcome = script.run(injected_bug, SAMPLE_INTERVAL_MS);
    std::fs::write(path, render_page(script, &outcome))?;
    let summary = json!({"seed": script.seed, "wrong": outcome.violation, "simulated_ms": outcome.simulated_ms,
        "leads": outcome.elections_won, "duties_gained": outcome.duties_gained, "frames": outcome.frames_sent,
        "machines_done": outcome.machines_done, "units_taken": outcome.units_taken});
    std::fs::write(path.with_extension("json"), format!("{summary:#}\n"))?;
    Ok(outcome.violation)
}
