//! The owner of one backend server: it alone sends batch work there, and makes it yield to online requests.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod item;
mod options;
mod owner;

pub use item::RunKey;
pub use item::WorkItem;
pub use options::AdmitOptions;
pub use owner::AdmitStep;
pub use owner::ServerOwner;
