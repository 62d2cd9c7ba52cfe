//! HTTP interface for callers.
