//! Declarative configuration: parsing and checks of the services, jobs and VM pools that operators declare.
//!
//! Each file is one document. `check::compile` compiles the texts of all documents into a [`plan::Plan`], or returns
//! the complete list of findings. All functions in this module are pure.
//!
//! A text passes through four stages. `table` and `value` read TOML values with their locations, `draft` reads the
//! items of one document, `resolve` merges the documents and resolves names to keys, and `fit` compares the demand of
//! services and jobs with the capacity of the pools. Each stage adds its findings to one `report`.

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
