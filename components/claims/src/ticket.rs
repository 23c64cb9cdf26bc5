//! The ticket that a directory hands out as the prefix of an idempotency key.

use std::{fmt, str::FromStr};

use ids::{DataCentreName, Epoch, IdempotencyKey, WallTime};
use schema::claims::KeyTicket;

/// Starts every ticket; a key that starts otherwise has none.
const TICKET_TAG: &str = "dp1";

/// Separates the parts of a ticket and ends it; no name holds this character.
const SEPARATOR: char = '~';

/// Says where a key's claims are held and when the key was made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The data centre whose hosts hold the key's claim.
    pub home: DataCentreName,
    /// The epoch of the claim map that the directory held.
    pub epoch: Epoch,
    /// When the directory handed the ticket out.
    pub minted: WallTime,
}

/// An idempotency key starts like a ticket but is none.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum TicketError {
    /// ticket has fewer than four parts
    MissingPart,
    /// ticket names no data centre
    BadHome,
    /// ticket's epoch is not a hexadecimal number
    BadEpoch,
    /// ticket's mint time is not a hexadecimal number
    BadMintTime,
}

impl std::error::Error for TicketError {}

impl Ticket {
    /// Reads the ticket that `key` starts with, if it starts with one.
    pub fn of_key(key: &IdempotencyKey) -> Result<Option<Self>, TicketError> {
        let Some(rest) = key.as_str().strip_prefix(TICKET_TAG) else { return Ok(None) };
        if !rest.starts_with(SEPARATOR) {
            return Ok(None);
        }
        key.as_str().parse().map(Some)
    }

    pub(crate) fn age(&self) -> KeyTicket {
        KeyTicket { epoch: self.epoch, minted: self.minted }
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { home, epoch, minted } = self;
        write!(f, "{TICKET_TAG}{SEPARATOR}{home}{SEPARATOR}{:x}{SEPARATOR}", epoch.0)?;
        write!(f, "{:x}{SEPARATOR}", minted.0)
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    /// Reads a ticket; what follows its last separator is the caller's own.
    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut parts = text.splitn(5, SEPARATOR);
        let mut part = || parts.next().ok_or(TicketError::MissingPart);
        if part()? != TICKET_TAG {
            return Err(TicketError::MissingPart);
        }
        let home = part()?.parse().map_err(|_| TicketError::BadHome)?;
        let epoch = u64::from_str_radix(part()?, 16).map_err(|_| TicketError::BadEpoch)?;
        let minted = u64::from_str_radix(part()?, 16).map_err(|_| TicketError::BadMintTime)?;
        part()?;
        Ok(Self { home, epoch: Epoch(epoch), minted: WallTime(minted) })
    }
}
