//! Decides where a request goes: its service, its backend server, and the entry hosts of callers.

mod chooser;
mod directory;
mod route_table;

pub use crate::{
    chooser::{Attempt, AttemptEnd, Candidate, Distance, ServerChooser},
    directory::{
        CallerLocation, Directory, DirectoryAddress, DirectoryAnswer, EntryHost, EntryHostState,
        SPILLOVER_LOAD_MILLI,
    },
    route_table::RouteTable,
};
