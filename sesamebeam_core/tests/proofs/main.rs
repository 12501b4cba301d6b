//! Proofs of the promises on the cores alone, in virtual time: whole schedules
//! of faults, and one focused failure a promise.

mod allowed_version;
mod at_most_once;
mod config_reverts;
mod cut_pins;
mod frozen_entry;
mod golden;
mod hedged_version;
mod impatient_resend;
mod killer_request;
mod leaving_server;
mod lone;
mod not_run_true;
mod planned_stop;
mod rejoined_domain;
mod schedules;
mod session_keeps;
mod silent_connection;
mod withdrawn_version;
mod world;
