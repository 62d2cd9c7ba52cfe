//! HTTP interface for operators.
