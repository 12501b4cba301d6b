//! Bounds on what clients of all listeners may make a process hold: the bodies of their requests.

mod bodies;

pub(crate) use self::bodies::{
    Bodies,
    BodyError,
    WholeBody, //
};

/// Memory and descriptors of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Memory that the process may take, in bytes.
    pub memory: usize,
    /// File descriptors that it may have open.
    pub descriptors: usize,
}

impl Default for Resources {
    /// Instances of the usual size.
    fn default() -> Self {
        Self {
            memory: 256 << 20,
            descriptors: 4096,
        }
    }
}

impl Resources {
    /// Returns the most bytes of all bodies together.
    pub fn body_bytes(&self) -> usize {
        self.memory / 4
    }
}
