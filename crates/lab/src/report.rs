//! Reports of a run: a self-contained HTML file with tables and SVG plots, and the time series as CSV.

use std::fmt::Write;

use plotters::prelude::*;

use crate::experiment::{SERVICE_METRICS, score, service_metrics};
use crate::model::Outcome;
use crate::scenario::Scenario;
use crate::stats::Estimate;

const PLOT_SIZE: (u32, u32) = (860, 260);
const COLOURS: [RGBColor; 3] = [
    RGBColor(20, 90, 160),
    RGBColor(190, 90, 20),
    RGBColor(60, 140, 60),
];

/// Outcomes of one policy, one per seed.
pub struct PolicyOutcomes<'a> {
    pub name: &'a str,
    pub outcomes: &'a [Outcome],
}

/// Returns the mean over all seeds of a series, by second.
fn mean(outcomes: &[Outcome], value: impl Fn(&Outcome, usize) -> f64, seconds: usize) -> Vec<f64> {
    let total = |second| outcomes.iter().map(|o| value(o, second)).sum::<f64>();
    let count = outcomes.len().max(1) as f64;
    (0..seconds).map(|second| total(second) / count).collect()
}

type ReportError = Box<dyn std::error::Error>;

/// Plots lines over time in seconds as SVG. With `band`, the area between the first two lines is filled.
fn plot(
    title: &str,
    lines: &[(&str, Vec<f64>)],
    band: bool,
    y_max: f64,
) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let seconds = lines.iter().map(|line| line.1.len()).max().unwrap_or(1);
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .caption(title, ("sans-serif", 16))
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..y_max)?;
        chart.configure_mesh().x_desc("s").draw()?;
        let points = |line: &[f64]| -> Vec<(f64, f64)> {
            let points = line.iter().enumerate();
            points.map(|(x, y)| (x as f64 + 0.5, *y)).collect()
        };
        if band && lines.len() >= 2 {
            let mut outline = points(&lines[0].1);
            outline.extend(points(&lines[1].1).into_iter().rev());
            chart.draw_series(std::iter::once(Polygon::new(outline, COLOURS[0].mix(0.2))))?;
        }
        for (n, (name, line)) in lines.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(points(line), &colour))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Renders the HTML page. The first of `policies` is the policy under test, the second and third are random placement
