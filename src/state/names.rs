//! Interned names: each becomes a dense, typed index when it is read, and the scheduler compares
//! and stores indices only.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;

/// A dense index assigned by an [`Interner`].
pub trait Index: Copy {
    /// The index for a position, counted from 0.
    fn new(position: usize) -> Self;
    /// Position of the element in a list that is indexed by this type.
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
    /// Index of a job, assigned when its id is first read.
    JobIndex
);
index!(
    /// Index of a machine, assigned when its name is first read.
    MachineIndex
);
index!(
    /// Index of a machine type, assigned when its name is first read.
    MachineTypeIndex
);
index!(
    /// Index of a zone of the settings, in alphabetical order.
    ZoneIndex
);
index!(
    /// Index of a team, in the order of the settings.
    TeamIndex
);
index!(
    /// Index of a container image, assigned when its name is first read.
    ImageIndex
);
index!(
    /// Index of a shard. The last shard is the autoscaler's, which has no machines.
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
    /// Returns the index of a name, adding the name if it is new.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(index) = self.find(name) {
            return index;
        }
        let name: Rc<str> = name.into();
        self.indices.insert(name.clone(), self.names.len() as u32);
        self.names.push(name);
        I::new(self.names.len() - 1)
    }
    /// The index of a name; `None` if the name has not been interned.
    pub fn find(&self, name: &str) -> Option<I> {
        let position = self.indices.get(name)?;
        Some(I::new(*position as usize))
    }
    /// The name to which an index was assigned.
    pub fn name(&self, index: I) -> &Rc<str> {
        &self.names[index.at()]
    }
    /// Number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }
    /// True if no name has been interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
