//! Code that the daisypaddle binaries share.

pub mod cli;
pub mod commands;
pub mod dev_fleet;
pub mod load;
pub mod operator;
