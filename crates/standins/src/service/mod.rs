//! Plain services with a ledger of all that they ran.

mod ledger_entry;
mod service_command;
mod service_handler;
mod service_ledger;

pub use self::{
    ledger_entry::{EntryState, LedgerEntry},
    service_command::ServiceCommand,
    service_handler::ServiceHandler,
    service_ledger::{EntryNumber, ServiceLedger},
};
