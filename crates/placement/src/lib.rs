//! Wanted state of targets and fenced orders.
