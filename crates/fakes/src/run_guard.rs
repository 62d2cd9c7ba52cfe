//! Requests that a target runs.

use std::cell::RefCell;

/// Lists a request as running until it is dropped.
pub(crate) struct RunGuard<'a> {
    running: &'a RefCell<Vec<String>>,
    id: String,
}

impl<'a> RunGuard<'a> {
    pub fn start(running: &'a RefCell<Vec<String>>, id: &str) -> RunGuard<'a> {
        running.borrow_mut().push(id.to_owned());
        let id = id.to_owned();
        RunGuard { running, id }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut running = self.running.borrow_mut();
        if let Some(position) = running.iter().position(|id| *id == self.id) {
            running.swap_remove(position);
        }
    }
}
