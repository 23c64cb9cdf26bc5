//! Tickets, which the directory issues as prefixes of idempotency keys.

use std::{fmt, str::FromStr};

use ids::{DataCentreName, Epoch, IdempotencyKey, WallTime};
use schema::claims::KeyTicket;

/// The first part of every ticket; a key that starts with anything else has no ticket.
const TICKET_TAG: &str = "dp1";

/// Ends each part of a ticket; data centre names can't contain it.
const SEPARATOR: char = '~';

/// The prefix of an idempotency key that tells where its claim is held and when it was issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The data centre whose hosts hold the key's claim.
    pub home: DataCentreName,
    /// The epoch of the directory's claim map when it issued the ticket.
    pub epoch: Epoch,
    /// When the directory issued the ticket.
    pub minted: WallTime,
}

/// Why an idempotency key that starts with the ticket tag holds no valid ticket.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum TicketError {
    /// ticket has fewer than four parts
    MissingPart,
    /// ticket's data centre name is invalid
    BadHome,
    /// ticket's epoch is not a hexadecimal number
    BadEpoch,
    /// ticket's mint time is not a hexadecimal number
    BadMintTime,
}

impl std::error::Error for TicketError {}

impl Ticket {
    /// Parses the ticket at the start of `key`; `None` if the key has no ticket tag.
    pub fn parse_prefix(key: &IdempotencyKey) -> Result<Option<Self>, TicketError> {
        let Some(rest) = key.as_str().strip_prefix(TICKET_TAG) else { return Ok(None) };
        if !rest.starts_with(SEPARATOR) {
            return Ok(None);
        }
        key.as_str().parse().map(Some)
    }

    /// Returns the parts of the ticket that tell the key's age.
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

    /// Parses a ticket and ignores the text after its last separator, which the caller chose.
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
