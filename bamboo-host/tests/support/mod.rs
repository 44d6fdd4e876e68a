//! Small fakes at the interfaces of host cores, in virtual time: log, network, engines, callers.
#![allow(dead_code)]

pub mod check;
pub mod clients;
pub mod fake_log;
pub mod matrix;
pub mod trace;
pub mod world;
