//! One VM: actors, listeners and graceful stop.
