//! Tests of the scheduler among clients, machines and a discovery service that do what is written here.

mod attempts;
mod clients;
mod connection_limits;
mod discovery;
mod ends;
mod harness;
mod invariants;
mod large_lists;
mod machine_loss;
mod memory;
mod message_sequences;
mod races;
mod shutdown;
mod silence;
mod slow_start;
mod stop_orders;
