//! The edges of sesamebeam and its thin daemons.

pub mod disk;
