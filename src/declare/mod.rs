//! Declarative files: what operators want to run, and on which VMs.
//!
//! A file is one document. `check::compile` turns the texts of all documents into a [`plan::Plan`] or into the
//! complete list of findings. Everything here is a pure function of its input.
//!
//! A text passes through four steps. `table` and `value` read TOML values with their places, `draft` reads the items
//! of one document, `resolve` joins the documents and turns names into keys, and `fit` compares what is asked for with
//! what the pools have. Each step adds its findings to one `report`.

pub mod check;
pub mod document;
pub mod home;
pub mod job;
pub mod plan;
pub mod pool;
pub mod sample;
pub mod service;
pub mod size;
pub mod spread;
pub mod team;
pub mod unit;
pub mod zone;

pub(crate) mod report;
pub(crate) mod table;
pub(crate) mod value;

mod capacity;
mod draft;
mod fit;
mod names;
mod resolve;
mod similarity;
