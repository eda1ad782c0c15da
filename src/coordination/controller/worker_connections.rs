//! The pool of direct connections to workers.
//!
//! Direct starts, probes and stops of cancelled tasks take a slot each; callers that get none try
//! again in a later round. Invariant: the number of connections open at the same time stays within
//! the machine's limit on open files.

use std::cell::Cell;
use std::rc::Rc;

/// The slots for connections to workers.
pub struct WorkerConnections {
    open: Rc<Cell<usize>>,
    limit: usize,
}

/// A slot for one connection to a worker, released when dropped.
pub struct WorkerConnectionSlot(Rc<Cell<usize>>);

impl WorkerConnections {
    /// A pool of `limit` free slots.
    pub fn new(limit: usize) -> WorkerConnections {
        WorkerConnections {
            open: Rc::default(),
            limit,
        }
    }

    /// Takes a slot; `None` if all are taken.
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
