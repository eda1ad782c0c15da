//! Names become dense indices at the door; inside, only indices are compared.

use std::collections::HashMap;
use std::marker::PhantomData;
use std::rc::Rc;

/// An index handed out by an [`Interner`].
pub trait Index: Copy {
    /// Wraps a position.
    fn new(at: usize) -> Self;
    /// The position.
    fn at(self) -> usize;
}

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
        pub struct $name(pub u32);
        impl Index for $name {
            fn new(at: usize) -> Self {
                $name(at as u32)
            }
            fn at(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// A job.
    JobIndex
);
index!(
    /// A machine.
    MachineIndex
);
index!(
    /// A machine type.
    MachineTypeIndex
);
index!(
    /// A zone.
    ZoneIndex
);
index!(
    /// A team.
    TeamIndex
);
index!(
    /// An image.
    ImageIndex
);
index!(
    /// A shard of the machines (or the renting duty, which is the last one).
    ShardIndex
);

/// Maps names to dense indices and back.
#[derive(Debug)]
pub struct Interner<I> {
    map: HashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
    kind: PhantomData<I>,
}

impl<I> Default for Interner<I> {
    fn default() -> Self {
        Interner {
            map: HashMap::new(),
            names: Vec::new(),
            kind: PhantomData,
        }
    }
}

impl<I: Index> Interner<I> {
    /// The index of a name, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(at) = self.map.get(name) {
            return I::new(*at as usize);
        }
        let name: Rc<str> = name.into();
        self.map.insert(name.clone(), self.names.len() as u32);
        self.names.push(name);
        I::new(self.names.len() - 1)
    }
    /// The index of a known name.
    pub fn find(&self, name: &str) -> Option<I> {
        self.map.get(name).map(|at| I::new(*at as usize))
    }
    /// The name behind an index.
    pub fn name(&self, ix: I) -> &Rc<str> {
        &self.names[ix.at()]
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
