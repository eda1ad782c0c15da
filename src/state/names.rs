//! Interned names: each becomes a dense, typed index when it is read, and the scheduler compares
//! and stores indices only.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;

/// An index handed out by an [`Interner`].
pub trait Index: Copy {
    /// The index of a position.
    fn new(position: usize) -> Self;
    /// The position in a list by index.
    fn at(self) -> usize;
}

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
        pub struct $name(pub u32);
        impl Index for $name {
            fn new(position: usize) -> Self {
                $name(position as u32)
            }
            fn at(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// Index of a job.
    JobIndex
);
index!(
    /// Index of a machine.
    MachineIndex
);
index!(
    /// Index of a machine type.
    MachineTypeIndex
);
index!(
    /// Index of a zone.
    ZoneIndex
);
index!(
    /// Index of a team.
    TeamIndex
);
index!(
    /// Index of an image.
    ImageIndex
);
index!(
    /// Index of a shard of the machines; the last one has none and is the autoscaler's.
    ShardIndex
);

/// Maps names to dense indices and back.
#[derive(Debug)]
pub struct Interner<I> {
    indices: HashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
    kind: PhantomData<I>,
}

impl<I> Default for Interner<I> {
    fn default() -> Self {
        Interner {
            indices: HashMap::new(),
            names: Vec::new(),
            kind: PhantomData,
        }
    }
}

impl<I: Index> Interner<I> {
    /// The index of a name, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(index) = self.find(name) {
            return index;
        }
        let name: Rc<str> = name.into();
        self.indices.insert(name.clone(), self.names.len() as u32);
        self.names.push(name);
        I::new(self.names.len() - 1)
    }
    /// The index of a known name.
    pub fn find(&self, name: &str) -> Option<I> {
        let position = self.indices.get(name)?;
        Some(I::new(*position as usize))
    }
    /// The name behind an index.
    pub fn name(&self, index: I) -> &Rc<str> {
        &self.names[index.at()]
    }
    /// How many names are known.
    pub fn len(&self) -> usize {
        self.names.len()
    }
    /// True if no name is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
