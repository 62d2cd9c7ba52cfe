//! Tests of the whole path over loopback.
