//! What the command lines of the daisypaddle binaries share.

pub mod cli;
