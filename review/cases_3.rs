//! Cases of the third review. The first argument is the name of the case, the second one the folder of its record.

#[path = "endless_events_3.rs"]
mod endless_events;
#[path = "grey_replica_3.rs"]
mod grey_replica;
#[path = "harness_3.rs"]
mod harness;
#[path = "job_burst_3.rs"]
mod job_burst;
#[path = "moved_route_3.rs"]
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
