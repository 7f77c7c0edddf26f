//! Campaigns of scripts of faults over whole members, and the page that shows one of them.

use std::fmt::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use indicatif::{ProgressBar, ProgressStyle};
use serde_json::json;
use violetwind_storm::fleet::Planted;
use violetwind_storm::script::{Played, Script, Shape};

/// Plays that a shrink may take.
const SHRINK: usize = 300;
/// Findings that are shrunk and kept; the others are counted.
const KEPT: usize = 8;
/// A time line is looked at so often, in milliseconds of simulated time.
pub const SAMPLE: u64 = 50;

/// A script that broke a promise, as drawn and cut.
#[derive(Clone, Debug)]
pub struct Finding {
    pub wrong: String,
    pub drawn: Script,
    pub least: Script,
    pub plays: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Campaign {
    pub seeds: u64,
    pub millis: u64,
    pub faults: usize,
    pub leads: usize,
    pub gained: usize,
    pub frames: u64,
    pub done: usize,
    pub taken: usize,
    pub broken: usize,
    pub findings: Vec<Finding>,
}

/// Plays so many seeds from the first on; the outcome does not depend on the number of threads.
pub fn campaign(
    first: u64,
    seeds: u64,
    shape: Shape,
    planted: Planted,
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
                    let script = Script::draw(first + at, shape);
                    let played = script.play(planted, 0);
                    let mut sum = sum.lock().expect("no panic");
                    sum.0.add(&script, &played);
                    if let Some(wrong) = played.wrong {
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
    sum.broken = found.len();
    for (wrong, drawn) in found.into_iter().take(KEPT) {
        let (least, plays) = drawn.shrink(planted, SHRINK);
        sum.findings.push(Finding {
            wrong,
            drawn,
            least,
            plays,
        });
    }
    sum
}

impl Campaign {
    fn add(&mut self, script: &Script, played: &Played) {
        self.seeds += 1;
        self.millis += played.millis;
        self.faults += script.faults.len();
        self.leads += played.leads;
        self.gained += played.gained;
        self.frames += played.frames;
        self.done += played.done;
        self.taken += played.taken;
    }

    pub fn to_json(&self) -> serde_json::Value {
        let findings = self.findings.iter().map(|finding| {
            json!({"wrong": finding.wrong, "seed": finding.drawn.seed, "plays": finding.plays,
                   "faults": [finding.drawn.faults.len(), finding.least.faults.len()],
                   "script": finding.least.to_toml()})
        });
        json!({"seeds": self.seeds, "simulated_seconds": self.millis / 1000, "faults": self.faults,
               "leads": self.leads, "duties_gained": self.gained, "frames": self.frames,
               "machines_done": self.done, "units_taken": self.taken, "broken": self.broken,
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
pub fn page(script: &Script, played: &Played) -> String {
    let (width, row, left) = (1100.0, 16.0, 70.0);
    let rows = script.voters + script.others;
    let all = played.line.last().map_or(1, |moment| moment.at).max(1) as f64;
    let x = |at: u64| left + at as f64 / all * (width - left);
    let mut svg = String::new();
    let height = row * rows as f64 + 120.0;
    let _ = write!(
        svg,
        "<svg width=\"{width}\" height=\"{height}\" font-size=\"11\" font-family=\"sans-serif\">"
    );
    for (n, moment) in played.line.iter().enumerate() {
        let until = played
            .line
            .get(n + 1)
            .map_or(moment.at + SAMPLE, |next| next.at);
        for (at, (_, state)) in moment.members.iter().enumerate() {
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
        .line
        .first()
        .iter()
        .flat_map(|m| m.members.iter().enumerate())
    {
        let y = row * at as f64 + 11.0;
        let _ = write!(svg, "<text x=\"0\" y=\"{y}\">{}</text>", escaped(name));
    }
    let base = row * rows as f64 + 110.0;
    for (what, colour, of) in [
        ("units in use", "#145aa0", 0),
        ("machines out", "#b03030", 1),
    ] {
        let value = |moment: &violetwind_storm::script::Moment| match of {
            0 => moment.in_use as f64,
            _ => moment.out as f64,
        };
        let most = played.line.iter().map(value).fold(1.0, f64::max);
        let points = played.line.iter().map(|moment| {
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
    let told: Vec<String> = played.told.iter().map(|line| escaped(line)).collect();
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>storm, seed {}</title>\
         <h1>Seed {}: {}</h1><p>{} ms simulated, {} faults. {}</p>{svg}\
         <h2>Script</h2><pre>{}</pre><h2>Told</h2><pre>{}</pre>",
        script.seed,
        script.seed,
        escaped(played.wrong.as_deref().unwrap_or("no promise broken")),
        played.millis,
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
pub fn report(script: &Script, planted: Planted, path: &Path) -> std::io::Result<Option<String>> {
    let played = script.play(planted, SAMPLE);
    std::fs::write(path, page(script, &played))?;
    let beside = json!({"seed": script.seed, "wrong": played.wrong, "simulated_ms": played.millis,
        "leads": played.leads, "duties_gained": played.gained, "frames": played.frames,
        "machines_done": played.done, "units_taken": played.taken});
    std::fs::write(path.with_extension("json"), format!("{beside:#}\n"))?;
    Ok(played.wrong)
}
