//! The pool of direct connections to workers.
//!
//! Direct starts, probes and stops of cancelled tasks take a slot each; whoever finds none left
//! tries again in a later round. Invariant: never more open at once than the machine's limit on
//! files allows.

use std::cell::Cell;
use std::rc::Rc;

/// Connections to workers that may be open at once.
pub struct WorkerConnections {
    open: Rc<Cell<usize>>,
    limit: usize,
}

/// A slot for one connection to a worker, given back when dropped.
pub struct WorkerConnectionSlot(Rc<Cell<usize>>);

impl WorkerConnections {
    /// A pool of `limit` slots.
    pub fn new(limit: usize) -> WorkerConnections {
        WorkerConnections {
            open: Rc::default(),
            limit,
        }
    }

    /// Takes a slot; `None` while all are taken.
    pub fn acquire(&self) -> Option<WorkerConnectionSlot> {
        let open = self.open.get();
        (open < self.limit).then(|| {
            self.open.set(open + 1);
            WorkerConnectionSlot(self.open.clone())
        })
    }
}

impl Drop for WorkerConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
