//! Encodings: conversion functions only.

pub mod admin;
