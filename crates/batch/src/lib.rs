//! Batch jobs: files, chunks, leases, commits and results.
