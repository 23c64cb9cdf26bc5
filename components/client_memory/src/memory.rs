//! The memory that a process has for its clients.

use ids::{ByteSize, ClientId, FastMap, FastSet, Millis, Timestamp};

use crate::{
    client::{Client, Eviction, Stage},
    limits::{CONNECTION_BYTES, Limits},
};

/// Part of the connections that the clients of one listener leave to the other listeners.
const OTHER_LISTENERS_SHARE: usize = 8;

/// Part of the connections that may be open beyond the limit while clients that gave way are closed.
const LEAVING_SHARE: usize = 16;

/// Bounds of the time after which a refused client should come back, in milliseconds.
const MIN_RETRY_AFTER: Millis = Millis(250);
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// Which listener has accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Listener {
    /// Requests of callers, or of operators and backend servers.
    Requests,
    /// Readiness checks.
    Readiness,
    /// Directory of entry addresses.
    Directory,
    /// Metrics.
    Metrics,
}

/// Why something is not held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum RefusalCause {
    /// there are too many connections
    Connections,
    /// there is no memory for the request now
    Memory,
}

impl RefusalCause {
    /// Returns the value of the label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
        }
    }
}

/// {cause}
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct Refusal {
    /// The reason.
    pub cause: RefusalCause,
    /// Time after which there may be room.
    pub retry_after: Millis,
}

/// What a process holds for its clients.
#[derive(Debug)]
pub struct ClientMemory {
    limits: Limits,
    clients: FastMap<ClientId, Client>,
    next: ClientId,
    total: u64,
    large: u64,
    evicted: Vec<(ClientId, Eviction)>,
    /// Clients that have given way and whose connections are not closed yet.
    leaving: FastSet<ClientId>,
}

