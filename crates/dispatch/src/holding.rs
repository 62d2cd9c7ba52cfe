//! The tickets that this VM holds for one target.

use crate::message::TicketId;
use plantainmill_core::Uptime;
use std::time::Duration;

/// Time without use after which a standing ticket is released.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct HeldTicket {
    id: TicketId,
    expires: Uptime,
    last_used: Uptime,
    running: bool,
    keep: bool,
}

/// What happens to the ticket of a call that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketReturn {
    /// This VM keeps it as a standing ticket.
    Kept,
    /// It has to be released to the owner.
    Release,
}

/// The tickets that this VM holds for one target. A ticket belongs to a running call, or it is a standing ticket: one
/// that the owner lets this VM keep for its next online requests.
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

    /// Whether a standing ticket is available for a call at `now`.
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
            last_used: now,
            running: true,
            keep,
        });
    }

    /// Assigns a standing ticket to a call that starts now.
    pub fn take_standing(&mut self, now: Uptime) -> Option<TicketId> {
        let mut tickets = self.tickets.iter_mut();
        let ticket =
            tickets.find(|ticket| !ticket.running && ticket.keep && now < ticket.expires)?;
        ticket.running = true;
        ticket.last_used = now;
        Some(ticket.id)
    }

    /// Ends the call of a ticket. Unknown tickets have to be released.
    pub fn finish(&mut self, id: TicketId, now: Uptime) -> TicketReturn {
        let Some(index) = self.tickets.iter().position(|ticket| ticket.id == id) else {
            return TicketReturn::Release;
        };
        let ticket = &mut self.tickets[index];
        if ticket.keep && now < ticket.expires {
            ticket.running = false;
            ticket.last_used = now;
            return TicketReturn::Kept;
        }
        self.tickets.swap_remove(index);
        TicketReturn::Release
    }

    /// Stops keeping tickets, and removes and returns the standing ones.
    pub fn recall(&mut self) -> Vec<TicketId> {
        for ticket in &mut self.tickets {
            ticket.keep = false;
        }
        self.drain_where(|ticket| !ticket.running)
    }

    /// Drops the expired standing tickets, and removes and returns those that were idle for too long.
    pub fn expire(&mut self, now: Uptime) -> Vec<TicketId> {
        self.tickets
            .retain(|ticket| ticket.running || now < ticket.expires);
        self.drain_where(|ticket| !ticket.running && now >= ticket.last_used + IDLE_TIMEOUT)
    }

    /// Drops standing tickets that the owner does not know. Tickets of running calls stay, but are not kept afterwards.
    pub fn drop_lapsed(&mut self, lapsed: &[TicketId]) {
        self.tickets
            .retain(|ticket| ticket.running || !lapsed.contains(&ticket.id));
        for ticket in &mut self.tickets {
            ticket.keep &= !lapsed.contains(&ticket.id);
        }
    }

    /// Ids of the tickets of running calls if `running` is true, else of the standing tickets.
    #[must_use]
    pub fn ids(&self, running: bool) -> Vec<TicketId> {
        let tickets = self.tickets.iter();
        let tickets = tickets.filter(|ticket| ticket.running == running);
        tickets.map(|ticket| ticket.id).collect()
    }

    /// Extends all tickets to at least `expires`, after the owner renewed them.
    pub fn extend(&mut self, expires: Uptime) {
        for ticket in &mut self.tickets {
            ticket.expires = ticket.expires.max(expires);
        }
    }

    /// Drops the standing tickets of a previous owner. Running calls keep their tickets until they end.
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
