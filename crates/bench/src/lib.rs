//! Load driver for the four measures.
