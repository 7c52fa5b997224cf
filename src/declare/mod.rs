//! Declarative files: what operators want to run, and on which VMs.
//!
//! A file is one document. `check::compile` turns the texts of all documents into a [`plan::Plan`] or into the
//! complete list of findings. Everything here is a pure function of its input.

pub mod check;
pub mod job;
pub mod plan;
pub mod pool;
pub mod sample;
pub mod service;
pub mod size;
pub mod team;
pub mod zone;
