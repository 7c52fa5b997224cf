//! Compiles documents into a plan, or lists everything that is wrong with them.
