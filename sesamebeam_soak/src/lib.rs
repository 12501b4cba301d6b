//! A randomized soak of the real daemons.
//!
//! Entries and control replicas run as separate processes on loopback, before
//! scripted backend servers behind proxies. A seeded schedule delays, resets,
//! cuts and silences connections, and stops, pauses, kills and restarts
//! processes, in series that overlap. In half of the schedules there are engines
//! of uneven speed besides, with callers of their own. Some backend servers go down under
//! requests with one part in their prompts; others fail requests, and read nothing at times. Crowds of new connections come to one entry after
//! the other over narrow links. What callers, operators and backend
//! servers see is written into [`books`], which hold it against the promises.

pub mod books;
pub mod brittle;
pub mod callers;
pub mod crowds;
pub mod engines;
pub mod entry_links;
pub mod failing;
pub mod fleet;
pub mod fragile;
pub mod lives;
pub mod narrow_link;
pub mod operator;
pub mod proxy;
pub mod retry_counts;
pub mod run;
pub mod schedule;
pub mod server;
pub mod stream_callers;
