//! Self-contained HTML page of a report, with plots as inline SVG.

use crate::report::{BenchReport, PhaseReport};
use std::fmt::Write as _;

/// Width of the longest bar, in pixels.
const BAR_WIDTH: f64 = 420.0;
/// Height of a row of bars, in pixels.
const ROW_HEIGHT: usize = 22;

/// One bar of a plot.
struct PlotBar {
    label: String,
    value: f64,
}

/// The page.
pub(crate) fn page(report: &BenchReport) -> String {
    let mut body = String::new();
    let _ = write!(body, "<h1>{}</h1><table>", escape(&report.scenario));
    for (name, value) in &report.measures {
        let _ = write!(body, "<tr><td>{name}</td><td>{value:.4}</td></tr>");
    }
    body.push_str("</table>");
    write_phase(&mut body, "Online only", &report.online_only);
    if let Some(phase) = &report.with_batch {
        write_phase(&mut body, "With batch", phase);
    }
    format!(
        "<!doctype html><meta charset=\"utf-8\"><title>plantainmill bench</title>\
         <style>body{{font:14px sans-serif;margin:2em}}td{{padding:2px 12px}}</style>{body}\n"
    )
}

fn write_phase(body: &mut String, name: &str, phase: &PhaseReport) {
    let _ = write!(body, "<h2>{name}</h2>");
    let first = phase.first_token;
    let times = [
        ("first token p50 ms", first.p50_ms),
        ("first token p95 ms", first.p95_ms),
        ("first token p99 ms", first.p99_ms),
        ("gap p95 ms", phase.gap.p95_ms),
    ];
    let bars = times.map(|(label, value)| PlotBar {
        label: label.to_owned(),
        value,
    });
    write_plot(body, &bars);
    let shares: Vec<PlotBar> = phase
        .organisations
        .iter()
        .map(|(organisation, each)| PlotBar {
            label: format!("{organisation} share"),
            value: each.share,
        })
        .collect();
    write_plot(body, &shares);
}

fn write_plot(body: &mut String, bars: &[PlotBar]) {
    let largest = bars
        .iter()
        .map(|bar| bar.value)
        .fold(f64::MIN_POSITIVE, f64::max);
    let height = bars.len() * ROW_HEIGHT;
    let _ = write!(body, "<svg width=\"760\" height=\"{height}\">");
    for (row, bar) in bars.iter().enumerate() {
        let top = row * ROW_HEIGHT;
        let width = bar.value / largest * BAR_WIDTH;
        let label = escape(&bar.label);
        let _ = write!(
            body,
            "<text x=\"0\" y=\"{}\">{label}</text>\
             <rect x=\"220\" y=\"{}\" width=\"{width:.1}\" height=\"14\" fill=\"#4a7\"/>\
             <text x=\"{:.1}\" y=\"{}\">{:.3}</text>",
            top + 15,
            top + 4,
            226.0 + width,
            top + 15,
            bar.value
        );
    }
    body.push_str("</svg>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
