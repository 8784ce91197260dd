//! Session state and what of it stands on a pooled connection.
mod session;
mod shapes;

pub use session::{sync, Gap, Session, SessionError, Tie};
pub use shapes::Shapes;
