//! Tests of the guarantees on the cores alone, in virtual time: randomised
//! schedules of faults, and one targeted failure per guarantee.

mod allowed_version;
mod at_most_once;
mod config_reverts;
mod cut_pins;
mod entry_harness;
mod frozen_entry;
mod golden;
mod hedged_version;
mod impatient_resend;
mod killer_request;
mod leaving_server;
mod not_run_true;
mod planned_stop;
mod rejoined_domain;
mod schedules;
mod session_keeps;
mod silent_connection;
mod withdrawn_version;
mod world;
