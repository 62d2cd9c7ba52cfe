//! Tests of batch jobs.

mod commit_order;
mod job_book;
mod job_faults;
mod support;
