//! Sends and receives snapshots in parts.

use ids::{Blob, LogIndex, Term};
use schema::consensus::{ConsensusBody, InstallReply, InstallSnapshot, Snapshot};

use crate::{
    action::Action, leadership::Progress, message::Received, replica::Replica,
    settings::SNAPSHOT_CHUNK_BYTES,
};

/// A snapshot of which only the first part has arrived.
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    term: Term,
    data: Vec<u8>,
}

/// Sends the next part of the snapshot.
pub(crate) fn send_chunk(replica: &mut Replica, progress: &mut Progress) {
    let snapshot = replica.log.snapshot();
    let data = snapshot.data.to_bytes();
    let start = usize::try_from(progress.snapshot_offset).unwrap_or(0).min(data.len());
    let end = data.len().min(start + SNAPSHOT_CHUNK_BYTES);
    let install = InstallSnapshot {
        index: snapshot.index,
        snapshot_term: snapshot.term,
        members: snapshot.members.clone(),
        offset: start as u64,
        total: data.len() as u64,
        data: data.slice(start..end).into(),
        sent_us: replica.now.0,
    };
    replica.send(progress.member.host, ConsensusBody::InstallSnapshot(install));
}

/// Notes how much of the snapshot a member holds.
pub(crate) fn note_received(replica: &Replica, progress: &mut Progress, reply: &InstallReply) {
    let snapshot = replica.log.snapshot();
    let is_complete = reply.received >= snapshot.data.as_slice().len() as u64;
    if reply.index != snapshot.index {
        progress.snapshot_offset = 0;
    } else if is_complete {
        progress.snapshot_offset = 0;
        progress.note_matched(snapshot.index, replica.now);
    } else {
        progress.snapshot_offset = reply.received;
    }
}

/// Collects the parts of a snapshot and installs it when it is whole.
pub(crate) fn handle_install(
    replica: &mut Replica,
    received: &Received,
    install: &InstallSnapshot,
) {
    let held = match install.index <= replica.commit {
        true => install.total,
        false => collect(replica, install),
    };
    if held == install.total && install.index > replica.commit {
        finish_install(replica, install);
    }
    let reply = InstallReply { index: install.index, received: held, sent_us: install.sent_us };
    replica.send(received.from.host, ConsensusBody::InstallReply(reply));
}

/// Takes a part that follows the ones held; returns the bytes held.
fn collect(replica: &mut Replica, install: &InstallSnapshot) -> u64 {
    let is_same =
        |it: &&mut IncomingSnapshot| it.index == install.index && it.term == install.snapshot_term;
    if replica.incoming.as_mut().filter(is_same).is_none() {
        let (index, term) = (install.index, install.snapshot_term);
        replica.incoming = Some(IncomingSnapshot { index, term, data: Vec::new() });
    }
    let incoming = replica.incoming.as_mut().expect("was just set");
    if incoming.data.len() as u64 == install.offset {
        incoming.data.extend_from_slice(install.data.as_slice());
    }
    incoming.data.len() as u64
}

fn finish_install(replica: &mut Replica, install: &InstallSnapshot) {
    let Some(incoming) = replica.incoming.take() else {
        return;
    };
    let data = Blob::from(incoming.data);
    let snapshot = Snapshot {
        index: install.index,
        term: install.snapshot_term,
        members: install.members.clone(),
        data: data.clone(),
    };
    let conflicts = replica.log.term_at(install.index) != Some(install.snapshot_term);
    if conflicts && replica.log.last_index() >= install.index {
        replica.truncate(install.index);
    }
    replica.log.install(snapshot.clone());
    replica.commit = install.index;
    replica.act(Action::SaveSnapshot(snapshot));
    replica.act(Action::RestoreState { index: install.index, data });
}
