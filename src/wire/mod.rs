//! Encodings of messages: conversion functions only.

pub mod call;
pub mod generated;
pub mod peer;