/// and the upper bound.
///
/// # Errors
/// A plot can't be drawn.
pub fn render_html(
    scenario: &Scenario,
    policies: &[PolicyOutcomes<'_>],
) -> Result<String, ReportError> {
    let seconds = scenario.seconds as usize;
    let outcomes = policies[0].outcomes;
    let mut page = String::new();
    write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font:15px sans-serif;max-width:880px;margin:2em auto}}\
         table{{border-collapse:collapse}}td,th{{padding:.2em .8em;border:1px solid #ccc;text-align:right}}\
         </style><h1>{name}</h1><p>{proxies} proxies, {servers} servers, {seconds} s, {seeds} seeds.</p>",
        name = escape_html(&scenario.name),
        proxies = scenario.proxies,
        servers = scenario.servers,
        seeds = outcomes.len(),
    )?;
    write!(page, "<table><tr><th>service</th>")?;
    for policy in policies {
        write!(page, "<th>{}</th>", escape_html(policy.name))?;
    }
    write!(page, "<th>score</th></tr>")?;
    for (n, name) in SERVICE_METRICS.iter().enumerate() {
        let column = |policy: &PolicyOutcomes<'_>| -> Estimate {
            let column: Vec<f64> = policy
                .outcomes
                .iter()
                .map(|o| service_metrics(o)[n])
                .collect();
            Estimate::from_samples(&column)
        };
        write!(page, "<tr><td>{name}</td>")?;
        for policy in policies {
            let estimate = column(policy);
            write!(page, "<td>{:.4} ± {:.4}</td>", estimate.mean, estimate.half)?;
        }
        let mean_service = |index: usize| {
            policies
                .get(index)
                .map_or(0.0, |policy| column(policy).mean)
        };
        write!(
            page,
            "<td>{:.3}</td></tr>",
            score(mean_service(0), mean_service(1), mean_service(2))
        )?;
    }
    write!(page, "</table>")?;
    let value_at = |series: &[f64], second: usize| series.get(second).copied().unwrap_or(0.0);
    let services: Vec<(&str, Vec<f64>)> = policies
        .iter()
        .map(|policy| {
            (
                policy.name,
                mean(policy.outcomes, |o, at| value_at(&o.series, at), seconds),
            )
        })
        .collect();
    page += &plot("service", &services, false, 1.05)?;
    let band = |index: usize| {
        let value = move |o: &Outcome, at: usize| o.band.get(at).map_or(0.0, |band| band[index]);
        mean(outcomes, value, seconds)
    };
    let loads = [("lowest", band(0)), ("highest", band(2)), ("mean", band(1))];
    let load_max = loads[1].1.iter().copied().fold(1.2, f64::max).min(3.0);
    page += &plot(
        "load of servers over what they can do",
        &loads,
        true,
        load_max,
    )?;
    let moves = mean(outcomes, |o, at| value_at(&o.moves_by_second, at), seconds);
    let refused = mean(
        outcomes,
        |o, at| value_at(&o.refused_by_second, at),
        seconds,
    );
    let highest = moves.iter().chain(&refused).copied().fold(1.0, f64::max);
    let counts = [("moves", moves), ("refusals", refused)];
    page += &plot("moves and refusals a second", &counts, false, highest * 1.1)?;
    write!(
        page,
        "<h2>Time from a request to its connection</h2><table><tr><th>quantile</th>"
    )?;
    for policy in policies {
        write!(page, "<th>{} (ms)</th>", escape_html(policy.name))?;
    }
    for (n, quantile) in ["50%", "99%", "99.9%"].iter().enumerate() {
        write!(page, "</tr><tr><td>{quantile}</td>")?;
        for policy in policies {
            let sum: f64 = policy.outcomes.iter().map(|o| o.setup_ms[n]).sum();
            write!(
                page,
                "<td>{:.1}</td>",
                sum / policy.outcomes.len().max(1) as f64
            )?;
        }
    }
    write!(page, "</tr></table><h2>Broken rules</h2><ul>")?;
    let breaches = outcomes.iter().flat_map(|outcome| &outcome.breaches);
    for breach in breaches.clone().take(50) {
        write!(
            page,
            "<li>{:.2} s, {:?}: {}</li>",
            breach.at,
            breach.rule,
            escape_html(&breach.what)
        )?;
    }
    if breaches.count() == 0 {
        write!(page, "<li>none</li>")?;
    }
    write!(page, "</ul></html>")?;
    Ok(page)
}

/// Renders the time series as CSV: one row per second, each value the mean over all seeds.
pub fn render_csv(scenario: &Scenario, outcomes: &[Outcome]) -> String {
    let seconds = scenario.seconds as usize;
    let mut out = String::from("second,service,load_low,load_mean,load_high,moves,refused\n");
    let value_at = |series: &[f64], n: usize| series.get(n).copied().unwrap_or(0.0);
    let columns = [
        mean(outcomes, |o, n| value_at(&o.series, n), seconds),
        mean(
            outcomes,
            |o, n| o.band.get(n).map_or(0.0, |b| b[0]),
            seconds,
        ),
        mean(
            outcomes,
            |o, n| o.band.get(n).map_or(0.0, |b| b[1]),
            seconds,
        ),
        mean(
            outcomes,
            |o, n| o.band.get(n).map_or(0.0, |b| b[2]),
            seconds,
        ),
        mean(outcomes, |o, n| value_at(&o.moves_by_second, n), seconds),
        mean(outcomes, |o, n| value_at(&o.refused_by_second, n), seconds),
    ];
    for second in 0..seconds {
        let row: Vec<String> = columns
            .iter()
            .map(|column| format!("{:.4}", column[second]))
            .collect();
        out += &format!("{second},{}\n", row.join(","));
    }
    out
}
