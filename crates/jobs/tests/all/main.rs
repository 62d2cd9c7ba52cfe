//! Tests of batch jobs.

mod answer_statuses;
mod commit_order;
mod copied_answers;
mod endless_events;
mod endless_waits;
mod foreign_bytes;
mod head_progress;
mod job_catalog;
mod job_faults;
mod job_regions;
mod missed_decisions;
mod missing_runner;
mod owed_items;
mod support;
mod unpolled_items;
