//! Finds the service of a request, its backend server, and the entry hosts for a caller.

mod chooser;
mod directory;
mod route_table;

pub use crate::{
    chooser::{Attempt, AttemptEnd, Candidate, Distance, ServerChooser},
    directory::{
        CallerLocation, Directory, DirectoryAddress, DirectoryAnswer, EntryHost, EntryHostState,
        SPILL_LOAD_MILLI,
    },
    route_table::RouteTable,
};
