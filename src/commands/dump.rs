//! `plantainmill dump`: the state of one VM.

use super::client::{AdminCall, OperatorArgs};
use clap::Args;

/// Options of `dump`.
#[derive(Args, Debug)]
pub struct DumpArgs {
    #[command(flatten)]
    operator: OperatorArgs,
}

/// Fetches the state of the VM and prints it as JSON.
pub fn run(args: &DumpArgs) -> anyhow::Result<()> {
    let call = AdminCall::get("/admin/v1/state");
    let state = actix_rt::System::new().block_on(args.operator.send(call))?;
    println!("{}", serde_json::to_string_pretty(&state)?);
    Ok(())
}
