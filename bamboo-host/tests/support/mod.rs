//! A deterministic simulation of host cores with fakes of log, network, engines and callers, and checks of its runs.
#![allow(dead_code)]

pub mod check;
pub mod clients;
pub mod fake_log;
pub mod matrix;
pub mod trace;
pub mod world;
