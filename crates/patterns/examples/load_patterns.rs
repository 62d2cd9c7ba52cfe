//! Prints a Markdown table that compares the shared policy with the baselines on each load pattern.

use plantainmill_patterns::{LoadPattern, PolicyKind, run_pattern};

/// Seed of all runs in the table.
const SEED: u64 = 7;

fn main() {
    println!(
        "| pattern | policy | online in time | others in a surge | late | lost | batch in time | idle while waiting, slot s | interrupted |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for pattern in LoadPattern::all() {
        for kind in PolicyKind::ALL {
            let report = run_pattern(&pattern, kind, SEED);
            let others = match report.others {
                0 => "-".to_owned(),
                _ => format!("{:.3}", report.others_share()),
            };
            println!(
                "| {} | {} | {:.3} | {others} | {} | {} | {:.3} | {} | {} |",
                pattern.name,
                kind.name(),
                report.online_share(),
                report.late,
                report.lost,
                report.batch_share(),
                report.idle_while_waiting / 1_000,
                report.interrupted,
            );
        }
    }
}
