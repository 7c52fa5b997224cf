//! Encodings of messages: conversion functions only.

pub mod generated;
pub mod peer;
