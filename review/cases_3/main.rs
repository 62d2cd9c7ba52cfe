//! Cases of the third review. The first argument is the number of the case, the second one the folder of its record.

mod endless_events;
mod grey_replica;
mod harness;
mod job_burst;
mod moved_route;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().unwrap();
    let code = match case.as_str() {
        "job-burst" => job_burst::run(&root, &folder, has_trouble),
        "grey-replica" => grey_replica::run(&root, &folder, has_trouble),
        "moved-route" => moved_route::run(&root, &folder, has_trouble),
        "endless-events" => endless_events::run(&root, &folder, has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
