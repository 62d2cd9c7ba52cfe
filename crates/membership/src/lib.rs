//! Members of the fleet, seen by probes and digests.
