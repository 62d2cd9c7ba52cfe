//! Tickets for one target that this VM holds.

use crate::message::TicketId;
use plantainmill_core::Uptime;
use std::time::Duration;

/// A standing ticket that was not used for this long is given back.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct HeldTicket {
    id: TicketId,
    expires: Uptime,
    used: Uptime,
    running: bool,
    keep: bool,
}

/// What to do with the ticket of a call that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketReturn {
    /// It stays here as a standing ticket.
    Kept,
    /// It goes back to the owner.
    Release,
}

/// The tickets.
#[derive(Clone, Debug, Default)]
pub struct TicketHolding {
    tickets: Vec<HeldTicket>,
}

impl TicketHolding {
    /// Whether no ticket is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Whether the ticket is held.
    #[must_use]
    pub fn contains(&self, id: TicketId) -> bool {
        self.tickets.iter().any(|ticket| ticket.id == id)
    }

    /// Whether a standing ticket is ready.
    #[must_use]
    pub fn has_standing(&self, now: Uptime) -> bool {
        let mut tickets = self.tickets.iter();
        tickets.any(|ticket| !ticket.running && ticket.keep && now < ticket.expires)
    }

    /// Adds a ticket for a call that starts now.
    pub fn add_running(&mut self, id: TicketId, expires: Uptime, keep: bool, now: Uptime) {
        self.tickets.push(HeldTicket {
            id,
            expires,
            used: now,
            running: true,
            keep,
        });
    }

    /// Takes a standing ticket for a call that starts now.
    pub fn take_standing(&mut self, now: Uptime) -> Option<TicketId> {
        let mut tickets = self.tickets.iter_mut();
        let ticket =
            tickets.find(|ticket| !ticket.running && ticket.keep && now < ticket.expires)?;
        ticket.running = true;
        ticket.used = now;
        Some(ticket.id)
    }

    /// Ends the call of a ticket.
    pub fn finish(&mut self, id: TicketId, now: Uptime) -> TicketReturn {
        let Some(index) = self.tickets.iter().position(|ticket| ticket.id == id) else {
            return TicketReturn::Release;
        };
        let ticket = &mut self.tickets[index];
        if ticket.keep && now < ticket.expires {
            ticket.running = false;
            ticket.used = now;
            return TicketReturn::Kept;
        }
        self.tickets.swap_remove(index);
        TicketReturn::Release
    }

    /// Stops keeping tickets, and gives the standing ones.
    pub fn recall(&mut self) -> Vec<TicketId> {
        for ticket in &mut self.tickets {
            ticket.keep = false;
        }
        self.drain_where(|ticket| !ticket.running)
    }

    /// Gives the standing tickets that were not used lately, and drops the expired ones.
    pub fn expire(&mut self, now: Uptime) -> Vec<TicketId> {
        self.tickets
            .retain(|ticket| ticket.running || now < ticket.expires);
        self.drain_where(|ticket| !ticket.running && now >= ticket.used + IDLE_LIMIT)
    }

    /// Drops standing tickets that the owner does not know.
    pub fn drop_lapsed(&mut self, lapsed: &[TicketId]) {
        self.tickets
            .retain(|ticket| ticket.running || !lapsed.contains(&ticket.id));
        for ticket in &mut self.tickets {
            ticket.keep &= !lapsed.contains(&ticket.id);
        }
    }

    /// Ids of the tickets of running calls, or of the standing tickets.
    #[must_use]
    pub fn ids(&self, running: bool) -> Vec<TicketId> {
        let tickets = self.tickets.iter();
        let tickets = tickets.filter(|ticket| ticket.running == running);
        tickets.map(|ticket| ticket.id).collect()
    }

    /// Notes that the owner renewed the tickets that were held at the time of the renewal.
    pub fn extend(&mut self, expires: Uptime) {
        for ticket in &mut self.tickets {
            ticket.expires = ticket.expires.max(expires);
        }
    }

    /// Drops all tickets of an owner that is no longer the owner. Running calls go on without ticket.
    pub fn clear_standing(&mut self) {
        self.tickets.retain(|ticket| ticket.running);
        for ticket in &mut self.tickets {
            ticket.keep = false;
        }
    }

    fn drain_where(&mut self, mut taken: impl FnMut(&HeldTicket) -> bool) -> Vec<TicketId> {
        let drained = self.tickets.extract_if(.., |ticket| taken(ticket));
        drained.map(|ticket| ticket.id).collect()
    }
}
