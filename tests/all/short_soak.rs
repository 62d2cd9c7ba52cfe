//! Short runs of the soak: VMs as processes, with faults from fixed seeds.

use plantainmill_soak::{SoakOptions, SoakProfile, run_seed};
use rstest::rstest;
use std::path::PathBuf;
use std::time::Duration;

/// Guards against promises that hold within one process only: planned work that cuts requests, and kills, pauses and cuts
/// after which a request ran twice, an answer is not whole, or an accepted job is lost.
#[rstest]
#[case::planned_work(4)]
#[case::troubles(1)]
#[case::pauses_and_kills(41)]
fn kept_promises(#[case] seed: u64) {
    let folder = tempfile::tempdir().expect("a folder for settings and logs");
    let options = SoakOptions {
        program: PathBuf::from(env!("CARGO_BIN_EXE_plantainmill")),
        folder: folder.path().to_owned(),
        seed,
        profile: SoakProfile::of_seed(seed),
        time: Duration::from_secs(8),
    };
    let report = actix_rt::System::new()
        .block_on(run_seed(&options))
        .expect("a run");
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
    assert!(report.served > 0 && report.jobs > 0, "{report:?}");
}