impl ClientMemory {
    /// Creates the memory of a process without clients.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            clients: FastMap::default(),
            next: ClientId(0),
            total: 0,
            large: 0,
            evicted: Vec::new(),
            leaving: FastSet::default(),
        }
    }

    /// Accepts a connection.
    pub fn open(&mut self, now: Timestamp, listener: Listener) -> Result<ClientId, Refusal> {
        let of_listener = self.clients.values().filter(|it| it.listener == listener).count();
        let limit = self.limits.connections;
        if self.clients.len() + self.leaving.len() >= limit + limit / LEAVING_SHARE {
            return Err(self.refusal(now, RefusalCause::Connections));
        }
        let listener_limit = limit - limit / OTHER_LISTENERS_SHARE;
        // A listener that uses its whole part takes from its own clients only.
        let victims = match of_listener >= listener_limit {
            true => Some(Victims { listener: Some(listener), only_large: false }),
            false if self.clients.len() >= limit => {
                Some(Victims { listener: None, only_large: false })
            }
            false => None,
        };
        if let Some(victims) = victims
            && !self.evict(now, None, victims, 1)
        {
            return Err(self.refusal(now, RefusalCause::Connections));
        }
        self.make_room(now, None, CONNECTION_BYTES, 0)?;
        self.next = self.next.next();
        self.clients.insert(self.next, Client::new(now, listener));
        self.total += CONNECTION_BYTES;
        Ok(self.next)
    }

    /// Records that a client's connection is busy with something that needs no more room than before.
    pub fn enter(&mut self, now: Timestamp, id: ClientId, stage: Stage) {
        self.update(id, |it| it.enter(now, stage));
    }

    /// Records that a client's connection is busy with something else, while which nothing may be read
    /// from its socket; an error means that there is no room for what the socket may hold.
    pub fn try_enter(&mut self, now: Timestamp, id: ClientId, stage: Stage) -> Result<(), Refusal> {
        self.grow(now, id, |it| it.enter(now, stage))
    }

    /// Begins to read a body; its whole length is held from now on if it is announced.
    pub fn begin_body(
        &mut self,
        now: Timestamp,
        id: ClientId,
        announced: Option<ByteSize>,
        deadline: Option<Timestamp>,
    ) -> Result<(), Refusal> {
        if let Some(announced) = announced {
            self.hold(now, id, announced)?;
        }
        self.update(id, |it| it.begin_body(announced, deadline));
        Ok(())
    }

    /// Records bytes that have arrived, and holds those of a request head.
    pub fn received(
        &mut self,
        now: Timestamp,
        id: ClientId,
        size: ByteSize,
    ) -> Result<(), Refusal> {
        let Some(client) = self.clients.get(&id) else { return Err(self.memory_refusal(now)) };
        if client.stage() == Stage::ReadsBody {
            self.update(id, |it| it.moved(now, size.0));
            return Ok(());
        }
        let is_first = client.stage() == Stage::Idle;
        self.grow(now, id, |it| {
            it.add_head(size.0);
            if is_first {
                it.enter(now, Stage::ReadsHead);
            }
        })
    }

    /// Records bytes that were written.
    pub fn written(&mut self, now: Timestamp, id: ClientId, size: ByteSize) {
        self.update(id, |it| it.moved(now, size.0));
    }

    /// Holds a part of a body or of a response until it is released.
    pub fn hold(&mut self, now: Timestamp, id: ClientId, size: ByteSize) -> Result<(), Refusal> {
        self.grow(now, id, |it| it.add_held(size.0))
    }

    /// Releases what was held; the connection may have been closed meanwhile.
    pub fn release(&mut self, id: ClientId, size: ByteSize) {
        self.update(id, |it| it.release(size.0));
    }

    /// Releases all that was held for a connection that is closed.
    pub fn close(&mut self, id: ClientId) {
        self.leaving.remove(&id);
        self.remove(id);
    }

    /// Returns the clients that have given way since the last call; nothing is held for them any more.
    pub fn take_evicted(&mut self) -> Vec<(ClientId, Eviction)> {
        std::mem::take(&mut self.evicted)
    }

    /// Returns the time after which there may be room.
    pub fn retry_after(&self, now: Timestamp) -> Millis {
        let next = self.clients.values().filter_map(Client::evictable_at).min();
        let wait = next.map_or(MIN_RETRY_AFTER, |it| it.since(now));
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns all that is held.
    pub fn total(&self) -> ByteSize {
        ByteSize(self.total)
    }

    /// Returns what is held for large requests and responses.
    pub fn large(&self) -> ByteSize {
        ByteSize(self.large)
    }

    /// Returns the number of open connections, without those of clients that have given way.
    pub fn connections(&self) -> usize {
        self.clients.len()
    }

    /// Returns the number of clients that have given way and whose connections are not closed yet.
    pub fn leaving(&self) -> usize {
        self.leaving.len()
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    fn memory_refusal(&self, now: Timestamp) -> Refusal {
        self.refusal(now, RefusalCause::Memory)
    }

    fn refusal(&self, now: Timestamp, cause: RefusalCause) -> Refusal {
        Refusal { cause, retry_after: self.retry_after(now) }
    }

    /// Changes what is held for a client if there is room for it.
    fn grow(
        &mut self,
        now: Timestamp,
        id: ClientId,
        change: impl FnOnce(&mut Client),
    ) -> Result<(), Refusal> {
        let Some(client) = self.clients.get(&id) else { return Err(self.memory_refusal(now)) };
        let mut grown = client.clone();
        change(&mut grown);
        let total = grown.total().saturating_sub(client.total());
        let large = grown.large().saturating_sub(client.large());
        self.make_room(now, Some(id), total, large)?;
        self.update(id, |it| *it = grown);
        Ok(())
    }

    /// Makes room for `total` bytes, of which `large` are for a large request or response.
    fn make_room(
        &mut self,
        now: Timestamp,
        requester: Option<ClientId>,
        total: u64,
        large: u64,
    ) -> Result<(), Refusal> {
        let missing_large = (self.large + large).saturating_sub(self.limits.large.0);
        let large_victims = Victims { listener: None, only_large: true };
        if missing_large > 0 && !self.evict(now, requester, large_victims, missing_large) {
            return Err(self.memory_refusal(now));
        }
        let missing = (self.total + total).saturating_sub(self.limits.total.0);
        let victims = Victims { listener: None, only_large: false };
        if missing > 0 && !self.evict(now, requester, victims, missing) {
            return Err(self.memory_refusal(now));
        }
        Ok(())
    }

    /// Lets clients give way until `needed` bytes are free; none does if all together don't suffice.
    fn evict(
        &mut self,
        now: Timestamp,
        requester: Option<ClientId>,
        victims: Victims,
        needed: u64,
    ) -> bool {
        let mut candidates: Vec<_> = self
            .clients
            .iter()
            .filter(|(id, it)| Some(**id) != requester && victims.include(it))
            .filter_map(|(id, it)| {
                let eviction = it.eviction(now)?;
                Some((eviction == Eviction::Idle, it.progressed(), *id, eviction, victims.gain(it)))
            })
            .collect();
        // Idle clients last, otherwise those first that have made no progress for longest.
        candidates
            .sort_unstable_by_key(|(is_idle, progressed, id, ..)| (*is_idle, *progressed, *id));
        let mut gained = 0;
        let enough = candidates.iter().position(|(.., gain)| {
            gained += gain;
            gained >= needed
        });
        let Some(last) = enough else { return false };
        for (_, _, id, eviction, _) in candidates.into_iter().take(last + 1) {
            self.remove(id);
            self.leaving.insert(id);
            self.evicted.push((id, eviction));
        }
        true
    }

    fn remove(&mut self, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            self.total -= client.total();
            self.large -= client.large();
        }
    }

    fn update(&mut self, id: ClientId, change: impl FnOnce(&mut Client)) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (total, large) = (client.total(), client.large());
        change(client);
        self.total = self.total - total + client.total();
        self.large = self.large - large + client.large();
    }
}

/// Which clients may give way.
#[derive(Clone, Copy)]
struct Victims {
    /// Only those of this listener.
    listener: Option<Listener>,
    /// Only those whose requests or responses are large.
    only_large: bool,
}

impl Victims {
    fn include(self, client: &Client) -> bool {
        self.listener.is_none_or(|it| client.listener == it)
            && (!self.only_large || client.large() > 0)
    }

    fn gain(self, client: &Client) -> u64 {
        if self.only_large { client.large() } else { client.total() }
    }
}
