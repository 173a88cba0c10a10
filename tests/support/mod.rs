//! Stand-ins for what surrounds a gateway process: the platform's store, backend servers, the
//! process itself. Shared by the tests of the platform's adapter and the soak.

pub(crate) mod backend;
pub(crate) mod process;
pub(crate) mod proxy;
pub(crate) mod store;
