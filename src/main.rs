//! Command line of plantainmill.

fn main() {}
