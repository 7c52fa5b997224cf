//! Benchmarks: how state, messages, bytes and processor time grow with each size.
//!
//! Each slope comes from the real reducer, driven in virtual time without faults, and from the real encodings.

pub mod axis;
pub mod fit;
pub mod shape;
pub mod slope;
pub mod traffic;
pub mod trial;
