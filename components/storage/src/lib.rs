//! The durable storage of a control host: its log, its snapshot and its identity.

mod error;
mod files;
mod folder;
mod frame;
mod log_state;
mod segment;

pub use crate::{
    error::StorageError,
    folder::{Opened, Storage},
};
