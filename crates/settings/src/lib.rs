//! Process settings in TOML, checked in full at start.
