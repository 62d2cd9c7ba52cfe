//! `plantainmill codes`: the table of result codes.

use clap::Args;
use plantainmill_core::ResultCode;

/// Options of `codes`.
#[derive(Args, Clone, Copy, Debug)]
pub struct CodesArgs {
    /// Print the Markdown page `docs/result-codes.md`.
    #[arg(long)]
    markdown: bool,
}

/// Prints all result codes, one per line, or as the Markdown page.
pub fn run(args: CodesArgs) {
    if args.markdown {
        print!("{}", plantainmill_core::code::markdown_page());
        return;
    }
    for code in ResultCode::ALL {
        let entry = code.entry();
        println!(
            "{} {} {} {}",
            entry.number, entry.http_status, entry.name, entry.meaning
        );
    }
}
