//! The built-in fleet configuration of a development fleet.

use crate::targets::DevTarget;
use std::fmt::Write as _;

/// Services and organisations that every development fleet has. `limited` is there to be refused.
const BASE: &str = r#"
[services.assistant]
kind = "model"

[services.charges]
kind = "plain"
repeatable = false

[services.hours]
kind = "plain"
open = true

[organisations.kandy]
rate = 200.0
burst = 400

[organisations.gita]
rate = 200.0
burst = 400

[organisations.limited]
rate = 0.2
burst = 3
"#;

/// The fleet file with the targets' addresses, followed by `extra`.
pub(crate) fn fleet_file(targets: &[DevTarget], extra: Option<&str>) -> String {
    let mut text = BASE.to_owned();
    for target in targets {
        let _ = write!(
            text,
            "\n[targets.{}]\nservice = \"{}\"\naddress = \"{}\"\ndomain = \"{}\"\nregion = \"{}\"\nconcurrency = {}\nchecks_fencing = true\n",
            target.id,
            target.service,
            target.address,
            target.domain,
            target.region,
            target.concurrency
        );
    }
    text.push_str(extra.unwrap_or_default());
    text
}
